package overload

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/lab/enginesim"
	"github.com/wasabinotch/wasabinotch/lab/loadgen"
	"github.com/wasabinotch/wasabinotch/pause"
)

// Options describe the measurement. Start from DefaultOptions: Run replaces no
// zero values by defaults.
type Options struct {
	Engines int
	// LoadFactors are the offered loads as multiples of the warm capacity.
	LoadFactors []float64
	// InitialStates are the states of the engines when the load begins:
	// InitialCold, InitialWarm.
	InitialStates []string
	// StepTime is the duration of a decoding step with one running request. The
	// additional step time for each further request is scaled in proportion.
	StepTime time.Duration
	// MaxTokens bounds a completion, in tokens.
	MaxTokens int
	// Timeout is the timeout of the service for one request.
	Timeout time.Duration
	// LoadDuration is the time during which load is offered.
	LoadDuration time.Duration
	// MaxAttempts bounds the attempts of a caller for one request.
	MaxAttempts int
	// Parallelism is the number of deployments measured at the same time.
	Parallelism int
	// Log receives the log lines of the entries.
	Log logr.Logger
}

// States of the engines when the load begins.
const (
	InitialCold = "cold"
	InitialWarm = "warm"
)

// Limits on concurrent and queued requests, both of the service in the bundle
// and of the engines.
const (
	coldLimit  = 2
	warmLimit  = 16
	queueLimit = 64
)

// DefaultOptions returns the options of a system that was seen to collapse
// under overload.
func DefaultOptions() Options {
	return Options{
		Engines:       6,
		LoadFactors:   []float64{0.5, 1, 2, 4},
		InitialStates: []string{InitialCold, InitialWarm},
		StepTime:      30 * time.Millisecond,
		MaxTokens:     64,
		Timeout:       20 * time.Second,
		LoadDuration:  time.Minute,
		MaxAttempts:   1,
		Parallelism:   2,
		Log:           logr.Discard(),
	}
}

func (o Options) engineOptions(initialState string) enginesim.Options {
	e := enginesim.DefaultOptions()
	e.StepTimePerRequest = o.StepTime * e.StepTimePerRequest / e.BaseStepTime
	e.BaseStepTime = o.StepTime
	e.ColdCapacity, e.WarmCapacity = coldLimit, warmLimit
	if initialState == InitialWarm {
		e.ColdCapacity, e.ColdSlowdown = warmLimit, 1
	}
	return e
}

// Capacity returns the completions per second that the engines sustain when
// warm.
func (o Options) Capacity() float64 {
	const samples = 10_000
	tokens := 0
	for i := range samples {
		tokens += enginesim.TokenCount(time.Duration(i).String(), o.MaxTokens)
	}
	e := o.engineOptions(InitialWarm)
	step := e.BaseStepTime + (warmLimit-1)*e.StepTimePerRequest
	secondsPerCompletion := float64(tokens) / samples * step.Seconds()
	return float64(o.Engines) * warmLimit / secondsPerCompletion
}

// Result is the measurement of one initial state under one load.
type Result struct {
	InitialState string
	LoadFactor   float64
	// Goodput is the number of complete responses per second in the second half of
	// LoadDuration.
	Goodput float64
	// RelativeGoodput is Goodput divided by Options.Capacity.
	RelativeGoodput float64
	// EnginesWarmAfter is the time until all engines were warm, and
	// LimitsWarmAfter until the limits of all agents had reached the warm limit; 0
	// if that did not happen while load was offered.
	EnginesWarmAfter, LimitsWarmAfter time.Duration
	// Organisations are the measurements by name of the organisation.
	Organisations map[string]loadgen.ClassSummary
	// Crashes counts the overload crashes of all engines. MaxOverload is the
	// highest number of requests beyond the capacity of an engine while it was
	// cold. Both include the warm-up.
	Crashes, MaxOverload int
	// LimitDecreases counts how often an agent lowered its limit under the load.
	LimitDecreases int
}

// Run measures every combination of initial state and load factor, and writes
// a table of the results to w.
func Run(ctx context.Context, opt Options, w io.Writer) ([]Result, error) {
	var results []Result
	for _, initialState := range opt.InitialStates {
		for _, factor := range opt.LoadFactors {
			results = append(results, Result{InitialState: initialState, LoadFactor: factor})
		}
	}
	errs := make([]error, len(results))
	slots := make(chan struct{}, max(opt.Parallelism, 1))
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			errs[i] = results[i].measure(ctx, opt)
		})
	}
	group.Wait()
	if err := trace.NewAggregate(errs...); err != nil {
		return nil, err
	}
	return results, writeTable(w, opt, results)
}

func (r *Result) measure(ctx context.Context, opt Options) error {
	sys, err := start(opt, r.InitialState)
	if err != nil {
		return err
	}
	defer sys.stop()
	if err := sys.rollOutBundle(ctx); err != nil {
		return err
	}
	if r.InitialState == InitialWarm {
		if err := sys.warmUp(ctx, opt); err != nil {
			return err
		}
	}
	gens, err := sys.generators(opt, r.LoadFactor*opt.Capacity(), opt.LoadDuration)
	if err != nil {
		return err
	}
	r.LimitDecreases = sys.limits.decreaseCount() // baseline; collect subtracts it
	loadStart := time.Now()
	go sys.watchWarmUp(ctx, loadStart, opt)
	var group sync.WaitGroup
	for _, g := range gens {
		group.Go(func() { g.Run(ctx) })
	}
	pause.For(ctx, opt.LoadDuration/2)
	completeAtHalf := completeCount(gens)
	pause.For(ctx, time.Until(loadStart.Add(opt.LoadDuration)))
	r.Goodput = float64(completeCount(gens)-completeAtHalf) / (opt.LoadDuration / 2).Seconds()
	r.RelativeGoodput = r.Goodput / opt.Capacity()
	group.Wait()
	r.collect(sys, gens)
	return ctx.Err()
}

func (r *Result) collect(sys *system, gens map[string]*loadgen.Generator) {
	r.EnginesWarmAfter = time.Duration(sys.enginesWarmAfter.Load())
	r.LimitsWarmAfter = time.Duration(sys.limitsWarmAfter.Load())
	r.LimitDecreases = sys.limits.decreaseCount() - r.LimitDecreases
	r.Organisations = make(map[string]loadgen.ClassSummary)
	for org, g := range gens {
		for _, c := range g.Summary(nil).Classes {
			r.Organisations[org] = c
		}
	}
	for _, e := range sys.engines {
		record := e.Record()
		r.Crashes += len(record.Crashes)
		r.MaxOverload = max(r.MaxOverload, record.MaxOverload)
	}
}

func completeCount(gens map[string]*loadgen.Generator) int {
	n := 0
	for _, g := range gens {
		for _, c := range g.Summary(nil).Classes {
			n += c.Complete
		}
	}
	return n
}
