package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/lab/enginesim"
	"github.com/wasabinotch/wasabinotch/lab/ordersim"
	"github.com/wasabinotch/wasabinotch/lab/simhttp"
)

// fakeEntry is an HTTP server that responds as an entry does, with faults that a
// test can switch on.
type fakeEntry struct {
	*httptest.Server
	promptOf          func(requested string) string // prompt or kit that the response is generated for
	truncateAfter     int                           // tokens before a stream is truncated; 0 for never
	refuseCalls       int                           // number of calls to refuse with the outcome not run
	loseFirstResponse bool                          // drop the connection instead of sending the first response to each order
	rerunRetries      bool                          // run an order again when it is retried

	mu               sync.Mutex
	issuedIdentities int
	attempts         map[string][]string // Wasabinotch-Attempt by identity
	ledger           map[string]int
}

func newFakeEntry(t *testing.T) *fakeEntry {
	f := &fakeEntry{
		promptOf: func(requested string) string { return requested },
		attempts: make(map[string][]string),
		ledger:   make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathResolve, f.resolve)
	mux.HandleFunc("POST "+api.PathGenerate+"{service}", f.generate)
	mux.HandleFunc("GET "+api.PathCall+"{service}/stock/{kit}", f.stock)
	mux.HandleFunc("POST "+api.PathCall+"{service}/orders", f.order)
	f.Server = httptest.NewServer(mux)
	t.Cleanup(f.Close)
	return f
}

func (f *fakeEntry) addr() string { return strings.TrimPrefix(f.URL, "http://") }

func (f *fakeEntry) resolve(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.issuedIdentities++
	simhttp.WriteJSON(w, http.StatusOK, api.ResolveResponse{
		Entries:       []api.ResolvedEntry{{Address: f.addr()}},
		ValidMS:       10_000,
		OrderIdentity: fmt.Sprintf("o1.a.1.1.%d", f.issuedIdentities),
		OrderEpoch:    7,
	})
}

// writeRefusal refuses the call while refuseCalls is not 0, and reports whether it
// did.
func (f *fakeEntry) writeRefusal(w http.ResponseWriter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuseCalls == 0 {
		return false
	}
	f.refuseCalls--
	api.NotRun(api.KindOverloaded, "full", "retry").WriteHTTP(w)
	return true
}

func (f *fakeEntry) generate(w http.ResponseWriter, r *http.Request) {
	if f.writeRefusal(w) {
		return
	}
	var q api.GenerateRequest
	if !simhttp.ReadJSON(w, r, &q) {
		return
	}
	id, n := r.Header.Get(api.HeaderRequestID), enginesim.TokenCount(q.Prompt, q.MaxTokens)
	w.Header().Set(api.HeaderRequestID, id)
	for i := range n {
		if f.truncateAfter > 0 && i == f.truncateAfter {
			return
		}
		data, _ := json.Marshal(api.TokenEvent{RequestID: id, Position: i, Text: enginesim.CompletionToken(f.promptOf(q.Prompt), i)})
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	}
	data, _ := json.Marshal(api.EndEvent{RequestID: id, Tokens: n, Reason: "length"})
	_, _ = fmt.Fprintf(w, "event: end\ndata: %s\n\n", data)
}

func (f *fakeEntry) stock(w http.ResponseWriter, r *http.Request) {
	kit := r.PathValue("kit")
	simhttp.WriteJSON(w, http.StatusOK, ordersim.Stock{Kit: kit, Quantity: ordersim.QuantityOf(f.promptOf(kit))})
}

func (f *fakeEntry) order(w http.ResponseWriter, r *http.Request) {
	if f.writeRefusal(w) {
		return
	}
	var o ordersim.Order
	if !simhttp.ReadJSON(w, r, &o) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	identity := r.Header.Get(api.HeaderIdempotency)
	f.attempts[identity] = append(f.attempts[identity], r.Header.Get(api.HeaderAttempt))
	first := len(f.attempts[identity]) == 1
	if first || f.rerunRetries {
		f.ledger[o.OrderNumber]++
	}
	if first && f.loseFirstResponse {
		simhttp.AbortConnection(w)
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, ordersim.Confirmation{OrderNumber: o.OrderNumber, Code: ordersim.ConfirmationCode(o.OrderNumber)})
}

// runLoad sends 300 ms of load to the entry and returns the summary.
func runLoad(t *testing.T, f *fakeEntry, change func(c *Config)) Summary {
	t.Helper()
	c := Config{
		EntryAddrs:        []string{f.addr()},
		Organisations:     []Organisation{{Name: "org", APIKey: "key"}},
		ModelService:      "notes",
		PlainService:      "desk",
		CallerKeyFraction: 0.5,
		Duration:          300 * time.Millisecond,
	}
	change(&c)
	g, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	g.Run(context.Background())
	return g.Summary(f.ledger)
}

