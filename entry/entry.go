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

// Deps are the parts that an entry is assembled from.
type Deps struct {
	Control Control
	Binder  order.Binder
	Clock   clockwork.Clock
	// Dial opens connections to agents; nil for the default.
	Dial peer.DialFunc
	// Background holds long-running parts: control loop, net/rpc server,
	// rank coordinators. Each returns once its context ends.
	Background []func(context.Context) error
}

// Entry is one entry process.
type Entry struct {
	set      settings.Entry
	deps     Deps
	log      logr.Logger
	balancer *balance.Balancer
	pipeline *pipeline.Pipeline
	listener net.Listener
	server   *http.Server
	// epochMissed is when resolve first found that the order epoch was not
	// read; nil for never.
	epochMissed atomic.Pointer[time.Time]
}

// New returns an entry with the real parts.
func New(s settings.Entry, log logr.Logger) (*Entry, error) {
	deps, err := assemble(s, log)
	if err != nil {
		return nil, err
	}
	return NewWith(s, deps, log)
}

// NewWith returns an entry with the given parts. It opens the HTTP listener.
func NewWith(s settings.Entry, deps Deps, log logr.Logger) (*Entry, error) {
	key, err := s.DecodedAuthKey()
	if err != nil {
		return nil, err
	}
	e := &Entry{set: s, deps: deps, log: log.WithName("entry")}
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
	})
	e.listener, err = settings.Listen("http_listen", s.HTTPBind())
	if err != nil {
		return nil, err
	}
	e.server = e.newServer()
	return e, nil
}

// Run serves until ctx ends, and returns after a graceful drain.
func (e *Entry) Run(ctx context.Context) error {
	// The parts outlive ctx by the time of the drain.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	for _, part := range e.deps.Background {
		group.Go(func() error { return ignoreEnd(part(running)) })
	}
	group.Go(func() error { return e.server.Start(context.WithoutCancel(ctx)) })
	group.Go(func() error { return e.announce(ctx, running) })
	select {
	case <-ctx.Done():
		e.drain(running)
	case <-running.Done():
		e.log.Info("stopping because a part failed")
	}
	_ = e.server.Close() // ends what is left after a failed part
	stop()
	return trace.Wrap(group.Wait())
}

// readyInterval is the time between two checks whether the entry can serve.
const readyInterval = 50 * time.Millisecond

// announce sets the state ready once a confirmed bundle is in force.
func (e *Entry) announce(ctx, running context.Context) error {
	ticker := e.deps.Clock.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		snap := e.deps.Control.Snapshot()
		if snap.Bundle != nil && snap.Confirmed(e.deps.Clock.Now()) {
			e.deps.Control.SetState(wire.StateReady)
			e.log.Info("ready", "bundle", snap.Bundle.Version)
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-running.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// ignoreEnd drops the error of a part that was asked to end.
func ignoreEnd(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}
