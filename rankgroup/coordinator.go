package rankgroup

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/logs"
)

const (
	// pollTimeout bounds the polling of one rank.
	pollTimeout = 200 * time.Millisecond
	// windowTime is the least time of a demand window; shorter ones follow the
	// mix of the few requests that happen to run.
	windowTime = 150 * time.Millisecond
	// copyBudget bounds the copying for one plan on one rank. Right after a shift
	// of demand most of the gain lies in the first few copies, and passes are late
	// until they are in force.
	copyBudget = 120 * time.Millisecond
	// minGain is the least improvement that is worth a copy, in means of a set's
	// load; passes take 15 in 100 longer while experts are copied.
	minGain = 0.02
	// foreignSteps is how many passes ahead a coordinator that is gone may have
	// sent a release in a group that went idle.
	foreignSteps = 2
	// idleTime is the time without a new pass after which a group counts as idle.
	idleTime = 500 * time.Millisecond
	// strayRounds is the number of rounds for which another coordinator's hold
	// is left alone, as it may be about to release it.
	strayRounds = 3
)

// Config configures a Coordinator.
type Config struct {
	Dimensions
	// Ranks are the group's ranks in order.
	Engines []Engine
	// LocalRank is this process's own rank, where passes are held back.
	LocalRank int
	Log       logr.Logger
	// Metrics shows plans and switches.
	Metrics *metrics.Set
}

// Coordinator keeps one group's maps. It is used from one goroutine.
type Coordinator struct {
	cfg    Config
	demand *Demand
	// nonce makes versions of different processes differ.
	nonce   uint64
	version atomic.Uint64

	epoch   uint64
	current *Map
	inForce uint64
	// next is the plan that is being copied.
	next      *Plan
	nextSince time.Time
	preparing uint64
	// awaited is the version whose copies are waited for, ready the last one
	// that copied brought.
	awaited, ready uint64
	copied         chan uint64
	orderedAt      []time.Time
	pending        *Switch
	strays         int
	// released is the last pass that a release was sent for. No pass up to it is
	// held again, since a release may still be carried out.
	released   uint64
	lastWindow time.Time
	// fresh says that a window ended since the last plan.
	fresh    bool
	lastStep uint64
	stepAt   time.Time

	// rare takes lines that would repeat each round while a rank is away.
	rare logr.Logger
}

// rareLines is the number of such lines a second.
const rareLines = 1

// nonceBits is the part of a version that names the process; versions stay
// below 2^53, since they travel as JSON numbers.
const nonceBits = 20

// NewCoordinator returns a coordinator that knows nothing of the group yet.
func NewCoordinator(cfg Config) *Coordinator {
	return &Coordinator{cfg: cfg, demand: NewDemand(cfg.Dimensions), nonce: rand.Uint64N(1 << nonceBits),
		orderedAt: make([]time.Time, len(cfg.Engines)), copied: make(chan uint64, 1),
		rare: logs.Limit(cfg.Log, rareLines, rareLines)}
}

func (c *Coordinator) count(name string) { c.cfg.Metrics.GetOrCreateCounter(name).Inc() }

// nextVersion returns a version above all that were seen.
func (c *Coordinator) nextVersion() uint64 {
	for {
		old := c.version.Load()
		next := (old>>nonceBits+1)<<nonceBits | c.nonce
		if c.version.CompareAndSwap(old, next) {
			return next
		}
	}
}

func (c *Coordinator) saw(version uint64) {
	if version > c.version.Load() {
		c.version.Store(version)
	}
}

// SwitchPending reports whether a switch is under way.
func (c *Coordinator) SwitchPending() bool { return c.pending != nil }

// Round polls the ranks and does what is due. whole reports whether all ranks
// were reached. The error is ErrSuperseded if another coordinator is in charge.
func (c *Coordinator) Round(ctx context.Context) (whole bool, err error) {
	if c.next != nil && c.ready == c.preparing && c.pending == nil {
		c.ready = 0
		return true, c.beginSwitch(ctx)
	}
	reports, err := c.poll(ctx)
	if err != nil {
		return false, err
	}
	if reports == nil {
		if c.pending != nil {
			err = c.advance(ctx)
		}
		return false, err
	}
	if !c.consistent(reports) {
		return true, nil
	}
	return true, c.act(ctx, reports)
}

// act does what is due in a whole and open group.
func (c *Coordinator) act(ctx context.Context, reports []Report) error {
	if c.pending != nil {
		return c.advance(ctx)
	}
	if c.stray(ctx, reports) {
		return nil
	}
	if c.current == nil && !c.learnMap(ctx, reports) {
		return nil
	}
	if c.next == nil {
		c.plan()
	}
	if c.next == nil {
		return nil
	}
	return c.prepare(ctx, reports)
}

