package admission

import (
	"math"
	"time"
)

const (
	// paceHalfLife is the half-life of the pace at which waiting requests get places. Load
	// and capacity change within seconds.
	paceHalfLife = 2 * time.Second
	// minObservation is the time with waiting requests from which the pace is known.
	minObservation = 250 * time.Millisecond
)

// pace is the cost that is granted to waiting requests for each second in which some wait.
type pace struct {
	cost, grants, seconds decaying
	// waitingSince is when the last update found waiting requests, zero if it found none.
	waitingSince time.Time
}

func (p *pace) update(waiting int, now time.Time) {
	if !p.waitingSince.IsZero() {
		p.seconds.add(max(0, now.Sub(p.waitingSince).Seconds()), now, paceHalfLife)
	}
	p.waitingSince = time.Time{}
	if waiting > 0 {
		p.waitingSince = now
	}
}

// observed returns the seconds in which requests waited, after decay.
func (p *pace) observed(now time.Time) float64 {
	seconds := p.seconds.get(now, paceHalfLife)
	if !p.waitingSince.IsZero() {
		seconds += max(0, now.Sub(p.waitingSince).Seconds())
	}
	return seconds
}

func (p *pace) granted(cost float64, now time.Time) {
	p.cost.add(cost, now, paceHalfLife)
	p.grants.add(1, now, paceHalfLife)
}

// UpdateWaiting must be called whenever the number of waiting requests has changed.
func (c *Controller) UpdateWaiting(waiting int, now time.Time) { c.pace.update(waiting, now) }

// Wait forecasts how long a request would wait for a place after those waiting requests
// that go before it. known is false if too little was seen for a forecast.
func (c *Controller) Wait(r *Request, before []*Request, now time.Time) (d time.Duration, known bool) {
	seconds := c.pace.observed(now)
	if seconds < minObservation.Seconds() {
		return 0, false
	}
	ahead := 0.0
	for _, w := range before {
		ahead += w.cost()
	}
	mean := (ahead + r.cost()) / float64(len(before)+1)
	if n := c.pace.grants.get(now, paceHalfLife); n >= 1 {
		mean = c.pace.cost.get(now, paceHalfLife) / n
	}
	// One more grant than seen keeps the pace above zero while places are only about to
	// come free.
	perSecond := (c.pace.cost.get(now, paceHalfLife) + mean) / seconds
	return secondsToDuration((ahead + mean) / perSecond), true
}

func secondsToDuration(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}

// Hopeless reports whether a request can't get a place within the given time, because of
// the requests that wait before it and the pace at which places come free. busyShare is the
// part of the service's slots that is occupied.
//
// It answers the load in which a backlog grows until all its requests are late: those that
// would wait in vain are told at once. While half of the slots are free nothing is
// refused; what holds requests up then is not a lack of room. Nor is a request whose kind or
// organisation would be starved: Order lets it go before others.
func (c *Controller) Hopeless(r *Request, before []*Request, within time.Duration, busyShare float64, now time.Time) bool {
	if busyShare < minBusyShare || c.underserved(r, now) {
		return false
	}
	d, known := c.Wait(r, before, now)
	return known && d > within
}

// minBusyShare is the part of the slots that must be occupied for a forecast to refuse.
const minBusyShare = 0.5
