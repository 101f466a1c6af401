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
	issued = "o1.agent-0.7.1.x"
	first  = "Wasabinotch-Attempt: 1"
	second = "Wasabinotch-Attempt: 2"
)

func dies(_ *wire.ExecuteRequest, f *frames) {
	f.accept()
	f.die()
}

var closes = refuseWith(api.NotRun(api.KindOverloaded, "full", "retry"))

func (g *rig) editAgent(id string, edit func(*control.Endpoint)) {
	g.change(func(s *control.Snapshot) {
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

// Guards against an issued order running at any agent but the bound one,
// and against a lost incarnation check.
func TestIssuedOrderGoesToItsAgent(t *testing.T) {
	is := is.New(t)
	g := newRig(t, "desk", callOK, callOK, callOK)
	for range 5 {
		is.Equal(g.order(issued, first).status, 201)
	}
	is.Equal(len(g.agents[0].requests()), 5)
	is.Equal(g.executed(), 5)
	rq := g.agents[0].requests()[0]
	is.Equal(rq.ExpectIncarnation, uint64(incarnation))
	is.Equal(rq.Identity, issued)
	is.True(rq.NonIdempotent)
	is.True(rq.DeadlineMS > 4000 && rq.DeadlineMS <= 4900) // of 5 s: the agent answers first
}

// Guards against the wrong outcome of an order: "not run" although an earlier
// attempt may have run it, or "unknown" although nothing was sent.
func TestOrderOutcome(t *testing.T) {
	gone := func(g *rig) { g.editAgent("agent-0", func(ep *control.Endpoint) { ep.Node.Incarnation++ }) }
	leaving := func(g *rig) { g.editAgent("agent-0", func(ep *control.Endpoint) { ep.Node.State = wire.StateLeaving }) }
	stopped := func(g *rig) { g.agents[0].server.Close() }
	old := func(g *rig) { g.change(func(s *control.Snapshot) { s.ConfirmedAt = time.Time{} }) }
	none := func(*rig) {}
	// other is an agent asked about an order of another incarnation; it would
	// run one that names its own.
	other := func(rq *wire.ExecuteRequest, f *frames) {
		if rq.ExpectIncarnation != incarnation {
			callOK(rq, f)
			return
		}
		f.refuse(api.Unknown(api.KindIdentityClosed, "not handed over", "x"))
	}
	for name, c := range map[string]struct {
		script   func(*wire.ExecuteRequest, *frames)
		prepare  func(*rig)
		attempt  string
		want     api.Outcome
		executed int
	}{
		"agent gone, first attempt":        {callOK, gone, first, api.OutcomeNotRun, 0},
		"agent gone, second attempt":       {other, gone, second, api.OutcomeUnknown, orderRounds},
		"agent gone, attempt not stated":   {other, gone, "X-None: 1", api.OutcomeUnknown, orderRounds},
		"agent leaving, first attempt":     {callOK, leaving, first, api.OutcomeNotRun, 0},
		"no connection, first attempt":     {callOK, stopped, first, api.OutcomeNotRun, 0},
		"no connection, second attempt":    {callOK, stopped, second, api.OutcomeUnknown, 0},
		"old view, first attempt":          {callOK, old, first, api.OutcomeNotRun, 0},
		"old view, second attempt":         {callOK, old, second, api.OutcomeUnknown, 0},
		"closed by the agent":              {closes, none, second, api.OutcomeNotRun, 1},
		"connection lost after hand-over":  {dies, none, first, api.OutcomeUnknown, orderRounds},
		"unknown stated by the agent":      {refuseWith(api.Unknown(api.KindEndpointFailed, "x", "y")), none, first, api.OutcomeUnknown, 1},
		"leaving agent knows second retry": {closes, leaving, second, api.OutcomeNotRun, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newRig(t, "desk", c.script)
			c.prepare(g)
			got := g.order(issued, c.attempt)
			is.Equal(got.refusal.Outcome, c.want)
			is.Equal(g.executed(), c.executed)
		})
	}
}

// Guards against an unknown outcome although the agent still has the answer.
func TestOrderAskedAgainAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	asked := 0
	g := newRig(t, "desk", func(rq *wire.ExecuteRequest, f *frames) {
		asked++
		if asked == 1 {
			dies(rq, f)
		}
		callOK(rq, f)
	}, callOK)
	got := g.order(issued, first)
	is.Equal(got.body, "ran /orders")
	is.Equal(len(g.agents[1].requests()), 0)
}

// Guards against a lost outcome after a planned stop, and against an heir
// that could take the question for a new order.
func TestOrderAsksHeirs(t *testing.T) {
	is := is.New(t)
	unknown := refuseWith(api.Unknown(api.KindIdentityClosed, "not handed over", "x"))
	g := newRig(t, "desk", callOK, unknown, callOK)
	g.agents[0].server.Close()
	g.editAgent("agent-0", func(ep *control.Endpoint) {
		ep.Node.State = wire.StateLeaving
		ep.Node.Heirs = []string{"agent-1", "agent-2"}
	})
	got := g.order(issued, second)
	is.Equal(got.status, 201)
	heir := g.agents[2].requests()[0]
	is.Equal(heir.ExpectIncarnation, uint64(incarnation)) // of agent-0: an heir may only answer
	is.Equal(len(g.agents[1].requests()), 1)
}

// Guards against a lost outcome once the stopped agent's record is replaced by
// that of its successor on the same VM.
func TestOrderAsksServiceAfterReplacement(t *testing.T) {
	is := is.New(t)
	unknown := refuseWith(api.Unknown(api.KindIdentityClosed, "not handed over", "x"))
	g := newRig(t, "desk", unknown, unknown, callOK)
	g.editAgent("agent-0", func(ep *control.Endpoint) { ep.Node.Incarnation++ })
	is.Equal(g.order(issued, second).status, 201)
	is.Equal(g.agents[2].requests()[0].ExpectIncarnation, uint64(incarnation))
	is.Equal(g.order(issued, first).refusal.Kind, api.KindIdentityClosed)
}

// Guards against a caller's own key being bound to a second agent without
// proof that the first one did not run the order.
func TestOwnKeyRebindsOnProofOnly(t *testing.T) {
	unknown := refuseWith(api.Unknown(api.KindEndpointFailed, "x", "y"))
	for name, c := range map[string]struct {
		script func(*wire.ExecuteRequest, *frames)
		rebind int
		want   api.Outcome
	}{
		"closed":          {closes, 1, api.OutcomeNotRun},
		"unknown":         {unknown, 0, api.OutcomeUnknown},
		"connection lost": {dies, 0, api.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newRig(t, "desk", c.script, c.script)
			got := g.order("e1.mine", first)
			is.Equal(got.refusal.Outcome, c.want)
			is.Equal(g.binder.rebind, c.rebind)
			asked := 0
			for _, a := range g.agents {
				asked += min(1, len(a.requests()))
			}
			is.Equal(asked, c.rebind+1)
		})
	}
}

