package demo

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/lab/deploy"
	"github.com/wasabinotch/wasabinotch/lab/enginesim"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
	"github.com/wasabinotch/wasabinotch/lab/ordersim"
	"github.com/wasabinotch/wasabinotch/lab/vmlist"
)

// endpoint is a simulated endpoint behind an agent.
type endpoint interface {
	LastRequestTime() time.Time
	Close()
}

// system is a running deployment with its simulators.
type system struct {
	deployment *deploy.Deployment
	store      *kvsim.Server
	vms        *vmlist.Server
	engines    []*enginesim.Engine
	ledger     *ordersim.Ledger
	endpoints  map[string][]endpoint // by zone

	entries, agents *daemons
}

// daemons is the set of running daemons of one role.
type daemons struct {
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu   sync.Mutex
	errs []error
}

func plan() deploy.Plan {
	return deploy.Plan{
		Name:          "demo",
		Zones:         []string{"zone-a", "zone-b", "zone-c"},
		Entries:       3,
		ModelAgents:   3,
		OrderAgents:   3,
		Organisations: []string{"batinah", "tidewrack"},
		Members:       []string{"batinah", "tidewrack", "third"},
		Threshold:     2,
		Operators:     []string{"operator"},
		ModelService:  "notes",
		PlainService:  "desk",
		NextAddr:      deploy.FreeAddrs("127.0.0.1"),
	}
}

// start starts the simulators and the daemons. If a part fails to start, it stops
// the others and returns the error.
func start(deps Deps, opt Options) (*system, error) {
	d, err := plan().Build()
	if err != nil {
		return nil, err
	}
	s := &system{deployment: d, ledger: ordersim.NewLedger(), endpoints: make(map[string][]endpoint)}
	for _, step := range []func() error{
		s.startPlatform,
		s.startEndpoints,
		func() error { return s.startEntries(deps, opt) },
		func() error { return s.startAgents(deps, opt) },
	} {
		if err := step(); err != nil {
			_ = s.stop(opt.DrainTimeout)
			return nil, err
		}
	}
	return s, nil
}

func (s *system) startPlatform() (err error) {
	if s.store, err = kvsim.Listen(s.deployment.Simulators.Store.Addr); err != nil {
		return err
	}
	const lag = 2 * time.Second
	if s.vms, err = vmlist.Listen(s.deployment.Simulators.VMList.Addr, lag); err != nil {
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
	for _, simulator := range s.deployment.Simulators.Engines {
		e, err := enginesim.Listen(simulator.Addr, enginesim.DefaultOptions())
		if err != nil {
			return err
		}
		s.engines = append(s.engines, e)
		s.endpoints[simulator.Zone] = append(s.endpoints[simulator.Zone], e)
	}
	for _, simulator := range s.deployment.Simulators.OrderServices {
		const serviceTime = 5 * time.Millisecond
		o, err := ordersim.Listen(simulator.Addr, ordersim.Options{ServiceTime: serviceTime, Ledger: s.ledger})
		if err != nil {
			return err
		}
		s.endpoints[simulator.Zone] = append(s.endpoints[simulator.Zone], o)
	}
	return nil
}

func (s *system) startEntries(deps Deps, opt Options) error {
	var runners []Runner
	for _, settings := range s.deployment.Entries {
		r, err := deps.NewEntry(settings, opt.Log.WithName(settings.ID))
		if err != nil {
			return trace.Wrap(err)
		}
		runners = append(runners, r)
	}
	s.entries = runAll(runners)
	return nil
}

func (s *system) startAgents(deps Deps, opt Options) error {
	var runners []Runner
	for _, settings := range s.deployment.Agents {
		r, err := deps.NewAgent(settings, opt.Log.WithName(settings.ID))
		if err != nil {
			return trace.Wrap(err)
		}
		runners = append(runners, r)
	}
	s.agents = runAll(runners)
	return nil
}

// runAll starts the daemons, each in a separate goroutine.
func runAll(runners []Runner) *daemons {
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemons{cancel: cancel}
	for _, r := range runners {
		d.running.Go(func() {
			if err := r.Run(ctx); err != nil && ctx.Err() == nil {
				d.mu.Lock()
				defer d.mu.Unlock()
				d.errs = append(d.errs, err)
			}
		})
	}
	return d
}

// stop stops the agents, then the entries that they report to, and then the
// simulators.
func (s *system) stop(drain time.Duration) error {
	err := trace.NewAggregate(s.agents.stop(drain), s.entries.stop(drain))
	for _, endpoints := range s.endpoints {
		for _, e := range endpoints {
			e.Close()
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

// stop cancels the daemons and waits for them, at most for drain. It returns the
// errors of daemons that exited before.
func (d *daemons) stop(drain time.Duration) error {
	if d == nil {
		return nil
	}
	d.cancel()
	done := make(chan struct{})
	go func() {
		d.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(drain):
		return trace.LimitExceeded("daemons did not stop within %v; see their logs", drain)
	}
	return trace.NewAggregate(d.errs...)
}

// lastNewWork returns the last time at which an endpoint of the zone got new work.
func (s *system) lastNewWork(zone string) time.Time {
	var last time.Time
	for _, e := range s.endpoints[zone] {
		if at := e.LastRequestTime(); at.After(last) {
			last = at
		}
	}
	return last
}
