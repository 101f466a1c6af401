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

// activeKey identifies one dispatch of a request by an entry.
type activeKey struct {
	request uint64
	attempt int
}

// running is a request between its arrival and its end.
type running struct {
	requestID string
	cancel    context.CancelCauseFunc
}

// Execute admits and runs one request and sends its frames. It returns when
// the answer has ended.
func (g *Gate) Execute(ctx context.Context, req *wire.ExecuteRequest, send SendFunc) {
	s := newStream(req, send)
	snap := g.cfg.View.Snapshot()
	isOrder, r := classify(req, snap.Services[g.cfg.Self.Service])
	if r == nil {
		r = g.validate(req, g.incarnation(snap))
	}
	switch {
	case r != nil:
		g.refuseForGood(s, r)
	case isOrder:
		g.executeOrder(ctx, req, s)
	default:
		g.executeRequest(ctx, req, s)
	}
}

// validate checks the envelope. The refusals of a valid order are made by the
// order table; an order that fails here is not closed in the table, so its
// outcome is unknown.
func (g *Gate) validate(req *wire.ExecuteRequest, incarnation uint64) *api.Refusal {
	refuse := api.NotRun
	if req.NonIdempotent {
		refuse = api.Unknown
	}
	switch {
	case req.RequestID == "":
		return refuse(api.KindBadRequest, "request_id is missing", "set request_id")
	case req.Service != g.cfg.Self.Service:
		return refuse(api.KindUnknownService, "this agent serves "+g.cfg.Self.Service+", not "+req.Service, useOther)
	case (req.Generate == nil) == (req.Call == nil):
		return refuse(api.KindBadRequest, "not exactly one of generate and call is set", "set one of them")
	case !req.NonIdempotent && req.ExpectIncarnation != 0 && req.ExpectIncarnation != incarnation:
		return refuse(api.KindNoEndpoint, "the agent has another incarnation than expected", useOther)
	}
	if req.Call != nil {
		if _, err := callTarget(req.Call); err != nil {
			return refuse(api.KindBadRequest, "the call's path is not valid: "+err.Error(), "give an absolute path")
		}
	}
	return nil
}

// incarnation returns the incarnation that the node announces. Control draws
// a new one when a peer knows of a later process with the same node ID.
func (g *Gate) incarnation(snap *control.Snapshot) uint64 {
	announced := snap.Self.Incarnation
	g.mu.Lock()
	changed := announced != 0 && announced != g.current
	if changed {
		g.current = announced
	}
	current := g.current
	g.mu.Unlock()
	if changed {
		g.cfg.OrderTable.Adopt(current)
	}
	return current
}

// classify reports whether the request is an order. A call that the bundle
// marks as non-idempotent is one whatever the envelope says.
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
	if svc == nil || req.Call == nil || !nonIdempotent(req.Call, svc.NonIdempotentPaths) {
		return false, nil
	}
	return true, api.NotRun(api.KindIdentityRequired, "the path is non-idempotent and the request is not marked as an order", "send an Idempotency-Key from /v1/resolve")
}

func nonIdempotent(call *wire.PlainCall, prefixes []string) bool {
	if call.Method == http.MethodGet || call.Method == http.MethodHead {
		return false
	}
	u, err := callTarget(call)
	if err != nil {
		return false // refused by validate
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
	ctx, done, r := g.activate(ctx, req)
	if r != nil {
		g.refuse(s, r)
		return
	}
	defer done()
	sl, r := g.admit(ctx, req)
	if r != nil {
		g.refuseForGood(s, r)
		return
	}
	if r := g.checkHandOver(ctx); r != nil {
		g.release(sl, result{unsent: true})
		g.refuseForGood(s, r)
		return
	}
	g.logAdmitted(req)
	res := g.run(ctx, req, s, sl)
	g.release(sl, res)
	g.finish(s, res)
}

// run hands the request to the endpoint.
func (g *Gate) run(ctx context.Context, req *wire.ExecuteRequest, s *stream, sl *slot) result {
	if err := s.accepted(g.occupancy()); err != nil {
		return result{unsent: true, refusal: api.NotRun(api.KindCancelled, "the entry is gone", "none")}
	}
	if req.Generate != nil {
		return g.runModel(ctx, req, s, sl)
	}
	return g.runPlain(ctx, g.client, req, s, sl)
}

// finish ends the answer. Only a whole answer gets an end frame.
func (g *Gate) finish(s *stream, res result) {
	switch {
	case res.refusal == nil:
		_ = s.end(res.reason) // the entry is gone if this fails
	case res.unsent:
		g.refuseForGood(s, res.refusal)
	default:
		g.refuse(s, res.refusal)
	}
}

// withDeadline bounds ctx by the deadline of a request; 0 means the time-out
// of the service.
func (g *Gate) withDeadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if d <= 0 {
		d = g.timeout()
	}
	return clockwork.WithTimeout(ctx, g.cfg.Clock, d)
}

// activate registers the request for cancellation. A request that was refused
// before, or that is a duplicate of a running one, is refused.
func (g *Gate) activate(ctx context.Context, req *wire.ExecuteRequest) (context.Context, func(), *api.Refusal) {
	key := activeKey{request: closedKey(req), attempt: req.Attempt}
	ctx, cancel := context.WithCancelCause(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed.contains(req) {
		cancel(nil)
		return nil, nil, api.NotRun(api.KindConflict, "the request was refused before and is closed", "send it as a new request")
	}
	if g.active[key] != nil {
		cancel(nil)
		return nil, nil, api.Unknown(api.KindConflict, "the same attempt of the request is running", "wait for its answer")
	}
	g.active[key] = &running{requestID: req.RequestID, cancel: cancel}
	done := func() {
		cancel(nil)
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.active, key)
	}
	return ctx, done, nil
}

// Cancel stops queued and running requests with the ID; it reports whether
// there was one. A running order is not stopped.
func (g *Gate) Cancel(requestID string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	found := false
	for _, r := range g.active {
		if r.requestID == requestID {
			r.cancel(errCancelled)
			found = true
		}
	}
	return found
}

// refuseForGood closes the request and refuses it. If it cannot be closed, the
// outcome is unknown, since a late duplicate could run.
func (g *Gate) refuseForGood(s *stream, r *api.Refusal) {
	g.mu.Lock()
	closed := g.closed.add(s.req)
	g.mu.Unlock()
	if !closed {
		copied := *r
		copied.Outcome = api.OutcomeUnknown
		r = &copied
	}
	g.refuse(s, r)
}

func (g *Gate) refuse(s *stream, r *api.Refusal) {
	limit, inFlight := g.occupancy()
	refusedByKind.Add(string(r.Kind), 1)
	g.cfg.Log.Info("refused", "request_id", s.req.RequestID, "attempt", s.req.Attempt, "organisation", s.req.Organisation,
		"kind", r.Kind, "outcome", r.Outcome, "reason", r.Message)
	s.refused(r, limit, inFlight)
}

func (g *Gate) logAdmitted(req *wire.ExecuteRequest) {
	limit, inFlight := g.occupancy()
	admitted.Add(1)
	g.cfg.Log.Info("admitted", "request_id", req.RequestID, "attempt", req.Attempt, "organisation", req.Organisation,
		"reason", "a slot is free", "limit", limit, "in_flight", inFlight)
}

func (g *Gate) occupancy() (limit, inFlight int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit.current, len(g.slots) + g.endpoint.foreign
}
