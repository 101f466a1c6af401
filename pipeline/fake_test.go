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

// fakeAgent is an agent whose responses are scripted.
type fakeAgent struct {
	id     string
	script func(req *wire.ExecuteRequest, f *frameSender)
	server *httptest.Server

	mu       sync.Mutex
	received []wire.ExecuteRequest
	cancels  []string
	lastHTTP http.Header
}

func (a *fakeAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == wire.PathCancel {
		var req wire.CancelRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		a.mu.Lock()
		a.cancels = append(a.cancels, req.RequestID)
		a.mu.Unlock()
		return
	}
	var req wire.ExecuteRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	a.mu.Lock()
	a.received = append(a.received, req)
	a.lastHTTP = r.Header
	a.mu.Unlock()
	a.script(&req, &frameSender{w: w, r: r, req: &req})
}

func (a *fakeAgent) requests() []wire.ExecuteRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]wire.ExecuteRequest{}, a.received...)
}

func (a *fakeAgent) cancelCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.cancels)
}

// frameSender sends the frames of one attempt.
type frameSender struct {
	w   http.ResponseWriter
	r   *http.Request
	req *wire.ExecuteRequest
	seq int
}

func (f *frameSender) send(frame wire.Frame) {
	frame.RequestID, frame.Attempt, frame.Seq = f.req.RequestID, f.req.Attempt, f.seq
	f.seq++
	f.sendRaw(frame)
}

func (f *frameSender) sendRaw(frame wire.Frame) {
	if json.NewEncoder(f.w).Encode(frame) != nil {
		f.abort()
	}
	f.w.(http.Flusher).Flush()
}

func (f *frameSender) accept() { f.send(wire.Frame{Kind: wire.FrameAccepted, Limit: 8, InFlight: 1}) }

func (f *frameSender) refuse(r *api.Refusal) { f.send(wire.Frame{Kind: wire.FrameRefused, Refusal: r}) }

// sendTokens sends the tokens from the resume position up to, but not
// including, to.
func (f *frameSender) sendTokens(to int) {
	for i := f.req.Generate.ResumeFrom; i < to; i++ {
		f.send(wire.Frame{Kind: wire.FrameToken, Position: i, Text: fmt.Sprint("t", i, " ")})
	}
}

// abort closes the connection without ending the response.
func (f *frameSender) abort() { panic(http.ErrAbortHandler) }

func respondAllTokens(req *wire.ExecuteRequest, f *frameSender) {
	f.accept()
	f.send(wire.Frame{Kind: wire.FrameHead, Status: 200})
	f.sendTokens(req.Generate.MaxTokens)
	f.send(wire.Frame{Kind: wire.FrameEnd, Reason: "length"})
}

func respondOK(req *wire.ExecuteRequest, f *frameSender) {
	f.accept()
	f.send(wire.Frame{Kind: wire.FrameHead, Status: 201, Header: map[string][]string{"X-Part": {"p1"}}})
	f.send(wire.Frame{Kind: wire.FrameData, Data: []byte("ran " + req.Call.Path)})
	f.send(wire.Frame{Kind: wire.FrameEnd})
}

func refuseWith(r *api.Refusal) func(*wire.ExecuteRequest, *frameSender) {
	return func(_ *wire.ExecuteRequest, f *frameSender) { f.refuse(r) }
}

// fakeView is a control.View whose snapshot the test sets.
type fakeView struct {
	snap atomic.Pointer[control.Snapshot]
}

func (v *fakeView) Snapshot() *control.Snapshot { return v.snap.Load() }

// fakeBinder is an order.Binder in memory.
type fakeBinder struct {
	mu      sync.Mutex
	bound   map[string]order.Binding
	err     error
	rebinds int
	onBind  func()
}

func (b *fakeBinder) Bind(_ context.Context, _ string, id order.Identity, want order.Binding) (order.Binding, error) {
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

func (b *fakeBinder) Rebind(_ context.Context, _ string, id order.Identity, old, want order.Binding) (order.Binding, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bound[id.ScopedKey()] == old {
		b.bound[id.ScopedKey()] = want
		b.rebinds++
	}
	return b.bound[id.ScopedKey()], nil
}

func (b *fakeBinder) JournalEpoch(string) uint64 { return 1 }

// env is an entry's pipeline with fake agents.
type env struct {
	*Pipeline
	view   *fakeView
	binder *fakeBinder
	agents []*fakeAgent
	server *httptest.Server
}

const (
	testKey     = "key-of-batinah"
	incarnation = 7
)

// newEnv starts one fake agent of the service per script.
func newEnv(t testing.TB, service string, scripts ...func(*wire.ExecuteRequest, *frameSender)) *env {
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
	e := &env{view: &fakeView{}, binder: &fakeBinder{bound: map[string]order.Binding{}}}
	for i, script := range scripts {
		a := &fakeAgent{id: fmt.Sprint("agent-", i), script: script}
		a.server = httptest.NewServer(a)
		t.Cleanup(a.server.Close)
		e.agents = append(e.agents, a)
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
	e.view.snap.Store(snap)
	e.Pipeline = New(Config{
		EntryID: "entry-1", View: e.view, Binder: e.binder, Balancer: balance.New("entry-1", "a"),
		Clock: clockwork.NewRealClock(), Log: logr.Discard(), ExecuteToken: "token", MaxBodyBytes: 1 << 16,
	})
	e.server = httptest.NewServer(e.Pipeline)
	t.Cleanup(e.server.Close)
	return e
}

// update publishes a changed copy of the snapshot.
func (e *env) update(edit func(*control.Snapshot)) {
	next := *e.view.Snapshot()
	edit(&next)
	e.view.snap.Store(&next)
}

// executeCount returns the number of execute requests that all agents received.
func (e *env) executeCount() int {
	n := 0
	for _, a := range e.agents {
		n += len(a.requests())
	}
	return n
}

type callerResponse struct {
	status  int
	header  http.Header
	body    string
	refusal api.Refusal
	err     error
}

// do sends a request and returns the response; headers are "Name: value" lines.
func (e *env) do(method, path, body string, headers ...string) callerResponse {
	req, err := http.NewRequest(method, e.server.URL+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Add(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	out := callerResponse{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
	_ = json.Unmarshal(data, &out.refusal)
	return out
}

func (e *env) generate(tokens int, headers ...string) callerResponse {
	return e.do("POST", "/v1/generate/helper", fmt.Sprintf(`{"prompt":"mend","max_tokens":%d}`, tokens), headers...)
}

func (e *env) order(key string, headers ...string) callerResponse {
	return e.do("POST", "/v1/call/desk/orders", "arm", append(headers, "Idempotency-Key: "+key)...)
}

// dial opens a connection to the entry and sends raw bytes.
func (e *env) dial(t *testing.T, raw string) net.Conn {
	conn, err := net.Dial("tcp", e.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte(raw)); err != nil {
		t.Fatal(err)
	}
	return conn
}
