package fleet

import "time"

// Pick is a request's place at an endpoint. Exactly one of its methods ends it.
type Pick struct {
	Endpoint *Endpoint
	fleet    *Fleet
	done     bool
	// Load and Age are the load that decided the choice and its age, which is
	// NoReport if the endpoint has never reported any.
	Load      int
	ReportAge time.Duration
	// Stalled is closed when the endpoint's group stands still; a request that
	// may be repeated is better off elsewhere.
	Stalled <-chan struct{}
}

// NoReport is the age of a load that was never reported.
const NoReport = -time.Millisecond

func (ep *Endpoint) failing(now time.Time) float64 {
	if ep.failureRate == 0 {
		return 0
	}
	halves := float64(now.Sub(ep.failureAt)) / float64(failureHalfLife)
	return ep.failureRate / (1 + halves*halves)
}

func (p *Pick) end(f func(ep *Endpoint, now time.Time)) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	p.Endpoint.inFlight--
	if f != nil {
		f(p.Endpoint, time.Now())
	}
	p.fleet.wake(p.Endpoint.Service)
}

func (ep *Endpoint) observe(failed float64, now time.Time) {
	rate := ep.failing(now)
	ep.failureRate = rate + failureGain*(failed-rate)
	ep.failureAt = now
}

// Done ends a request that got a proper answer, or that the caller left.
func (p *Pick) Done() {
	p.end(func(ep *Endpoint, now time.Time) {
		ep.failures = 0
		ep.observe(0, now)
	})
}

// Inconclusive ends a request that says nothing about the endpoint.
func (p *Pick) Inconclusive() { p.end(nil) }

// Failed ends a request that the endpoint ran and failed.
func (p *Pick) Failed() {
	p.end(func(ep *Endpoint, now time.Time) { ep.observe(1, now) })
}

// RecordSlowStart counts a failure of an endpoint that is slow to begin its answer. The
// request goes on.
func (p *Pick) RecordSlowStart() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if !p.done {
		p.Endpoint.observe(1, time.Now())
	}
}

// NextStall returns a channel that is closed when the endpoint's group stands
// still the next time.
func (p *Pick) NextStall() <-chan struct{} {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.Endpoint.broken
}

// ReportsHealthy reports whether the endpoint said a moment ago that it works.
func (p *Pick) ReportsHealthy() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	ep := p.Endpoint
	return !ep.gone && ep.fresh(time.Now()) && !ep.report.Stalled
}

// Unreachable ends a request to which the endpoint gave no answer.
func (p *Pick) Unreachable() {
	p.end(func(ep *Endpoint, now time.Time) {
		ep.observe(1, now)
		ep.avoidUntil = now.Add(min(avoidMin<<min(ep.failures, 8), avoidMax))
		ep.failures++
	})
}

// Misdirected ends a request that reached another endpoint at the address.
func (p *Pick) Misdirected() {
	p.end(func(ep *Endpoint, now time.Time) { ep.avoidUntil = now.Add(avoidMax) })
}

// Rejected ends a request that the endpoint didn't run because it is full.
func (p *Pick) Rejected() {
	p.end(func(ep *Endpoint, now time.Time) {
		ep.avoidUntil = now.Add(rejectedPause)
	})
}

// rejectedPause is the pause after a rejection for want of room, about the time
// in which a slot of a busy endpoint gets free.
const rejectedPause = 150 * time.Millisecond

// RecordLoad records the load that an answer carried.
func (p *Pick) RecordLoad(l Load) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if time.Since(p.Endpoint.reportAt) > reportValidity/4 {
		p.fleet.record(p.Endpoint, l)
	}
}
