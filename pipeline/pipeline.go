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
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/peer"
)

// Config is what a Pipeline needs.
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
	// Dial opens connections to agents; nil for the default.
	Dial peer.DialFunc
}

// Pipeline is the http.Handler of callers' requests.
type Pipeline struct {
	Config
	client    *http.Client
	budget    *balance.RetryBudget
	decisions *Decisions
	running   *running
	handle    handler
	draining  atomic.Bool
	closed    atomic.Bool
}

// handler processes a call; nil means that the caller got its whole answer.
type handler func(c *call) *failure

// filter wraps a handler with one step of request processing.
type filter func(next handler) handler

const (
	// dialTimeout bounds the connection to an agent. Agents are at most a few
	// milliseconds away, so a longer wait means a lost node.
	dialTimeout = time.Second
	// idleConnsPerAgent is the number of idle connections kept to each agent.
	idleConnsPerAgent = 32
)

// New returns a pipeline.
func New(cfg Config) *Pipeline {
	p := &Pipeline{
		Config:    cfg,
		budget:    balance.NewRetryBudget(),
		decisions: &Decisions{},
		running:   newRunning(),
	}
	p.client = &http.Client{Transport: &http.Transport{
		DialContext:         dialWithin(cfg.Dial),
		MaxIdleConnsPerHost: idleConnsPerAgent,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
	p.handle = compose(
		p.account,  // counts, logs and reports the failure to the caller
		p.identify, // who asks: headers, API key, body
		p.classify, // what is asked: service, idempotent or not, cost
		p.admit,    // whether this entry may take new work
		p.choose,   // which endpoint; attempts, resumes, order bindings
		p.dispatch, // hand-over to the agent
		p.relay,    // checked frames to the caller
	)
	return p
}

// dialWithin bounds the time to open a connection.
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
	p.handle(&call{w: w, r: r, started: p.Clock.Now(), snap: snap})
}

// StartDrain asks callers to open no further connections to this entry.
func (p *Pipeline) StartDrain() { p.draining.Store(true) }

// StopAdmitting refuses new requests. Running requests continue.
func (p *Pipeline) StopAdmitting() { p.closed.Store(true) }

// Decisions returns the recent routing decisions.
func (p *Pipeline) Decisions() *Decisions { return p.decisions }
