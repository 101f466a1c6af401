package control

import (
	"slices"
	"time"
)

// confirmation records when the view was last confirmed as current. All times are
// lower bounds: the start of the call whose reply confirmed the view, minus the
// age that the replying peer reported. A reply that was delayed in a socket
// buffer therefore confirms nothing newer than its request.
type confirmation struct {
	storeAt time.Time // last confirmation by the store, directly or through peers
	// zoneAt maps a zone to the start of the last call to one of its entries
	// whose reply showed no configuration that this node lacks.
	zoneAt map[string]time.Time
	// notBefore is the time of the last clock jump. Replies to calls made before
	// it are ignored.
	notBefore time.Time
}

// reset discards all confirmations. Replies to calls made before now are ignored
// from then on.
func (c *confirmation) reset(now time.Time) {
	c.storeAt = time.Time{}
	clear(c.zoneAt)
	c.notBefore = now
}

// byStore records that the store confirmed the view at the given time, unless
// that is before the last reset.
func (c *confirmation) byStore(at time.Time) {
	if at.After(c.storeAt) && !at.Before(c.notBefore) {
		c.storeAt = at
	}
}

// byPeer records an entry's reply to a call made at sent. ageMS is the age in
// milliseconds of the peer's last confirmation by the store, negative for none.
func (c *confirmation) byPeer(zone string, sent time.Time, ageMS int64) {
	if sent.Before(c.notBefore) {
		return
	}
	if sent.After(c.zoneAt[zone]) {
		c.zoneAt[zone] = sent
	}
	if ageMS >= 0 {
		// The peer rounds the age down to whole milliseconds; add one to keep
		// the time a lower bound.
		at := sent.Add(-time.Duration(ageMS+1) * time.Millisecond)
		if at.After(c.storeAt) {
			c.storeAt = at
		}
	}
}

// storeAge returns the age of the store's last confirmation in milliseconds, or
// -1 if there is none.
func (c *confirmation) storeAge(now time.Time) int64 {
	if c.storeAt.IsZero() {
		return -1
	}
	return now.Sub(c.storeAt).Milliseconds()
}

// latest returns when the view was last confirmed, by the store or by entries of
// more than half of the zones. selfZone is this node's zone if it is an entry,
// which always counts as confirmed, and "" otherwise.
func (c *confirmation) latest(zones []string, selfZone string, now time.Time) time.Time {
	confirmedTimes := make([]time.Time, 0, len(zones))
	for _, z := range zones {
		if z == selfZone {
			confirmedTimes = append(confirmedTimes, now)
			continue
		}
		if t, found := c.zoneAt[z]; found {
			confirmedTimes = append(confirmedTimes, t)
		}
	}
	need := len(zones)/2 + 1
	if len(confirmedTimes) < need {
		return c.storeAt
	}
	slices.SortFunc(confirmedTimes, func(a, b time.Time) int { return b.Compare(a) })
	majority := confirmedTimes[need-1]
	if majority.After(c.storeAt) {
		return majority
	}
	return c.storeAt
}

// confirmedAt returns when the view was last confirmed; zero if never or if there
// is no bundle yet.
func (l *Loop) confirmedAt(now time.Time) time.Time {
	if l.signedBundle == nil {
		return time.Time{}
	}
	selfZone := ""
	if l.isEntry() {
		selfZone = l.self.Zone
	}
	return l.confirmation.latest(l.signedBundle.Bundle.Zones, selfZone, now)
}
