package pipeline

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/balance"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/wire"
)

// agent is a fake agent whose answer is a script.
type agent struct {
	id     string
	script func(rq *wire.ExecuteRequest, f *frames)
	server *httptest.Server

	mu       sync.Mutex
	got      []wire.ExecuteRequest
	cancels  []string
	lastHTTP http.Header
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == wire.PathCancel {
		var rq wire.CancelRequest
		_ = json.NewDecoder(r.Body).Decode(&rq)
		a.mu.Lock()
		a.cancels = append(a.cancels, rq.RequestID)
		a.mu.Unlock()
		return
	}
	var rq wire.ExecuteRequest
	_ = json.NewDecoder(r.Body).Decode(&rq)
	a.mu.Lock()
	a.got = append(a.got, rq)
	a.lastHTTP = r.Header
	a.mu.Unlock()
	a.script(&rq, &frames{w: w, r: r, rq: &rq})
}

func (a *agent) requests() []wire.ExecuteRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]wire.ExecuteRequest{}, a.got...)
}

func (a *agent) cancelled() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.cancels)
}

// frames writes the frames of one attempt.
type frames struct {
	w   http.ResponseWriter
	r   *http.Request
	rq  *wire.ExecuteRequest
	seq int
}

func (f *frames) send(frame wire.Frame) {
	frame.RequestID, frame.Attempt, frame.Seq = f.rq.RequestID, f.rq.Attempt, f.seq
	f.seq++
	f.raw(frame)
}

func (f *frames) raw(frame wire.Frame) {
	if json.NewEncoder(f.w).Encode(frame) != nil {
		f.die()
	}
	f.w.(http.Flusher).Flush()
}

func (f *frames) accept() { f.send(wire.Frame{Kind: wire.FrameAccepted, Limit: 8, InFlight: 1}) }

func (f *frames) refuse(r *api.Refusal) { f.send(wire.Frame{Kind: wire.FrameRefused, Refusal: r}) }

// tokens sends the tokens from the resume position up to the given one.
func (f *frames) tokens(to int) {
	for i := f.rq.Generate.ResumeFrom; i < to; i++ {
		f.send(wire.Frame{Kind: wire.FrameToken, Position: i, Text: fmt.Sprint("t", i, " ")})
	}
}

// die cuts the connection.
func (f *frames) die() { panic(http.ErrAbortHandler) }

func generateAll(rq *wire.ExecuteRequest, f *frames) {
	f.accept()
	f.send(wire.Frame{Kind: wire.FrameHead, Status: 200})
	f.tokens(rq.Generate.MaxTokens)
	f.send(wire.Frame{Kind: wire.FrameEnd, Reason: "length"})
}

func callOK(rq *wire.ExecuteRequest, f *frames) {
	f.accept()
	f.send(wire.Frame{Kind: wire.FrameHead, Status: 201, Header: map[string][]string{"X-Part": {"p1"}}})
	f.send(wire.Frame{Kind: wire.FrameData, Data: []byte("ran " + rq.Call.Path)})
	f.send(wire.Frame{Kind: wire.FrameEnd})
}

func refuseWith(r *api.Refusal) func(*wire.ExecuteRequest, *frames) {
	return func(_ *wire.ExecuteRequest, f *frames) { f.refuse(r) }
}

// view is a fake control view.
type view struct {
	snap atomic.Pointer[control.Snapshot]
}

func (v *view) Snapshot() *control.Snapshot { return v.snap.Load() }

// binder is a journal in memory.
type binder struct {
	mu     sync.Mutex
	bound  map[string]order.Binding
	err    error
	rebind int
	onBind func()
}

func (b *binder) Bind(_ context.Context, _ string, id order.Identity, want order.Binding) (order.Binding, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.onBind != nil {
		b.onBind()
	}
	if b.err != nil {
		return order.Binding{}, b.err
	}
	if _, found := b.bound[id.ScopedKey()]; !found {
		b.bound[id.ScopedKey()] = want
	}
	return b.bound[id.ScopedKey()], nil
}

func (b *binder) Rebind(_ context.Context, _ string, id order.Identity, old, want order.Binding) (order.Binding, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bound[id.ScopedKey()] == old {
		b.bound[id.ScopedKey()] = want
		b.rebind++
	}
	return b.bound[id.ScopedKey()], nil
}

