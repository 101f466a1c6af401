package entry

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/expertmap"
	"github.com/wasabinotch/wasabinotch/intake"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/peer"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/store"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Rate limits of calls to the store; a burst is a number of calls.
const (
	storeBurst            = 5
	journalCallsPerSecond = 40
	journalBurst          = 40
)

// assemble builds the components of an entry from its settings.
func assemble(s settings.Entry, in *intake.Intake, log logr.Logger) (Deps, error) {
	key, err := s.DecodedAuthKey()
	if err != nil {
		return Deps{}, err
	}
	clock := clockwork.NewRealClock()
	dial := peer.DialFrom(s.SourceIP)
	pool := peer.NewPoolWithDialer(key, dial)
	configStore := store.NewConsul(store.ConsulConfig{Addrs: s.StoreAddrs, CallsPerSecond: s.StoreCallsPerSecond, Burst: storeBurst, Dial: dial})
	loop := control.New(control.Config{
		Self:       selfRecord(s.Node),
		Members:    s.Members,
		Threshold:  s.Threshold,
		Seeds:      s.Entries,
		Store:      configStore,
		Pool:       pool,
		Clock:      clock,
		Log:        log,
		VMListAddr: s.VMListAddr,
	})
	journal := newJournal(s, dial, loop, clock, log)
	coordinator := newCoordinator(s, expertmap.CoordinatorConfig{
		View: loop, Store: configStore, Pool: pool, Clock: clock, Log: log.WithName("expertmap"),
	})
	serveRPC, err := newRPCServer(s, loop, key, in, log)
	if err != nil {
		return Deps{}, err
	}
	return Deps{
		Control: loop,
		Binder:  journal,
		Clock:   clock,
		Dial:    dial,
		Intake:  in,
		Background: []func(context.Context) error{
			loop.Run,
			serveRPC,
			func(ctx context.Context) error { journal.Run(ctx); return nil },
			func(ctx context.Context) error { return coordinator.Run(ctx) },
		},
	}, nil
}

// newJournal returns the order journal. Its store client has a separate rate limit, so
// that orders and configuration do not delay each other.
func newJournal(s settings.Entry, dial peer.DialFunc, view control.View, clock clockwork.Clock, log logr.Logger) *order.Journal {
	storeConfig := store.ConsulConfig{Addrs: s.StoreAddrs, CallsPerSecond: journalCallsPerSecond, Burst: journalBurst, Dial: dial}
	services := func() []string {
		var names []string
		for name, svc := range view.Snapshot().Services {
			if len(svc.NonIdempotentPaths) > 0 {
				names = append(names, name)
			}
		}
		return names
	}
	return order.NewJournal(store.NewConsul(storeConfig), order.JournalConfig{
		Clock:            clock,
		Log:              log.WithName("journal"),
		Services:         services,
		BatchesPerSecond: journalCallsPerSecond / 2,
		Burst:            journalBurst / 2,
	})
}

// newCoordinator returns the expert map coordinator. If the settings have a plan
// interval, it polls the ranks at least once per plan.
func newCoordinator(s settings.Entry, cfg expertmap.CoordinatorConfig) *expertmap.Coordinator {
	if s.MapIntervalMS > 0 {
		cfg.PlanInterval = time.Duration(s.MapIntervalMS) * time.Millisecond
		cfg.PollInterval = min(cfg.PlanInterval, expertmap.DefaultPollInterval)
		cfg.SettledPollInterval = min(cfg.PlanInterval, expertmap.DefaultSettledPollInterval)
	}
	return expertmap.NewCoordinator(cfg)
}

// selfRecord returns the record of this node. The control loop adds the incarnation.
func selfRecord(n settings.Node) wire.Node {
	return wire.Node{ID: n.ID, Role: wire.RoleEntry, VM: n.VM, Zone: n.Zone, HTTPAddr: n.HTTPAddr, RPCAddr: n.RPCAddr}
}

// newRPCServer opens the net/rpc listener and returns a function that serves it until
// its context ends.
func newRPCServer(s settings.Entry, loop *control.Loop, key []byte, in *intake.Intake, log logr.Logger) (func(context.Context) error, error) {
	server := peer.NewServer(key, log.WithName("peer"))
	if err := loop.Register(server); err != nil {
		return nil, err
	}
	ln, err := settings.Listen("rpc_listen", s.RPCBind())
	if err != nil {
		return nil, err
	}
	bounded := in.RPC.Listener(ln)
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() {
			_ = ln.Close()
			server.Close()
		})
		defer stop()
		server.Serve(bounded)
		return nil
	}, nil
}
