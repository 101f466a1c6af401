package entry

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport/http"
	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/wasabinotch/wasabinotch/balance"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/intake"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/peer"
	"github.com/wasabinotch/wasabinotch/pipeline"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Control is the part of the control loop that an entry uses.
type Control interface {
	control.View
	control.Admin
	control.Lifecycle
}

// Deps holds the components from which an entry is assembled.
type Deps struct {
	Control Control
	Binder  order.Binder
	Clock   clockwork.Clock
	// Dial opens connections to agents; nil for the default.
	Dial peer.DialFunc
	// Intake bounds what the entry holds for its peers; nil for the bounds of the settings.
	Intake *intake.Intake
	// Background holds the long-running components: control loop, net/rpc server, order
	// journal and expert map coordinator. Each returns once its context ends.
	Background []func(context.Context) error
}

// Entry is the proxy process between callers and agents.
type Entry struct {
	settings settings.Entry
	deps     Deps
	log      logr.Logger
	balancer *balance.Balancer
	pipeline *pipeline.Pipeline
	intake   *intake.Intake
	// rendering holds an element for each response of another kind than the pipeline's
	// that is being assembled.
	rendering chan struct{}
	listener  net.Listener
	server    *http.Server
	// epochMissingSince is the time at which resolve first found that the journal had
	// not read the order epoch; nil if it never did.
	epochMissingSince atomic.Pointer[time.Time]
}

// New returns an entry with the components used in production. It opens the HTTP and
// net/rpc listeners.
func New(s settings.Entry, log logr.Logger) (*Entry, error) {
	in := newIntake(s, log)
	deps, err := assemble(s, in, log)
	if err != nil {
		return nil, err
	}
	return NewWithDeps(s, deps, log)
}

// newIntake returns the bounds of the entry's peers.
func newIntake(s settings.Entry, log logr.Logger) *intake.Intake {
	return intake.New(s.Node, wire.CallerWriteTimeout, log)
}

// NewWithDeps returns an entry with the given components. It opens the HTTP listener.
func NewWithDeps(s settings.Entry, deps Deps, log logr.Logger) (*Entry, error) {
	key, err := s.DecodedAuthKey()
	if err != nil {
		return nil, err
	}
	if deps.Intake == nil {
		deps.Intake = newIntake(s, log)
	}
	e := &Entry{settings: s, deps: deps, log: log.WithName("entry"), intake: deps.Intake, rendering: make(chan struct{}, maxRendering)}
	e.balancer = balance.New(s.ID, s.Zone)
	e.pipeline = pipeline.New(pipeline.Config{
		EntryID:      s.ID,
		View:         deps.Control,
		Binder:       deps.Binder,
		Balancer:     e.balancer,
		Clock:        deps.Clock,
		Log:          log.WithName("pipeline"),
		ExecuteToken: wire.ExecuteToken(key),
		MaxBodyBytes: s.MaxBodyBytes,
		Dial:         deps.Dial,
		Memory:       deps.Intake.Memory,
	})
	ln, err := settings.Listen("http_listen", s.HTTPBind())
	if err != nil {
		return nil, err
	}
	e.listener = e.intake.HTTP.Listener(ln)
	e.server = e.newHTTPServer()
	return e, nil
}

// Run serves until ctx ends, drains and returns. If a component fails, Run stops without
// a drain and returns the error.
func (e *Entry) Run(ctx context.Context) error {
	// The components run until the drain that follows the end of ctx is complete.
	componentCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, componentCtx := errgroup.WithContext(componentCtx)
	for _, component := range e.deps.Background {
		group.Go(func() error { return ignoreCancellation(component(componentCtx)) })
	}
	group.Go(func() error { return e.server.Start(context.WithoutCancel(ctx)) })
	group.Go(func() error { return e.announceReady(ctx, componentCtx) })
	select {
	case <-ctx.Done():
		e.drain(componentCtx)
	case <-componentCtx.Done():
		e.log.Info("Stopping because a component failed.")
	}
	_ = e.server.Close() // closes the remaining connections after a failed component
	stop()
	return trace.Wrap(group.Wait())
}

// readyPollInterval is the interval at which a starting entry checks whether it can
// serve.
const readyPollInterval = 50 * time.Millisecond

// announceReady sets the state ready once a confirmed bundle is in force.
func (e *Entry) announceReady(ctx, componentCtx context.Context) error {
	ticker := e.deps.Clock.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		snap := e.deps.Control.Snapshot()
		if snap.Bundle != nil && snap.Confirmed(e.deps.Clock.Now()) {
			e.deps.Control.SetState(wire.StateReady)
			e.log.Info("Entry is ready.", "bundle", snap.Bundle.Version)
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-componentCtx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// ignoreCancellation returns nil for the error of a component whose context was
// cancelled, else err.
func ignoreCancellation(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}
