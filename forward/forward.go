// Package forward is the request path of an entry whose endpoints speak plain
// HTTP: a chain of filters from a caller's request to an endpoint's answer.
//
//	identify -> authorise -> read body -> place -> send -> relay
//
// A request that may not be repeated is sent again only if it certainly did
// not run. An answer is passed on only if it is whole and the caller's own.
package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/routing"
	"github.com/wasabinotch/wasabinotch/upstream"
)

// Headers names the headers that callers and endpoints use.
type Headers struct {
	RequestID string
	// Deadline carries the milliseconds that the sender waits.
	Deadline string
	// Target carries the ID of the only endpoint that may run the request.
	Target string
	// Organisation names the caller's organisation to the endpoint.
	Organisation string
	// Signature marks an answer that an endpoint made itself.
	Signature string
	// NotRun says that the endpoint didn't run the request.
	NotRun string
	// Load is the endpoint's load at the time of its answer.
	Load string
	// FailedRank names the rank on which the answering rank depends.
	FailedRank string
	// Priority is the request's rank in the endpoint's queue.
	Priority string
	// TokenUsage holds the tokens of the prompt and the most tokens of the answer.
	TokenUsage string
	// PromptParts names the shared parts of the prompt.
	PromptParts string
	// LastEventID is the ID of the last event that the receiver has.
	LastEventID string
	// Model names the model that is asked for, ExpectVersion the version of its
	// weights that must answer.
	Model, ExpectVersion string
}

// Config configures a Handler.
type Config struct {
	Headers Headers
	// ParseLoad decodes the value of the load header.
	ParseLoad func(string) (fleet.Load, bool)
	Fleet     *fleet.Fleet
	Client    *upstream.Client
	// Log gets one line for each request; its volume is the caller's to bound.
	Log   logr.Logger
	Stats *Stats
	// RetryRatio, RetrySlack and RetryWindow bound the repeats to one
	// service over all entries.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}

// Handler serves callers' requests.
type Handler struct {
	cfg     Config
	current atomic.Pointer[routing.Config]
	// leaving is set once the process drains; refusing once it takes no more work.
	leaving, refusing atomic.Bool
	active            atomic.Int64

	mu      sync.Mutex
	budgets map[string]*fleet.RetryBudget
}

// New returns a handler that answers 503 until it has a configuration.
func New(cfg Config) *Handler {
	return &Handler{cfg: cfg, budgets: make(map[string]*fleet.RetryBudget)}
}

// SetConfig puts a configuration in force. An older one than the current is ignored.
func (h *Handler) SetConfig(c *routing.Config) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if h.current.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Config returns the configuration in force, or nil.
func (h *Handler) Config() *routing.Config { return h.current.Load() }

// CloseConnections asks callers to close their connections from now on.
func (h *Handler) CloseConnections() { h.leaving.Store(true) }

// RefuseRequests refuses new requests from now on; running ones go on.
func (h *Handler) RefuseRequests() { h.refusing.Store(true) }

// Active returns the number of requests in the handler.
func (h *Handler) Active() int64 { return h.active.Load() }

func (h *Handler) budget(service string) *fleet.RetryBudget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[service]
	if b == nil {
		b = fleet.NewRetryBudget(h.cfg.RetryRatio, h.cfg.RetrySlack, h.cfg.RetryWindow)
		h.budgets[service] = b
	}
	return b
}

// exchange is one request on its way through the filters.
type exchange struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	cfg     *routing.Config
	arrived time.Time

	id string
	// target is the request target as the caller sent it.
	target       string
	route        *routing.Route
	service      string
	organisation *routing.Organisation
	// deadline is when the caller or the route's timeout ends the wait.
	deadline time.Time
	priority int
	body     []byte

	attempts int
	tried    []*fleet.Endpoint
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// reserved is set if the next attempt's repeat was taken from the budget.
	reserved atomic.Bool
	waited   time.Duration
	// begun is set once the caller has got a part of its answer.
	begun atomic.Bool
	// relay is the state of the answer to the caller.
	relay relay
	// endpoint, load and age are the last placement and what decided it.
	endpoint string
	load     int
	age      time.Duration
	cause    error
}

// filter is one stage. It returns a refusal to end the request.
type filter func(x *exchange) *api.Refusal

var filters = []filter{(*exchange).identify, (*exchange).authorise, (*exchange).readBody, (*exchange).serve}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	x := &exchange{h: h, w: w, r: r, cfg: h.current.Load(), arrived: time.Now()}
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	for _, f := range filters {
		if refusal := f(x); refusal != nil {
			x.refuse(refusal)
			break
		}
	}
	x.finish()
	if x.relay.broken {
		// The caller must not take a cut answer for a whole one.
		panic(http.ErrAbortHandler)
	}
}

// remaining returns the time until the deadline.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// context returns a context that ends with the caller's connection or at the deadline.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	return context.WithDeadline(x.r.Context(), x.deadline)
}

// callerLeft reports whether the caller closed its connection.
func (x *exchange) callerLeft() bool { return x.r.Context().Err() != nil }
