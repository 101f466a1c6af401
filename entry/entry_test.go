package entry

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
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
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/intake"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/wire"
)

// fakeControl is a control loop with a fixed view.
type fakeControl struct {
	mu       sync.Mutex
	snap     control.Snapshot
	states   []wire.State
	rollOuts int
}

func (f *fakeControl) Snapshot() *control.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	snap := f.snap
	return &snap
}

func (f *fakeControl) SetState(s wire.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snap.Self.State = s
	f.states = append(f.states, s)
}

func (f *fakeControl) SetSuccessors([]string) {}

func (f *fakeControl) RollOutBundle(context.Context, *bundle.Signed) (api.AdminResult, error) {
	f.rollOuts++
	return api.AdminResult{}, api.NotRun(api.KindConflict, "another bundle was first", "read it and retry")
}

func (f *fakeControl) ApplyIntent(_ context.Context, in bundle.Intent) (api.AdminResult, error) {
	return api.AdminResult{Accepted: true, Revision: in.Revision}, nil
}

// fakeBinder returns journal epoch 4, or 0 for not read while epochUnread is set.
type fakeBinder struct {
	order.Binder
	epochUnread *atomic.Bool
}

func (b fakeBinder) JournalEpoch(string) uint64 {
	if b.epochUnread != nil && b.epochUnread.Load() {
		return 0
	}
	return 4
}

// fakeAgent is an agent that signals started on a request and responds after release.
type fakeAgent struct{ started, release chan struct{} }

func (a *fakeAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req wire.ExecuteRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	a.started <- struct{}{}
	select {
	case <-a.release:
	case <-time.After(10 * time.Second): // bounds the wait if the test has failed
	}
	out := json.NewEncoder(w)
	for seq, f := range []wire.Frame{{Kind: wire.FrameAccepted}, {Kind: wire.FrameHead, Status: 200}, {Kind: wire.FrameData, Data: []byte(`{}`)}, {Kind: wire.FrameEnd}} {
		f.RequestID, f.Attempt, f.Seq = req.RequestID, req.Attempt, seq
		_ = out.Encode(f)
	}
}

// testEntry is a running entry with one fake agent.
type testEntry struct {
	is      *is.I
	control *fakeControl
	clock   *clockwork.FakeClock
	url     string
	agent   *fakeAgent
	stop    context.CancelFunc
	done    chan error
}

func startTestEntry(t *testing.T) *testEntry {
	return startTestEntryWith(t, func(*settings.Entry) {})
}

// startTestEntryWith starts an entry whose settings were changed.
func startTestEntryWith(t *testing.T, change func(*settings.Entry)) *testEntry {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	clock := clockwork.NewFakeClock()
	desk := &bundle.Service{Name: "desk", Kind: bundle.KindPlain, NonIdempotentPaths: []string{"/orders"}}
	a := &fakeAgent{started: make(chan struct{}, 1), release: make(chan struct{})}
	agentServer := httptest.NewServer(a)
	t.Cleanup(agentServer.Close)
	agent := &control.Endpoint{
		Node:     wire.Node{ID: "agent-1", HTTPAddr: agentServer.Listener.Addr().String(), Service: "desk", Zone: "a", State: wire.StateReady, Incarnation: 9},
		Load:     wire.Load{Limit: 4, OrderEpoch: 2},
		LastSeen: clock.Now(),
	}
	c := &fakeControl{snap: control.Snapshot{
		Self:        wire.Node{ID: "entry-1", Zone: "a", HTTPAddr: addr},
		Bundle:      &bundle.Bundle{Version: 3},
		Services:    map[string]*bundle.Service{"desk": desk},
		KeyOwner:    map[string]string{fmt.Sprintf("%x", sha256.Sum256([]byte("key"))): "batinah"},
		Endpoints:   map[string][]*control.Endpoint{"desk": {agent}},
		AgentByID:   map[string]*control.Endpoint{"agent-1": agent},
		ConfirmedAt: clock.Now(),
		Entries: []control.Entry{
			{Node: wire.Node{ID: "entry-2", Zone: "b", State: wire.StateReady, HTTPAddr: "192.0.2.2:1"}, LastSeen: clock.Now()},
			{Node: wire.Node{ID: "entry-3", Zone: "b", State: wire.StateLeaving, HTTPAddr: "192.0.2.3:1"}, LastSeen: clock.Now()},
			{Node: wire.Node{ID: "entry-4", Zone: "b", State: wire.StateReady, HTTPAddr: "192.0.2.4:1"}, LastSeen: clock.Now().Add(-time.Minute)},
			{Node: wire.Node{ID: "entry-5", Zone: "c", State: wire.StateReady, HTTPAddr: "192.0.2.5:1"}, LastSeen: clock.Now()},
		},
		ZonesOut: map[string]bool{"c": true},
	}}
	s := settings.Entry{Node: settings.Node{ID: "entry-1", Zone: "a", HTTPAddr: addr, HTTPListen: addr}, MaxBodyBytes: 1 << 10, ReadHeaderTimeoutMS: 200}
	s.AuthKey = base64.StdEncoding.EncodeToString(make([]byte, 32))
	change(&s)
	e, err := NewWithDeps(s, Deps{Control: c, Binder: fakeBinder{}, Clock: clock}, logr.Discard())
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	te := &testEntry{is: is, control: c, clock: clock, url: "http://" + addr, stop: stop, agent: a, done: make(chan error, 1)}
	go func() { te.done <- e.Run(ctx) }()
	for c.Snapshot().Self.State != wire.StateReady {
		time.Sleep(time.Millisecond)
	}
	return te
}

