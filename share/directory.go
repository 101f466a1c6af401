package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fewestNamed is the number of entries that are named at least, so that a caller still
	// finds one when a zone fails.
	fewestNamed = 8
	// namedPeriod is the time after which a caller is named other entries.
	namedPeriod = 5 * time.Minute
)

// Named returns the entries that are named to a caller, at most most of them, in no order.
// A member of weight 0 counts as an average one.
//
// It answers the load of callers that choose at random among the entries named to them, of
// which some bear several times as much as others: entries are named with a probability in
// proportion to their weight, as far as a caller is left fewestNamed. The same caller is
// named the same entries for namedPeriod, since it closes its connections to entries that
// are no longer named. If all have the same weight and are at most most, all are named.
func Named(members []Member, caller string, most int, now time.Time) []Member {
	probability := inclusion(members, most)
	seed := xxhash.Sum64String(caller)
	// Callers change at different moments.
	period := (now.UnixNano() + int64(seed%uint64(namedPeriod))) / int64(namedPeriod)
	seed += uint64(period) * 0x9e3779b97f4a7c15
	type ranked struct {
		Member
		rank float64
	}
	all := make([]ranked, len(members))
	count := 0.0
	for i, m := range members {
		all[i].Member = m
		count += probability[i]
		if probability[i] < 1 {
			all[i].rank = uniform(seed^xxhash.Sum64String(m.ID)) / probability[i]
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.ID, b.ID)) })
	named := make([]Member, min(len(all), int(count+0.5)))
	for i := range named {
		named[i] = all[i].Member
	}
	return named
}

// inclusion returns the probability with which each member is named. They add up to the
// number of members that are named, at most most, and are in proportion to the weights
// below 1.
func inclusion(members []Member, most int) []float64 {
	weights := make([]float64, len(members))
	known, sum, greatest := 0, 0.0, 0.0
	for i, m := range members {
		if weights[i] = m.Weight; m.Weight > 0 {
			known++
			sum += m.Weight
			greatest = max(greatest, m.Weight)
		}
	}
	average := 1.0
	if known > 0 {
		average = sum / float64(known)
	}
	sum += average * float64(len(members)-known)
	greatest = max(greatest, average)
	for i, w := range weights {
		if w <= 0 {
			weights[i] = average
		}
	}
	count := min(max(int(sum/greatest+1e-9), fewestNamed), most, len(members))
	probability := make([]float64, len(members))
	// Members that would be named with a probability above 1 are named always; the others
	// share what is left.
	left, certain := float64(count), 0
	for {
		before := certain
		for i, w := range weights {
			if probability[i] < 1 && left*w >= sum*(1-1e-9) {
				probability[i] = 1
				left--
				sum -= w
				certain++
			}
		}
		if certain == before {
			break
		}
	}
	for i, w := range weights {
		if probability[i] < 1 {
			probability[i] = left * w / sum
		}
	}
	return probability
}
