package rankgroup

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/wasabinotch/wasabinotch/expertmap"
)

// Size is the size of a simulated group. Slots is the number of expert slots per
// rank and layer.
type Size struct {
	Ranks, Experts, Layers, Slots int
}

// Sizes are the sizes that RunSimulations covers.
var Sizes = []Size{
	{Ranks: 16, Experts: 64, Layers: 8, Slots: 6},
	{Ranks: 64, Experts: 256, Layers: 8, Slots: 6},
	{Ranks: 256, Experts: 256, Layers: 8, Slots: 2},
}

// Simulation holds the parameters of one run.
type Simulation struct {
	Size      Size
	Seed      uint64
	Intervals int
	// Steps is the number of steps simulated per interval.
	Steps int
	// Interval is the planning interval.
	Interval time.Duration
	// LagIntervals is the age of the latest known loads, at least 1: at the start of
	// interval t the mean loads of interval t-LagIntervals are known.
	LagIntervals int
	// SlowFactor is the factor by which rank 0 is slower than the others.
	SlowFactor float64
	// ReportNoise is the relative standard deviation of reported loads and speeds.
	ReportNoise float64
	Estimator   expertmap.EstimatorConfig
	Drift       Drift
	Cost        expertmap.CostModel
}

// NewSimulation returns the default parameters: two hours of 60 s intervals,
// experts of 44 MiB and a weight store that delivers 2 GB/s to the group.
func NewSimulation(size Size, seed uint64) Simulation {
	return Simulation{
		Size: size, Seed: seed, Intervals: 120, Steps: 4, Interval: time.Minute, LagIntervals: 1,
		SlowFactor: 1.2, ReportNoise: 0.01, Estimator: expertmap.DefaultEstimatorConfig, Drift: DefaultDrift,
		Cost: expertmap.CostModel{ExpertBytes: 44 << 20, StoreRate: 2e9, StepTime: 0.05, Horizon: 600},
	}
}

// PlacementStats are the results of one placement strategy.
type PlacementStats struct {
	// Skew is the mean over steps of (sum of maxima - sum of means) / sum of means,
	// with the sums over layers, and maxima and means over the times of the ranks.
	Skew  float64
	Bytes int64 // loaded by all ranks
	Moves int
	// PlanTime is the longest wall time of one plan.
	PlanTime time.Duration
}

// Comparison holds the results of all placement strategies in one simulation. All
// but Even start from the same map.
type Comparison struct {
	Simulation Simulation
	// Even keeps the initial map of a group, which is made without known loads.
	Even PlacementStats
	// Static keeps the map that is planned from scratch for the loads at the start.
	Static PlacementStats
	// Scratch uses expertmap.PlanFromScratch in each interval, Keeping
	// expertmap.PlanKeepingReplicas and Planned expertmap.Plan.
	Scratch PlacementStats
	Keeping PlacementStats
	Planned PlacementStats
}

// planner is one of the planning functions of package expertmap.
type planner func(expertmap.PlanInput) (expertmap.PlanResult, error)

// placement is the state of one placement strategy during a run.
type placement struct {
	plan    planner // nil keeps the map
	active  *expertmap.Map
	pending *expertmap.Map
	// delay is the number of steps until pending takes effect.
	delay int
	// skipLoading ignores the time to load a map. It is set for Scratch and Keeping,
	// since planning from scratch moves more bytes in an interval than the weight
	// store can deliver.
	skipLoading bool
	stats       PlacementStats
	skewSum     float64
	steps       int
}

// Run executes the simulation. Its results except PlanTime depend only on the
// parameters.
func (s Simulation) Run() (Comparison, error) {
	w := newWorkload(s)
	even, err := expertmap.NewEvenMap("sim", s.Size.Ranks, s.Size.Layers, s.Size.Experts, s.Size.Slots)
	if err != nil {
		return Comparison{}, err
	}
	start, err := expertmap.PlanFromScratch(expertmap.PlanInput{Current: even, Loads: w.loadsAt(0), Speeds: ones(s.Size.Ranks), Cost: s.Cost})
	if err != nil {
		return Comparison{}, err
	}
	placements := []*placement{
		{active: even},
		{active: start.Map},
		{active: start.Map, plan: expertmap.PlanFromScratch, skipLoading: true},
		{active: start.Map, plan: expertmap.PlanKeepingReplicas, skipLoading: true},
		{active: start.Map, plan: expertmap.Plan},
	}
	for range s.Intervals {
		for _, p := range placements {
			if err := p.replan(s, w); err != nil {
				return Comparison{}, err
			}
		}
		for k := range s.Steps {
			now := w.loadsAt(float64(k) / float64(s.Steps))
			for _, p := range placements {
				p.step(now, w.speeds)
			}
		}
		w.advance()
	}
	for _, p := range placements {
		p.stats.Skew = p.skewSum / float64(p.steps)
	}
	return Comparison{Simulation: s, Even: placements[0].stats, Static: placements[1].stats,
		Scratch: placements[2].stats, Keeping: placements[3].stats, Planned: placements[4].stats}, nil
}

