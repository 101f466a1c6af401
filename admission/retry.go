package admission

import "time"

const (
	// pressureGap is the time without a refusal after which the pressure has ended.
	pressureGap = time.Second
	// minReturn is the least time after which a refused caller returns.
	minReturn = 300 * time.Millisecond
	// haltTime is how long no endpoint is in service at least: a rank group that loses a
	// rank stands still until it notices and is formed again.
	haltTime = 2 * time.Second
	// returnSpread is the range over which callers return, as a fraction of the earliest
	// return.
	returnSpread = 0.5
)

// pressure is a period in which requests are refused.
type pressure struct{ since, last time.Time }

// Refused records that a request was refused for lack of room.
func (c *Controller) Refused(now time.Time) {
	if now.Sub(c.pressure.last) > pressureGap {
		c.pressure.since = now
	}
	c.pressure.last = now
}

// ReturnAfter returns the time after which a refused caller should return, at most limit.
// halted is set if no endpoint was in service. random is a random number from 0 to 1.
//
// It answers the load in which callers that were refused return together, or so soon that
// they are refused again. Pressure that has lasted for some time is expected to last as
// long again, and a halt haltTime at least; the caller returns after that, and not before
// the backlog that it saw can have been served. Callers spread over half as long again.
func (c *Controller) ReturnAfter(r *Request, waiting []*Request, halted bool, limit time.Duration, random float64, now time.Time) time.Duration {
	d, lasted := minReturn, time.Duration(0)
	if !c.pressure.since.IsZero() && now.Sub(c.pressure.last) <= pressureGap {
		lasted = now.Sub(c.pressure.since)
	}
	d = max(d, lasted)
	if halted {
		d = max(d, haltTime-lasted)
	}
	if wait, known := c.Wait(r, waiting, now); known {
		d = max(d, wait)
	}
	d = min(d, time.Duration(float64(limit)/(1+returnSpread)))
	return d + time.Duration(returnSpread*random*float64(d))
}
