package rankgroup

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/logs"
)

const (
	// pollTimeout and pollTimeoutPerRank bound the poll of the ranks: the replies of all
	// share the coordinator's link and processor.
	pollTimeout        = 200 * time.Millisecond
	pollTimeoutPerRank = 2 * time.Millisecond
	// minWindowTime is the least duration of a selection window; a shorter window
	// would reflect only the few requests that happen to run.
	minWindowTime = 150 * time.Millisecond
	// windowBytesPerRound bounds the bytes of the windows that are read in one round, and
	// windowOverhead is what a window has besides one byte for each expert: the links of
	// endpoint VMs are narrow, and all replies of a round share the coordinator's.
	// windowBytesPerSecond bounds them in groups whose rounds are short: 28 ranks with 8 sets of
	// 252 experts would send as many bytes as 63 ranks, in less than half of the time.
	windowBytesPerRound  = 64 << 10
	windowBytesPerSecond = 256 << 10
	windowOverhead       = 300
	// copyTimeBudget bounds the time that one plan's copies take on one rank. Right
	// after a shift of demand most of the gain comes from the first few copies, and
	// engine steps stay slow until these are in force.
	copyTimeBudget = 120 * time.Millisecond
	// minGain is the least improvement that is worth a copy, in units of a set's mean
	// load; engine steps take 15% longer while experts are copied.
	minGain = 0.02
	// foreignReleaseSteps is how many steps ahead of the current one a failed
	// coordinator may have sent a Release in a group that became idle.
	foreignReleaseSteps = 2
	// idleTimeout is the time without a new step after which a group counts as idle.
	idleTimeout = 500 * time.Millisecond
	// minPaceChange is the factor by which a rank's pace must change for a new plan.
	minPaceChange = 1.2
	// foreignGraceRounds is the number of successive rounds in which another
	// coordinator's hold or armed switch must be found before it is rolled back, as that
	// coordinator may be about to release it. A new coordinator needs none of them: it takes
	// over after a longer silence of the former one.
	foreignGraceRounds = 3
)

// Config configures a Coordinator.
type Config struct {
	Dimensions
	// Engines are the group's engines, by rank.
	Engines []Engine
	// LocalRank is the rank on the coordinator's VM.
	LocalRank int
	// RoundInterval is the least time between two rounds; 0 if it isn't known.
	RoundInterval time.Duration
	// KnownMap returns a map that was prepared at the local rank, nil if it isn't kept; nil
	// for a coordinator that keeps none.
	KnownMap func(version uint64) *Map
	Log      logr.Logger
	// Metrics counts plans and switches.
	Metrics *metrics.Set
}

// Coordinator plans and switches one group's maps. It must be used from a single
// goroutine.
type Coordinator struct {
	cfg    Config
	demand *Demand
	// nonce makes the versions of different processes differ.
	nonce   uint64
	version atomic.Uint64

	epoch          uint64
	currentMap     *Map
	currentVersion uint64
	// nextPlan is the plan that is being copied, as version plannedVersion.
	nextPlan       *Plan
	plannedAt      time.Time
	plannedVersion uint64
	// awaitedVersion is the version whose copies are awaited. copied delivers a version
	// once all ranks have copied it; copiedVersion is the last one received from it.
	awaitedVersion, copiedVersion uint64
	copied                        chan uint64
	prepareSentAt                 []time.Time
	pendingSwitch                 *Switch
	foreignRounds                 int
	// releasedStep is the last step for which a Release was sent. Neither it nor an
	// earlier step is held again, since a Release may still be carried out.
	releasedStep uint64
	lastWindowAt time.Time
	// windowTurn is the first of the ranks whose windows are read next if not all are read
	// in each round, windowStarted is set once these have begun their windows.
	windowTurn    int
	windowStarted bool
	// pace is how many times longer each rank takes than it should, as of the last reports.
	pace []float64
	// demandUpdated is set if a window was closed, or the pace of a rank has changed, since
	// the last plan.
	demandUpdated bool
	lastStep      uint64
	lastStepAt    time.Time

	// limitedLog is for log lines that would otherwise repeat each round while a rank is
	// unreachable.
	limitedLog logr.Logger
}

// limitedLinesPerSecond is the rate limit of limitedLog.
const limitedLinesPerSecond = 1

// nonceBits is the number of low bits of a version that hold the nonce. Versions stay
// below 2^53, since they are sent as JSON numbers.
const nonceBits = 20

