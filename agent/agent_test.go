package agent

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
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
	"github.com/wasabinotch/wasabinotch/peer"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/wire"
)

// fakeControl is a control loop whose view is always confirmed. It records the states
// and successors that the agent sets.
type fakeControl struct {
	mu         sync.Mutex
	self       wire.Node
	entry      wire.Node
	states     []wire.State
	successors []string
}

func (c *fakeControl) Snapshot() *control.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	svc := &bundle.Service{Name: "orders", ColdLimit: 4, WarmLimit: 8, QueueLimit: 24, TimeoutMS: 5000, NonIdempotentPaths: []string{"/orders"}}
	return &control.Snapshot{
		Self:        c.self,
		Bundle:      &bundle.Bundle{Version: 1},
		Services:    map[string]*bundle.Service{"orders": svc},
		Entries:     []control.Entry{{Node: c.entry}},
		ConfirmedAt: time.Now(),
	}
}

func (c *fakeControl) Run(ctx context.Context) error { <-ctx.Done(); return nil }

func (c *fakeControl) HandleNotify(args wire.NotifyArgs) wire.NotifyReply {
	return wire.NotifyReply{Config: args.Config}
}

func (c *fakeControl) SetState(s wire.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states = append(c.states, s)
}

func (c *fakeControl) SetSuccessors(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.successors = ids
}

func (c *fakeControl) lastState() wire.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.states) == 0 {
		return ""
	}
	return c.states[len(c.states)-1]
}

// fakeEntry is an entry that lists the agents of every service.
type fakeEntry struct{ agents []wire.Node }

func (e *fakeEntry) Agents(_ *wire.AgentsArgs, reply *wire.AgentsReply) error {
	reply.Agents = e.agents
	return nil
}

func startEntry(t *testing.T, agents ...wire.Node) wire.Node {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(make([]byte, 32), logr.Discard())
	if err := server.Register(wire.PeerService, &fakeEntry{agents}); err != nil {
		t.Fatal(err)
	}
	go server.Serve(ln)
	t.Cleanup(func() { _ = ln.Close(); server.Close() })
	return wire.Node{ID: "e1", RPCAddr: ln.Addr().String()}
}

// testAgent is a running agent.
type testAgent struct {
	*Agent
	control *fakeControl
	self    wire.Node
	stop    context.CancelFunc
	done    chan error
}

func freeAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func startAgent(t *testing.T, id, zone, endpoint string) *testAgent {
	t.Helper()
	return startAgentWith(t, id, zone, endpoint, func(*settings.Agent) {})
}

// startAgentWith starts an agent whose settings were changed.
func startAgentWith(t *testing.T, id, zone, endpoint string, change func(*settings.Agent)) *testAgent {
	t.Helper()
	s := settings.Agent{Service: "orders", EndpointAddr: strings.TrimPrefix(endpoint, "http://")}
	s.ID, s.VM, s.Zone = id, "vm-"+id, zone
	s.HTTPAddr, s.RPCAddr = freeAddr(t), freeAddr(t)
	s.AuthKey = base64.StdEncoding.EncodeToString(make([]byte, 32))
	change(&s)
	ta := &testAgent{control: &fakeControl{}, done: make(chan error, 1)}
	deps := Deps{
		NewControl: func(c ControlConfig) (Control, error) {
			ta.control.self, ta.self = c.Self, c.Self
			return ta.control, nil
		},
		NewMapLoader: func(settings.Agent, *peer.Pool, logr.Logger) MapLoader { return nil },
		Clock:        clockwork.NewRealClock(),
	}
	a, err := NewWithDeps(s, logr.Discard(), deps)
	if err != nil {
		t.Fatal(err)
	}
	ta.Agent = a
	ctx, stop := context.WithCancel(context.Background())
	ta.stop = stop
	t.Cleanup(stop)
	go func() { ta.done <- a.Run(ctx) }()
	for range 200 {
		if ta.control.lastState() == wire.StateReady {
			return ta
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the agent did not become ready")
	return nil
}

func (ta *testAgent) post(path, token string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	hr, err := http.NewRequest(http.MethodPost, "http://"+ta.settings.HTTPAddr+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	hr.Header.Set("Authorization", "Bearer "+token)
	return http.DefaultClient.Do(hr)
}

// sendOrder sends an order and returns the frames of the response.
func (ta *testAgent) sendOrder(t *testing.T, requestID, identity string) []wire.Frame {
	t.Helper()
	resp, err := ta.post(wire.PathExecute, ta.executeToken, wire.ExecuteRequest{
		RequestID: requestID, Attempt: 1, Organisation: "org", Service: "orders", Cost: 1, NonIdempotent: true, Identity: identity, DeadlineMS: 5000,
		Call: &wire.PlainCall{Method: "POST", Path: "/orders", Body: []byte("rope")},
	})
	if err != nil {
		t.Error(err)
		return []wire.Frame{{}}
	}
	defer func() { _ = resp.Body.Close() }()
	var frames []wire.Frame
	for d := json.NewDecoder(resp.Body); ; {
		var f wire.Frame
		if err := d.Decode(&f); err != nil {
			return frames
		}
		frames = append(frames, f)
	}
}

// Guards against a drain that interrupts a running order, accepts new orders, or ends
// before two successors hold the outcomes, even if a candidate is unreachable; and
// against requests that are accepted without the execute token.
func TestDrainHandsOrdersOver(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/orders" {
			if r.URL.Path == "/load" {
				w.WriteHeader(http.StatusNotFound)
			}
			return
		}
		arrived <- struct{}{}
		<-release
		_, _ = fmt.Fprint(w, "shipped")
	}))
	defer endpoint.Close()
	leaving := startAgent(t, "a1", "z1", endpoint.URL)
	successors := []*testAgent{startAgent(t, "a2", "z2", endpoint.URL), startAgent(t, "a3", "z3", endpoint.URL)}
	unreachable := wire.Node{ID: "a4", Zone: "z2", RPCAddr: freeAddr(t)}
	leaving.control.entry = startEntry(t, unreachable, successors[0].self, successors[1].self)

	resp, err := leaving.post(wire.PathExecute, "wrong", wire.ExecuteRequest{})
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusUnauthorized)
	is.NoErr(resp.Body.Close())

	b := order.Binding{AgentID: "a1", Incarnation: leaving.self.Incarnation}
	running := make(chan []wire.Frame)
	go func() { running <- leaving.sendOrder(t, "r1", order.FormatIssued(b, 1, "x")) }()
	<-arrived
	leaving.stop()
	for leaving.control.lastState() != wire.StateLeaving {
		time.Sleep(time.Millisecond)
	}
	late := leaving.sendOrder(t, "r2", order.FormatIssued(b, 1, "late"))
	is.Equal(late[len(late)-1].Refusal.Kind, api.KindLeaving)
	is.Equal(late[len(late)-1].Refusal.Outcome, api.OutcomeNotRun)
	close(release)
	frames := <-running
	is.Equal(frames[len(frames)-1].Kind, wire.FrameEnd)
	is.NoErr(<-leaving.done)
	is.Equal(len(leaving.control.successors), 2)
	for _, successor := range successors {
		responseFrames := successor.sendOrder(t, "r3", order.FormatIssued(b, 1, "x"))
		is.Equal(string(responseFrames[2].Data), "shipped")
		responseFrames = successor.sendOrder(t, "r4", order.FormatIssued(b, 1, "late"))
		is.Equal(responseFrames[0].Refusal.Outcome, api.OutcomeNotRun)
		responseFrames = successor.sendOrder(t, "r5", order.FormatIssued(b, 1, "unseen"))
		is.Equal(responseFrames[0].Refusal.Outcome, api.OutcomeNotRun)
		other := order.Binding{AgentID: "a1", Incarnation: leaving.self.Incarnation + 1}
		responseFrames = successor.sendOrder(t, "r6", order.FormatIssued(other, 1, "x"))
		is.Equal(responseFrames[0].Refusal.Outcome, api.OutcomeUnknown)
	}
	is.Equal(len(arrived), 0) // the order ran once
}

