package share

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ringSlots is the number of turns after which their owners repeat. With 300 entries,
	// the turns of an entry differ from its part by a fifth (standard deviation).
	ringSlots = 1 << 13
	// cautiousMembers is the number of entries that a cautious entry assumes at least, unless
	// another one has told how many share the limits.
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
	// atLeast is the number of entries that a cautious entry assumes at least.
	atLeast int
	// sum and least are the total and the smallest of the weights.
	sum, least float64
	// own lists the slots of this entry; cautious those of them that it would have if the
	// entries were at least atLeast. They are valid if changed is false.
	own, cautious []int32
	changed       bool
	// lent and borrowed are the loans to and from other entries, with some that have ended.
	lent, borrowed []Loan
}

// Sequence is the sequence of turns at one endpoint. Turn k opens k intervals after the Unix
// epoch. The offset keeps an entry's turns at different endpoints apart.
type Sequence struct {
	Interval time.Duration
	Offset   int64
}

// slot returns the slot of a turn.
func (s Sequence) slot(turn int64) int64 {
	return ((turn+s.Offset)%ringSlots + ringSlots) % ringSlots
}

// nextAt returns the first turn from the given one on that is at one of the slots, which are
// sorted; ok is false if there are none.
func (s Sequence) nextAt(slots []int32, turn int64) (next int64, ok bool) {
	if len(slots) == 0 {
		return 0, false
	}
	slot := s.slot(turn)
	i, _ := slices.BinarySearch(slots, int32(slot))
	if i == len(slots) {
		return turn - slot + ringSlots + int64(slots[0]), true
	}
	return turn - slot + int64(slots[i]), true
}

// NewRing returns a ring for the entry self, which owns all turns until others are set.
func NewRing(self Member) *Ring {
	return &Ring{self: self, sum: self.Weight, least: self.Weight, atLeast: cautiousMembers, changed: true}
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

// AssumeAtLeast sets the number of entries that a cautious entry assumes at least; 0 means
// that none has been told.
func (r *Ring) AssumeAtLeast(n int) {
	if n <= 0 {
		n = cautiousMembers
	}
	if n != r.atLeast {
		r.atLeast, r.changed = n, true
	}
}

// Next returns the first turn of this entry from the given one on. A cautious entry assumes
// a number of entries at least, since it may not know all yet.
func (r *Ring) Next(s Sequence, turn int64, cautious bool) int64 {
	r.update()
	own := r.own
	if cautious {
		own = r.cautious
	}
	next, ok := r.nextKept(s, own, turn)
	if !ok {
		next = turn + ringSlots
	}
	for i := range r.borrowed {
		l := &r.borrowed[i]
		// The first turn that opens at From or later.
		from := (l.From.UnixNano() + int64(s.Interval) - 1) / int64(s.Interval)
		if t, ok := s.nextAt(l.Slots, max(turn, from)); ok && t < next && t*int64(s.Interval) < l.To.UnixNano() {
			next = t
		}
	}
	return next
}

// nextKept returns the first turn at one of this entry's own slots that isn't lent.
func (r *Ring) nextKept(s Sequence, own []int32, turn int64) (next int64, ok bool) {
	next, ok = s.nextAt(own, turn)
	for tries := 0; ok; tries++ {
		i := slices.IndexFunc(r.lent, func(l Loan) bool { return l.covers(int32(s.slot(next)), next*int64(s.Interval)) })
		if i < 0 {
			break
		}
		from := next + 1
		if tries > maxLentTries { // turns in very short intervals; go on after the loan
			from = r.lent[i].To.UnixNano()/int64(s.Interval) + 1
		}
		next, ok = s.nextAt(own, from)
	}
	return next, ok
}

// maxLentTries is the number of lent turns that are passed over one by one.
const maxLentTries = 64

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
func (r *Ring) missing() float64 { return float64(max(0, r.atLeast-1-len(r.others))) }

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
