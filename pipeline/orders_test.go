package pipeline

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	issuedIdentity = "o1.agent-0.7.1.x"
	firstAttempt   = "Wasabinotch-Attempt: 1"
	secondAttempt  = "Wasabinotch-Attempt: 2"
)

func abortAfterAccept(_ *wire.ExecuteRequest, f *frameSender) {
	f.accept()
	f.abort()
}

var refuseNotRun = refuseWith(api.NotRun(api.KindOverloaded, "full", "retry"))

func (e *env) editAgent(id string, edit func(*control.Endpoint)) {
	e.update(func(s *control.Snapshot) {
		ep := *s.AgentByID[id]
		edit(&ep)
		agents := map[string]*control.Endpoint{}
		for name, other := range s.AgentByID {
			agents[name] = other
		}
		agents[id] = &ep
		s.AgentByID = agents
		// As in the control loop, only ready agents are listed as endpoints.
		services := map[string][]*control.Endpoint{}
		for _, other := range agents {
			if other.Node.State == wire.StateReady {
				services[other.Node.Service] = append(services[other.Node.Service], other)
			}
		}
		s.Endpoints = services
	})
}

// Guards against an order with an issued identity running at another agent than
// the bound one, and against a missing incarnation check.
func TestIssuedOrderGoesToItsAgent(t *testing.T) {
	is := is.New(t)
	e := newEnv(t, "desk", respondOK, respondOK, respondOK)
	for range 5 {
		is.Equal(e.order(issuedIdentity, firstAttempt).status, 201)
	}
	is.Equal(len(e.agents[0].requests()), 5)
	is.Equal(e.executeCount(), 5)
	req := e.agents[0].requests()[0]
	is.Equal(req.ExpectIncarnation, uint64(incarnation))
	is.Equal(req.Identity, issuedIdentity)
	is.True(req.NonIdempotent)
	is.True(req.DeadlineMS > 4000 && req.DeadlineMS <= 4900) // of 5 s: the agent responds first
}

// Guards against a wrong outcome of an order: "not run" although an earlier
// attempt may have run it, or "unknown" although nothing was sent.
func TestOrderOutcome(t *testing.T) {
	replaced := func(e *env) { e.editAgent("agent-0", func(ep *control.Endpoint) { ep.Node.Incarnation++ }) }
	leaving := func(e *env) { e.editAgent("agent-0", func(ep *control.Endpoint) { ep.Node.State = wire.StateLeaving }) }
	unreachable := func(e *env) { e.agents[0].server.Close() }
	staleView := func(e *env) { e.update(func(s *control.Snapshot) { s.ConfirmedAt = time.Time{} }) }
	unchanged := func(*env) {}
	// replacement is the script of an agent whose incarnation has changed. It
	// would run an order that expects the new incarnation.
	replacement := func(req *wire.ExecuteRequest, f *frameSender) {
		if req.ExpectIncarnation != incarnation {
			respondOK(req, f)
			return
		}
		f.refuse(api.Unknown(api.KindIdentityClosed, "not handed over", "x"))
	}
	for name, c := range map[string]struct {
		script   func(*wire.ExecuteRequest, *frameSender)
		prepare  func(*env)
		attempt  string
		want     api.Outcome
		executed int
	}{
		"agent replaced, first attempt":             {respondOK, replaced, firstAttempt, api.OutcomeNotRun, 0},
		"agent replaced, second attempt":            {replacement, replaced, secondAttempt, api.OutcomeUnknown, maxOutcomeRounds},
		"agent replaced, attempt not stated":        {replacement, replaced, "X-None: 1", api.OutcomeUnknown, maxOutcomeRounds},
		"agent leaving, first attempt":              {respondOK, leaving, firstAttempt, api.OutcomeNotRun, 0},
		"no connection, first attempt":              {respondOK, unreachable, firstAttempt, api.OutcomeNotRun, 0},
		"no connection, second attempt":             {respondOK, unreachable, secondAttempt, api.OutcomeUnknown, 0},
		"unconfirmed view, first attempt":           {respondOK, staleView, firstAttempt, api.OutcomeNotRun, 0},
		"unconfirmed view, second attempt":          {respondOK, staleView, secondAttempt, api.OutcomeUnknown, 0},
		"closed by the agent":                       {refuseNotRun, unchanged, secondAttempt, api.OutcomeNotRun, 1},
		"connection lost after sending":             {abortAfterAccept, unchanged, firstAttempt, api.OutcomeUnknown, maxOutcomeRounds},
		"unknown reported by the agent":             {refuseWith(api.Unknown(api.KindEndpointFailed, "x", "y")), unchanged, firstAttempt, api.OutcomeUnknown, 1},
		"closed by a leaving agent, second attempt": {refuseNotRun, leaving, secondAttempt, api.OutcomeNotRun, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEnv(t, "desk", c.script)
			c.prepare(e)
			got := e.order(issuedIdentity, c.attempt)
			is.Equal(got.refusal.Outcome, c.want)
			is.Equal(e.executeCount(), c.executed)
		})
	}
}

