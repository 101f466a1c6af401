package pipeline

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/balance"
	"github.com/wasabinotch/wasabinotch/control"
)

// defaultTimeout bounds a request whose service sets no timeout.
const defaultTimeout = 60 * time.Second

// maxRedirects bounds the number of other entries listed in a refusal.
const maxRedirects = 5

var (
	errTimeout   = errors.New("the service's time-out has passed")
	errCancelled = errors.New("the caller cancelled the request")
)

// admit refuses calls that this entry may not accept, and starts the timeout of
// the others.
func (p *Pipeline) admit(next handler) handler {
	return func(c *call) *failure {
		if f := p.checkAdmission(c.snap); f != nil {
			return f
		}
		p.budget.RecordRequest()
		endCall := p.startContext(c)
		defer endCall()
		if !p.running.add(c) {
			return notStarted(api.KindConflict, "the request ID is in use by another organisation", "use another "+api.HeaderRequestID)
		}
		defer p.running.remove(c)
		return next(c)
	}
}

// checkAdmission returns a failure if this entry admits no new calls, is out of
// service, or has no confirmed view.
func (p *Pipeline) checkAdmission(snap *control.Snapshot) *failure {
	const remedy = "use one of the listed entries, or ask /v1/resolve"
	now := p.Clock.Now()
	if p.admissionStopped.Load() {
		f := notStarted(api.KindLeaving, "this entry is leaving", remedy)
		f.refusal.Entries = otherEntries(snap, now)
		return f
	}
	if snap.OutOfService(snap.Self) {
		f := notStarted(api.KindZoneOut, fmt.Sprintf("zone %s or VM %s of this entry is taken out", snap.Self.Zone, snap.Self.VM), remedy)
		f.refusal.Entries = otherEntries(snap, now)
		return f
	}
	if !snap.Confirmed(now) {
		return unconfirmedView()
	}
	return nil
}

func unconfirmedView() *failure {
	return notStarted(api.KindUnconfirmedView, "this entry's configuration has not been confirmed recently", "retry at another entry")
}

func otherEntries(snap *control.Snapshot, now time.Time) []api.ResolvedEntry {
	list := balance.Entries(snap, "", false, now)
	return list[:min(len(list), maxRedirects)]
}

// startContext sets the call's context and starts its timeout. The execution of
// an order does not end with the caller's connection, so that a later attempt
// can get the response.
func (p *Pipeline) startContext(c *call) (end func()) {
	parent := c.r.Context()
	if c.isOrder {
		parent = context.WithoutCancel(parent)
	}
	timeout := time.Duration(c.service.TimeoutMS) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	timed, stop := context.WithTimeoutCause(parent, timeout, errTimeout)
	c.ctx, c.cancel = context.WithCancelCause(timed)
	return func() {
		c.cancel(nil)
		stop()
	}
}

// contextFailure returns the failure of a call whose context has ended.
func (c *call) contextFailure() *failure {
	newFailure := notStarted
	if c.mayHaveRun {
		newFailure = uncertain
	}
	switch context.Cause(c.ctx) {
	case errTimeout:
		return newFailure(api.KindTimeout, errTimeout.Error(), "retry, or ask operators for a longer timeout_ms")
	case errCancelled:
		return newFailure(api.KindCancelled, errCancelled.Error(), "send a new request if you still need the answer")
	}
	return newFailure(api.KindCancelled, "the caller closed the connection", "send the request again")
}