// NewCoordinator returns a coordinator that has no state of the group yet.
func NewCoordinator(cfg Config) *Coordinator {
	return &Coordinator{cfg: cfg, demand: NewDemand(cfg.Dimensions), nonce: rand.Uint64N(1 << nonceBits),
		foreignRounds: foreignGraceRounds - 1, prepareSentAt: make([]time.Time, len(cfg.Engines)), pace: slices.Repeat([]float64{1}, len(cfg.Engines)), copied: make(chan uint64, 1),
		limitedLog: logs.Limit(cfg.Log, limitedLinesPerSecond, limitedLinesPerSecond)}
}

func (c *Coordinator) incCounter(name string) { c.cfg.Metrics.GetOrCreateCounter(name).Inc() }

// nextVersion returns a version above all versions observed so far.
func (c *Coordinator) nextVersion() uint64 {
	for {
		old := c.version.Load()
		next := (old>>nonceBits+1)<<nonceBits | c.nonce
		if c.version.CompareAndSwap(old, next) {
			return next
		}
	}
}

// observeVersion raises the last known version.
func (c *Coordinator) observeVersion(version uint64) {
	if version > c.version.Load() {
		c.version.Store(version)
	}
}

// observeVersions raises the last known version to those of a report.
func (c *Coordinator) observeVersions(rep Report) {
	c.observeVersion(rep.MapVersion)
	c.observeVersion(rep.PreparedVersion)
	if rep.Armed != nil {
		c.observeVersion(rep.Armed.Version)
	}
}

// SwitchPending reports whether a switch is in progress.
func (c *Coordinator) SwitchPending() bool { return c.pendingSwitch != nil }

// Round polls the ranks and takes the next action for the group. complete reports
// whether all ranks were reached. The error is ErrSuperseded if another coordinator is
// in charge.
func (c *Coordinator) Round(ctx context.Context) (complete bool, err error) {
	if c.nextPlan != nil && c.copiedVersion == c.plannedVersion && c.pendingSwitch == nil {
		c.copiedVersion = 0
		return true, c.beginSwitch(ctx)
	}
	reports, missing, err := c.poll(ctx)
	if err != nil {
		return false, err
	}
	if len(missing) > 0 {
		if c.pendingSwitch == nil && len(missing) == 1 {
			c.rollBackWithout(missing[0], reports)
		}
		if c.pendingSwitch != nil {
			err = c.advance(ctx)
		}
		return false, err
	}
	if !c.updateFormation(reports) {
		return true, nil
	}
	return true, c.handleReports(ctx, reports)
}

// handleReports takes the next action in a complete and open group.
func (c *Coordinator) handleReports(ctx context.Context, reports []Report) error {
	if c.pendingSwitch != nil {
		return c.advance(ctx)
	}
	if c.rollBackForeign(ctx, reports) {
		return nil
	}
	if c.currentMap == nil && !c.readMap(ctx, reports) {
		return nil
	}
	if c.nextPlan == nil {
		c.planCopies()
	}
	if c.nextPlan == nil {
		return nil
	}
	return c.prepare(ctx, reports)
}

// groupTimeout bounds calls to all ranks at once.
func (c *Coordinator) groupTimeout() time.Duration {
	return pollTimeout + time.Duration(len(c.cfg.Engines))*pollTimeoutPerRank
}

// poll reads the reports of all ranks, and selection windows. missing are the ranks that
// didn't reply.
func (c *Coordinator) poll(ctx context.Context) (reports []Report, missing []int, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.groupTimeout())
	defer cancel()
	reports = make([]Report, len(c.cfg.Engines))
	windows := make([]SelectionWindow, len(c.cfg.Engines))
	requests := c.windowRequests()
	errs := make([]error, len(c.cfg.Engines))
	var wg sync.WaitGroup
	for r, e := range c.cfg.Engines {
		wg.Go(func() {
			reports[r], windows[r], errs[r] = e.Poll(ctx, requests[r])
		})
	}
	wg.Wait()
	for r, err := range errs {
		if errors.Is(err, ErrSuperseded) {
			return nil, nil, err
		}
		if err != nil {
			c.limitedLog.Info("Rank not polled.", "rank", r, "cause", err.Error())
			c.incCounter("wasabinotch_polls_failed_total")
			missing = append(missing, r)
			continue
		}
		c.demand.AddWindow(windows[r])
	}
	if slices.Contains(requests, ReadWindow) && c.demand.CloseWindow() {
		c.demandUpdated = true
	}
	return reports, missing, nil
}

// windowBudget returns the bytes of windows that one round may read.
func (c *Coordinator) windowBudget() int {
	if c.cfg.RoundInterval <= 0 {
		return windowBytesPerRound
	}
	return min(windowBytesPerRound, int(windowBytesPerSecond*max(c.cfg.RoundInterval, minWindowTime).Seconds()))
}

