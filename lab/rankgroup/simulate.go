package rankgroup

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/wasabinotch/wasabinotch/expertmap"
)

// Size is the size of a simulated group.
type Size struct {
	Ranks, Experts, Layers, Slots int
}

// Sizes are the sizes for which figures are reported.
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
	// LagIntervals is the age of the newest known loads in intervals, at least 1: at
	// the start of interval t the mean loads of interval t-LagIntervals are known.
	LagIntervals int
	// SlowFactor is the factor by which rank 0 is slower.
	SlowFactor float64
	// ReportNoise is the relative standard deviation of reported loads and speeds.
	ReportNoise float64
	Estimator   expertmap.EstimatorConfig
	Drift       Drift
	Cost        expertmap.CostModel
}

// NewSimulation returns the default parameters: two hours of 60 s intervals,
// 44 MB experts and a weight store that gives the group 2 GB/s.
func NewSimulation(size Size, seed uint64) Simulation {
	return Simulation{
		Size: size, Seed: seed, Intervals: 120, Steps: 4, Interval: time.Minute, LagIntervals: 1,
		SlowFactor: 1.2, ReportNoise: 0.01, Estimator: expertmap.DefaultEstimatorConfig, Drift: DefaultDrift,
		Cost: expertmap.CostModel{ExpertBytes: 44 << 20, StoreRate: 2e9, StepTime: 0.05, Horizon: 600},
	}
}

// PlacementStats are the results for one way of placement.
type PlacementStats struct {
	// Skew is the mean over steps of (sum of maxima - sum of means) / sum of means.
	Skew  float64
	Bytes int64
	Moves int
	// PlanTime is the longest wall time of one plan.
	PlanTime time.Duration
}

// Comparison compares the ways of placement. All start from the same map.
type Comparison struct {
	Simulation Simulation
	// Even keeps the first map of a group, which knows no loads.
	Even PlacementStats
	// Static keeps the map planned from scratch for the loads at the start.
	Static PlacementStats
	// Scratch plans from scratch at every interval; Keeping keeps replicas in place.
	Scratch PlacementStats
	Keeping PlacementStats
	Planned PlacementStats
}

// planner is expertmap.Plan or expertmap.PlanFromScratch.
type planner func(expertmap.PlanInput) (expertmap.PlanResult, error)

// lane is one way of placement during a run.
type lane struct {
	plan    planner // nil keeps the map
	active  *expertmap.Map
	pending *expertmap.Map
	// delay is the number of steps until pending takes effect.
	delay int
	// instant leaves out the loading time. It is set for planning from scratch,
	// which moves more in an interval than the weight store delivers.
	instant bool
	figures PlacementStats
	skewSum float64
	steps   int
}

// Run executes the simulation. Its figures except PlanTime depend only on the
// parameters.
func (s Simulation) Run() (Comparison, error) {
	w := newWorld(s)
	even, err := expertmap.NewEvenMap("sim", s.Size.Ranks, s.Size.Layers, s.Size.Experts, s.Size.Slots)
	if err != nil {
		return Comparison{}, err
	}
	start, err := expertmap.PlanFromScratch(expertmap.PlanInput{Current: even, Loads: w.loadsAt(0), Speeds: ones(s.Size.Ranks), Cost: s.Cost})
	if err != nil {
		return Comparison{}, err
	}
	lanes := []*lane{
		{active: even},
		{active: start.Map},
		{active: start.Map, plan: expertmap.PlanFromScratch, instant: true},
		{active: start.Map, plan: expertmap.PlanKeepingReplicas, instant: true},
		{active: start.Map, plan: expertmap.Plan},
	}
	for range s.Intervals {
		for _, l := range lanes {
			if err := l.replan(s, w); err != nil {
				return Comparison{}, err
			}
		}
		for k := range s.Steps {
			now := w.loadsAt(float64(k) / float64(s.Steps))
			for _, l := range lanes {
				l.step(now, w.speeds)
			}
		}
		w.next()
	}
	for _, l := range lanes {
		l.figures.Skew = l.skewSum / float64(l.steps)
	}
	return Comparison{Simulation: s, Even: lanes[0].figures, Static: lanes[1].figures,
		Scratch: lanes[2].figures, Keeping: lanes[3].figures, Planned: lanes[4].figures}, nil
}

