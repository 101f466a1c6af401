package fleet

import (
	"time"

	"github.com/wasabinotch/wasabinotch/share"
)

// turnUse is how this entry uses its turns at endpoints that may be cold.
type turnUse struct {
	// used counts the turns used since measuredAt.
	used       int
	measuredAt time.Time
	// perSecond is the moving average of the turns used; available is the number of turns a
	// second that all entries have together, 0 if they don't take turns.
	perSecond, available float64
}

// turnUseWeight is the weight of the newest measurement in the moving average.
const turnUseWeight = 0.5

// MeasureTurns updates how much of its turns this entry uses. It is called about once a
// second.
func (f *Fleet) MeasureTurns(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := &f.turnUse
	u.available = 0
	for service, l := range f.limits {
		if l.ColdPerSecond <= 0 {
			continue
		}
		for _, ep := range f.byService[service] {
			if allowed := ep.coldRate(l, now); f.inService(ep, nil, now) && f.takesTurns(allowed, now) {
				u.available += float64(time.Second) / float64(coldTurns(allowed).interval)
			}
		}
	}
	if elapsed := now.Sub(u.measuredAt).Seconds(); !u.measuredAt.IsZero() && elapsed > 0 {
		u.perSecond += turnUseWeight * (float64(u.used)/elapsed - u.perSecond)
	}
	u.used, u.measuredAt = 0, now
}

// WantsTurns reports whether this entry uses so many of its turns that it asks others for
// theirs.
func (f *Fleet) WantsTurns(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ring, _ := f.shares(now)
	_, usable := ring.Own(now)
	available := f.turnUse.available * usable
	return available > 0 && share.Pressed(f.turnUse.perSecond/available)
}

// Turns returns the parts of all turns that are this entry's by weight, and that it may use
// now with those that it has lent and borrowed.
func (f *Fleet) Turns(now time.Time) (own, usable float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ring, cautious := f.shares(now)
	own, usable = ring.Own(now)
	if part := ring.Fraction(cautious); cautious && part < own {
		return part, usable + part - own
	}
	return own, usable
}

// LendTurns lends turns that this entry doesn't need to another one. It returns false if
// there are none.
func (f *Fleet) LendTurns(now time.Time) (share.Loan, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ring, cautious := f.shares(now)
	own, _ := ring.Own(now)
	available := f.turnUse.available * own
	if cautious || available <= 0 {
		return share.Loan{}, false
	}
	return ring.Lend(share.Lendable(f.turnUse.perSecond/available), now)
}

// BorrowTurns adds turns that another entry has lent.
func (f *Fleet) BorrowTurns(l share.Loan, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ring, _ := f.shares(now)
	ring.Borrow(l, now)
}
