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
	modelService = "notes"
	// The two organisations have equal shares; large sends largeRequestFraction of
	// the requests.
	large, small         = "large", "small"
	largeRequestFraction = 0.9
	entryCount           = 3
	pollInterval         = 20 * time.Millisecond
	startTimeout         = 20 * time.Second
)

// system is a running deployment with simulated engines, store and VM list.
type system struct {
	deployment *deploy.Deployment
	store      *kvsim.Server
	vmList     *vmlist.Server
	engines    []*enginesim.Engine
	limits     *limitTracker
	cancel     context.CancelFunc
	daemons    sync.WaitGroup
	// Times of Result in nanoseconds; 0 until they are known.
	enginesWarmAfter, limitsWarmAfter atomic.Int64
}

// startMu serialises the starts of systems, so that two of them do not choose
// the same free addresses.
var startMu sync.Mutex

func start(opt Options, initialState string) (*system, error) {
	startMu.Lock()
	defer startMu.Unlock()
	d, err := deploy.Plan{
		Name:          "overload",
		Zones:         []string{"zone-a", "zone-b", "zone-c"},
		Entries:       entryCount,
		ModelAgents:   opt.Engines,
		Organisations: []string{large, small},
		Members:       []string{"member"},
		Threshold:     1,
		Operators:     []string{"operator"},
		ModelService:  modelService,
		NextAddr:      deploy.FreeAddrs("127.0.0.1"),
	}.Build()
	if err != nil {
		return nil, err
	}
	s := &system{deployment: d, limits: &limitTracker{lastLimits: make(map[string]int)}}
	svc := &d.Bundle.Services[0]
	svc.ColdLimit, svc.WarmLimit, svc.QueueLimit = coldLimit, warmLimit, queueLimit
	svc.TimeoutMS = opt.Timeout.Milliseconds()
	if err := s.startAll(opt, initialState); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (s *system) startAll(opt Options, initialState string) (err error) {
	if s.store, err = kvsim.Listen(s.deployment.Simulators.Store.Addr); err != nil {
		return err
	}
	if s.vmList, err = vmlist.Listen(s.deployment.Simulators.VMList.Addr, 0); err != nil {
		return err
	}
	for _, simulator := range s.deployment.Simulators.Engines {
		e, err := enginesim.Listen(simulator.Addr, opt.engineOptions(initialState))
		if err != nil {
			return err
		}
		s.engines = append(s.engines, e)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, settings := range s.deployment.Entries {
		s.vmList.Put(vmlist.VM{Name: settings.VM, Zone: settings.Zone, State: vmlist.StateLive})
		e, err := entry.New(settings, opt.Log.WithName(settings.ID))
		if err != nil {
			return trace.Wrap(err)
		}
		s.runDaemon(ctx, e.Run)
	}
	for _, settings := range s.deployment.Agents {
		s.vmList.Put(vmlist.VM{Name: settings.VM, Zone: settings.Zone, State: vmlist.StateLive})
		a, err := agent.New(settings, logr.New(&limitSink{limits: s.limits, name: settings.ID}))
		if err != nil {
			return trace.Wrap(err)
		}
		s.runDaemon(ctx, a.Run)
	}
	return nil
}

func (s *system) runDaemon(ctx context.Context, f func(context.Context) error) {
	s.daemons.Go(func() { _ = f(ctx) }) // a daemon that failed shows as missing responses
}

func (s *system) stop() {
	if s.cancel != nil {
		s.cancel()
	}
	for _, e := range s.engines {
		e.Close()
	}
	s.daemons.Wait()
	if s.store != nil {
		s.store.Close()
	}
	if s.vmList != nil {
		s.vmList.Close()
	}
}

// rollOutBundle sends the signed bundle to every entry until the entry reports
// all agents of the service as ready with it. It retries for startTimeout per
// entry.
func (s *system) rollOutBundle(ctx context.Context) error {
	signed := bundle.Signed{Bundle: s.deployment.Bundle}
	member := s.deployment.Members[0]
	sig, err := signed.Bundle.Sign(member.Name, member.Private())
	if err != nil {
		return trace.Wrap(err)
	}
	signed.Signatures = append(signed.Signatures, sig)
	for _, e := range s.deployment.Entries {
		err := retryUntilReady(ctx, func() error {
			var status api.Status
			if err := s.callAPI(ctx, http.MethodPost, api.PathAdminBundle, e.HTTPAddr, signed, &api.AdminResult{}); err != nil {
				return err
			}
			if err := s.callAPI(ctx, http.MethodGet, api.PathStatus, e.HTTPAddr, nil, &status); err != nil {
				return err
			}
			ready := 0
			for _, n := range status.Nodes {
				if n.BundleVersion == signed.Bundle.Version && n.State == "ready" && n.Service == modelService {
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

func (s *system) callAPI(ctx context.Context, method, path, addr string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return trace.Wrap(err)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+s.deployment.Organisations[0].APIKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return trace.BadParameter("%s returned status %s", path, resp.Status)
	}
	return trace.Wrap(json.NewDecoder(resp.Body).Decode(out))
}

// generators returns a load generator for each organisation, by name. rate is
// the total of requests per second.
func (s *system) generators(opt Options, rate float64, d time.Duration) (map[string]*loadgen.Generator, error) {
	var addrs []string
	for _, e := range s.deployment.Entries {
		addrs = append(addrs, e.HTTPAddr)
	}
	gens := make(map[string]*loadgen.Generator)
	for i, fraction := range []float64{largeRequestFraction, 1 - largeRequestFraction} {
		org := s.deployment.Organisations[i]
		g, err := loadgen.New(loadgen.Config{
			EntryAddrs:     addrs,
			Organisations:  []loadgen.Organisation{org},
			Zones:          s.deployment.Bundle.Zones,
			ModelService:   modelService,
			ModelRate:      rate * fraction,
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

// warmUpLoad is the load that agents sustain at the cold limit, as a multiple
// of the capacity.
const warmUpLoad = 0.3

// warmUp offers load until all agents are at the warm limit, or for twice
// LoadDuration.
func (s *system) warmUp(ctx context.Context, opt Options) error {
	gens, err := s.generators(opt, warmUpLoad*opt.Capacity(), 2*opt.LoadDuration)
	if err != nil {
		return err
	}
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	for _, g := range gens {
		group.Go(func() { g.Run(loadCtx) })
	}
	for end := time.Now().Add(2 * opt.LoadDuration); !s.limits.allAtWarmLimit(opt.Engines) && time.Now().Before(end); {
		pause.For(ctx, pollInterval)
	}
	cancel()
	group.Wait()
	return ctx.Err()
}

// watchWarmUp records when all engines are warm and when all agents are at the
// warm limit.
func (s *system) watchWarmUp(ctx context.Context, loadStart time.Time, opt Options) {
	for end := loadStart.Add(opt.LoadDuration); time.Now().Before(end) && ctx.Err() == nil; pause.For(ctx, pollInterval) {
		if s.enginesWarmAfter.Load() == 0 && s.allEnginesWarm() {
			s.enginesWarmAfter.Store(int64(time.Since(loadStart)))
		}
		if s.limitsWarmAfter.Load() == 0 && s.limits.allAtWarmLimit(opt.Engines) {
			s.limitsWarmAfter.Store(int64(time.Since(loadStart)))
		}
	}
}

func (s *system) allEnginesWarm() bool {
	for _, e := range s.engines {
		if e.Load().Cold {
			return false
		}
	}
	return true
}

func retryUntilReady(ctx context.Context, f func() error) error {
	for end := time.Now().Add(startTimeout); ; pause.For(ctx, pollInterval) {
		err := f()
		if err == nil || time.Now().After(end) || ctx.Err() != nil {
			return err
		}
	}
}