// Guards against "not run" for a key that another attempt had bound, although
// the caller states a first attempt, and against a new binding for it.
func TestOwnKeyBoundElsewhere(t *testing.T) {
	is := is.New(t)
	unknown := refuseWith(api.Unknown(api.KindIdentityClosed, "not handed over", "x"))
	g := newRig(t, "desk", unknown, unknown)
	gone := order.Binding{AgentID: "agent-9", Incarnation: 1}
	key := order.Identity{Organisation: "batinah", Raw: "e1.mine"}.ScopedKey()
	g.binder.bound[key] = gone
	is.Equal(g.order("e1.mine", first).refusal.Outcome, api.OutcomeUnknown)
	is.Equal(g.binder.bound[key], gone)
	is.Equal(g.binder.rebind, 0)
	for _, a := range g.agents {
		for _, rq := range a.requests() { // agents run no order of another incarnation
			is.Equal(rq.ExpectIncarnation, gone.Incarnation)
		}
	}
	g.binder.err = api.NotRun(api.KindStoreUnavailable, "store is down", "retry")
	is.Equal(g.order("e1.new", first).refusal.Outcome, api.OutcomeNotRun)
	is.Equal(g.order("e1.new", second).refusal.Outcome, api.OutcomeUnknown)
}

// Guards against a hand-over on a view that became old after admission, as in
// a process that was frozen meanwhile.
func TestHandOverChecksTheView(t *testing.T) {
	is := is.New(t)
	g := newRig(t, "desk", callOK)
	g.binder.onBind = func() { g.change(func(s *control.Snapshot) { s.ConfirmedAt = time.Now().Add(-4 * time.Second) }) }
	got := g.order("e1.mine", first)
	is.Equal(got.refusal.Kind, api.KindUnconfirmedView)
	is.Equal(got.refusal.Outcome, api.OutcomeNotRun)
	is.Equal(g.executed(), 0)
}

// Guards against an order that ends with its caller's connection: the agent
// must be able to give the answer to a later attempt.
func TestOrderOutlivesItsCaller(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	ended := make(chan error, 1)
	g := newRig(t, "desk", func(rq *wire.ExecuteRequest, f *frames) {
		f.accept()
		close(started)
		<-release
		ended <- f.r.Context().Err()
		f.send(wire.Frame{Kind: wire.FrameHead, Status: 201})
		f.send(wire.Frame{Kind: wire.FrameEnd})
	})
	conn := g.dial(t, "POST /v1/call/desk/orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+
		"\r\nIdempotency-Key: "+issued+"\r\nContent-Length: 0\r\n\r\n")
	<-started
	is.NoErr(conn.Close())
	time.Sleep(50 * time.Millisecond) // for the entry to see the closed connection
	close(release)
	is.NoErr(<-ended)
	is.Equal(g.agents[0].cancelled(), 0)
}

// Guards against a broken large answer that looks whole.
func TestLargeAnswerIsCut(t *testing.T) {
	is := is.New(t)
	g := newRig(t, "desk", func(_ *wire.ExecuteRequest, f *frames) {
		f.accept()
		f.send(wire.Frame{Kind: wire.FrameHead, Status: 200})
		f.send(wire.Frame{Kind: wire.FrameData, Data: []byte(strings.Repeat("x", holdBytes+1))})
		f.die()
	})
	got := g.do("GET", "/v1/call/desk/x", "")
	is.Equal(got.status, 200)
	is.True(got.err != nil)
	is.Equal(g.executed(), 1)
}
