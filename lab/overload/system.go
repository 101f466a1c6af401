package overload

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/agent"
	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/entry"
	"github.com/wasabinotch/wasabinotch/lab/deploy"
	"github.com/wasabinotch/wasabinotch/lab/enginesim"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
	"github.com/wasabinotch/wasabinotch/lab/loadgen"
	"github.com/wasabinotch/wasabinotch/lab/vmlist"
	"github.com/wasabinotch/wasabinotch/pause"
)

const (
	model = "notes"
	// The two organisations have equal shares; large sends largePart of the requests.
	large, small = "large", "small"
	largePart    = 0.9
	entries      = 3
	pollEvery    = 20 * time.Millisecond
	startTimeout = 20 * time.Second
)

// system is a running deployment.
type system struct {
	plan    *deploy.Deployment
	store   *kvsim.Server
	vms     *vmlist.Server
	engines []*enginesim.Engine
	limits  *limits
	cancel  context.CancelFunc
	group   sync.WaitGroup
	// warm and full are the times of Result, in nanoseconds.
	warm, full atomic.Int64
}

// startMu keeps systems that start at the same time from drawing the same
// free addresses.
var startMu sync.Mutex

func start(opt Options, state string) (*system, error) {
	startMu.Lock()
	defer startMu.Unlock()
	d, err := deploy.Plan{
		Name:          "overload",
		Zones:         []string{"zone-a", "zone-b", "zone-c"},
		Entries:       entries,
		ModelAgents:   opt.Engines,
		Organisations: []string{large, small},
		Members:       []string{"member"},
		Threshold:     1,
		Operators:     []string{"operator"},
		ModelService:  model,
		NextAddr:      deploy.FreeAddrs("127.0.0.1"),
	}.Build()
	if err != nil {
		return nil, err
	}
	s := &system{plan: d, limits: &limits{seen: make(map[string]int)}}
	svc := &d.Bundle.Services[0]
	svc.ColdLimit, svc.WarmLimit, svc.QueueLimit = coldLimit, warmLimit, queueLimit
	svc.TimeoutMS = opt.Timeout.Milliseconds()
	if err := s.startAll(opt, state); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (s *system) startAll(opt Options, state string) (err error) {
	if s.store, err = kvsim.Listen(s.plan.Simulators.Store.Addr); err != nil {
		return err
	}
	if s.vms, err = vmlist.Listen(s.plan.Simulators.VMList.Addr, 0); err != nil {
		return err
	}
	for _, place := range s.plan.Simulators.Engines {
		e, err := enginesim.Listen(place.Addr, opt.engine(state))
		if err != nil {
			return err
		}
		s.engines = append(s.engines, e)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, settings := range s.plan.Entries {
		s.vms.Put(vmlist.VM{Name: settings.VM, Zone: settings.Zone, State: vmlist.StateLive})
		e, err := entry.New(settings, opt.Log.WithName(settings.ID))
		if err != nil {
			return trace.Wrap(err)
		}
		s.run(ctx, e.Run)
	}
	for _, settings := range s.plan.Agents {
		s.vms.Put(vmlist.VM{Name: settings.VM, Zone: settings.Zone, State: vmlist.StateLive})
		a, err := agent.New(settings, logr.New(&limitSink{limits: s.limits, name: settings.ID}))
		if err != nil {
			return trace.Wrap(err)
		}
		s.run(ctx, a.Run)
	}
	return nil
}

func (s *system) run(ctx context.Context, f func(context.Context) error) {
	s.group.Go(func() { _ = f(ctx) }) // a failed daemon shows as missing answers
}

func (s *system) stop() {
	if s.cancel != nil {
		s.cancel()
	}
	for _, e := range s.engines {
		e.Close()
	}
	s.group.Wait()
	if s.store != nil {
		s.store.Close()
	}
	if s.vms != nil {
		s.vms.Close()
	}
}

// roll rolls the bundle out and waits until all nodes are ready with it.
func (s *system) roll(ctx context.Context) error {
	signed := bundle.Signed{Bundle: s.plan.Bundle}
	key := s.plan.Members[0]
	sig, err := signed.Bundle.Sign(key.Name, key.Private())
	if err != nil {
		return trace.Wrap(err)
	}
	signed.Signatures = append(signed.Signatures, sig)
	for _, e := range s.plan.Entries {
		err := await(ctx, func() error {
			var status api.Status
			if err := s.call(ctx, http.MethodPost, api.PathAdminBundle, e.HTTPAddr, signed, &api.AdminResult{}); err != nil {
				return err
			}
			if err := s.call(ctx, http.MethodGet, api.PathStatus, e.HTTPAddr, nil, &status); err != nil {
				return err
			}
			ready := 0
			for _, n := range status.Nodes {
				if n.BundleVersion == signed.Bundle.Version && n.State == "ready" && n.Service == model {
					ready++
				}
			}
			if ready < len(s.engines) {
				return trace.LimitExceeded("%d of %d agents are ready", ready, len(s.engines))
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *system) call(ctx context.Context, method, path, addr string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return trace.Wrap(err)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+s.plan.Callers[0].APIKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return trace.BadParameter("%s was answered with %s", path, resp.Status)
	}
	return trace.Wrap(json.NewDecoder(resp.Body).Decode(out))
}

// generators returns a generator for each organisation.
func (s *system) generators(opt Options, rate float64, d time.Duration) (map[string]*loadgen.Generator, error) {
	var addrs []string
	for _, e := range s.plan.Entries {
		addrs = append(addrs, e.HTTPAddr)
	}
	gens := make(map[string]*loadgen.Generator)
	for i, part := range []float64{largePart, 1 - largePart} {
		org := s.plan.Callers[i]
		g, err := loadgen.New(loadgen.Config{
			EntryAddrs:     addrs,
			Organisations:  []loadgen.Organisation{org},
			Zones:          s.plan.Bundle.Zones,
			ModelService:   model,
			ModelRate:      rate * part,
			MaxTokens:      opt.MaxTokens,
			Duration:       d,
			AttemptTimeout: 2 * opt.Timeout,
			MaxAttempts:    opt.MaxAttempts,
			Seed:           uint64(i + 1),
		})
		if err != nil {
			return nil, err
		}
		gens[org.Name] = g
	}
	return gens, nil
}

// warmUpLoad is what agents bear at the cold limit, as a multiple of the capacity.
const warmUpLoad = 0.3

// warmUp offers load until all agents are at the warm limit, or for twice the
// time of the measurement.
func (s *system) warmUp(ctx context.Context, opt Options) error {
	gens, err := s.generators(opt, warmUpLoad*opt.Capacity(), 2*opt.LoadDuration)
	if err != nil {
		return err
	}
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	for _, g := range gens {
		group.Go(func() { g.Run(load) })
	}
	for end := time.Now().Add(2 * opt.LoadDuration); !s.limits.full(opt.Engines) && time.Now().Before(end); {
		pause.For(ctx, pollEvery)
	}
	cancel()
	group.Wait()
	return ctx.Err()
}

// watch records when the engines are warm and the agents at the warm limit.
func (s *system) watch(ctx context.Context, begun time.Time, opt Options) {
	for end := begun.Add(opt.LoadDuration); time.Now().Before(end) && ctx.Err() == nil; pause.For(ctx, pollEvery) {
		if s.warm.Load() == 0 && s.allWarm() {
			s.warm.Store(int64(time.Since(begun)))
		}
		if s.full.Load() == 0 && s.limits.full(opt.Engines) {
			s.full.Store(int64(time.Since(begun)))
		}
	}
}

func (s *system) allWarm() bool {
	for _, e := range s.engines {
		if e.Load().Cold {
			return false
		}
	}
	return true
}

func await(ctx context.Context, f func() error) error {
	for end := time.Now().Add(startTimeout); ; pause.For(ctx, pollEvery) {
		err := f()
		if err == nil || time.Now().After(end) || ctx.Err() != nil {
			return err
		}
	}
}
