package gate

import (
	"context"
	"net/http"
	"net/url"
	"path"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/wire"
)

// attemptKey identifies one attempt of an entry to execute a request.
type attemptKey struct {
	requestHash uint64
	attempt     int
}

// activeRequest is a queued or running request.
type activeRequest struct {
	requestID string
	cancel    context.CancelCauseFunc
}

// Execute admits and runs one request and sends the frames of its response.
// It returns when the response has ended.
func (g *Gate) Execute(ctx context.Context, req *wire.ExecuteRequest, send SendFunc) {
	s := newStream(req, send)
	snap := g.cfg.View.Snapshot()
	isOrder, r := classify(req, snap.Services[g.cfg.Self.Service])
	if r == nil {
		r = g.validateEnvelope(req, g.incarnation(snap))
	}
	switch {
	case r != nil:
		g.refusePermanently(s, r)
	case isOrder:
		g.executeOrder(ctx, req, s)
	default:
		g.executeRequest(ctx, req, s)
	}
}

// validateEnvelope checks the fields around the call or prompt. Valid orders are
// refused through the order table only, which records the refusal. An order that
// fails here is not recorded there, so its outcome is unknown.
func (g *Gate) validateEnvelope(req *wire.ExecuteRequest, incarnation uint64) *api.Refusal {
	refuse := api.NotRun
	if req.NonIdempotent {
		refuse = api.Unknown
	}
	switch {
	case req.RequestID == "":
		return refuse(api.KindBadRequest, "request_id is missing", "set request_id")
	case req.Service != g.cfg.Self.Service:
		return refuse(api.KindUnknownService, "this agent serves "+g.cfg.Self.Service+", not "+req.Service, remedyOtherEndpoint)
	case (req.Generate == nil) == (req.Call == nil):
		return refuse(api.KindBadRequest, "not exactly one of generate and call is set", "set one of them")
	case !req.NonIdempotent && req.ExpectIncarnation != 0 && req.ExpectIncarnation != incarnation:
		return refuse(api.KindNoEndpoint, "the agent has another incarnation than expected", remedyOtherEndpoint)
	}
	if req.Call != nil {
		if _, err := callTarget(req.Call); err != nil {
			return refuse(api.KindBadRequest, "the call's path is not valid: "+err.Error(), "give an absolute path")
		}
	}
	return nil
}

// incarnation returns the incarnation that the node announces, and passes a
// new one on to the order table. Package control chooses a new one when a peer
// knows of a later process with the same node ID.
func (g *Gate) incarnation(snap *control.Snapshot) uint64 {
	announced := snap.Self.Incarnation
	g.mu.Lock()
	changed := announced != 0 && announced != g.announcedIncarnation
	if changed {
		g.announcedIncarnation = announced
	}
	current := g.announcedIncarnation
	g.mu.Unlock()
	if changed {
		g.cfg.OrderTable.AddIncarnation(current)
	}
	return current
}

// classify reports whether the request is an order. A call to a path that the
// bundle lists as non-idempotent is an order, and is refused if it is not
// marked as one.
func classify(req *wire.ExecuteRequest, svc *bundle.Service) (bool, *api.Refusal) {
	if req.NonIdempotent {
		if req.Identity == "" {
			return true, api.NotRun(api.KindIdentityRequired, "an order needs an identity", "send an Idempotency-Key from /v1/resolve")
		}
		if req.Call == nil {
			return true, api.Unknown(api.KindBadRequest, "an order needs a call", "set call")
		}
		return true, nil
	}
	if svc == nil || req.Call == nil || !isNonIdempotent(req.Call, svc.NonIdempotentPaths) {
		return false, nil
	}
	return true, api.NotRun(api.KindIdentityRequired, "the path is non-idempotent and the request is not marked as an order", "send an Idempotency-Key from /v1/resolve")
}

// isNonIdempotent reports whether the method is neither GET nor HEAD and the
// cleaned path begins with one of the prefixes.
func isNonIdempotent(call *wire.PlainCall, prefixes []string) bool {
	if call.Method == http.MethodGet || call.Method == http.MethodHead {
		return false
	}
	u, err := callTarget(call)
	if err != nil {
		return false // refused by validateEnvelope
	}
	clean := path.Clean("/" + u.Path)
	for _, p := range prefixes {
		if strings.HasPrefix(clean, p) || strings.HasPrefix(clean+"/", p) {
			return true
		}
	}
	return false
}

// callTarget parses the path and query of a plain call.
func callTarget(call *wire.PlainCall) (*url.URL, error) {
	return url.ParseRequestURI("/" + strings.TrimLeft(call.Path, "/"))
}