// replan plans a map from the known loads and speeds. The map takes effect after
// its loading time, at least one step.
func (p *placement) replan(s Simulation, w *workload) error {
	if p.plan == nil || w.estimator.Loads() == nil {
		return nil
	}
	current := p.active
	if p.pending != nil {
		current = p.pending
	}
	in := expertmap.PlanInput{Current: current, Loads: w.estimator.Loads(), Speeds: w.estimator.Speeds(), Cost: s.Cost}
	began := time.Now()
	res, err := p.plan(in)
	if err != nil {
		return err
	}
	p.stats.PlanTime = max(p.stats.PlanTime, time.Since(began))
	p.stats.Bytes += res.LoadBytes
	p.stats.Moves += len(res.Moves)
	p.pending = res.Map
	p.delay = 1
	if !p.skipLoading {
		loading := float64(res.LoadBytes) / s.Cost.StoreRate
		stepsPerSecond := float64(s.Steps) / s.Interval.Seconds()
		p.delay = max(1, int(math.Ceil(loading*stepsPerSecond)))
	}
	return nil
}

func (p *placement) step(now [][]float64, speeds []float64) {
	if p.pending != nil {
		p.delay--
		if p.delay < 0 {
			p.active, p.pending = p.pending, nil
		}
	}
	p.skewSum += expertmap.Skew(p.active, now, speeds)
	p.steps++
}

// workload is the actual popularity of experts and speed of ranks, and the
// estimates from delayed and noisy reports.
type workload struct {
	sim            Simulation
	rng            *rand.Rand
	layers         []*popularity
	from, to       [][]float64 // log-popularity at the start and the end of the interval, by layer and expert
	speeds         []float64
	estimator      *expertmap.Estimator
	pendingReports [][][]float64 // loads that the estimator does not know yet because of LagIntervals
}

func newWorkload(s Simulation) *workload {
	w := &workload{sim: s, rng: rand.New(rand.NewPCG(s.Seed, 1)), speeds: ones(s.Size.Ranks)}
	w.speeds[0] = 1 / s.SlowFactor
	w.estimator = expertmap.NewEstimator(s.Estimator)
	for l := range s.Size.Layers {
		p := newPopularity(s.Drift, s.Size.Experts, rand.New(rand.NewPCG(s.Seed, uint64(l)+2)))
		w.layers = append(w.layers, p)
		w.from = append(w.from, p.logPopularity())
		p.advance()
		w.to = append(w.to, p.logPopularity())
	}
	return w
}

// loadsAt returns the actual loads by layer and expert at the fraction f of the
// current interval.
func (w *workload) loadsAt(f float64) [][]float64 {
	out := make([][]float64, len(w.layers))
	for l := range out {
		out[l] = normalisedLoads(w.from[l], w.to[l], f)
	}
	return out
}

// advance reports the loads and speeds of the current interval and moves to the
// next one.
func (w *workload) advance() {
	report := w.loadsAt(0.5)
	for l := range report {
		for e := range report[l] {
			report[l][e] *= 1 + w.sim.ReportNoise*w.rng.NormFloat64()
		}
	}
	w.pendingReports = append(w.pendingReports, report)
	if len(w.pendingReports) >= w.sim.LagIntervals {
		w.estimator.AddLoads(w.pendingReports[0])
		w.pendingReports = w.pendingReports[1:]
		speeds := make([]float64, len(w.speeds))
		for r, v := range w.speeds {
			speeds[r] = v * (1 + w.sim.ReportNoise*w.rng.NormFloat64())
		}
		w.estimator.AddSpeeds(speeds)
	}
	for l, p := range w.layers {
		w.from[l] = w.to[l]
		p.advance()
		w.to[l] = p.logPopularity()
	}
}

func ones(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1
	}
	return out
}

// Report writes the comparison as one line.
func (o Comparison) Report(w io.Writer) {
	s := o.Simulation
	_, _ = fmt.Fprintf(w, "%dx%d layers=%d slots=%d seed=%d lag=%d walk=%.3f: skew even %.4f static %.4f scratch %.4f keeping %.4f planned %.4f; bytes scratch %.1f GB keeping %.1f GB planned %.2f GB (%.4f of scratch); longest plan %v\n",
		s.Size.Ranks, s.Size.Experts, s.Size.Layers, s.Size.Slots, s.Seed, s.LagIntervals, s.Drift.Walk,
		o.Even.Skew, o.Static.Skew, o.Scratch.Skew, o.Keeping.Skew, o.Planned.Skew,
		float64(o.Scratch.Bytes)/1e9, float64(o.Keeping.Bytes)/1e9, float64(o.Planned.Bytes)/1e9, o.BytesRatio(),
		o.Planned.PlanTime.Round(time.Millisecond))
}

// RunSimulations runs the default simulation for all Sizes and seeds and writes a
// line for each.
func RunSimulations(w io.Writer, seeds ...uint64) error {
	for _, size := range Sizes {
		for _, seed := range seeds {
			out, err := NewSimulation(size, seed).Run()
			if err != nil {
				return err
			}
			out.Report(w)
		}
	}
	return nil
}

// BytesRatio returns the bytes that Planned loaded relative to Scratch.
func (o Comparison) BytesRatio() float64 {
	return float64(o.Planned.Bytes) / max(1, float64(o.Scratch.Bytes))
}
