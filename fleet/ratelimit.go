package fleet

import (
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/wasabinotch/wasabinotch/share"
)

const (
	// rateLimitUse is the fraction of a named limit that the entries use together, which
	// leaves room for entries that don't know the limit or the number of entries yet.
	rateLimitUse = 0.9
	// turnLifetime is how long an entry may use a turn at an endpoint that names a limit.
	turnLifetime = 1500 * time.Millisecond
	// coldTurnUse and coldTurnLifetime keep the turns that open within a second, and those
	// that are still open from before, below the number that a cold endpoint bears: 0.95 of
	// it, which leaves room for clocks that differ. With a shorter lifetime turns could be more
	// frequent, but fewer endpoints would be open to an entry at a time, to choose from.
	coldTurnUse      = 0.95 / (1 + float64(coldTurnLifetime)/float64(time.Second))
	coldTurnLifetime = 900 * time.Millisecond
	// minTurnsPerSecond is the rate of turns to an endpoint with a limit of 0, whose
	// responses show when the limit ends.
	minTurnsPerSecond = 0.25
	// tellInterval is the interval at which entries tell each other an unchanged limit,
	// for entries that have started since or that missed a datagram.
	tellInterval = time.Second
)

// RateLimit is the number of requests a second that an endpoint accepts from all
// entries together. The zero value means that the endpoint names no limit.
type RateLimit struct {
	PerSecond float64
	Named     bool
}

// String implements fmt.Stringer.
func (l RateLimit) String() string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'f', -1, 64)
}

// RecordRateLimit records the limit that an endpoint named to its agent or to another
// entry, and reports whether it has changed.
func (f *Fleet) RecordRateLimit(id string, l RateLimit) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ep := f.byID[id]
	if ep == nil {
		return false
	}
	ep.rateLimitToldAt = time.Now()
	return ep.setRateLimit(l)
}

// RecordRateLimit records the limit that a response of the endpoint names. changed
// reports whether it has changed. tell reports whether the other entries should be told:
// no agent reports the limit, and no entry did so recently.
func (p *Pick) RecordRateLimit(l RateLimit) (changed, tell bool) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	ep, now := p.Endpoint, time.Now()
	changed = ep.setRateLimit(l)
	tell = (changed || l.Named && now.Sub(ep.rateLimitToldAt) >= tellInterval) && now.Sub(ep.agentReportAt) > reportValidity
	if tell {
		ep.rateLimitToldAt = now
	}
	return changed, tell
}

// turns describes how entries take turns at an endpoint: one turn opens in each interval,
// and its entry may use it within lifetime. An entry that saved its turns could use them
// all in one burst, and all entries at the same time.
type turns struct {
	interval, lifetime time.Duration
}

// turns returns the turns at an endpoint that names the limit.
func (l RateLimit) turns() turns {
	perSecond := max(rateLimitUse*l.PerSecond, minTurnsPerSecond)
	return turns{interval: intervalAt(perSecond), lifetime: turnLifetime}
}

// coldTurns returns the turns at an endpoint that bears the given number of requests
// within one second.
func coldTurns(perSecond float64) turns {
	return turns{interval: intervalAt(max(coldTurnUse*perSecond, minTurnsPerSecond)), lifetime: coldTurnLifetime}
}

func intervalAt(perSecond float64) time.Duration {
	return max(1, time.Duration(float64(time.Second)/perSecond))
}

// nextTurn returns the time from which this entry may send the next request to an
// endpoint after the turn that it used last. Turn k opens k intervals after the Unix
// epoch and belongs to one entry, so that requests are spread over time without any
// exchange. Clocks that differ only move an entry's turns.
func (f *Fleet) nextTurn(ep *Endpoint, t turns, last, now time.Time) time.Time {
	interval := int64(t.interval)
	from := now.Add(-t.lifetime)
	// A clock that was set back must not delay the next turn.
	if last.After(from) && !last.After(now) {
		from = last
	}
	turn := from.UnixNano()/interval + 1
	ring, cautious := f.shares(now)
	turn = ring.Next(share.Sequence{Interval: t.interval, Offset: ep.turnOffset}, turn, cautious)
	return time.Unix(0, turn*interval)
}

// turnOffset returns a number for an endpoint that is the same at all entries.
func turnOffset(id string) int64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return int64(h.Sum32())
}

// withinNamedLimit reports whether this entry may send a request to the endpoint now as
// far as the endpoint's named limit is concerned.
func (f *Fleet) withinNamedLimit(ep *Endpoint, now time.Time) bool {
	return !ep.rateLimit.Named || !f.nextTurn(ep, ep.rateLimit.turns(), ep.lastTurn, now).After(now)
}

// turnsBy returns the number of requests that this entry may send until the given time
// to the endpoints that are usable for a request, if all of them name a rate limit; else
// it returns math.MaxInt.
func (f *Fleet) turnsBy(r *Request, now, until time.Time) int {
	n := 0
	ring, cautious := f.shares(now)
	fraction := ring.Fraction(cautious)
	for _, ep := range f.byService[r.Service] {
		if !f.inService(ep, r.Exclude, now) || ep.notice.paused(until) {
			continue
		}
		if !ep.rateLimit.Named {
			return math.MaxInt
		}
		t := ep.rateLimit.turns()
		if ahead := until.Sub(f.nextTurn(ep, t, ep.lastTurn, now)); ahead >= 0 {
			n += 1 + int(float64(ahead)/float64(t.interval)*fraction)
		}
	}
	return n
}

// usable reports whether an endpoint may get requests when it has capacity.
func (f *Fleet) usable(ep *Endpoint, exclude []*Endpoint, now time.Time) bool {
	return f.inService(ep, exclude, now) && !ep.notice.paused(now)
}

// inService reports whether an endpoint may get requests when it has capacity and has not
// asked for a pause.
func (f *Fleet) inService(ep *Endpoint, exclude []*Endpoint, now time.Time) bool {
	return !ep.Draining && (ep.notice == nil || !ep.notice.leaving) && !f.zonesOut[ep.Zone] && f.latestAtAddress[ep.Address] == ep && !slices.Contains(exclude, ep) &&
		!(ep.hasFreshReport(now) && ep.report.Stalled)
}

func (ep *Endpoint) setRateLimit(l RateLimit) bool {
	changed := ep.rateLimit != l
	ep.rateLimit = l
	return changed
}

// RateLimited returns the number of endpoints that name a rate limit.
func (f *Fleet) RateLimited() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, ep := range f.byID {
		if ep.rateLimit.Named {
			n++
		}
	}
	return n
}
