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

// defaultTimeout bounds a request whose service sets no time-out.
const defaultTimeout = 60 * time.Second

// maxRedirects is the number of other entries named in a redirect.
const maxRedirects = 5

var (
	errTimeout   = errors.New("the service's time-out has passed")
	errCancelled = errors.New("the caller cancelled the request")
)

// admit refuses work that this entry may not take, and starts the time-out.
func (p *Pipeline) admit(next handler) handler {
	return func(c *call) *failure {
		if f := p.mayTake(c.snap); f != nil {
			return f
		}
		p.budget.RecordRequest()
		end := p.start(c)
		defer end()
		if !p.running.add(c) {
			return own(api.KindConflict, "the request ID is in use by another organisation", "use another "+api.HeaderRequestID)
		}
		defer p.running.remove(c)
		return next(c)
	}
}

// mayTake checks this entry's own state.
func (p *Pipeline) mayTake(snap *control.Snapshot) *failure {
	const remedy = "use one of the listed entries, or ask /v1/resolve"
	now := p.Clock.Now()
	if p.closed.Load() {
		f := own(api.KindLeaving, "this entry is leaving", remedy)
		f.refusal.Entries = otherEntries(snap, now)
		return f
	}
	if snap.OutOfService(snap.Self) {
		f := own(api.KindZoneOut, fmt.Sprintf("zone %s or VM %s of this entry is taken out", snap.Self.Zone, snap.Self.VM), remedy)
		f.refusal.Entries = otherEntries(snap, now)
		return f
	}
	if !snap.Confirmed(now) {
		return unconfirmed()
	}
	return nil
}

func unconfirmed() *failure {
	return own(api.KindUnconfirmedView, "this entry's configuration has not been confirmed recently", "retry at another entry")
}

func otherEntries(snap *control.Snapshot, now time.Time) []api.ResolvedEntry {
	list := balance.Entries(snap, "", false, now)
	return list[:min(len(list), maxRedirects)]
}

// start sets the call's context. An order's execution does not end with the
// caller's connection, so that its answer can be given to a later attempt.
func (p *Pipeline) start(c *call) (end func()) {
	parent := c.r.Context()
	if c.order {
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

// ended returns the failure of a call whose context has ended.
func (c *call) ended() *failure {
	sent := own
	if c.maybeRan {
		sent = uncertain
	}
	switch context.Cause(c.ctx) {
	case errTimeout:
		return sent(api.KindTimeout, errTimeout.Error(), "retry, or ask operators for a longer timeout_ms")
	case errCancelled:
		return sent(api.KindCancelled, errCancelled.Error(), "send a new request if you still need the answer")
	}
	return sent(api.KindCancelled, "the caller closed the connection", "send the request again")
}
