package zonemove

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/wasabinotch/wasabinotch/agent"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/lab/demo"
	"github.com/wasabinotch/wasabinotch/lab/deploy"
	"github.com/wasabinotch/wasabinotch/lab/enginesim"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
	"github.com/wasabinotch/wasabinotch/lab/ordersim"
	"github.com/wasabinotch/wasabinotch/lab/vmlist"
	"github.com/wasabinotch/wasabinotch/peer"
	"github.com/wasabinotch/wasabinotch/settings"
)

const (
	modelServiceName = "notes"
	plainServiceName = "desk"
	vmListLag        = 2 * time.Second
)

// system is the running deployment.
type system struct {
	opt     Options
	parts   demo.Deps
	d       *deploy.Deployment
	store   *kvsim.Server
	vms     *vmlist.Server
	engines map[string][]*enginesim.Engine // by zone
	desks   map[string][]*ordersim.Service // by zone
	ledger  *ordersim.Ledger

	entries, agents []*daemon
	frozen          *switchable // of the agent that can be frozen; nil for none
	frozenWork      func() time.Time
	forwarders      []*forwarder
}

// daemon is one running entry or agent.
type daemon struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

func launch(r demo.Runner) *daemon {
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(d.done)
		d.err = r.Run(ctx)
	}()
	return d
}

func start(parts demo.Deps, opt Options) (*system, error) {
	d, err := deploy.Plan{
		Name:          "lab",
		Zones:         zones(),
		Entries:       opt.EntriesPerZone * zoneCount,
		ModelAgents:   opt.ModelAgentsPerZone * zoneCount,
		OrderAgents:   opt.OrderAgentsPerZone * zoneCount,
		Organisations: []string{"batinah", "tidewrack"},
		Members:       []string{"batinah", "tidewrack", "third"},
		Threshold:     2,
		Operators:     []string{"operator"},
		ModelService:  modelServiceName,
		PlainService:  plainServiceName,
		NextAddr:      deploy.FreeAddrs("127.0.0.1"),
	}.Build()
	if err != nil {
		return nil, err
	}
	s := &system{
		opt: opt, parts: parts, d: d,
		engines: make(map[string][]*enginesim.Engine),
		desks:   make(map[string][]*ordersim.Service),
		ledger:  ordersim.NewLedger(),
	}
	for _, step := range []func() error{s.startPlatform, s.startEndpoints, s.startEntries, s.startAgents} {
		if err := step(); err != nil {
			_ = s.stop()
			return nil, err
		}
	}
	return s, nil
}

func (s *system) startPlatform() (err error) {
	if s.store, err = kvsim.Listen(s.d.Simulators.Store.Addr); err != nil {
		return err
	}
	if s.vms, err = vmlist.Listen(s.d.Simulators.VMList.Addr, vmListLag); err != nil {
		return err
	}
	for _, e := range s.d.Entries {
		s.vms.Put(vmlist.VM{Name: e.VM, Zone: e.Zone, State: vmlist.StateLive})
	}
	for _, a := range s.d.Agents {
		s.vms.Put(vmlist.VM{Name: a.VM, Zone: a.Zone, State: vmlist.StateLive})
	}
	return nil
}

func (s *system) startEndpoints() error {
	engine := enginesim.DefaultOptions()
	engine.BaseStepTime, engine.StepTimePerRequest = s.opt.StepBase, s.opt.StepPerRequest
	engine.WarmCapacity = modelSlots
	for _, place := range s.d.Simulators.Engines {
		e, err := enginesim.Listen(place.Addr, engine)
		if err != nil {
			return err
		}
		s.engines[place.Zone] = append(s.engines[place.Zone], e)
	}
	for _, place := range s.d.Simulators.OrderServices {
		o, err := ordersim.Listen(place.Addr, ordersim.Options{ServiceTime: s.opt.ServiceTime, Capacity: plainSlots, Ledger: s.ledger})
		if err != nil {
			return err
		}
		s.desks[place.Zone] = append(s.desks[place.Zone], o)
	}
	return nil
}

func (s *system) startEntries() error {
	for _, set := range s.d.Entries {
		d, err := s.startEntry(set)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, d)
	}
	return nil
}

