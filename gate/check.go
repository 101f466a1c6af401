package gate

import (
	"context"
	"errors"
	"fmt"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/control"
)

// errCancelled is the cause of a context ended by a cancel request.
var errCancelled = errors.New("cancelled by the caller")

const useOther = "send the request to another endpoint"

// checkArrival refuses new work that the gate would not hand over.
func (g *Gate) checkArrival(snap *control.Snapshot) *api.Refusal {
	const retryAfterMS = 500
	if g.leaving {
		return api.NotRun(api.KindLeaving, "the agent is leaving", useOther)
	}
	if r := g.checkView(snap); r != nil {
		return r
	}
	if snap.Services[g.cfg.Self.Service] == nil {
		return api.NotRun(api.KindUnknownService, fmt.Sprintf("service %q is not in the bundle", g.cfg.Self.Service), "name a service of the bundle in force")
	}
	if !g.endpoint.ready {
		r := api.NotRun(api.KindNoEndpoint, g.endpoint.why(), useOther)
		r.RetryAfterMS = retryAfterMS
		return r
	}
	return nil
}

// checkView is the zone gate. It is applied on arrival and again directly
// before the hand-over, on the monotonic clock, so that a process that was
// frozen cannot hand over work on an old view.
func (g *Gate) checkView(snap *control.Snapshot) *api.Refusal {
	switch {
	case snap.Bundle == nil:
		return api.NotRun(api.KindNoBundle, "no signed bundle has been accepted yet", "retry later, or roll out a bundle")
	case snap.OutOfService(g.cfg.Self):
		return api.NotRun(api.KindZoneOut, fmt.Sprintf("zone %s or VM %s is taken out", g.cfg.Self.Zone, g.cfg.Self.VM), "send the request to an endpoint in another zone")
	case !snap.Confirmed(g.cfg.Clock.Now()):
		return api.NotRun(api.KindUnconfirmedView, "the agent's view of the configuration is not confirmed", useOther)
	}
	return nil
}

// checkHandOver is the last check before a request is sent to the endpoint.
func (g *Gate) checkHandOver(ctx context.Context) *api.Refusal {
	if ctx.Err() != nil {
		return endedWhileQueued(ctx)
	}
	return g.checkView(g.cfg.View.Snapshot())
}

// endedWhileQueued returns the refusal of a request whose context ended before
// the hand-over.
func endedWhileQueued(ctx context.Context) *api.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return api.NotRun(api.KindTimeout, "the deadline passed while the request was queued", "retry with a longer deadline")
	}
	return api.NotRun(api.KindCancelled, "the request was cancelled while it was queued", "none")
}

// endedWhileRunning returns the refusal of a request whose context ended after
// the hand-over.
func endedWhileRunning(ctx context.Context) *api.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return api.Unknown(api.KindTimeout, "the deadline passed while the request was running", "retry with a longer deadline")
	}
	return api.Unknown(api.KindCancelled, "the request was cancelled while it was running", "none")
}

func endpointFailed(message string) *api.Refusal {
	return api.Unknown(api.KindEndpointFailed, message, "retry on another endpoint if the request may be repeated")
}
