package gate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/wire"
)

var selfNode = wire.Node{ID: "a1", VM: "vm1", Zone: "z1", Service: "svc", Incarnation: 7}

// fakeView is a control.View with a snapshot set by the test.
type fakeView struct {
	atomic.Pointer[control.Snapshot]
}

func (v *fakeView) Snapshot() *control.Snapshot { return v.Load() }

func newView(now time.Time) *fakeView {
	svc := &bundle.Service{
		Name: "svc", ColdLimit: 2, WarmLimit: 8, QueueLimit: 24, TimeoutMS: 5000,
		NonIdempotentPaths: []string{"/orders"},
		Shares:             map[string]float64{"big": 5, "mid": 3, "small": 2},
	}
	v := &fakeView{}
	v.Store(&control.Snapshot{Self: selfNode, Bundle: &bundle.Bundle{Version: 1}, Services: map[string]*bundle.Service{"svc": svc}, ConfirmedAt: now})
	return v
}

// change replaces the snapshot with a modified copy.
func (v *fakeView) change(f func(*control.Snapshot)) {
	s := *v.Load()
	f(&s)
	v.Store(&s)
}

// fakeEndpoint is an endpoint with load reports, a model, and paths for orders and
// stock.
type fakeEndpoint struct {
	*httptest.Server
	mu            sync.Mutex
	report        loadReport
	noLoadReports bool
	orders        map[string]int // executions by Idempotency-Key
	cancelledIDs  []string
	omitDone      bool          // streams end without [DONE]
	endless       bool          // streams never end
	block         chan struct{} // if set, orders and streams wait until it is closed
	arrivals      atomic.Int64
}

func newEndpoint(t testing.TB, now time.Time) *fakeEndpoint {
	e := &fakeEndpoint{orders: make(map[string]int), report: loadReport{BootID: "b1", ReportedAt: now.Add(time.Millisecond)}}
	mux := http.NewServeMux()
	mux.HandleFunc("/load", e.serveLoad)
	mux.HandleFunc("/health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/v1/completions", e.serveCompletion)
	mux.HandleFunc("/cancel", func(_ http.ResponseWriter, r *http.Request) {
		var c wire.CancelRequest
		_ = json.NewDecoder(r.Body).Decode(&c)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.cancelledIDs = append(e.cancelledIDs, c.RequestID)
	})
	mux.HandleFunc("/stock", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "12 left") })
	mux.HandleFunc("/orders", e.serveOrder)
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func (e *fakeEndpoint) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.noLoadReports {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(e.report)
}