// windowRequests says which ranks are asked for their windows in this round. In a large
// group each round reads the windows of a part of the ranks, which take turns and are told
// to begin their windows one round before: requests are spread over the ranks at random,
// so that a part of them shows the demand of all.
func (c *Coordinator) windowRequests() []WindowRequest {
	requests := make([]WindowRequest, len(c.cfg.Engines))
	if time.Since(c.lastWindowAt) < minWindowTime {
		return requests
	}
	c.lastWindowAt = time.Now()
	n := min(len(requests), max(1, c.windowBudget()/(c.cfg.Sets*c.cfg.Experts+windowOverhead)))
	if n == len(requests) {
		for r := range requests {
			requests[r] = ReadWindow
		}
		return requests
	}
	for i := range n {
		requests[(c.windowTurn+n+i)%len(requests)] = StartWindow
	}
	for i := range n {
		if c.windowStarted {
			requests[(c.windowTurn+i)%len(requests)] = ReadWindow
		}
	}
	c.windowTurn, c.windowStarted = (c.windowTurn+n)%len(requests), true
	return requests
}

// updateFormation takes the state of the formation from the reports. It returns false
// while the group is incomplete or not open.
func (c *Coordinator) updateFormation(reports []Report) bool {
	now := time.Now()
	first := reports[0]
	for r, rep := range reports {
		if rep.Epoch != first.Epoch || !rep.Open || rep.Rank != r || rep.Group != first.Group {
			return false
		}
		c.observeVersions(rep)
	}
	if first.Epoch != c.epoch {
		c.beginFormation(first, now)
	}
	if first.Step > c.lastStep {
		c.lastStep, c.lastStepAt = first.Step, now
	}
	c.updatePace(reports)
	return true
}

// beginFormation drops what is known of an earlier formation. first is a report of the new one.
func (c *Coordinator) beginFormation(first Report, now time.Time) {
	c.cfg.Log.Info("Group formed.", "group", first.Group, "epoch", first.Epoch, "ranks", len(c.cfg.Engines))
	c.epoch, c.currentMap, c.nextPlan, c.pendingSwitch = first.Epoch, nil, nil, nil
	c.lastStep, c.lastStepAt, c.releasedStep = first.Step, now, first.Step+foreignReleaseSteps
	c.demandUpdated = c.demand.Current() != nil
}

// updatePace takes the paces of the ranks from their reports.
func (c *Coordinator) updatePace(reports []Report) {
	for r, rep := range reports {
		pace := rep.pace()
		if old := c.pace[r]; pace > old*minPaceChange || old > pace*minPaceChange {
			c.cfg.Log.Info("Rank changed its pace.", "rank", r, "pace", pace, "before", old)
			c.pace[r] = pace
			c.demandUpdated = c.demand.Current() != nil
		}
	}
}

// rollBackForeign looks for a hold or an armed switch and returns true if it found one.
// If it belongs to another coordinator and was found in foreignGraceRounds rounds, it
// begins to roll it back.
func (c *Coordinator) rollBackForeign(ctx context.Context, reports []Report) bool {
	found, held := false, false
	for _, rep := range reports {
		found = found || rep.Armed != nil || rep.HeldStep != nil
		held = held || rep.HeldStep != nil
	}
	if found && !held && c.armedWithCurrentMap(reports) {
		// The group is idle: this coordinator's switch takes effect once the next requests
		// arrive. It must not be rolled back here, since a Release may still be on its way.
		return true
	}
	if !found {
		c.foreignRounds = 0
		return false
	}
	if c.foreignRounds++; c.foreignRounds >= foreignGraceRounds && c.readMap(ctx, reports) {
		c.cfg.Log.Info("Undoing another coordinator's switch.", "epoch", c.epoch, "step", c.lastStep)
		c.foreignRounds = 0
		c.nextPlan = nil
		c.pendingSwitch = NewRollback(c.cfg.Engines, reports, c.currentMap, c.nextVersion)
		c.pendingSwitch.describeFence(c.currentVersion, c.cfg.Experts)
	}
	return true
}