// Guards against an agent that waits for a body before it refuses a sender without the
// token, or that keeps the connection, and against a refusal for lack of memory that doesn't
// say that the request didn't run.
func TestAgentRefusesBodies(t *testing.T) {
	is := is.New(t)
	endpoint := httptest.NewServer(http.NotFoundHandler())
	defer endpoint.Close()
	a := startAgentWith(t, "a1", "z1", endpoint.URL, func(s *settings.Agent) { s.MemoryMB = 64 })
	conn, err := net.Dial("tcp", a.settings.HTTPAddr)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(intake.BodyTimeout() / 2))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{", wire.PathExecute)
	is.NoErr(err)
	response, err := io.ReadAll(conn) // until the agent closes
	is.NoErr(err)
	is.True(strings.HasPrefix(string(response), "HTTP/1.1 401 "))

	// Three copies of 7 MiB don't fit into the 12 MiB that large requests get of 64 MB.
	resp, err := a.post(wire.PathExecute, a.executeToken, wire.ExecuteRequest{RequestID: "r1", Generate: &wire.GenerateCall{Prompt: strings.Repeat("p", 7<<20)}})
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	var refusal api.Refusal
	is.NoErr(json.NewDecoder(resp.Body).Decode(&refusal))
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(refusal.Kind, api.KindOverloaded)
	is.Equal(refusal.Outcome, api.OutcomeNotRun)
	is.True(refusal.RetryAfterMS > 0)
	is.True(a.intake.Memory.Held() < 64<<10) // the head, until the connection is closed
}

// Guards against an order table that takes most of a small VM, and against a smaller table
// than before on others.
func TestOrderTableFitsVM(t *testing.T) {
	is := is.New(t)
	is.Equal(orderTableBytes(0), 0)
	is.Equal(orderTableBytes(1024), 0)
	is.Equal(orderTableBytes(192), 0)
	is.Equal(orderTableBytes(64), 8<<20)
}

// Guards against envelopes that crash the decoder, and against requests that change
// when they are encoded and decoded again.
func FuzzDecodeExecute(f *testing.F) {
	f.Add([]byte(`{"request_id":"r1","attempt":1,"generate":{"prompt":"p","max_tokens":2}}`))
	f.Add([]byte(`{"request_id":"r1","call":{"method":"POST","path":"/orders","body":"cm9wZQ=="}}{}`))
	f.Add([]byte(`{"deadline_ms":1e99}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		req, err := decodeExecute(data)
		if err != nil {
			return
		}
		first, err := json.Marshal(req)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeExecute(first)
		if err != nil {
			t.Fatal(err)
		}
		second, _ := json.Marshal(again)
		if !bytes.Equal(first, second) {
			t.Fatalf("%s became %s", first, second)
		}
	})
}
