package share

import (
	"slices"
	"time"
)

const (
	// LoanTime is how long turns are lent. An entry that needs its turns again has to wait so
	// long, and an entry that is new to the lender may use the same turns meanwhile: its part
	// of those that are lent, which is small.
	LoanTime = 2500 * time.Millisecond
	// pressedUse is the fraction of its turns from which an entry asks others for theirs: the
	// turns that are open then are few, and requests begin to wait for one.
	pressedUse = 0.5
	// keptPerUse is how many turns a lender keeps for each that it uses, keptAtLeast the
	// fraction of its turns that it keeps in any case, for requests that come suddenly.
	keptPerUse  = 2.0
	keptAtLeast = 0.3
)

// Loan is a number of turns that one entry leaves to another: those at the slots that open
// at From or later and before To. Turns are numbered by the time at which they open, so that
// both entries draw the same line whatever their clocks say.
type Loan struct {
	Slots    []int32
	From, To time.Time
}

// covers reports whether a turn that opens at a time, in Unix nanoseconds, is lent.
func (l *Loan) covers(slot int32, opens int64) bool {
	if opens < l.From.UnixNano() || opens >= l.To.UnixNano() {
		return false
	}
	_, found := slices.BinarySearch(l.Slots, slot)
	return found
}

// Valid reports whether a loan from another entry can be used.
func (l *Loan) Valid() bool {
	return len(l.Slots) > 0 && len(l.Slots) <= ringSlots && slices.IsSorted(l.Slots) && l.Slots[0] >= 0 &&
		l.Slots[len(l.Slots)-1] < ringSlots && l.From.Before(l.To) && l.To.Sub(l.From) <= LoanTime
}

// Pressed reports whether an entry that has used the given fraction of its turns lately asks
// others for theirs.
func Pressed(use float64) bool { return use >= pressedUse }

// Lendable returns the fraction of its own turns that an entry can do without. use is the
// fraction of them that it has used lately.
func Lendable(use float64) float64 {
	return max(0, 1-max(keptAtLeast, keptPerUse*use))
}

// Lend lends turns that open from now on, so that the given fraction of this entry's own
// turns is lent in all. It returns false if there are none to lend. It answers the load in
// which demand moves from zone to zone, and entries of quiet zones don't need their part.
func (r *Ring) Lend(fraction float64, now time.Time) (Loan, bool) {
	r.update()
	now = now.Round(0) // turns are numbered by the time of day
	r.dropEnded(now)
	free := make([]int32, 0, len(r.own))
	for _, slot := range r.own {
		if !slices.ContainsFunc(r.lent, func(l Loan) bool { return l.covers(slot, now.UnixNano()) }) {
			free = append(free, slot)
		}
	}
	n := (int(fraction*float64(len(r.own))) - (len(r.own) - len(free)) + 1) / 2
	if n <= 0 {
		return Loan{}, false
	}
	l := Loan{Slots: make([]int32, n), From: now, To: now.Add(LoanTime)}
	for i := range l.Slots {
		l.Slots[i] = free[i*len(free)/n] // spread over time
	}
	r.lent = append(r.lent, l)
	return l, true
}

// Borrow adds turns that another entry has lent.
func (r *Ring) Borrow(l Loan, now time.Time) {
	r.dropEnded(now.Round(0))
	r.borrowed = append(r.borrowed, l)
}

// Own returns the parts of all turns that are this entry's by weight, and that it may use
// now: without those that it has lent, and with those that it has borrowed.
func (r *Ring) Own(now time.Time) (own, usable float64) {
	r.update()
	at := now.UnixNano()
	count := func(loans []Loan) (n int) {
		for _, l := range loans {
			if at >= l.From.UnixNano() && at < l.To.UnixNano() {
				n += len(l.Slots)
			}
		}
		return n
	}
	own = float64(len(r.own)) / ringSlots
	return own, own + float64(count(r.borrowed)-count(r.lent))/ringSlots
}

// loanMemory is how long loans are kept after their end, for clocks that are set back and
// turns that stay open.
const loanMemory = 2 * time.Second

func (r *Ring) dropEnded(now time.Time) {
	ended := func(l Loan) bool { return now.UnixNano()-l.To.UnixNano() > int64(loanMemory) }
	r.lent, r.borrowed = slices.DeleteFunc(r.lent, ended), slices.DeleteFunc(r.borrowed, ended)
}