func (g *Gate) executeRequest(ctx context.Context, req *wire.ExecuteRequest, s *stream) {
	ctx, cancel := g.withDeadline(ctx, time.Duration(req.DeadlineMS)*time.Millisecond)
	defer cancel()
	ctx, done, r := g.registerActive(ctx, req)
	if r != nil {
		g.refuse(s, r)
		return
	}
	defer done()
	sl, r := g.admit(ctx, req)
	if r != nil {
		g.refusePermanently(s, r)
		return
	}
	if r := g.checkBeforeSend(ctx); r != nil {
		g.releaseSlot(sl, requestResult{unsent: true})
		g.refusePermanently(s, r)
		return
	}
	g.logAdmitted(req)
	res := g.runAtEndpoint(ctx, req, s, sl)
	g.releaseSlot(sl, res)
	g.endStream(s, res)
}

// runAtEndpoint sends the request to the endpoint and relays the response.
func (g *Gate) runAtEndpoint(ctx context.Context, req *wire.ExecuteRequest, s *stream, sl *slot) requestResult {
	if err := s.accepted(g.occupancy()); err != nil {
		return requestResult{unsent: true, refusal: api.NotRun(api.KindCancelled, "the entry is gone", "none")}
	}
	if req.Generate != nil {
		return g.runModel(ctx, req, s, sl)
	}
	return g.runPlain(ctx, g.callClient, req, s, sl)
}

// endStream sends the last frame: an end frame after a complete response or a
// cancellation, else a refused frame.
func (g *Gate) endStream(s *stream, res requestResult) {
	switch {
	case res.refusal == nil:
		_ = s.end(res.endReason) // fails only if the entry is unreachable
	case res.unsent:
		g.refusePermanently(s, res.refusal)
	default:
		g.refuse(s, res.refusal)
	}
}

// withDeadline bounds ctx by the deadline of a request; 0 means the timeout
// of the service.
func (g *Gate) withDeadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if d <= 0 {
		d = g.timeout()
	}
	return clockwork.WithTimeout(ctx, g.cfg.Clock, d)
}

// registerActive registers the request, so that Cancel finds it, and returns
// its context and a function that removes it. A request that was refused
// before, or that duplicates an active one, is refused.
func (g *Gate) registerActive(ctx context.Context, req *wire.ExecuteRequest) (context.Context, func(), *api.Refusal) {
	key := attemptKey{requestHash: requestKey(req), attempt: req.Attempt}
	ctx, cancel := context.WithCancelCause(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refused.contains(req) {
		cancel(nil)
		return nil, nil, api.NotRun(api.KindConflict, "the request was refused before and is closed", "send it as a new request")
	}
	if g.activeRequests[key] != nil {
		cancel(nil)
		return nil, nil, api.Unknown(api.KindConflict, "the same attempt of the request is running", "wait for its answer")
	}
	g.activeRequests[key] = &activeRequest{requestID: req.RequestID, cancel: cancel}
	done := func() {
		cancel(nil)
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.activeRequests, key)
	}
	return ctx, done, nil
}

// Cancel stops the queued and running requests with the ID and reports whether
// there were any. A running order is not stopped.
func (g *Gate) Cancel(requestID string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	found := false
	for _, r := range g.activeRequests {
		if r.requestID == requestID {
			r.cancel(errCancelled)
			found = true
		}
	}
	return found
}

// refusePermanently refuses the request and records it, so that duplicates are
// refused as well. If it cannot be recorded, the outcome is unknown, since a
// late duplicate could run.
func (g *Gate) refusePermanently(s *stream, r *api.Refusal) {
	g.mu.Lock()
	recorded := g.refused.add(s.req)
	g.mu.Unlock()
	if !recorded {
		copied := *r
		copied.Outcome = api.OutcomeUnknown
		r = &copied
	}
	g.refuse(s, r)
}

func (g *Gate) refuse(s *stream, r *api.Refusal) {
	limit, inFlight := g.occupancy()
	refusedRequestsByKind.Add(string(r.Kind), 1)
	g.cfg.Log.Info("Request refused.", "request_id", s.req.RequestID, "attempt", s.req.Attempt, "organisation", s.req.Organisation,
		"kind", r.Kind, "outcome", r.Outcome, "reason", r.Message)
	s.refused(r, limit, inFlight)
}

func (g *Gate) logAdmitted(req *wire.ExecuteRequest) {
	limit, inFlight := g.occupancy()
	admittedRequests.Add(1)
	g.cfg.Log.Info("Request admitted.", "request_id", req.RequestID, "attempt", req.Attempt, "organisation", req.Organisation,
		"reason", "a slot is free", "limit", limit, "in_flight", inFlight)
}

// occupancy returns the concurrency limit and the number of requests at the endpoint.
func (g *Gate) occupancy() (limit, inFlight int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit.current, len(g.slots) + g.endpoint.unaccounted
}