// poll reads reports and counts of all ranks. It returns nil if one is missing.
func (c *Coordinator) poll(ctx context.Context) ([]Report, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	reports := make([]Report, len(c.cfg.Engines))
	windows := make([]SelectionWindow, len(c.cfg.Engines))
	withWindow := time.Since(c.lastWindow) >= windowTime
	errs := make([]error, len(c.cfg.Engines))
	var wg sync.WaitGroup
	for r, e := range c.cfg.Engines {
		wg.Go(func() {
			reports[r], windows[r], errs[r] = e.Poll(ctx, withWindow)
		})
	}
	wg.Wait()
	missing := false
	for r, err := range errs {
		if errors.Is(err, ErrSuperseded) {
			return nil, err
		}
		if err != nil {
			c.rare.Info("Rank not polled.", "rank", r, "cause", err.Error())
			c.count("wasabinotch_polls_failed_total")
			missing = true
			continue
		}
		c.demand.AddWindow(windows[r])
	}
	if withWindow && c.demand.CloseWindow() {
		c.lastWindow, c.fresh = time.Now(), true
	}
	if missing {
		return nil, nil
	}
	return reports, nil
}

// consistent takes the state of the formation from the reports. It returns
// false while the group isn't whole.
func (c *Coordinator) consistent(reports []Report) bool {
	now := time.Now()
	first := reports[0]
	for r, rep := range reports {
		if rep.Epoch != first.Epoch || !rep.Open || rep.Rank != r || rep.Group != first.Group {
			return false
		}
		for _, v := range []uint64{rep.MapVersion, rep.PreparedVersion} {
			c.saw(v)
		}
		if rep.Armed != nil {
			c.saw(rep.Armed.Version)
		}
	}
	if first.Epoch != c.epoch {
		c.cfg.Log.Info("Group formed.", "group", first.Group, "epoch", first.Epoch, "ranks", len(reports))
		c.epoch, c.current, c.next, c.pending = first.Epoch, nil, nil, nil
		c.lastStep, c.stepAt, c.released = first.Step, now, first.Step+foreignSteps
		c.fresh = c.demand.Current() != nil
	}
	if first.Step > c.lastStep {
		c.lastStep, c.stepAt = first.Step, now
	}
	return true
}

// stray finds orders of a coordinator that is gone and begins to undo them.
func (c *Coordinator) stray(ctx context.Context, reports []Report) bool {
	found := false
	for _, rep := range reports {
		if rep.Armed != nil || rep.HeldStep != nil {
			found = true
		}
	}
	if found && c.awaits(reports) {
		// The group is idle: its own switch happens as the next requests arrive.
		// It must not be undone here, since a release may still be on its way.
		return true
	}
	if !found {
		c.strays = 0
		return false
	}
	if c.strays++; c.strays >= strayRounds && c.learnMap(ctx, reports) {
		c.cfg.Log.Info("Undoing another coordinator's switch.", "epoch", c.epoch, "step", c.lastStep)
		c.strays = 0
		c.next = nil
		c.pending = NewRollback(c.cfg.Engines, reports, c.current, c.nextVersion)
	}
	return true
}

// awaits reports whether the ranks are armed with this coordinator's last
// switch, whose pass hasn't begun.
func (c *Coordinator) awaits(reports []Report) bool {
	for _, rep := range reports {
		if rep.Armed == nil || rep.Armed.Version != c.inForce || rep.Step >= rep.Armed.Step {
			return false
		}
	}
	return true
}

// learnMap finds out the map in force.
func (c *Coordinator) learnMap(ctx context.Context, reports []Report) bool {
	version := reports[0].MapVersion
	for _, rep := range reports {
		if rep.MapVersion != version {
			return false // a switch is under way
		}
	}
	if version == 0 {
		c.current, c.inForce = InitialMap(c.cfg.Dimensions), 0
		return true
	}
	m := &Map{Sets: make([][][]int, c.cfg.Sets)}
	for s := range m.Sets {
		m.Sets[s] = make([][]int, len(c.cfg.Engines))
	}
	for r, e := range c.cfg.Engines {
		sets, v, err := e.Experts(ctx)
		if err != nil || v != version || len(sets) != c.cfg.Sets {
			return false
		}
		for s := range sets {
			m.Sets[s][r] = sets[s]
		}
	}
	c.current, c.inForce = m, version
	c.cfg.Log.Info("Map read.", "version", version)
	return true
}

// plan looks for copies that pay.
func (c *Coordinator) plan() {
	if !c.fresh {
		return
	}
	c.fresh = false
	now := time.Now()
	plan := NewPlan(c.current, c.demand.Current(), PlanConfig{
		Dimensions: c.cfg.Dimensions, MaxCopiesPerRank: max(1, int(copyBudget/max(c.cfg.CopyTime, time.Millisecond))), MinGain: minGain,
	})
	if plan.CopiesPerRank == 0 {
		return
	}
	c.next, c.nextSince, c.preparing = &plan, now, c.nextVersion()
	clear(c.orderedAt)
	c.count("wasabinotch_maps_planned_total")
	c.cfg.Metrics.GetOrCreateGauge("wasabinotch_map_skew", nil).Set(plan.SkewAfter)
	c.cfg.Log.Info("Map planned.", "version", c.preparing, "copies", plan.CopiesPerRank, "skew_before", plan.SkewBefore, "skew_after", plan.SkewAfter,
		"took_ms", time.Since(now).Milliseconds())
}
