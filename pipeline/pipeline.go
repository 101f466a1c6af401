package pipeline

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/balance"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/httpguard"
	"github.com/wasabinotch/wasabinotch/intake"
	"github.com/wasabinotch/wasabinotch/limits"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/peer"
)

// Config holds the dependencies and settings of a Pipeline.
type Config struct {
	// EntryID is the node ID of this entry.
	EntryID  string
	View     control.View
	Binder   order.Binder
	Balancer *balance.Balancer
	Clock    clockwork.Clock
	Log      logr.Logger
	// ExecuteToken is the bearer token that agents expect, see wire.ExecuteToken.
	ExecuteToken string
	// MaxBodyBytes bounds a request body, in bytes.
	MaxBodyBytes int64
	// Dial opens connections to agents; nil means the default dialer.
	Dial peer.DialFunc
	// Memory is the budget of the entry for what it holds for its peers; nil
	// means no bound.
	Memory *limits.Memory
}

// Pipeline is the http.Handler of callers' requests.
type Pipeline struct {
	Config
	client           *http.Client
	budget           *balance.RetryBudget
	decisions        *Decisions
	running          *runningCalls
	handle           handler
	draining         atomic.Bool
	admissionStopped atomic.Bool
}

// handler processes a call. It returns nil if the caller got the complete
// response.
type handler func(c *call) *failure

// filter wraps a handler with one step of request processing.
type filter func(next handler) handler

const (
	// dialTimeout bounds the time to connect to an agent. Agents are at most a
	// few milliseconds away, so a longer wait means that the node is
	// unreachable.
	dialTimeout = time.Second
	// idleConnsPerAgent is the number of idle connections kept to each agent.
	idleConnsPerAgent = 32
)

// New returns a pipeline.
func New(cfg Config) *Pipeline {
	if cfg.Memory == nil {
		cfg.Memory = limits.NewMemory(0, nil)
	}
	p := &Pipeline{
		Config:    cfg,
		budget:    balance.NewRetryBudget(),
		decisions: &Decisions{},
		running:   newRunningCalls(),
	}
	p.client = &http.Client{Transport: httpguard.NewTransport(&http.Transport{
		DialContext:         dialWithin(cfg.Dial),
		MaxIdleConnsPerHost: idleConnsPerAgent,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	})}
	p.handle = compose(
		p.account,  // counts and logs the call, reports its failure to the caller
		p.identify, // checks headers, API key and body
		p.classify, // finds the service, whether the call is an order, and its cost
		p.admit,    // checks whether this entry may accept the call
		p.choose,   // selects endpoints; retries, resumes, binds orders
		p.dispatch, // sends the attempt to the agent
		p.relay,    // passes checked frames to the caller
	)
	return p
}

// dialWithin returns dial with dialTimeout as its time limit.
func dialWithin(dial peer.DialFunc) peer.DialFunc {
	if dial == nil {
		dial = peer.DialFrom("")
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
}

// compose chains filters; the first one runs first.
func compose(filters ...filter) handler {
	h := handler(func(*call) *failure { return nil })
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// ServeHTTP implements http.Handler.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snap := p.View.Snapshot()
	if snap.Bundle != nil {
		w.Header().Set(api.HeaderBundle, fmt.Sprintf("%d %s", snap.Bundle.Version, snap.BundleDigest))
	}
	if p.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if strings.HasPrefix(r.URL.Path, api.PathRequests) {
		p.serveCancel(w, r, snap)
		return
	}
	claim := intake.NewClaim(p.Memory, w, r)
	defer claim.Release()
	p.handle(&call{w: w, r: r, started: p.Clock.Now(), snap: snap, claim: claim})
}

// StartDrain adds "Connection: close" to all later responses, which asks
// callers to open no further connections to this entry.
func (p *Pipeline) StartDrain() { p.draining.Store(true) }

// StopAdmitting refuses new requests from now on. Running requests continue.
func (p *Pipeline) StopAdmitting() { p.admissionStopped.Store(true) }

// Decisions returns the recent routing decisions.
func (p *Pipeline) Decisions() *Decisions { return p.decisions }
