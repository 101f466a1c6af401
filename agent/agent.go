package agent

import (
	"context"
	"net"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/gate"
	"github.com/wasabinotch/wasabinotch/membership"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/peer"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// readyPoll is the interval at which a starting agent looks for its endpoint.
	readyPoll = 50 * time.Millisecond
	// linger is how long a drained agent still announces its heirs; agents
	// report every 250 ms.
	linger = time.Second
	// stopTimeout bounds the end of connections after the drain.
	stopTimeout = 2 * time.Second
)

// Agent is the daemon on an endpoint VM.
type Agent struct {
	settings settings.Agent
	deps     Deps
	log      logr.Logger
	token    string

	gate    *gate.Gate
	orders  *order.Table
	control Control
	rank    MapLoader
	pool    *peer.Pool
	rpc     *peer.Server
	http    *khttp.Server

	httpListener net.Listener
	rpcListener  net.Listener
	// announced is closed when the agent no longer waits to announce that it
	// is ready, so that this cannot follow the announcement that it leaves.
	announced chan struct{}
}

// New builds an agent from validated settings and opens its listeners.
func New(s settings.Agent, log logr.Logger) (*Agent, error) {
	return NewWithDeps(s, log, defaultDeps())
}

// NewWithDeps builds an agent from the given parts.
func NewWithDeps(s settings.Agent, log logr.Logger, deps Deps) (*Agent, error) {
	key, err := s.DecodedAuthKey()
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings:  s,
		deps:      deps,
		log:       log,
		token:     wire.ExecuteToken(key),
		pool:      peer.NewPoolWithDialer(key, peer.DialFrom(s.SourceIP)),
		announced: make(chan struct{}),
	}
	if err := a.assemble(key); err != nil {
		return nil, err
	}
	if err := a.listen(); err != nil {
		return nil, err
	}
	a.http = a.newHTTP(a.httpListener)
	return a, nil
}

func (a *Agent) assemble(key []byte) error {
	self := a.self()
	a.orders = order.NewTable(order.TableConfig{
		Self:  order.Binding{AgentID: self.ID, Incarnation: self.Incarnation},
		Clock: a.deps.Clock,
		Log:   a.log.WithName("order"),
	})
	var err error
	a.control, err = a.deps.NewControl(ControlConfig{
		Self:     self,
		Settings: a.settings,
		Pool:     a.pool,
		Clock:    a.deps.Clock,
		Log:      a.log,
		Load:     func() wire.Load { return a.gate.Load() },
	})
	if err != nil {
		return trace.Wrap(err)
	}
	a.gate = gate.New(gate.Config{
		Self:         self,
		EndpointAddr: a.settings.EndpointAddr,
		View:         a.control,
		OrderTable:   a.orders,
		Clock:        a.deps.Clock,
		Log:          a.log.WithName("gate"),
	})
	a.rank = a.deps.NewMapLoader(a.settings, a.pool, a.log.WithName("rank"))
	a.rpc = peer.NewServer(key, a.log.WithName("peer"))
	return trace.Wrap(a.rpc.Register(wire.AgentService, &rpcService{agent: a}))
}

// listen opens both listeners, so that an address in use is reported by New.
func (a *Agent) listen() error {
	var err error
	if a.httpListener, err = settings.Listen("http_listen", a.settings.HTTPBind()); err != nil {
		return err
	}
	if a.rpcListener, err = settings.Listen("rpc_listen", a.settings.RPCBind()); err != nil {
		_ = a.httpListener.Close()
		return err
	}
	return nil
}

// self returns the node record with a new incarnation.
func (a *Agent) self() wire.Node {
	s := a.settings
	return wire.Node{
		ID:          s.ID,
		Role:        wire.RoleAgent,
		VM:          s.VM,
		Zone:        s.Zone,
		HTTPAddr:    s.HTTPAddr,
		RPCAddr:     s.RPCAddr,
		Incarnation: membership.NewIncarnation(a.deps.Clock.Now(), 0),
		State:       wire.StateStarting,
		Service:     s.Service,
		Group:       s.Group,
		Rank:        s.Rank,
	}
}

// Run serves until ctx is cancelled, then drains and returns.
func (a *Agent) Run(ctx context.Context) error {
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, base := errgroup.WithContext(base)
	group.Go(func() error { return ignoreStop(a.control.Run(base)) })
	group.Go(func() error { a.gate.Run(base); return nil })
	if a.rank != nil {
		group.Go(func() error { return ignoreStop(a.rank.Run(base)) })
	}
	group.Go(func() error { return ignoreStop(a.http.Serve(a.httpListener)) })
	group.Go(func() error { a.rpc.Serve(a.rpcListener); return nil })
	group.Go(func() error { a.announceReady(ctx, base); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			a.drain(base)
		case <-base.Done():
		}
		a.close()
		stop()
		return nil
	})
	a.log.Info("agent started", "http", a.settings.HTTPAddr, "rpc", a.settings.RPCAddr, "service", a.settings.Service)
	err := group.Wait()
	a.log.Info("agent stopped")
	return err
}

// announceReady announces the agent once its endpoint may get work.
func (a *Agent) announceReady(ctx, base context.Context) {
	defer close(a.announced)
	ticker := a.deps.Clock.NewTicker(readyPoll)
	defer ticker.Stop()
	for !a.gate.EndpointReady() {
		select {
		case <-ctx.Done():
			return
		case <-base.Done():
			return
		case <-ticker.Chan():
		}
	}
	if ctx.Err() == nil {
		a.control.SetState(wire.StateReady)
	}
}

// close ends the servers.
func (a *Agent) close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := a.http.Shutdown(ctx); err != nil {
		_ = a.http.Close()
	}
	_ = a.rpcListener.Close()
	a.rpc.Close()
	a.pool.Close()
}

var _ control.LoadSource = (*gate.Gate)(nil).Load
