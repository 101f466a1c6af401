// Package forward is the request path of an entry whose endpoints speak plain
// HTTP. A chain of filters sends a caller's request to an endpoint and relays
// the response:
//
//	identify -> authorise -> read body -> acquire an endpoint -> send -> relay
//
// A request that must not run twice is sent again only if it certainly did not
// run. A response is relayed only if it is complete and belongs to the caller's
// request.
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
	"github.com/wasabinotch/wasabinotch/limits"
	"github.com/wasabinotch/wasabinotch/placement"
	"github.com/wasabinotch/wasabinotch/quarantine"
	"github.com/wasabinotch/wasabinotch/routing"
	"github.com/wasabinotch/wasabinotch/upstream"
)

// Headers names the headers that callers and endpoints use.
type Headers struct {
	RequestID string
	// Deadline holds the time in milliseconds that the sender still waits.
	Deadline string
	// Target holds the ID of the only endpoint that may run the request.
	Target string
	// Organisation names the caller's organisation to the endpoint.
	Organisation string
	// Signature is present in responses that the endpoint itself produced.
	Signature string
	// NotRun is present if the endpoint did not run the request.
	NotRun string
	// Load holds the endpoint's load at the time of its response.
	Load string
	// RateLimit holds the requests a second that the endpoint accepts from all
	// entries together.
	RateLimit string
	// Leaving is present in the responses of an endpoint that is about to end.
	Leaving string
	// FailedRank names the failed rank on which the rejecting endpoint depends.
	FailedRank string
	// Priority holds the request's priority in the endpoint's queue. A value
	// set by the caller is removed.
	Priority string
	// TokenUsage holds the number of tokens of the prompt and the maximum
	// number of tokens of the response.
	TokenUsage string
	// LengthHint holds the number of tokens of the response that the caller expects.
	LengthHint string
	// PromptParts names the parts of the prompt.
	PromptParts string
	// LastEventID holds the ID of the last event that the receiver has.
	LastEventID string
	// Model names the requested model, ExpectVersion the version of its weights
	// that must serve the request.
	Model, ExpectVersion string
}

// Config configures a Handler.
type Config struct {
	Headers Headers
	// ParseLoad decodes the value of the load header.
	ParseLoad func(string) (fleet.Load, bool)
	// ParseRateLimit decodes the value of the rate limit header.
	ParseRateLimit func(string) (fleet.RateLimit, bool)
	// TellRateLimit is called with the rate limit of an endpoint that the other entries
	// should be told. It must not block.
	TellRateLimit func(endpoint string, l fleet.RateLimit)
	// ParseLeaving decodes the value of the leaving header.
	ParseLeaving func(string) bool
	// TellLeaving is called with an endpoint that leaves, for the other entries to be
	// told. It must not block.
	TellLeaving func(fleet.Run)
	// ParsePause decodes the Retry-After header of an endpoint's rejection: the time for
	// which it asks this entry to send it nothing, 0 for none. It returns false for a
	// value that names no time.
	ParsePause func(string) (time.Duration, bool)
	// SharedParts returns the IDs of the prompt parts in the value of the
	// PromptParts header that other requests may have too.
	SharedParts func(string) []string
	// ParseWork decodes the values of the headers TokenUsage, LengthHint and PromptParts.
	ParseWork func(tokenUsage, lengthHint, promptParts string) fleet.Work
	// FormatPriority encodes a request's place among the given number of ranks of its
	// service, from 0 for the most urgent one, as the value of the Priority header.
	FormatPriority func(place, ranks int, late bool) string
	// Quarantine holds the prompt parts that crash endpoints.
	Quarantine *quarantine.Tracker
	Fleet      *fleet.Fleet
	Client     *upstream.Client
	// Memory is the budget of what is held for callers; nil for no bound.
	Memory *limits.Memory
	// Log gets one line for each request. It should limit the rate of lines.
	Log   logr.Logger
	Stats *Stats
	// RetryRatio, RetrySlack and RetryWindow bound the retries to one service by
	// all entries together: RetryRatio for each request and RetrySlack more
	// within RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}

// Handler serves callers' requests.
type Handler struct {
	cfg     Config
	current atomic.Pointer[routing.Config]
	// drain is nil until the process drains.
	drain  atomic.Pointer[Drain]
	active atomic.Int64
	// partialBytes is the size of the incomplete events that streams hold, see partialEvent.
	partialBytes atomic.Int64

	mu           sync.Mutex
	retryBudgets map[string]*fleet.RetryBudget
}

// New returns a handler that refuses requests with status 503 until SetConfig
// has given it a configuration.
func New(cfg Config) *Handler {
	if cfg.Memory == nil {
		cfg.Memory = limits.NewMemory(0, nil)
	}
	return &Handler{cfg: cfg, retryBudgets: make(map[string]*fleet.RetryBudget)}
}

// SetConfig puts a configuration in force and reports whether it did. One that
// isn't newer than the current one is ignored.
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

// StartDrain refuses the requests that d doesn't accept from now on, and makes all further
// responses ask the caller to close its connection. Requests in progress continue.
func (h *Handler) StartDrain(d Drain) { h.drain.Store(&d) }

// Active returns the number of requests in the handler.
func (h *Handler) Active() int64 { return h.active.Load() }

func (h *Handler) retryBudget(service string) *fleet.RetryBudget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.retryBudgets[service]
	if b == nil {
		b = fleet.NewRetryBudget(h.cfg.RetryRatio, h.cfg.RetrySlack, h.cfg.RetryWindow)
		h.retryBudgets[service] = b
	}
	return b
}

