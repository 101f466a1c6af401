package zonemove

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/lab/loadgen"
)

// maxLoadDuration bounds the schedule of a load that runs until stop is called.
const maxLoadDuration = time.Hour

// callerGroup is the load of the callers of some zones.
type callerGroup struct {
	name      string // otherZones, or the name of the moved zone
	zones     []string
	generator *loadgen.Generator
}

// callerLoad is the load of all groups of callers.
type callerLoad struct {
	groups  []*callerGroup
	cancel  context.CancelFunc
	running sync.WaitGroup
}

const otherZones = "other zones"

// callerGroups returns the groups of callers whose statistics are kept separately:
// one for all zones that are not moved, and one for each moved zone.
func (o Options) callerGroups() []*callerGroup {
	moved := o.movedZones()
	groups := []*callerGroup{{name: otherZones, zones: zones()[:zoneCount-len(moved)]}}
	for _, z := range moved {
		groups = append(groups, &callerGroup{name: z, zones: []string{z}})
	}
	return groups
}

// newLoad returns a load of all callers at a fraction of the rates. Callers and load
// are divided equally among the zones.
func (s *system) newLoad(fraction float64, r rates, duration time.Duration, seed uint64) (*callerLoad, error) {
	l := &callerLoad{groups: s.options.callerGroups()}
	var entries []string
	for _, e := range s.deployment.Entries {
		entries = append(entries, e.HTTPAddr)
	}
	const callersPerZone = 8
	for i, g := range l.groups {
		groupFraction := fraction * float64(len(g.zones)) / zoneCount
		var err error
		g.generator, err = loadgen.New(loadgen.Config{
			EntryAddrs:             entries,
			Organisations:          s.deployment.Organisations,
			Zones:                  g.zones,
			CallersPerOrganisation: callersPerZone * len(g.zones),
			ModelService:           modelServiceName,
			PlainService:           plainServiceName,
			ModelRate:              groupFraction * r.model,
			StockRate:              groupFraction * r.stock,
			OrderRate:              groupFraction * r.order,
			CallerKeyFraction:      s.options.CallerKeyFraction,
			MaxTokens:              s.options.MaxTokens,
			Duration:               duration,
			Seed:                   seed + uint64(i),
		})
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return l, nil
}

func (l *callerLoad) start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	for _, g := range l.groups {
		l.running.Go(func() { g.generator.Run(ctx) })
	}
}

// stop ends the schedule and waits until the requests in flight have completed.
func (l *callerLoad) stop() {
	l.cancel()
	l.running.Wait()
}

func (l *callerLoad) setPhase(name string) {
	for _, g := range l.groups {
		g.generator.SetPhase(name)
	}
}

// warmUpFractions are the fractions of the full load in the steps of the warm-up. An
// agent's limit grows by half after as many completions as the limit, so that cold
// endpoints can handle only a part of the full load.
var warmUpFractions = []float64{0.1, 0.2, 0.4, 0.7, 1}

const (
	warmUpStep    = 2 * time.Second
	warmUpTimeout = time.Minute
)

// warmUp sends load that rises in steps of warmUpStep until every engine is warm. It
// returns an error if that takes longer than warmUpTimeout.
func (s *system) warmUp(ctx context.Context) error {
	deadline := time.Now().Add(warmUpTimeout)
	for i := 0; i < len(warmUpFractions) || s.coldEngineCount() > 0; i++ {
		if time.Now().After(deadline) {
			return trace.LimitExceeded("%d engines are still cold after %v of load", s.coldEngineCount(), warmUpTimeout)
		}
		l, err := s.newLoad(warmUpFractions[min(i, len(warmUpFractions)-1)], s.options.rates(), warmUpStep, s.options.Seed+uint64(1000*(i+1)))
		if err != nil {
			return err
		}
		l.start(ctx)
		l.running.Wait()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

func (s *system) coldEngineCount() int {
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