func (te *testEntry) do(method, path, body string, into any) (int, http.Header) {
	req, err := http.NewRequest(method, te.url+path, strings.NewReader(body))
	te.is.NoErr(err)
	if strings.HasSuffix(path, "/stock") {
		req.Header.Set("Authorization", "Bearer key")
	}
	resp, err := http.DefaultTransport.RoundTrip(req) // follows no redirects
	te.is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	te.is.NoErr(err)
	te.is.NoErr(json.Unmarshal(data, into))
	return resp.StatusCode, resp.Header
}

// Guards against resolve responses with entries that are out of service, leaving or
// unreachable, and against order identities without an agent incarnation.
func TestResolve(t *testing.T) {
	te := startTestEntry(t)
	var got api.ResolveResponse
	status, header := te.do("GET", "/v1/resolve?service=desk", "", &got)
	te.is.Equal(status, 200)
	te.is.True(header.Get(api.HeaderBundle) != "")
	te.is.Equal(got.Entries, []api.ResolvedEntry{{Address: strings.TrimPrefix(te.url, "http://"), Zone: "a"}, {Address: "192.0.2.2:1", Zone: "b"}})
	id, err := order.ParseIdentity(got.OrderIdentity)
	te.is.NoErr(err)
	te.is.Equal(id.Binding, order.Binding{AgentID: "agent-1", Incarnation: 9})
	te.is.Equal(id.AgentEpoch, uint64(2))
	te.is.Equal(got.OrderEpoch, uint64(4))
}

// Guards against commands that take many times their bytes when they are decoded, which
// anyone may send, and against one that an entry with enough memory refuses.
func TestCommandOfManyParts(t *testing.T) {
	command := `{"bundle":{"services":[` + strings.Repeat("{},", 50_000) + `{}]}}`
	for memoryMB, want := range map[int]api.Kind{64: api.KindTooLarge, 1024: api.KindConflict} {
		te := startTestEntryWith(t, func(s *settings.Entry) { s.MemoryMB = memoryMB })
		var got api.Refusal
		te.do("POST", "/v1/admin/bundle", command, &got)
		te.is.Equal(got.Kind, want)
		te.is.Equal(got.Outcome, api.OutcomeNotRun)
	}
}