// rollBackWithout begins to roll back the switch of the coordinator beside a rank that
// doesn't reply, if the reports of the others show one that can be rolled back without it.
// It answers the load of a group that a frozen VM has left held.
func (c *Coordinator) rollBackWithout(absent int, reports []Report) {
	first := reports[(absent+1)%len(reports)]
	for r, rep := range reports {
		if r == absent {
			continue
		}
		if rep.Epoch != first.Epoch || !rep.Open || rep.Rank != r || rep.Group != first.Group || rep.MapVersion != first.MapVersion {
			return
		}
		c.observeVersions(rep)
	}
	var current *Map
	switch {
	case first.MapVersion == 0:
		current = InitialMap(c.cfg.Dimensions)
	case c.currentMap != nil && c.currentVersion == first.MapVersion && c.epoch == first.Epoch:
		current = c.currentMap
	case c.cfg.KnownMap != nil:
		current = c.cfg.KnownMap(first.MapVersion)
	}
	if current == nil {
		c.limitedLog.Info("Switch of a silent coordinator not undone; the map in force isn't known.", "rank", absent, "version", first.MapVersion)
		return
	}
	s, ok := NewRollbackWithout(absent, c.cfg.Engines, reports, current, c.nextVersion)
	if !ok {
		if slices.ContainsFunc(reports, func(rep Report) bool { return rep.Armed != nil || rep.HeldStep != nil }) {
			c.limitedLog.Info("Switch not undone; nobody knows whether the rank is armed.", "rank", absent, "step", first.Step)
		}
		return
	}
	c.cfg.Log.Info("Undoing the switch of a silent coordinator.", "rank", absent, "epoch", first.Epoch, "step", first.Step, "version", s.version, "proof", s.proof)
	c.incCounter("wasabinotch_switches_undone_without_coordinator_total")
	s.describeFence(first.MapVersion, c.cfg.Experts)
	if first.Epoch != c.epoch {
		c.beginFormation(first, time.Now())
	}
	c.nextPlan, c.pendingSwitch = nil, s
}

// armedWithCurrentMap reports whether all ranks are armed with this coordinator's last
// switch, whose step hasn't begun.
func (c *Coordinator) armedWithCurrentMap(reports []Report) bool {
	for _, rep := range reports {
		if rep.Armed == nil || rep.Armed.Version != c.currentVersion || rep.Step >= rep.Armed.Step {
			return false
		}
	}
	return true
}

// readMap reads the map in force from the ranks. It returns false while a switch is in
// progress or if a rank can't be read.
func (c *Coordinator) readMap(ctx context.Context, reports []Report) bool {
	version := reports[0].MapVersion
	for _, rep := range reports {
		if rep.MapVersion != version {
			return false // a switch is in progress
		}
	}
	if version == 0 {
		c.currentMap, c.currentVersion = InitialMap(c.cfg.Dimensions), 0
		return true
	}
	m := &Map{Sets: make([][][]int, c.cfg.Sets)}
	for s := range m.Sets {
		m.Sets[s] = make([][]int, len(c.cfg.Engines))
	}
	ctx, cancel := context.WithTimeout(ctx, c.groupTimeout())
	defer cancel()
	held := make([][][]int, len(c.cfg.Engines))
	var wg sync.WaitGroup
	for r, e := range c.cfg.Engines {
		wg.Go(func() {
			if sets, v, err := e.Experts(ctx); err == nil && v == version && len(sets) == c.cfg.Sets {
				held[r] = sets
			}
		})
	}
	wg.Wait()
	for r, sets := range held {
		if sets == nil {
			c.limitedLog.Info("Map not read.", "rank", r, "version", version)
			return false
		}
		for s := range sets {
			if slices.ContainsFunc(sets[s], func(expert int) bool { return expert < 0 || expert >= c.cfg.Experts }) {
				c.limitedLog.Info("Rank holds unknown experts; its map isn't read.", "rank", r, "set", s)
				return false
			}
			m.Sets[s][r] = sets[s]
		}
	}
	c.currentMap, c.currentVersion = m, version
	c.cfg.Log.Info("Map read.", "version", version)
	return true
}

// planCopies plans a new map if the demand was updated and copies are worth it.
func (c *Coordinator) planCopies() {
	if !c.demandUpdated {
		return
	}
	c.demandUpdated = false
	now := time.Now()
	plan := NewPlan(c.currentMap, c.demand.Current(), PlanConfig{
		Dimensions: c.cfg.Dimensions, Pace: c.pace, MaxCopiesPerRank: max(1, int(copyTimeBudget/max(c.cfg.CopyTime, time.Millisecond))), MinGain: minGain,
	})
	if plan.SkewAfter >= plan.SkewBefore {
		return
	}
	c.nextPlan, c.plannedAt, c.plannedVersion = &plan, now, c.nextVersion()
	clear(c.prepareSentAt)
	c.incCounter("wasabinotch_maps_planned_total")
	c.cfg.Metrics.GetOrCreateGauge("wasabinotch_map_skew", nil).Set(plan.SkewAfter)
	c.cfg.Log.Info("Map planned.", "version", c.plannedVersion, "copies", plan.CopiesPerRank, "skew_before", plan.SkewBefore, "skew_after", plan.SkewAfter,
		"took_ms", time.Since(now).Milliseconds())
}
