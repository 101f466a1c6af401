package admission

const (
	// claimCut is the factor by which the share of free places that waiting requests claim
	// falls with each report of an overrun endpoint; claimGain is its relative rise with
	// each report of one with places left, and idleClaimGain that if at least half of the
	// slots are free. The share settles where about one report in six shows an overrun
	// endpoint.
	claimCut      = 0.8
	claimGain     = 0.05
	idleClaimGain = 0.25
)

// Claims bounds what the waiting requests of one entry take of the places that a load
// report shows as free.
//
// It answers the load in which requests wait at many entries: all of them see the same
// report, and if each took the free place, an endpoint with one free place would get a
// request of every entry, and all these would wait there while other places come free. Each
// entry therefore takes a free place with a probability that falls while endpoints turn out
// to be overrun, and rises while they turn out to have places left.
type Claims struct{ share float64 }

// Observe records the load of an endpoint that a report shows while requests wait. entries
// is the number of entries that share the endpoint.
func (c *Claims) Observe(load, slots, entries int) {
	if c.share == 0 {
		c.share = 1
	}
	switch {
	case float64(load) > (1+queuedAtEngine)*float64(slots):
		c.share = max(c.share*claimCut, 1/float64(max(1, entries)))
	case load < slots:
		gain := claimGain
		if 2*load <= slots {
			gain = idleClaimGain
		}
		c.share = min(c.share*(1+gain), 1)
	}
}

// Of returns how many of the free places that a report shows waiting requests may take.
// random returns random numbers from 0 to 1.
func (c *Claims) Of(free int, random func() float64) int {
	if c.share == 0 || c.share >= 1 {
		return max(0, free)
	}
	n := 0
	for range free {
		if random() < c.share {
			n++
		}
	}
	return n
}

// Share returns the probability with which a free place is claimed.
func (c *Claims) Share() float64 {
	if c.share == 0 {
		return 1
	}
	return c.share
}
