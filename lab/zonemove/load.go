package zonemove

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/lab/loadgen"
)

// maxRun bounds the schedule of a load that is ended by stop.
const maxRun = time.Hour

// group is the load of the callers of some zones.
type group struct {
	name  string // "other zones", or the moved zone
	zones []string
	gen   *loadgen.Generator
}

// load is the load of all callers.
type load struct {
	groups []*group
	cancel context.CancelFunc
	run    sync.WaitGroup
}

const otherZones = "other zones"

// callerGroups returns the groups of zones whose callers are measured together.
func (o Options) callerGroups() []*group {
	moved := o.moved()
	groups := []*group{{name: otherZones, zones: zones()[:zoneCount-len(moved)]}}
	for _, z := range moved {
		groups = append(groups, &group{name: z, zones: []string{z}})
	}
	return groups
}

// newLoad returns the load of all callers at a fraction of the rates; each
// zone has an equal part of the callers and of the load.
func (s *system) newLoad(fraction float64, r rates, duration time.Duration, seed uint64) (*load, error) {
	l := &load{groups: s.opt.callerGroups()}
	var entries []string
	for _, e := range s.d.Entries {
		entries = append(entries, e.HTTPAddr)
	}
	const callersPerZone = 8
	for i, g := range l.groups {
		part := fraction * float64(len(g.zones)) / zoneCount
		var err error
		g.gen, err = loadgen.New(loadgen.Config{
			EntryAddrs:             entries,
			Organisations:          s.d.Callers,
			Zones:                  g.zones,
			CallersPerOrganisation: callersPerZone * len(g.zones),
			ModelService:           modelServiceName,
			PlainService:           plainServiceName,
			ModelRate:              part * r.model,
			StockRate:              part * r.stock,
			OrderRate:              part * r.order,
			CallerKeyFraction:      s.opt.CallerKeyFraction,
			MaxTokens:              s.opt.MaxTokens,
			Duration:               duration,
			Seed:                   seed + uint64(i),
		})
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return l, nil
}

func (l *load) start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	for _, g := range l.groups {
		l.run.Go(func() { g.gen.Run(ctx) })
	}
}

// stop ends the schedule and waits for the requests in flight.
func (l *load) stop() {
	l.cancel()
	l.run.Wait()
}

func (l *load) phase(name string) {
	for _, g := range l.groups {
		g.gen.SetPhase(name)
	}
}

// Steps of the load that warms the engines. An agent's limit grows by half
// after as many completions as the limit, so a cold fleet bears only a part of
// the whole load.
var warmSteps = []float64{0.1, 0.2, 0.4, 0.7, 1}

const (
	warmStep    = 2 * time.Second
	warmTimeout = time.Minute
)

// warm raises the load in steps until every engine is warm.
func (s *system) warm(ctx context.Context) error {
	deadline := time.Now().Add(warmTimeout)
	for i := 0; i < len(warmSteps) || s.coldEngines() > 0; i++ {
		if time.Now().After(deadline) {
			return trace.LimitExceeded("%d engines are still cold after %v of load", s.coldEngines(), warmTimeout)
		}
		l, err := s.newLoad(warmSteps[min(i, len(warmSteps)-1)], s.opt.rates(), warmStep, s.opt.Seed+uint64(1000*(i+1)))
		if err != nil {
			return err
		}
		l.start(ctx)
		l.run.Wait()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

func (s *system) coldEngines() int {
	n := 0
	for _, engines := range s.engines {
		for _, e := range engines {
			if e.Load().Cold {
				n++
			}
		}
	}
	return n
}
