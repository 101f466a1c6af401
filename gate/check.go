package gate

import (
	"context"
	"errors"
	"fmt"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/control"
)

// errCancelled is the cancellation cause of a context ended by a cancel request.
var errCancelled = errors.New("cancelled by the caller")

// remedyOtherEndpoint is the remedy of refusals that hold for this endpoint only.
const remedyOtherEndpoint = "send the request to another endpoint"

// checkArrival returns a refusal if the gate would not send new work to the endpoint.
// The caller holds g.mu.
func (g *Gate) checkArrival(snap *control.Snapshot) *api.Refusal {
	const retryAfterMS = 500
	if g.admissionStopped {
		return api.NotRun(api.KindLeaving, "the agent is leaving", remedyOtherEndpoint)
	}
	if r := g.checkView(snap); r != nil {
		return r
	}
	if snap.Services[g.cfg.Self.Service] == nil {
		return api.NotRun(api.KindUnknownService, fmt.Sprintf("service %q is not in the bundle", g.cfg.Self.Service), "name a service of the bundle in force")
	}
	if !g.endpoint.ready {
		r := api.NotRun(api.KindNoEndpoint, g.endpoint.notReadyReason(), remedyOtherEndpoint)
		r.RetryAfterMS = retryAfterMS
		return r
	}
	return nil
}

// checkView returns a refusal if there is no bundle, the zone or VM is out of
// service, or the view of the configuration is not confirmed. It is applied on
// arrival and again directly before a request is sent to the endpoint, on the
// monotonic clock, so that a process that was frozen cannot send work on the
// basis of an outdated view.
func (g *Gate) checkView(snap *control.Snapshot) *api.Refusal {
	switch {
	case snap.Bundle == nil:
		return api.NotRun(api.KindNoBundle, "no signed bundle has been accepted yet", "retry later, or roll out a bundle")
	case snap.OutOfService(g.cfg.Self):
		return api.NotRun(api.KindZoneOut, fmt.Sprintf("zone %s or VM %s is taken out", g.cfg.Self.Zone, g.cfg.Self.VM), "send the request to an endpoint in another zone")
	case !snap.Confirmed(g.cfg.Clock.Now()):
		return api.NotRun(api.KindUnconfirmedView, "the agent's view of the configuration is not confirmed", remedyOtherEndpoint)
	}
	return nil
}

// checkBeforeSend is the last check before a request is sent to the endpoint.
func (g *Gate) checkBeforeSend(ctx context.Context) *api.Refusal {
	if ctx.Err() != nil {
		return endedWhileQueued(ctx)
	}
	return g.checkView(g.cfg.View.Snapshot())
}

// endedWhileQueued returns the refusal of a request whose context ended before
// it was sent to the endpoint.
func endedWhileQueued(ctx context.Context) *api.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return api.NotRun(api.KindTimeout, "the deadline passed while the request was queued", "retry with a longer deadline")
	}
	return api.NotRun(api.KindCancelled, "the request was cancelled while it was queued", "none")
}

// endedWhileRunning returns the refusal of a request whose context ended after
// it was sent to the endpoint.
func endedWhileRunning(ctx context.Context) *api.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return api.Unknown(api.KindTimeout, "the deadline passed while the request was running", "retry with a longer deadline")
	}
	return api.Unknown(api.KindCancelled, "the request was cancelled while it was running", "none")
}

func endpointFailed(message string) *api.Refusal {
	return api.Unknown(api.KindEndpointFailed, message, "retry on another endpoint if the request may be repeated")
}