// replan plans on what is known; the map takes effect after the time to load it,
// at least one step.
func (l *lane) replan(s Simulation, w *world) error {
	if l.plan == nil || w.estimator.Loads() == nil {
		return nil
	}
	current := l.active
	if l.pending != nil {
		current = l.pending
	}
	in := expertmap.PlanInput{Current: current, Loads: w.estimator.Loads(), Speeds: w.estimator.Speeds(), Cost: s.Cost}
	began := time.Now()
	res, err := l.plan(in)
	if err != nil {
		return err
	}
	l.figures.PlanTime = max(l.figures.PlanTime, time.Since(began))
	l.figures.Bytes += res.LoadBytes
	l.figures.Moves += len(res.Moves)
	l.pending = res.Map
	l.delay = 1
	if !l.instant {
		loading := float64(res.LoadBytes) / s.Cost.StoreRate
		stepsPerSecond := float64(s.Steps) / s.Interval.Seconds()
		l.delay = max(1, int(math.Ceil(loading*stepsPerSecond)))
	}
	return nil
}

func (l *lane) step(now [][]float64, speeds []float64) {
	if l.pending != nil {
		l.delay--
		if l.delay < 0 {
			l.active, l.pending = l.pending, nil
		}
	}
	l.skewSum += expertmap.Skew(l.active, now, speeds)
	l.steps++
}

// world is the true state of popularity and speeds, and what reports tell.
type world struct {
	sim       Simulation
	rng       *rand.Rand
	layers    []*popularity
	from, to  [][]float64
	speeds    []float64
	estimator *expertmap.Estimator
	reports   [][][]float64 // not yet known
}

func newWorld(s Simulation) *world {
	w := &world{sim: s, rng: rand.New(rand.NewPCG(s.Seed, 1)), speeds: ones(s.Size.Ranks)}
	w.speeds[0] = 1 / s.SlowFactor
	w.estimator = expertmap.NewEstimator(s.Estimator)
	for l := range s.Size.Layers {
		p := newPopularity(s.Drift, s.Size.Experts, rand.New(rand.NewPCG(s.Seed, uint64(l)+2)))
		w.layers = append(w.layers, p)
		w.from = append(w.from, p.logs())
		p.next()
		w.to = append(w.to, p.logs())
	}
	return w
}

func (w *world) loadsAt(f float64) [][]float64 {
	out := make([][]float64, len(w.layers))
	for l := range out {
		out[l] = loads(w.from[l], w.to[l], f)
	}
	return out
}

// next reports the interval that ends and advances popularity.
func (w *world) next() {
	report := w.loadsAt(0.5)
	for l := range report {
		for e := range report[l] {
			report[l][e] *= 1 + w.sim.ReportNoise*w.rng.NormFloat64()
		}
	}
	w.reports = append(w.reports, report)
	if len(w.reports) >= w.sim.LagIntervals {
		w.estimator.AddLoads(w.reports[0])
		w.reports = w.reports[1:]
		speeds := make([]float64, len(w.speeds))
		for r, v := range w.speeds {
			speeds[r] = v * (1 + w.sim.ReportNoise*w.rng.NormFloat64())
		}
		w.estimator.AddSpeeds(speeds)
	}
	for l, p := range w.layers {
		w.from[l] = w.to[l]
		p.next()
		w.to[l] = p.logs()
	}
}

func ones(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1
	}
	return out
}

// Report writes one line of figures.
func (o Comparison) Report(w io.Writer) {
	s := o.Simulation
	_, _ = fmt.Fprintf(w, "%dx%d layers=%d slots=%d seed=%d lag=%d walk=%.3f: skew even %.4f static %.4f scratch %.4f keeping %.4f planned %.4f; bytes scratch %.1f GB keeping %.1f GB planned %.2f GB (%.4f of scratch); longest plan %v\n",
		s.Size.Ranks, s.Size.Experts, s.Size.Layers, s.Size.Slots, s.Seed, s.LagIntervals, s.Drift.Walk,
		o.Even.Skew, o.Static.Skew, o.Scratch.Skew, o.Keeping.Skew, o.Planned.Skew,
		float64(o.Scratch.Bytes)/1e9, float64(o.Keeping.Bytes)/1e9, float64(o.Planned.Bytes)/1e9, o.BytesRatio(),
		o.Planned.PlanTime.Round(time.Millisecond))
}

// RunSimulations runs the default simulation for all sizes and seeds and reports each.
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

// BytesRatio is bytes moved by the planner relative to planning from scratch.
func (o Comparison) BytesRatio() float64 {
	return float64(o.Planned.Bytes) / max(1, float64(o.Scratch.Bytes))
}