func allClasses(c *Config) { c.ModelRate, c.StockRate, c.OrderRate = 100, 100, 100 }

// Guards against a generator that reports violations or failures of a system that
// works correctly, refusals that are retried included.
func TestHealthy(t *testing.T) {
	is := is.New(t)
	f := newFakeEntry(t)
	f.refuseCalls = 3
	s := runLoad(t, f, allClasses)
	is.Equal(len(s.Violations()), 0)
	is.Equal(s.Failed(), 0)
	is.Equal(len(s.Classes), 3)
	for _, c := range s.Classes {
		is.Equal(c.Complete, c.Sent)
		is.Equal(c.Latency.Count, int64(c.Complete))
	}
	is.Equal(s.Orders.Ran, s.Orders.Placed)
}

// Guards against a generator that accepts responses to other requests or truncated
// streams.
func TestDetectsBadResponses(t *testing.T) {
	is := is.New(t)
	f := newFakeEntry(t)
	f.promptOf = func(string) string { return "of another caller" }
	s := runLoad(t, f, func(c *Config) { c.ModelRate, c.StockRate = 100, 100 })
	for _, c := range s.Classes {
		is.Equal(c.Complete, 0)
		is.Equal(c.Wrong, c.Sent)
	}
	f = newFakeEntry(t)
	f.truncateAfter = 3
	s = runLoad(t, f, func(c *Config) { c.ModelRate = 100 })
	is.Equal(s.Classes[0].Truncated, s.Classes[0].Sent)
	is.True(len(s.Violations()) > 0)
}

// Guards against retries of an order that carry "Wasabinotch-Attempt: 1" or change
// the identity, including retries made by net/http, after the first response was
// lost. Guards also against a comparison that misses orders that ran twice.
func TestOrdersOfUnknownOutcome(t *testing.T) {
	is := is.New(t)
	f := newFakeEntry(t)
	f.loseFirstResponse = true
	s := runLoad(t, f, func(c *Config) { c.OrderRate = 100 })
	is.True(s.Orders.Placed > 5)
	is.Equal(s.Orders.Confirmed, s.Orders.Placed)
	is.Equal(s.Orders.Duplicated, 0)
	is.Equal(len(f.attempts), s.Orders.Placed)
	for _, attempts := range f.attempts {
		is.Equal(strings.Join(attempts, ","), "1,")
	}
	f = newFakeEntry(t)
	f.loseFirstResponse, f.rerunRetries = true, true
	s = runLoad(t, f, func(c *Config) { c.OrderRate = 100 })
	is.Equal(s.Orders.Duplicated, s.Orders.Placed)
	is.True(len(s.Violations()) > 0)
}

// Guards against a ledger comparison that misses a confirmed order that did not run
// or an order that ran although it was refused as not run.
func TestCompare(t *testing.T) {
	is := is.New(t)
	l := &orderTracker{outcomes: map[string]orderOutcome{"lost": orderRan, "false_not_run": orderNotRun, "open": orderUnknown, "good": orderRan}}
	o := l.compare(map[string]int{"false_not_run": 1, "open": 1, "good": 1})
	is.Equal(o, OrderSummary{Placed: 4, Ran: 3, Confirmed: 2, NotRun: 1, Unknown: 1, UnknownRan: 1, Lost: 1, FalseNotRun: 1})
}

// Guards against an identity that is kept after it was closed or replaced while the
// outcome is unknown, and against a retry of unknown outcome that is marked as a
// first attempt.
func TestApplyRefusal(t *testing.T) {
	is := is.New(t)
	c := &caller{cache: make(map[string]*cachedResolve)}
	for _, useCallerKey := range []bool{false, true} {
		p := &pendingOrder{job: job{caller: c, useCallerKey: useCallerKey}, identity: "id", callerKey: "k", knownNotRun: true}
		p.applyRefusal("desk", api.Unknown(api.KindEndpointFailed, "", ""))
		is.Equal(p.identity, "id")
		is.True(!p.knownNotRun)
		is.Equal(p.withOutcomeSoFar(api.NotRun(api.KindNoEndpoint, "", "")).Outcome, api.OutcomeUnknown)
		p.applyRefusal("desk", api.NotRun(api.KindOverloaded, "", ""))
		is.Equal(p.identity == "id", useCallerKey)
		p.applyRefusal("desk", api.NotRun(api.KindIdentityClosed, "", ""))
		is.Equal(p.identity, "")
		is.True(p.callerKey != "k")
	}
}
