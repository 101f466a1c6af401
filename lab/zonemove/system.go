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

// system is a running deployment with its simulators.
type system struct {
	options       Options
	deps          demo.Deps
	deployment    *deploy.Deployment
	store         *kvsim.Server
	vms           *vmlist.Server
	engines       map[string][]*enginesim.Engine // by zone
	orderServices map[string][]*ordersim.Service // by zone
	ledger        *ordersim.Ledger

	entries, agents            []*daemon
	freezer                    *freezer // of the agent that can be frozen; nil if there is none
	frozenAgentLastRequestTime func() time.Time
	forwarders                 []*forwarder
}

// daemon is one running entry or agent. done is closed when it has exited with err.
type daemon struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// launch runs r in a separate goroutine.
func launch(r demo.Runner) *daemon {
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(d.done)
		d.err = r.Run(ctx)
	}()
	return d
}

// start starts the simulators and the daemons. If a part fails to start, it stops the
// others and returns the error.
func start(deps demo.Deps, opt Options) (*system, error) {
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
		options: opt, deps: deps, deployment: d,
		engines:       make(map[string][]*enginesim.Engine),
		orderServices: make(map[string][]*ordersim.Service),
		ledger:        ordersim.NewLedger(),
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
	if s.store, err = kvsim.Listen(s.deployment.Simulators.Store.Addr); err != nil {
		return err
	}
	if s.vms, err = vmlist.Listen(s.deployment.Simulators.VMList.Addr, vmListLag); err != nil {
		return err
	}
	for _, e := range s.deployment.Entries {
		s.vms.Put(vmlist.VM{Name: e.VM, Zone: e.Zone, State: vmlist.StateLive})
	}
	for _, a := range s.deployment.Agents {
		s.vms.Put(vmlist.VM{Name: a.VM, Zone: a.Zone, State: vmlist.StateLive})
	}
	return nil
}

func (s *system) startEndpoints() error {
	engine := enginesim.DefaultOptions()
	engine.BaseStepTime, engine.StepTimePerRequest = s.options.BaseStepTime, s.options.StepTimePerRequest
	engine.WarmCapacity = modelSlots
	for _, simulator := range s.deployment.Simulators.Engines {
		e, err := enginesim.Listen(simulator.Addr, engine)
		if err != nil {
			return err
		}
		s.engines[simulator.Zone] = append(s.engines[simulator.Zone], e)
	}
	for _, simulator := range s.deployment.Simulators.OrderServices {
		o, err := ordersim.Listen(simulator.Addr, ordersim.Options{ServiceTime: s.options.ServiceTime, Capacity: plainSlots, Ledger: s.ledger})
		if err != nil {
			return err
		}
		s.orderServices[simulator.Zone] = append(s.orderServices[simulator.Zone], o)
	}
	return nil
}

func (s *system) startEntries() error {
	for _, set := range s.deployment.Entries {
		d, err := s.startEntry(set)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, d)
	}
	return nil
}

func (s *system) startEntry(set settings.Entry) (*daemon, error) {
	r, err := s.deps.NewEntry(set, s.options.Log.WithName(set.ID))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return launch(r), nil
}

// restartEntry stops the i-th entry, waits until it has drained, and starts it again
// with the same settings.
func (s *system) restartEntry(i int) error {
	s.entries[i].cancel()
	<-s.entries[i].done
	d, err := s.startEntry(s.deployment.Entries[i])
	if err != nil {
		return err
	}
	s.entries[i] = d
	return nil
}

func (s *system) startAgents() error {
	freezeIndex := s.agentToFreeze()
	for i, set := range s.deployment.Agents {
		log := s.options.Log.WithName(set.ID)
		var r demo.Runner
		var err error
		if i == freezeIndex {
			r, err = s.newFreezableAgent(set, log)
		} else {
			r, err = s.deps.NewAgent(set, log)
		}
		if err != nil {
			return trace.Wrap(err)
		}
		s.agents = append(s.agents, launch(r))
	}
	return nil
}

// agentToFreeze returns the index of the agent to freeze, or -1 if there is none. It
// sets frozenAgentLastRequestTime to a function that returns the last time at which the
// agent's endpoint got new work.
func (s *system) agentToFreeze() int {
	if s.options.FreezeDuration == 0 {
		return -1
	}
	zone, service := s.options.movedZones()[0], modelServiceName
	s.frozenAgentLastRequestTime = func() time.Time { return s.engines[zone][0].LastRequestTime() }
	if s.options.FreezeOrderAgent {
		service = plainServiceName
		s.frozenAgentLastRequestTime = func() time.Time { return s.orderServices[zone][0].LastRequestTime() }
	}
	for i, a := range s.deployment.Agents {
		if a.Zone == zone && a.Service == service {
			return i
		}
	}
	return -1
}

// newFreezableAgent returns an agent whose control goroutine and incoming connections
// can be frozen. Requests that it has already sent to its endpoint continue.
func (s *system) newFreezableAgent(set settings.Agent, log logr.Logger) (demo.Runner, error) {
	s.freezer = newFreezer()
	free := deploy.FreeAddrs("127.0.0.1")
	var err error
	if set.HTTPListen, err = free(); err != nil {
		return nil, err
	}
	if set.RPCListen, err = free(); err != nil {
		return nil, err
	}
	for from, to := range map[string]string{set.HTTPAddr: set.HTTPListen, set.RPCAddr: set.RPCListen} {
		f, err := forward(from, to, s.freezer)
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
				Load:      s.freezer.freezableLoad(cfg.Load),
			}), nil
		},
		NewMapLoader: func(settings.Agent, *peer.Pool, logr.Logger) agent.MapLoader { return nil },
	})
}

// stop stops the agents, then the entries that they report to, and then the
// simulators.
func (s *system) stop() error {
	if s.freezer != nil {
		s.freezer.setFrozen(false)
	}
	err := trace.NewAggregate(stopAll(s.agents, s.options.DrainTimeout), stopAll(s.entries, s.options.DrainTimeout))
	for _, f := range s.forwarders {
		_ = f.Close()
	}
	for _, zone := range zones() {
		for _, e := range s.engines[zone] {
			e.Close()
		}
		for _, o := range s.orderServices[zone] {
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

// stopAll stops the daemons concurrently and returns their errors.
func stopAll(list []*daemon, drain time.Duration) error {
	var group sync.WaitGroup
	errs := make([]error, len(list))
	for i, d := range list {
		group.Go(func() { errs[i] = d.stop(drain) })
	}
	group.Wait()
	return trace.NewAggregate(errs...)
}

// stop cancels the daemon and waits until it has exited, at most for drain.
func (d *daemon) stop(drain time.Duration) error {
	d.cancel()
	select {
	case <-d.done:
		return d.err
	case <-time.After(drain):
		return trace.LimitExceeded("a daemon did not stop within %v; see the logs", drain)
	}
}