func (s *system) startEntry(set settings.Entry) (*daemon, error) {
	r, err := s.parts.NewEntry(set, s.opt.Log.WithName(set.ID))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return launch(r), nil
}

// restartEntry restarts the i-th entry gracefully and returns once the new
// process runs.
func (s *system) restartEntry(i int) error {
	s.entries[i].cancel()
	<-s.entries[i].done
	d, err := s.startEntry(s.d.Entries[i])
	if err != nil {
		return err
	}
	s.entries[i] = d
	return nil
}

func (s *system) startAgents() error {
	freezing := s.toFreeze()
	for i, set := range s.d.Agents {
		log := s.opt.Log.WithName(set.ID)
		var r demo.Runner
		var err error
		if i == freezing {
			r, err = s.newFreezable(set, log)
		} else {
			r, err = s.parts.NewAgent(set, log)
		}
		if err != nil {
			return trace.Wrap(err)
		}
		s.agents = append(s.agents, launch(r))
	}
	return nil
}

// toFreeze returns the index of the agent to freeze, or -1.
func (s *system) toFreeze() int {
	if s.opt.FreezeDuration == 0 {
		return -1
	}
	zone, service := s.opt.moved()[0], modelServiceName
	s.frozenWork = func() time.Time { return s.engines[zone][0].LastRequestTime() }
	if s.opt.FreezeOrderAgent {
		service = plainServiceName
		s.frozenWork = func() time.Time { return s.desks[zone][0].LastRequestTime() }
	}
	for i, a := range s.d.Agents {
		if a.Zone == zone && a.Service == service {
			return i
		}
	}
	return -1
}

// newFreezable returns an agent whose control goroutine and incoming
// connections can be frozen. Its requests at the endpoint go on.
func (s *system) newFreezable(set settings.Agent, log logr.Logger) (demo.Runner, error) {
	s.frozen = newSwitchable()
	free := deploy.FreeAddrs("127.0.0.1")
	var err error
	if set.HTTPListen, err = free(); err != nil {
		return nil, err
	}
	if set.RPCListen, err = free(); err != nil {
		return nil, err
	}
	for from, to := range map[string]string{set.HTTPAddr: set.HTTPListen, set.RPCAddr: set.RPCListen} {
		f, err := forward(from, to, s.frozen)
		if err != nil {
			return nil, err
		}
		s.forwarders = append(s.forwarders, f)
	}
	return agent.NewWithDeps(set, log, agent.Deps{
		Clock: clockwork.NewRealClock(),
		NewControl: func(cfg agent.ControlConfig) (agent.Control, error) {
			return control.New(control.Config{
				Self:      cfg.Self,
				Members:   cfg.Settings.Members,
				Threshold: cfg.Settings.Threshold,
				Seeds:     cfg.Settings.Entries,
				Pool:      cfg.Pool,
				Clock:     cfg.Clock,
				Log:       cfg.Log,
				Load:      s.frozen.load(cfg.Load),
			}), nil
		},
		NewMapLoader: func(settings.Agent, *peer.Pool, logr.Logger) agent.MapLoader { return nil },
	})
}

// stop ends the daemons, agents before the entries that they report to, and
// then the stand-ins.
func (s *system) stop() error {
	if s.frozen != nil {
		s.frozen.set(false)
	}
	err := trace.NewAggregate(stopAll(s.agents, s.opt.DrainTimeout), stopAll(s.entries, s.opt.DrainTimeout))
	for _, f := range s.forwarders {
		_ = f.Close()
	}
	for _, zone := range zones() {
		for _, e := range s.engines[zone] {
			e.Close()
		}
		for _, o := range s.desks[zone] {
			o.Close()
		}
	}
	if s.store != nil {
		s.store.Close()
	}
	if s.vms != nil {
		s.vms.Close()
	}
	return err
}

func stopAll(list []*daemon, drain time.Duration) error {
	var group sync.WaitGroup
	errs := make([]error, len(list))
	for i, d := range list {
		group.Go(func() { errs[i] = d.stop(drain) })
	}
	group.Wait()
	return trace.NewAggregate(errs...)
}

func (d *daemon) stop(drain time.Duration) error {
	d.cancel()
	select {
	case <-d.done:
		return d.err
	case <-time.After(drain):
		return trace.LimitExceeded("a daemon has not stopped within %v; see the logs", drain)
	}
}
