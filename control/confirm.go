package control

import (
	"slices"
	"time"
)

// confirmation holds what is known about the currency of the view. All times
// are lower bounds: the start of the call whose answer confirmed the view, less
// the age that the answering peer reported. An answer that waited in a socket
// buffer therefore confirms nothing newer than its request.
type confirmation struct {
	store time.Time // last confirmation by the store, direct or through peers
	// zones holds when an entry of the zone last answered and this node had
	// all of that entry's configuration.
	zones map[string]time.Time
	// notBefore discards answers to calls from before a time jump.
	notBefore time.Time
}

func (c *confirmation) reset(now time.Time) {
	c.store = time.Time{}
	clear(c.zones)
	c.notBefore = now
}

// byStore records that the store confirmed the view at the given time.
func (c *confirmation) byStore(at time.Time) {
	if at.After(c.store) && !at.Before(c.notBefore) {
		c.store = at
	}
}

// byPeer records an answer from an entry to a call made at sent. ageMS is the
// age of the peer's own store confirmation, negative for none.
func (c *confirmation) byPeer(zone string, sent time.Time, ageMS int64) {
	if sent.Before(c.notBefore) {
		return
	}
	if sent.After(c.zones[zone]) {
		c.zones[zone] = sent
	}
	if ageMS >= 0 {
		// The age was rounded down to whole milliseconds.
		at := sent.Add(-time.Duration(ageMS+1) * time.Millisecond)
		if at.After(c.store) {
			c.store = at
		}
	}
}

// storeAge returns the age of the store's last confirmation in milliseconds,
// -1 for none.
func (c *confirmation) storeAge(now time.Time) int64 {
	if c.store.IsZero() {
		return -1
	}
	return now.Sub(c.store).Milliseconds()
}

// at returns when the view was last confirmed, by the store or by entries of
// more than half of the zones. own is the zone of this node if it is an entry.
func (c *confirmation) at(zones []string, own string, now time.Time) time.Time {
	heard := make([]time.Time, 0, len(zones))
	for _, z := range zones {
		if z == own {
			heard = append(heard, now)
			continue
		}
		if t, found := c.zones[z]; found {
			heard = append(heard, t)
		}
	}
	need := len(zones)/2 + 1
	if len(heard) < need {
		return c.store
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	majority := heard[need-1]
	if majority.After(c.store) {
		return majority
	}
	return c.store
}

// confirmedAt returns when the view was last confirmed; zero without a bundle.
func (l *Loop) confirmedAt(now time.Time) time.Time {
	if l.signed == nil {
		return time.Time{}
	}
	own := ""
	if l.isEntry() {
		own = l.self.Zone
	}
	return l.confirm.at(l.signed.Bundle.Zones, own, now)
}
