package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/deploy"
	"github.com/wasabinotch/wasabinotch/lab/enginesim"
	"github.com/wasabinotch/wasabinotch/lab/simhttp"
	"github.com/wasabinotch/wasabinotch/settings"
)

// fakeSystem replaces entries and agents. All entries share its state and call the
// endpoints directly, with faults that a test can switch on.
type fakeSystem struct {
	mu               sync.Mutex
	entries          []settings.Entry
	agents           []settings.Agent
	version          uint64
	revision         uint64
	outZone          string
	ignoreZoneOut    bool // keep sending work to a zone that is out of service
	duplicateOrders  bool // send each order to two endpoints
	issuedIdentities int
}

func (f *fakeSystem) deps() Deps {
	return Deps{
		NewEntry: func(s settings.Entry, _ logr.Logger) (Runner, error) {
			f.entries = append(f.entries, s)
			return &fakeEntry{f, s}, nil
		},
		NewAgent: func(s settings.Agent, _ logr.Logger) (Runner, error) {
			f.agents = append(f.agents, s)
			return fakeAgent{}, nil
		},
		SignBundle: func(b bundle.Bundle, _ []deploy.Key) (bundle.Signed, error) { return bundle.Signed{Bundle: b}, nil },
		SignIntent: func(in bundle.Intent, _ deploy.Key) (bundle.Intent, error) { return in, nil },
	}
}

type fakeAgent struct{}

func (fakeAgent) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

type fakeEntry struct {
	*fakeSystem
	settings settings.Entry
}

func (e *fakeEntry) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(api.PathResolve, e.resolve)
	mux.HandleFunc(api.PathStatus, e.status)
	mux.HandleFunc(api.PathAdminBundle, e.rollOut)
	mux.HandleFunc(api.PathAdminIntents, e.intent)
	mux.HandleFunc(api.PathGenerate, e.generate)
	mux.HandleFunc(api.PathCall, e.handleCall)
	s, err := simhttp.Listen(e.settings.HTTPAddr, mux)
	if err != nil {
		return err
	}
	defer s.Close()
	<-ctx.Done()
	return nil
}

func (e *fakeEntry) resolve(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.issuedIdentities++
	r := api.ResolveResponse{ValidMS: 1000, OrderEpoch: 1, OrderIdentity: fmt.Sprintf("o1.a.1.1.%d", e.issuedIdentities)}
	for _, s := range e.entries {
		r.Entries = append(r.Entries, api.ResolvedEntry{Address: s.HTTPAddr, Zone: s.Zone})
	}
	simhttp.WriteJSON(w, http.StatusOK, r)
}

func (e *fakeEntry) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := api.Status{NodeID: e.settings.ID, State: "ready", BundleVersion: e.version, IntentsRev: e.revision}
	for _, o := range e.entries {
		s.Nodes = append(s.Nodes, api.NodeStatus{NodeID: o.ID, State: "ready", BundleVersion: e.version})
	}
	for _, a := range e.agents {
		s.Nodes = append(s.Nodes, api.NodeStatus{NodeID: a.ID, State: "ready", BundleVersion: e.version})
	}
	simhttp.WriteJSON(w, http.StatusOK, s)
}

func (e *fakeEntry) rollOut(w http.ResponseWriter, r *http.Request) {
	var s bundle.Signed
	if !simhttp.ReadJSON(w, r, &s) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = s.Bundle.Version
	simhttp.WriteJSON(w, http.StatusOK, api.AdminResult{Accepted: true})
}

func (e *fakeEntry) intent(w http.ResponseWriter, r *http.Request) {
	var in bundle.Intent
	if !simhttp.ReadJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revision, e.outZone = in.Revision, ""
	if in.Out && !e.ignoreZoneOut {
		e.outZone = in.Target
	}
	simhttp.WriteJSON(w, http.StatusOK, api.AdminResult{Accepted: true, ConfirmedZones: []string{e.settings.Zone}})
}

func (e *fakeEntry) generate(w http.ResponseWriter, r *http.Request) {
	var q api.GenerateRequest
	if !simhttp.ReadJSON(w, r, &q) {
		return
	}
	id, n := r.Header.Get(api.HeaderRequestID), enginesim.TokenCount(q.Prompt, q.MaxTokens)
	for i := range n {
		data, _ := json.Marshal(api.TokenEvent{RequestID: id, Position: i, Text: enginesim.CompletionToken(q.Prompt, i)})
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	}
	data, _ := json.Marshal(api.EndEvent{RequestID: id, Tokens: n})
	_, _ = fmt.Fprintf(w, "event: end\ndata: %s\n\n", data)
}

// pickEndpoint returns the address of a random order endpoint in a zone that is in
// service.
func (e *fakeEntry) pickEndpoint() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		a := e.agents[rand.IntN(len(e.agents))]
		if a.Service == "desk" && a.Zone != e.outZone {
			return a.EndpointAddr
		}
	}
}

func (e *fakeEntry) handleCall(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	path := strings.TrimPrefix(r.URL.Path, api.PathCall+"desk")
	e.forwardToEndpoint(w, r.Method, path, body)
	if e.duplicateOrders && r.Method == http.MethodPost {
		e.forwardToEndpoint(nil, r.Method, path, body)
	}
}

func (e *fakeEntry) forwardToEndpoint(w http.ResponseWriter, method, path string, body []byte) {
	q, _ := http.NewRequest(method, "http://"+e.pickEndpoint()+path, bytes.NewReader(body))
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if w != nil {
		_, _ = io.Copy(w, resp.Body)
	}
}

func runFake(f *fakeSystem, phase time.Duration) (string, error) {
	var out bytes.Buffer
	err := Run(context.Background(), f.deps(), Options{PhaseDuration: phase, ModelRate: 20, StockRate: 50, OrderRate: 50}, &out)
	return out.String(), err
}

// Guards against a demo that reports a violation although the system has no faults.
func TestHealthySystem(t *testing.T) {
	is := is.New(t)
	out, err := runFake(&fakeSystem{}, 500*time.Millisecond)
	is.NoErr(err)
	is.True(strings.Contains(out, "9 of 9 nodes"))
	is.True(strings.Contains(strings.Join(strings.Fields(out), " "), "violations none"))
	t.Log("\n" + out)
}

// Guards against a demo that succeeds although a guarantee was violated: by orders
// that run twice, or by a zone that gets work while it is out of service.
func TestViolations(t *testing.T) {
	is := is.New(t)
	_, err := runFake(&fakeSystem{duplicateOrders: true}, 300*time.Millisecond)
	is.True(err != nil && strings.Contains(err.Error(), "ran more than once"))
	_, err = runFake(&fakeSystem{ignoreZoneOut: true}, maxNewWorkDelay+500*time.Millisecond)
	is.True(err != nil && strings.Contains(err.Error(), "after it was taken out"))
}
