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

// fakeEntry answers as an entry does, with defects that can be switched on.
type fakeEntry struct {
	*httptest.Server
	prompt   func(own string) string // prompt whose tokens are sent
	cutAfter int                     // tokens before a stream is cut; 0 for never
	refuse   int                     // calls to refuse as not run
	lose     bool                    // lose the first answer to each order
	repeats  bool                    // run an order again when it is repeated

	mu       sync.Mutex
	issued   int
	attempts map[string][]string // Wasabinotch-Attempt by identity
	ledger   map[string]int
}

func newFakeEntry(t *testing.T) *fakeEntry {
	f := &fakeEntry{
		prompt:   func(own string) string { return own },
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
	f.issued++
	simhttp.WriteJSON(w, http.StatusOK, api.ResolveResponse{
		Entries:       []api.ResolvedEntry{{Address: f.addr()}},
		ValidMS:       10_000,
		OrderIdentity: fmt.Sprintf("o1.a.1.1.%d", f.issued),
		OrderEpoch:    7,
	})
}

func (f *fakeEntry) refused(w http.ResponseWriter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse == 0 {
		return false
	}
	f.refuse--
	api.NotRun(api.KindOverloaded, "full", "retry").WriteHTTP(w)
	return true
}

func (f *fakeEntry) generate(w http.ResponseWriter, r *http.Request) {
	if f.refused(w) {
		return
	}
	var q api.GenerateRequest
	if !simhttp.ReadJSON(w, r, &q) {
		return
	}
	id, n := r.Header.Get(api.HeaderRequestID), enginesim.CompletionTokenCount(q.Prompt, q.MaxTokens)
	w.Header().Set(api.HeaderRequestID, id)
	for i := range n {
		if f.cutAfter > 0 && i == f.cutAfter {
			return
		}
		data, _ := json.Marshal(api.TokenEvent{RequestID: id, Position: i, Text: enginesim.CompletionToken(f.prompt(q.Prompt), i)})
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	}
	data, _ := json.Marshal(api.EndEvent{RequestID: id, Tokens: n, Reason: "length"})
	_, _ = fmt.Fprintf(w, "event: end\ndata: %s\n\n", data)
}

func (f *fakeEntry) stock(w http.ResponseWriter, r *http.Request) {
	kit := r.PathValue("kit")
	simhttp.WriteJSON(w, http.StatusOK, ordersim.Stock{Kit: kit, Quantity: ordersim.QuantityOf(f.prompt(kit))})
}

func (f *fakeEntry) order(w http.ResponseWriter, r *http.Request) {
	if f.refused(w) {
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
	if first || f.repeats {
		f.ledger[o.OrderNumber]++
	}
	if first && f.lose {
		simhttp.AbortConnection(w)
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, ordersim.Confirmation{OrderNumber: o.OrderNumber, Code: ordersim.ConfirmationCode(o.OrderNumber)})
}

func run(t *testing.T, f *fakeEntry, change func(c *Config)) Summary {
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

// Guards against a checker that reports faults of a system that has none.
func TestHealthy(t *testing.T) {
	is := is.New(t)
	f := newFakeEntry(t)
	f.refuse = 3
	s := run(t, f, allClasses)
	is.Equal(len(s.Violations()), 0)
	is.Equal(s.Failed(), 0)
	is.Equal(len(s.Classes), 3)
	for _, c := range s.Classes {
		is.Equal(c.Complete, c.Sent)
		is.Equal(c.Latency.Count, int64(c.Complete))
	}
	is.Equal(s.Orders.Ran, s.Orders.Placed)
}

// Guards against a checker that accepts answers to other requests or cut streams.
func TestDetectsBadAnswers(t *testing.T) {
	is := is.New(t)
	f := newFakeEntry(t)
	f.prompt = func(string) string { return "of another caller" }
	s := run(t, f, func(c *Config) { c.ModelRate, c.StockRate = 100, 100 })
	for _, c := range s.Classes {
		is.Equal(c.Complete, 0)
		is.Equal(c.Wrong, c.Sent)
	}
	f = newFakeEntry(t)
	f.cutAfter = 3
	s = run(t, f, func(c *Config) { c.ModelRate = 100 })
	is.Equal(s.Classes[0].Truncated, s.Classes[0].Sent)
	is.True(len(s.Violations()) > 0)
}

// Guards against repeats that claim to be first attempts or change the
// identity, also when net/http would repeat by itself, and against a checker
// that misses duplicates.
func TestOrdersOfUnknownOutcome(t *testing.T) {
	is := is.New(t)
	f := newFakeEntry(t)
	f.lose = true
	s := run(t, f, func(c *Config) { c.OrderRate = 100 })
	is.True(s.Orders.Placed > 5)
	is.Equal(s.Orders.Confirmed, s.Orders.Placed)
	is.Equal(s.Orders.Duplicated, 0)
	is.Equal(len(f.attempts), s.Orders.Placed)
	for _, attempts := range f.attempts {
		is.Equal(strings.Join(attempts, ","), "1,")
	}
	f = newFakeEntry(t)
	f.lose, f.repeats = true, true
	s = run(t, f, func(c *Config) { c.OrderRate = 100 })
	is.Equal(s.Orders.Duplicated, s.Orders.Placed)
	is.True(len(s.Violations()) > 0)
}

// Guards against the ledger comparison missing a lost order or a false "not run".
func TestCompare(t *testing.T) {
	is := is.New(t)
	l := &orderLog{states: map[string]orderState{"lost": orderRan, "false": orderNotRun, "open": orderUnknown, "good": orderRan}}
	o := l.compare(map[string]int{"false": 1, "open": 1, "good": 1})
	is.Equal(o, OrderSummary{Placed: 4, Ran: 3, Confirmed: 2, NotRun: 1, Unknown: 1, UnknownRan: 1, Lost: 1, FalseNotRun: 1})
}

// Guards against an identity that is kept after it was closed, one that is
// replaced while the outcome is unknown, and a first attempt claimed afterwards.
func TestSettle(t *testing.T) {
	is := is.New(t)
	c := &caller{cache: make(map[string]*cached)}
	for _, own := range []bool{false, true} {
		p := &placement{job: job{caller: c, ownKey: own}, identity: "id", key: "k", fresh: true}
		p.settle("desk", api.Unknown(api.KindEndpointFailed, "", ""))
		is.Equal(p.identity, "id")
		is.True(!p.fresh)
		is.Equal(p.resolveFailed(api.NotRun(api.KindNoEndpoint, "", "")).Outcome, api.OutcomeUnknown)
		p.settle("desk", api.NotRun(api.KindOverloaded, "", ""))
		is.Equal(p.identity == "id", own)
		p.settle("desk", api.NotRun(api.KindIdentityClosed, "", ""))
		is.Equal(p.identity, "")
		is.True(p.key != "k")
	}
}