func (b *binder) JournalEpoch(string) uint64 { return 1 }

// rig is an entry's pipeline with fake agents.
type rig struct {
	*Pipeline
	view   *view
	binder *binder
	agents []*agent
	server *httptest.Server
}

const (
	testKey     = "key-of-batinah"
	incarnation = 7
)

// newRig starts one fake agent of the service per script.
func newRig(t testing.TB, service string, scripts ...func(*wire.ExecuteRequest, *frames)) *rig {
	digest := sha256.Sum256([]byte(testKey))
	services := map[string]*bundle.Service{
		"helper": {Name: "helper", Kind: bundle.KindModel, TimeoutMS: 5000},
		"desk":   {Name: "desk", Kind: bundle.KindPlain, TimeoutMS: 5000, NonIdempotentPaths: []string{"/orders"}},
	}
	now := time.Now()
	snap := &control.Snapshot{
		Self:         wire.Node{ID: "entry-1", Zone: "a", State: wire.StateReady},
		Bundle:       &bundle.Bundle{Version: 3},
		BundleDigest: "d3",
		Services:     services,
		KeyOwner:     map[string]string{hex.EncodeToString(digest[:]): "batinah"},
		Endpoints:    map[string][]*control.Endpoint{},
		AgentByID:    map[string]*control.Endpoint{},
		ConfirmedAt:  now.Add(time.Hour),
	}
	g := &rig{view: &view{}, binder: &binder{bound: map[string]order.Binding{}}}
	for i, script := range scripts {
		a := &agent{id: fmt.Sprint("agent-", i), script: script}
		a.server = httptest.NewServer(a)
		t.Cleanup(a.server.Close)
		g.agents = append(g.agents, a)
		ep := &control.Endpoint{
			Node: wire.Node{
				ID: a.id, Role: wire.RoleAgent, Zone: "a", State: wire.StateReady, Service: service,
				Incarnation: incarnation, HTTPAddr: strings.TrimPrefix(a.server.URL, "http://"),
			},
			Load:     wire.Load{Seq: 1, Limit: 100},
			LastSeen: now.Add(time.Hour),
		}
		snap.Endpoints[service] = append(snap.Endpoints[service], ep)
		snap.AgentByID[a.id] = ep
	}
	g.view.snap.Store(snap)
	g.Pipeline = New(Config{
		EntryID: "entry-1", View: g.view, Binder: g.binder, Balancer: balance.New("entry-1", "a"),
		Clock: clockwork.NewRealClock(), Log: logr.Discard(), ExecuteToken: "token", MaxBodyBytes: 1 << 16,
	})
	g.server = httptest.NewServer(g.Pipeline)
	t.Cleanup(g.server.Close)
	return g
}

// change publishes a changed copy of the snapshot.
func (g *rig) change(edit func(*control.Snapshot)) {
	next := *g.view.Snapshot()
	edit(&next)
	g.view.snap.Store(&next)
}

// executed is the number of execute requests that all agents got.
func (g *rig) executed() int {
	n := 0
	for _, a := range g.agents {
		n += len(a.requests())
	}
	return n
}

type reply struct {
	status  int
	header  http.Header
	body    string
	refusal api.Refusal
	err     error
}

// do sends a request; headers are "Name: value" lines.
func (g *rig) do(method, path, body string, headers ...string) reply {
	rq, err := http.NewRequest(method, g.server.URL+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	rq.Header.Set("Authorization", "Bearer "+testKey)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		rq.Header.Add(name, value)
	}
	answer, err := http.DefaultClient.Do(rq)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	out := reply{status: answer.StatusCode, header: answer.Header, body: string(data), err: err}
	_ = json.Unmarshal(data, &out.refusal)
	return out
}

func (g *rig) generate(tokens int, headers ...string) reply {
	return g.do("POST", "/v1/generate/helper", fmt.Sprintf(`{"prompt":"mend","max_tokens":%d}`, tokens), headers...)
}

func (g *rig) order(key string, headers ...string) reply {
	return g.do("POST", "/v1/call/desk/orders", "arm", append(headers, "Idempotency-Key: "+key)...)
}

// dial opens a connection to the entry and sends raw bytes.
func (g *rig) dial(t *testing.T, raw string) net.Conn {
	conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte(raw)); err != nil {
		t.Fatal(err)
	}
	return conn
}
