package fleet

import (
	"time"

	"github.com/wasabinotch/wasabinotch/placement"
)

// Pick is a request's claim to a slot of the endpoint that was chosen for it. The
// first call of a method whose name begins with End ends it: the method frees the
// slot and records the result at the endpoint. Further calls have no effect.
type Pick struct {
	Endpoint *Endpoint
	fleet    *Fleet
	finished bool
	// chosenAt is when the endpoint was chosen, the zero time once its response has begun.
	chosenAt time.Time
	// Load is the endpoint's estimated load when it was chosen. ReportAge is the age
	// of its last load report, NoReport if there was none.
	Load      int
	ReportAge time.Duration
	// StepTime is the duration of an engine step that its last load report named.
	StepTime time.Duration
	// RateLimit is the limit that the endpoint had named when it was chosen.
	RateLimit RateLimit
	// Expedited is set if the request was chosen before more urgent ones and the endpoint
	// must treat it as one of the most urgent.
	Expedited bool
	// Stalled is closed when the endpoint's group stalls, or waits for a slow endpoint in
	// each step; a request that may be retried
	// should then be sent to another endpoint.
	Stalled <-chan struct{}
	// Score is the cost at which the endpoint was chosen.
	Score placement.Score
	// demand is what the request asks of the endpoint; reading is set until its prompt is
	// known to be read. beginnings are those of its prompt that were recorded there.
	demand     placement.Demand
	reading    bool
	beginnings []placement.Beginning
}

// NoReport is the ReportAge of an endpoint that never reported its load.
const NoReport = -time.Millisecond

// decayedFailureRate returns the failure rate, reduced by the time since it was last
// updated.
func (ep *Endpoint) decayedFailureRate(now time.Time) float64 {
	if ep.failureRate == 0 {
		return 0
	}
	halfLives := float64(now.Sub(ep.failureRateAt)) / float64(failureHalfLife)
	return ep.failureRate / (1 + halfLives*halfLives)
}

// finish frees the slot, unless the pick has ended already.
func (p *Pick) finish(f func(ep *Endpoint, now time.Time)) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.finished {
		return
	}
	p.finished = true
	now := time.Now()
	p.Endpoint.inFlight--
	p.endWork(now)
	p.Endpoint.claims++
	if f != nil {
		f(p.Endpoint, now)
	}
	p.fleet.assignWaiting(p.Endpoint.Service)
}

// updateFailureRate adds one request to the moving average of failures. failed is 1
// for a failure, 0 for a success.
func (ep *Endpoint) updateFailureRate(failed float64, now time.Time) {
	rate := ep.decayedFailureRate(now)
	ep.failureRate = rate + failureWeight*(failed-rate)
	ep.failureRateAt = now
}

// EndSucceeded ends a request that got a complete and successful response.
func (p *Pick) EndSucceeded() {
	p.finish(func(ep *Endpoint, now time.Time) {
		ep.consecutiveFailures = 0
		ep.updateFailureRate(0, now)
	})
}

// RecordBegin records that the response begins.
func (p *Pick) RecordBegin() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if !p.chosenAt.IsZero() {
		p.fleet.queueOf(p.Endpoint.Service).control.Began(time.Since(p.chosenAt))
		p.chosenAt = time.Time{}
	}
}

// EndInconclusive ends a request whose result says nothing about the endpoint, such as
// one that the caller cancelled.
func (p *Pick) EndInconclusive() { p.finish(nil) }

// EndFailed ends a request to which the endpoint responded with an error status.
func (p *Pick) EndFailed() {
	p.finish(func(ep *Endpoint, now time.Time) { ep.updateFailureRate(1, now) })
}

// RecordSlowStart counts a failure of an endpoint that is slow to begin its response.
// The request continues.
func (p *Pick) RecordSlowStart() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if !p.finished {
		p.Endpoint.updateFailureRate(1, time.Now())
	}
}

// NextStall returns a channel that is closed the next time that the endpoint's group
// stalls.
func (p *Pick) NextStall() <-chan struct{} {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.Endpoint.stalled
}

// Leaving reports whether the endpoint drains, has said that it leaves or has left the
// store: it then ends without a crash.
func (p *Pick) Leaving() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.Endpoint.removed || p.Endpoint.Draining || p.Endpoint.notice != nil && p.Endpoint.notice.leaving
}

// ReportsHealthy reports whether the endpoint's last load report is recent and shows
// that it isn't stalled.
func (p *Pick) ReportsHealthy() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	ep, now := p.Endpoint, time.Now()
	return !ep.removed && ep.hasFreshReport(now) && !p.fleet.isSilent(ep, now) && !ep.report.Stalled
}

// EndUnusable ends a request to which the endpoint gave no usable response: it can't be
// reached, its response is incomplete or not the request's, or it depends on a failed
// rank.
func (p *Pick) EndUnusable() {
	p.finish(func(ep *Endpoint, now time.Time) {
		ep.updateFailureRate(1, now)
		ep.backoffUntil = now.Add(min(backoffMin<<min(ep.consecutiveFailures, 8), backoffMax))
		ep.consecutiveFailures++
	})
}

// EndMisdirected ends a request that reached another endpoint at the same address.
func (p *Pick) EndMisdirected() {
	p.finish(func(ep *Endpoint, now time.Time) { ep.backoffUntil = now.Add(backoffMax) })
}

// EndRejected ends a request that the endpoint didn't run because it has no free slot.
func (p *Pick) EndRejected() {
	p.finish(func(ep *Endpoint, now time.Time) {
		ep.backoffUntil = now.Add(rejectedBackoff)
	})
}

// rejectedBackoff is the backoff after a rejection for lack of capacity, about the time
// until a busy endpoint has a free slot.
const rejectedBackoff = 150 * time.Millisecond

// RecordLoad records the load that a response reported, unless the last report is less
// than a quarter of reportValidity old.
func (p *Pick) RecordLoad(l Load) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if time.Since(p.Endpoint.reportAt) > reportValidity/4 {
		p.fleet.applyLoad(p.Endpoint, l)
	}
}