func (e *fakeEndpoint) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var c completion
	_ = json.NewDecoder(r.Body).Decode(&c)
	e.arrivals.Add(1)
	for i := c.ResumeFrom; (i < c.MaxTokens || e.endless) && r.Context().Err() == nil; i++ {
		fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"t%d\",\"position\":%d}]}\n\n", i, i)
	}
	_ = http.NewResponseController(w).Flush()
	if e.block != nil {
		select {
		case <-e.block:
		case <-r.Context().Done():
		}
	}
	if !e.omitDone {
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func (e *fakeEndpoint) serveOrder(w http.ResponseWriter, r *http.Request) {
	e.arrivals.Add(1)
	if e.block != nil {
		<-e.block
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders[r.Header.Get(api.HeaderIdempotency)]++
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "order %d", len(e.orders))
}

// harness is a gate in front of a fake endpoint.
type harness struct {
	*Gate
	view  *fakeView
	ep    *fakeEndpoint
	clock *clockwork.FakeClock // nil with a real clock
}

func newHarness(t testing.TB) *harness {
	clock := clockwork.NewFakeClock()
	h := newHarnessWithClock(t, clock)
	h.clock = clock
	return h
}

func newHarnessWithClock(t testing.TB, clock clockwork.Clock) *harness {
	ep := newEndpoint(t, clock.Now())
	view := newView(clock.Now())
	table := order.NewTable(order.TableConfig{Self: order.Binding{AgentID: selfNode.ID, Incarnation: selfNode.Incarnation}, Clock: clock, Log: logr.Discard()})
	g := New(Config{Self: selfNode, EndpointAddr: strings.TrimPrefix(ep.URL, "http://"), View: view, OrderTable: table, Clock: clock, Log: logr.Discard()})
	return &harness{Gate: g, view: view, ep: ep}
}

// frames runs a request and returns its frames.
func (h *harness) frames(ctx context.Context, req *wire.ExecuteRequest) []wire.Frame {
	var out []wire.Frame
	h.Execute(ctx, req, func(f wire.Frame) error { out = append(out, f); return nil })
	return out
}

// frameKinds returns the kinds of the frames, or an error text if one has a
// wrong sequence number.
func frameKinds(frames []wire.Frame) string {
	var names []string
	for i, f := range frames {
		if f.Seq != i {
			return fmt.Sprintf("frame %d has sequence number %d", i, f.Seq)
		}
		names = append(names, string(f.Kind))
	}
	return strings.Join(names, " ")
}

func lastFrame(frames []wire.Frame) wire.Frame { return frames[len(frames)-1] }

func modelRequest(id string, tokens int) *wire.ExecuteRequest {
	return &wire.ExecuteRequest{RequestID: id, Attempt: 1, Organisation: "big", Service: "svc", Cost: float64(tokens), Generate: &wire.GenerateCall{MaxTokens: tokens}, DeadlineMS: 5000}
}

func stockRequest(id string) *wire.ExecuteRequest {
	return &wire.ExecuteRequest{RequestID: id, Attempt: 1, Organisation: "big", Service: "svc", Cost: 1, Call: &wire.PlainCall{Method: "GET", Path: "/stock"}, DeadlineMS: 5000}
}

func orderRequest(id, identity string) *wire.ExecuteRequest {
	return &wire.ExecuteRequest{RequestID: id, Attempt: 1, Organisation: "big", Service: "svc", Cost: 1, NonIdempotent: true, Identity: identity,
		Call: &wire.PlainCall{Method: "POST", Path: "/orders", Body: []byte("hammock")}, DeadlineMS: 5000}
}

// Guards against responses with missing or wrongly numbered frames, and against
// resumed streams that start at another position than requested.
func TestExecuteStreamsCompleteResponses(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.poll(t.Context())
	is.Equal(frameKinds(h.frames(t.Context(), modelRequest("r1", 2))), "accepted head token token end")
	resumed := modelRequest("r2", 3)
	resumed.Generate.ResumeFrom = 2
	frames := h.frames(t.Context(), resumed)
	is.Equal(frameKinds(frames), "accepted head token end")
	is.Equal(frames[2].Position, 2)
	frames = h.frames(t.Context(), stockRequest("r3"))
	is.Equal(frameKinds(frames), "accepted head data end")
	is.Equal(string(frames[2].Data), "12 left")
	is.Equal(h.Load().Served["big"], 4.0)
}

// Guards against passing on an interrupted stream as a complete response.
func TestStreamWithoutDoneIsIncomplete(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.ep.omitDone = true
	h.poll(t.Context())
	r := lastFrame(h.frames(t.Context(), modelRequest("r1", 2))).Refusal
	is.Equal(r.Kind, api.KindEndpointFailed)
	is.Equal(r.Outcome, api.OutcomeUnknown)
	is.Equal(h.Load().InFlight, 1) // the endpoint may still run it
}

// Guards against relaying the tokens of a faulty endpoint without end.
func TestMoreTokensThanAskedForAreAFailure(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.ep.endless = true
	h.poll(t.Context())
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	frames := h.frames(ctx, modelRequest("r1", 2))
	is.Equal(frameKinds(frames), "accepted head token token refused")
	is.Equal(lastFrame(frames).Refusal.Kind, api.KindEndpointFailed)
}

// Guards against a second execution of one identity, and against an order
// that reaches the endpoint without an identity.
func TestOrderRunsOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.poll(t.Context())
	identity := order.FormatIssued(order.Binding{AgentID: "a1", Incarnation: 7}, 1, "x")
	first := h.frames(t.Context(), orderRequest("r1", identity))
	is.Equal(frameKinds(first), "accepted head data end")
	again := h.frames(t.Context(), orderRequest("r2", identity))
	is.Equal(frameKinds(again), "accepted head data end")
	is.Equal(string(first[2].Data), string(again[2].Data))
	is.Equal(h.ep.orders, map[string]int{identity: 1})

	unmarked := orderRequest("r3", "")
	unmarked.NonIdempotent = false
	unmarked.Call.Path = "//orders/../orders"
	is.Equal(lastFrame(h.frames(t.Context(), unmarked)).Refusal.Kind, api.KindIdentityRequired)
	other := order.FormatIssued(order.Binding{AgentID: "a1", Incarnation: 6}, 1, "x")
	is.Equal(lastFrame(h.frames(t.Context(), orderRequest("r4", other))).Refusal.Outcome, api.OutcomeUnknown)
	is.Equal(len(h.ep.orders), 1)
}