// exchange is one caller's request and its response while they pass through
// the filters.
type exchange struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	config  *routing.Config
	arrived time.Time

	requestID string
	// target is the request target as the caller sent it.
	target       string
	route        *routing.Route
	service      string
	organisation *routing.Organisation
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	body     limits.Body
	// claim is what the exchange holds of Config.Memory; bodyRead is set once the whole
	// body was read, writing while a part of the response is written. endedRead is set if
	// the entry itself ended the read of the body: package http then cancels the context
	// of the request, as if the caller had disconnected.
	claim     *limits.Claim
	bodyRead  bool
	endedRead bool
	writing   atomic.Bool

	// attempts counts the attempts that reached an endpoint, tried lists the endpoints
	// of all attempts.
	attempts int
	tried    []*fleet.Endpoint
	// work is what the request is expected to cost the endpoint.
	work fleet.Work
	// promptParts lists the prompt parts that other requests may have too.
	promptParts []string
	// brokeOff is set if the endpoint broke off the last attempt before its answer
	// began.
	brokeOff bool
	// heldFor is the time after which the request may return if a part of its prompt
	// is held.
	heldFor time.Duration
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// retryReserved is set if the retry for the next attempt was already taken
	// from the budget.
	retryReserved atomic.Bool
	// waited is the total time spent waiting for an endpoint.
	waited time.Duration
	// responseStarted is set once the caller has received a part of its
	// response. Unlike response.started it may be read by other goroutines.
	responseStarted atomic.Bool
	response        callerResponse
	// lastEndpoint is the endpoint acquired last; lastLoad and lastLoadAge are
	// the load that decided the choice and its age.
	lastEndpoint string
	lastLoad     int
	lastLoadAge  time.Duration
	// lastStepTime is the duration of an engine step there.
	lastStepTime time.Duration
	// lastRateLimit is the rate limit of the endpoint acquired last.
	lastRateLimit fleet.RateLimit
	// lastScore is the cost at which the endpoint acquired last was chosen.
	lastScore placement.Score
	cause     error
}

// filter is one stage of the chain. A non-nil refusal ends the request.
type filter func(x *exchange) *api.Refusal

var filters = []filter{(*exchange).identify, (*exchange).authorise, (*exchange).readBody, (*exchange).serve}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	x := &exchange{handler: h, w: w, r: r, config: h.current.Load(), arrived: time.Now()}
	x.claim = h.cfg.Memory.Claim(limits.Host(r.RemoteAddr), x.revoke)
	defer x.claim.Release()
	if h.drain.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	for _, f := range filters {
		if refusal := f(x); refusal != nil {
			x.refuse(refusal)
			break
		}
	}
	x.finish()
	if x.response.mustAbort {
		// Aborts the connection, so that the caller doesn't take a truncated
		// response for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// remaining returns the time until the deadline.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// context returns a context that ends when the caller disconnects or at the
// deadline.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	return context.WithDeadline(x.r.Context(), x.deadline)
}

// callerDisconnected reports whether the caller closed its connection.
func (x *exchange) callerDisconnected() bool { return x.r.Context().Err() != nil }
