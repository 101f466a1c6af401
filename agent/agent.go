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
	"github.com/wasabinotch/wasabinotch/intake"
	"github.com/wasabinotch/wasabinotch/membership"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/peer"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// readyPollInterval is the interval at which a starting agent checks whether its
	// endpoint is ready.
	readyPollInterval = 50 * time.Millisecond
	// successorAnnounceTime is how long a drained agent keeps reporting its successors
	// before it stops. Agents report every 250 ms.
	successorAnnounceTime = time.Second
	// stopTimeout bounds the graceful shutdown of the HTTP server after the drain.
	stopTimeout = 2 * time.Second
)

// Agent is the sidecar process on the VM of an endpoint.
type Agent struct {
	settings     settings.Agent
	deps         Deps
	log          logr.Logger
	executeToken string

	gate      *gate.Gate
	orders    *order.Table
	control   Control
	mapLoader MapLoader
	pool      *peer.Pool
	rpc       *peer.Server
	http      *khttp.Server

	intake       *intake.Intake
	httpListener net.Listener
	rpcListener  net.Listener
	// announceDone is closed when announceReady has returned. drain waits for it, so
	// that the state ready cannot be set after the state leaving.
	announceDone chan struct{}
}

// New builds an agent from validated settings and opens its listeners.
func New(s settings.Agent, log logr.Logger) (*Agent, error) {
	return NewWithDeps(s, log, defaultDeps())
}

// NewWithDeps builds an agent from validated settings with the given constructors and
// opens its listeners.
func NewWithDeps(s settings.Agent, log logr.Logger, deps Deps) (*Agent, error) {
	key, err := s.DecodedAuthKey()
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings:     s,
		deps:         deps,
		log:          log,
		executeToken: wire.ExecuteToken(key),
		pool:         peer.NewPoolWithDialer(key, peer.DialFrom(s.SourceIP)),
		announceDone: make(chan struct{}),
		intake:       intake.New(s.Node, writeTimeout, log),
	}
	if err := a.assemble(key); err != nil {
		return nil, err
	}
	if err := a.listen(); err != nil {
		return nil, err
	}
	a.http = a.newHTTPServer(a.httpListener)
	return a, nil
}

// orderTableBytes returns the size of the order table: 0 for the default of package order,
// or on a VM for which that is too much, a part of its memory. Callers can fill the table.
func orderTableBytes(memoryMB int) int {
	const (
		part             = 1.0 / 8
		enoughForTableMB = 192 // for the default of 24 MiB
	)
	if memoryMB == 0 || memoryMB >= enoughForTableMB {
		return 0
	}
	return int(part * float64(memoryMB) * (1 << 20))
}

func (a *Agent) assemble(key []byte) error {
	self := a.selfRecord()
	a.orders = order.NewTable(order.TableConfig{
		Self:     order.Binding{AgentID: self.ID, Incarnation: self.Incarnation},
		Clock:    a.deps.Clock,
		Log:      a.log.WithName("order"),
		MaxBytes: orderTableBytes(a.settings.MemoryMB),
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
	a.mapLoader = a.deps.NewMapLoader(a.settings, a.pool, a.log.WithName("rank"))
	a.rpc = peer.NewServer(key, a.log.WithName("peer"))
	return trace.Wrap(a.rpc.Register(wire.AgentService, &rpcService{agent: a}))
}

// listen opens both listeners, so that New returns an error if an address is in use.
func (a *Agent) listen() error {
	var err error
	if a.httpListener, err = settings.Listen("http_listen", a.settings.HTTPBind()); err != nil {
		return err
	}
	if a.rpcListener, err = settings.Listen("rpc_listen", a.settings.RPCBind()); err != nil {
		_ = a.httpListener.Close()
		return err
	}
	a.httpListener, a.rpcListener = a.intake.HTTP.Listener(a.httpListener), a.intake.RPC.Listener(a.rpcListener)
	return nil
}

// selfRecord returns the record of this node with a new incarnation.
func (a *Agent) selfRecord() wire.Node {
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

// Run serves until ctx is cancelled, then drains and returns. If a component fails, it
// stops without a drain and returns the error.
func (a *Agent) Run(ctx context.Context) error {
	// The components run until the drain that follows the end of ctx is complete.
	componentCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, componentCtx := errgroup.WithContext(componentCtx)
	group.Go(func() error { return ignoreShutdownError(a.control.Run(componentCtx)) })
	group.Go(func() error { a.gate.Run(componentCtx); return nil })
	if a.mapLoader != nil {
		group.Go(func() error { return ignoreShutdownError(a.mapLoader.Run(componentCtx)) })
	}
	group.Go(func() error { return ignoreShutdownError(a.http.Serve(a.httpListener)) })
	group.Go(func() error { a.rpc.Serve(a.rpcListener); return nil })
	group.Go(func() error { a.announceReady(ctx, componentCtx); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			a.drain(componentCtx)
		case <-componentCtx.Done():
		}
		a.close()
		stop()
		return nil
	})
	a.log.Info("Agent started.", "http", a.settings.HTTPAddr, "rpc", a.settings.RPCAddr, "service", a.settings.Service)
	err := group.Wait()
	a.log.Info("Agent stopped.")
	return err
}

// announceReady sets the state ready once the endpoint is ready, unless the agent is
// stopped before.
func (a *Agent) announceReady(ctx, componentCtx context.Context) {
	defer close(a.announceDone)
	ticker := a.deps.Clock.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !a.gate.EndpointReady() {
		select {
		case <-ctx.Done():
			return
		case <-componentCtx.Done():
			return
		case <-ticker.Chan():
		}
	}
	if ctx.Err() == nil {
		a.control.SetState(wire.StateReady)
	}
}

// close stops the servers and closes all connections.
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