// Guards against a callers' body that keeps the connection of a path that takes none.
func TestPathsWithoutBody(t *testing.T) {
	te := startTestEntry(t)
	for _, path := range []string{"/v1/resolve?service=desk", "/v1/status", "/v1/shares", "/v1/explain/x", "/v1/requests/x", "/debug/vars", "/other", "/v1/admin/bundle"} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(te.url, "http://"))
		te.is.NoErr(err)
		_ = conn.SetDeadline(time.Now().Add(intake.BodyTimeout() / 2))
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nbody", path)
		te.is.NoErr(err)
		response, err := io.ReadAll(conn) // until the entry closes
		te.is.NoErr(err)
		te.is.True(strings.HasPrefix(string(response), "HTTP/1.1 "))
		te.is.NoErr(conn.Close())
	}
}

// Guards against responses without a typed refusal on operator paths, unknown paths, and
// paths with empty or dot segments, which the router would redirect.
func TestControlPaths(t *testing.T) {
	te := startTestEntry(t)
	for _, c := range []struct {
		method, path, body string
		want               api.Kind
	}{
		{"POST", "/v1/admin/bundle", "{}", api.KindConflict},
		{"POST", "/v1/admin/bundle", `{"unknown":1}`, api.KindBadRequest},
		{"POST", "/v1/admin/bundle", `"` + strings.Repeat("x", maxAdminBytes) + `"`, api.KindTooLarge},
		{"POST", "/v1/admin/intents", "{} {}", api.KindBadRequest},
		{"GET", "/v1/admin/intents", "", api.KindBadRequest},
		{"GET", "/v1/resolve?service=none", "", api.KindUnknownService},
		{"POST", "/v1/call/desk//orders", "", api.KindUnauthenticated},
		{"POST", "/v1/../v2", "", api.KindUnknownService},
		{"GET", "/other", "", api.KindUnknownService},
	} {
		var got api.Refusal
		te.do(c.method, c.path, c.body, &got)
		te.is.Equal(got.Kind, c.want) // kind of refusal
		te.is.Equal(got.Outcome, api.OutcomeNotRun)
	}
	te.is.Equal(te.control.rollOuts, 1)
	var status api.Status
	te.do("GET", "/v1/status", "", &status)
	te.is.Equal(status.ZonesOut, []string{"c"})
	te.is.Equal(len(status.Nodes), 6)
	var result api.AdminResult
	te.do("POST", "/v1/admin/intents", `{"revision":5}`, &result)
	te.is.Equal(result.Revision, uint64(5))
	var vars map[string]any
	te.do("GET", "/debug/vars", "", &vars)
	te.is.True(vars["pipeline_requests"] != nil)
}

// Guards against an entry that stops before resolve responses with its address have
// expired or while a request runs, and against a leaving entry that still lists itself.
func TestDrain(t *testing.T) {
	te := startTestEntry(t)
	statuses := make(chan int)
	go func() {
		status, _ := te.do("GET", "/v1/call/desk/stock", "", &struct{}{})
		statuses <- status
	}()
	<-te.agent.started
	te.stop()
	for te.control.Snapshot().Self.State != wire.StateLeaving {
		time.Sleep(time.Millisecond)
	}
	var got api.ResolveResponse
	te.do("GET", "/v1/resolve?service=desk", "", &got)
	te.is.Equal(got.Entries, []api.ResolvedEntry{{Address: "192.0.2.2:1", Zone: "b"}})
	te.requireRunning("the entry left before its addresses expired")
	for range 5 { // the drain may start its timer after the first advance
		te.clock.Advance(api.ResolveValidity)
		te.requireRunning("the entry left while a request ran")
	}
	close(te.agent.release)
	te.is.Equal(<-statuses, 200)
	te.is.NoErr(<-te.done)
	te.is.Equal(fmt.Sprint(te.control.states), "[ready leaving]")
}

// requireRunning fails the test if the entry stops within 50 ms.
func (te *testEntry) requireRunning(message string) {
	select {
	case <-te.done:
		te.is.Fail() // panic reports the message
		panic(message)
	case <-time.After(50 * time.Millisecond):
	}
}

// Guards against connections that stay open since the client never completes the header.
func TestSlowHeader(t *testing.T) {
	te := startTestEntry(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(te.url, "http://"))
	te.is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("GET /v1/status HTTP/1.1\r\nHost:"))
	te.is.NoErr(err)
	te.is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = io.ReadAll(conn)
	te.is.NoErr(err) // closed by the server, not by the deadline
}
