package rankgroup

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/expertmap"
)

// GroupConfig holds the parameters of a Group.
type GroupConfig struct {
	Ranks int
	// WeightRate is the rate of the weight store, in bytes/s.
	WeightRate float64
	Options    func(rank int) EngineOptions
	// Listen returns the address on which a rank serves its control interface, or
	// "" if the caller serves Handler instead. Nil selects free ports of
	// 127.0.0.1.
	Listen func(rank int) string
	// Popularity returns the load by expert of a layer.
	Popularity func(layer int) []float64
}

// Group is a group of simulated ranks that execute steps in lock-step.
type Group struct {
	Checker  *Checker
	engines  []*engine
	exchange *exchange
}

// NewGroup returns a group and starts the control interfaces of its ranks. Steps
// begin with Run.
func NewGroup(cfg GroupConfig) (*Group, error) {
	g := &Group{Checker: newChecker(cfg.Ranks), exchange: newExchange(cfg.Ranks)}
	store := NewWeightStore(cfg.WeightRate)
	for r := range cfg.Ranks {
		e := newEngine(r, cfg.Options(r), store, cfg.Popularity)
		g.engines = append(g.engines, e)
		addr := "127.0.0.1:0"
		if cfg.Listen != nil {
			addr = cfg.Listen(r)
		}
		if addr == "" {
			continue
		}
		if err := e.listen(addr); err != nil {
			g.Close()
			return nil, err
		}
	}
	return g, nil
}

// Handler returns the control interface of a rank, for a caller that serves it
// together with others on one address.
func (g *Group) Handler(rank int) http.Handler { return g.engines[rank].handler() }

// Address returns the IP:port of a rank's control interface; empty if the caller
// serves Handler.
func (g *Group) Address(rank int) string { return g.engines[rank].addr }

// Restart restarts a rank. It is unavailable for RestartTime and loses its maps.
func (g *Group) Restart(rank int) { g.engines[rank].restart() }

// Stall delays the next step of a rank by d.
func (g *Group) Stall(rank int, d time.Duration) { g.engines[rank].stall(d) }

// SetLoadDelay sets the time that is added to each load of a map by a rank.
func (g *Group) SetLoadDelay(rank int, d time.Duration) { g.engines[rank].loadDelay.Store(int64(d)) }

// Close stops the control interfaces.
func (g *Group) Close() {
	for _, e := range g.engines {
		e.close()
	}
}

// Run executes steps until ctx ends.
func (g *Group) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, e := range g.engines {
		wg.Go(func() { g.runRank(ctx, e) })
	}
	wg.Wait()
}

// retryInterval is the time after which a rank tries again to start a step: when
// the group has no common map, or the rank waits for the decision on a switch.
const retryInterval = time.Millisecond

func (g *Group) runRank(ctx context.Context, e *engine) {
	for ctx.Err() == nil {
		incarnation, c, err := e.awaitReady(ctx, g.Checker.markStalled)
		if err != nil {
			return
		}
		round, sets, err := g.exchange.contribute(ctx, e.rank, c)
		if err != nil {
			return
		}
		number := expertmap.AgreedNumber(sets)
		if u, ok := e.beginStep(incarnation, round, number); ok {
			g.Checker.record(round, e.rank, u)
			if sleep(ctx, e.opt.StepTime) != nil {
				return
			}
			continue
		}
		if number == 0 {
			g.Checker.markStalled()
		}
		if sleep(ctx, retryInterval) != nil {
			return
		}
	}
}

// awaitReady waits until the rank is not restarting, stalled or undecided about a
// switch, and calls onStall while it waits. It returns the rank's incarnation and
// its contribution to the exchange.
func (e *engine) awaitReady(ctx context.Context, onStall func()) (string, contribution, error) {
	for {
		e.mu.Lock()
		wait := time.Until(e.downUntil)
		if e.stallFor > 0 {
			wait = max(wait, e.stallFor)
			e.stallFor = 0
		}
		if wait <= 0 && !e.undecided() {
			defer e.mu.Unlock()
			return e.incarnation, contribution{held: e.offeredMaps()}, nil
		}
		e.mu.Unlock()
		onStall()
		if err := sleep(ctx, max(wait, retryInterval)); err != nil {
			return "", contribution{}, err
		}
	}
}

// beginStep starts a step under the agreed map and reports whether the rank takes
// part. A rank that restarted after its contribution does not.
func (e *engine) beginStep(incarnation string, round, number uint64) (mapUse, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step = round
	if e.incarnation != incarnation {
		return mapUse{}, false
	}
	h, ok := e.held.BeginStep(number)
	return h.mapUse, ok
}
