package share

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ringSlots is the number of turns after which their owners repeat. With 300 entries,
	// the turns of an entry differ from its part by a fifth (standard deviation).
	ringSlots = 1 << 13
	// cautiousMembers is the number of entries that a cautious entry assumes at least.
	cautiousMembers = 64
)

// Ring assigns consecutive turns to the entries by weight. It answers the load in which all
// entries always have requests for the same endpoint while entries stop and lapse, and
// learn of each other's end at different moments.
//
// The owner of a turn is the entry with the highest score there, and the score depends on
// nothing but the turn, the entry's ID and its weight. If two entries took the same turn,
// each would have the higher score, unless one doesn't know the other. Entries that are
// known but gone cost their turns and never lead to a turn that is used twice.
type Ring struct {
	self   Member
	others []Member
	seeds  []uint64 // of the others
	// sum and least are the total and the smallest of the weights.
	sum, least float64
	// own lists the slots of this entry; cautious those of them that it would have if the
	// entries were at least cautiousMembers. They are valid if changed is false.
	own, cautious []int32
	changed       bool
}

// NewRing returns a ring for the entry self, which owns all turns until others are set.
func NewRing(self Member) *Ring {
	return &Ring{self: self, sum: self.Weight, least: self.Weight, changed: true}
}

// Set replaces the other entries. A member with the ID of this entry is ignored.
func (r *Ring) Set(members []Member) {
	others := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == r.self.ID })
	if slices.Equal(others, r.others) {
		return
	}
	r.others, r.changed = others, true
	r.seeds = r.seeds[:0]
	r.sum, r.least = r.self.Weight, r.self.Weight
	for _, m := range others {
		r.seeds = append(r.seeds, xxhash.Sum64String(m.ID))
		r.sum += m.Weight
		r.least = min(r.least, m.Weight)
	}
}

// Next returns the first turn of this entry from the given one on. A cautious entry assumes
// at least cautiousMembers entries, since it may not know all yet.
func (r *Ring) Next(turn int64, cautious bool) int64 {
	r.update()
	own := r.own
	if cautious {
		own = r.cautious
	}
	if len(own) == 0 {
		return turn + ringSlots
	}
	slot := (turn%ringSlots + ringSlots) % ringSlots
	i, _ := slices.BinarySearch(own, int32(slot))
	if i == len(own) {
		return turn - slot + ringSlots + int64(own[0])
	}
	return turn - slot + int64(own[i])
}

// Fraction returns this entry's part of the weights of all.
func (r *Ring) Fraction(cautious bool) float64 { return r.self.Weight / r.total(cautious) }

// LeastFraction returns the smallest part of any entry.
func (r *Ring) LeastFraction(cautious bool) float64 { return r.least / r.total(cautious) }

func (r *Ring) total(cautious bool) float64 {
	if !cautious {
		return r.sum
	}
	return r.sum + r.missing()*r.self.Weight
}

// missing returns the number of entries that a cautious entry assumes besides the known ones.
func (r *Ring) missing() float64 { return float64(max(0, cautiousMembers-1-len(r.others))) }

// update determines the slots of this entry. Most are decided by the first few others, so
// that it takes little longer with many entries.
func (r *Ring) update() {
	if !r.changed {
		return
	}
	r.changed = false
	r.own, r.cautious = r.own[:0], r.cautious[:0]
	seed, missing := xxhash.Sum64String(r.self.ID), r.missing()*r.self.Weight
	for slot := range ringSlots {
		s := score(seed, slot, r.self.Weight)
		if r.isBeaten(s, slot) {
			continue
		}
		r.own = append(r.own, int32(slot))
		// The highest of n scores is distributed like one score of n times the weight.
		if missing == 0 || score(^seed, slot, missing) < s {
			r.cautious = append(r.cautious, int32(slot))
		}
	}
}

// isBeaten reports whether another entry has a score of s or more at a slot.
func (r *Ring) isBeaten(s float64, slot int) bool {
	for i, other := range r.others {
		if score(r.seeds[i], slot, other.Weight) >= s {
			return true
		}
	}
	return false
}

// score returns a number between 0 and 1 that is the same at all entries. The highest of
// several is that of an entry with a probability in proportion to its weight.
func score(seed uint64, slot int, weight float64) float64 {
	u := uniform(seed + uint64(slot)*0x9e3779b97f4a7c15)
	if weight == 1 {
		return u
	}
	return math.Pow(u, 1/weight)
}

// uniform returns a number between 0 and 1, both excluded, that depends on all bits of x
// (finalizer of SplitMix64).
func uniform(x uint64) float64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>12) + 0.5) / (1 << 52)
}