// Guards against an unknown outcome when the response was lost but the agent
// still has it.
func TestOrderRetriedAfterLostResponse(t *testing.T) {
	is := is.New(t)
	executions := 0
	e := newEnv(t, "desk", func(req *wire.ExecuteRequest, f *frameSender) {
		executions++
		if executions == 1 {
			abortAfterAccept(req, f)
		}
		respondOK(req, f)
	}, respondOK)
	got := e.order(issuedIdentity, firstAttempt)
	is.Equal(got.body, "ran /orders")
	is.Equal(len(e.agents[1].requests()), 0)
}

// Guards against a lost outcome after a planned stop, and against a successor
// that could take the outcome request for a new order.
func TestOrderAsksSuccessors(t *testing.T) {
	is := is.New(t)
	unknown := refuseWith(api.Unknown(api.KindIdentityClosed, "not handed over", "x"))
	e := newEnv(t, "desk", respondOK, unknown, respondOK)
	e.agents[0].server.Close()
	e.editAgent("agent-0", func(ep *control.Endpoint) {
		ep.Node.State = wire.StateLeaving
		ep.Node.Heirs = []string{"agent-1", "agent-2"}
	})
	got := e.order(issuedIdentity, secondAttempt)
	is.Equal(got.status, 201)
	successor := e.agents[2].requests()[0]
	is.Equal(successor.ExpectIncarnation, uint64(incarnation)) // of agent-0: a successor may only respond from known outcomes
	is.Equal(len(e.agents[1].requests()), 1)
}

// Guards against a lost outcome once the stopped agent's record is replaced by
// that of the next agent on the same VM.
func TestOrderAsksServiceAfterReplacement(t *testing.T) {
	is := is.New(t)
	unknown := refuseWith(api.Unknown(api.KindIdentityClosed, "not handed over", "x"))
	e := newEnv(t, "desk", unknown, unknown, respondOK)
	e.editAgent("agent-0", func(ep *control.Endpoint) { ep.Node.Incarnation++ })
	is.Equal(e.order(issuedIdentity, secondAttempt).status, 201)
	is.Equal(e.agents[2].requests()[0].ExpectIncarnation, uint64(incarnation))
	is.Equal(e.order(issuedIdentity, firstAttempt).refusal.Kind, api.KindIdentityClosed)
}

// Guards against a key that the caller chose being bound to a second agent
// although the first one has not reported that it did not run the order.
func TestCallerKeyRebindsOnlyIfNotRun(t *testing.T) {
	unknown := refuseWith(api.Unknown(api.KindEndpointFailed, "x", "y"))
	for name, c := range map[string]struct {
		script func(*wire.ExecuteRequest, *frameSender)
		rebind int
		want   api.Outcome
	}{
		"closed":          {refuseNotRun, 1, api.OutcomeNotRun},
		"unknown":         {unknown, 0, api.OutcomeUnknown},
		"connection lost": {abortAfterAccept, 0, api.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEnv(t, "desk", c.script, c.script)
			got := e.order("e1.mine", firstAttempt)
			is.Equal(got.refusal.Outcome, c.want)
			is.Equal(e.binder.rebinds, c.rebind)
			agentsAsked := 0
			for _, a := range e.agents {
				agentsAsked += min(1, len(a.requests()))
			}
			is.Equal(agentsAsked, c.rebind+1)
		})
	}
}

// Guards against "not run" for a key that another attempt had bound, although
// the caller states a first attempt, and against a new binding for that key.
func TestCallerKeyBoundElsewhere(t *testing.T) {
	is := is.New(t)
	unknown := refuseWith(api.Unknown(api.KindIdentityClosed, "not handed over", "x"))
	e := newEnv(t, "desk", unknown, unknown)
	removedAgent := order.Binding{AgentID: "agent-9", Incarnation: 1}
	key := order.Identity{Organisation: "batinah", Raw: "e1.mine"}.ScopedKey()
	e.binder.bound[key] = removedAgent
	is.Equal(e.order("e1.mine", firstAttempt).refusal.Outcome, api.OutcomeUnknown)
	is.Equal(e.binder.bound[key], removedAgent)
	is.Equal(e.binder.rebinds, 0)
	for _, a := range e.agents {
		for _, req := range a.requests() { // agents run no order of another incarnation
			is.Equal(req.ExpectIncarnation, removedAgent.Incarnation)
		}
	}
	e.binder.err = api.NotRun(api.KindStoreUnavailable, "store is down", "retry")
	is.Equal(e.order("e1.new", firstAttempt).refusal.Outcome, api.OutcomeNotRun)
	is.Equal(e.order("e1.new", secondAttempt).refusal.Outcome, api.OutcomeUnknown)
}

// Guards against an order being sent to an agent on a view that became outdated
// after admission, as in a process that was suspended in between.
func TestHandOverChecksTheView(t *testing.T) {
	is := is.New(t)
	e := newEnv(t, "desk", respondOK)
	e.binder.onBind = func() { e.update(func(s *control.Snapshot) { s.ConfirmedAt = time.Now().Add(-4 * time.Second) }) }
	got := e.order("e1.mine", firstAttempt)
	is.Equal(got.refusal.Kind, api.KindUnconfirmedView)
	is.Equal(got.refusal.Outcome, api.OutcomeNotRun)
	is.Equal(e.executeCount(), 0)
}

// Guards against an order that ends with its caller's connection. The agent
// must be able to give the response to a later attempt.
func TestOrderOutlivesItsCaller(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	ended := make(chan error, 1)
	e := newEnv(t, "desk", func(req *wire.ExecuteRequest, f *frameSender) {
		f.accept()
		close(started)
		<-release
		ended <- f.r.Context().Err()
		f.send(wire.Frame{Kind: wire.FrameHead, Status: 201})
		f.send(wire.Frame{Kind: wire.FrameEnd})
	})
	conn := e.dial(t, "POST /v1/call/desk/orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+
		"\r\nIdempotency-Key: "+issuedIdentity+"\r\nContent-Length: 0\r\n\r\n")
	<-started
	is.NoErr(conn.Close())
	time.Sleep(50 * time.Millisecond) // for the entry to see the closed connection
	close(release)
	is.NoErr(<-ended)
	is.Equal(e.agents[0].cancelCount(), 0)
}

// Guards against an interrupted large response that looks complete to the
// caller.
func TestLargeResponseIsCut(t *testing.T) {
	is := is.New(t)
	e := newEnv(t, "desk", func(_ *wire.ExecuteRequest, f *frameSender) {
		f.accept()
		f.send(wire.Frame{Kind: wire.FrameHead, Status: 200})
		f.send(wire.Frame{Kind: wire.FrameData, Data: []byte(strings.Repeat("x", maxHeldBytes+1))})
		f.abort()
	})
	got := e.do("GET", "/v1/call/desk/x", "")
	is.Equal(got.status, 200)
	is.True(got.err != nil)
	is.Equal(e.executeCount(), 1)
}
