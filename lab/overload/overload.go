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

// Options describe the measurement. Zero values take the defaults of DefaultOptions.
type Options struct {
	Engines int
	// LoadFactors are multiples of the warm capacity that are offered.
	LoadFactors []float64
	// InitialStates are the states of the engines at the start: InitialCold, InitialWarm.
	InitialStates []string
	// StepTime is the time of a decoding step with one running request. Other
	// times in an engine are in proportion to it.
	StepTime time.Duration
	// MaxTokens bounds an answer, in tokens.
	MaxTokens int
	// Timeout is the time-out of the service.
	Timeout time.Duration
	// LoadDuration is the time for which load is offered.
	LoadDuration time.Duration
	// MaxAttempts bounds the attempts of a caller for one request.
	MaxAttempts int
	// Parallelism is the number of systems measured at the same time.
	Parallelism int
	// Log receives the logs of the daemons.
	Log logr.Logger
}

// The states of the engines at the start.
const (
	InitialCold = "cold"
	InitialWarm = "warm"
)

// Limits of the service in the bundle and of the engines.
const (
	coldLimit  = 2
	warmLimit  = 16
	queueLimit = 64
)

// DefaultOptions returns the system in which collapse under overload was seen.
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

func (o Options) engine(start string) enginesim.Options {
	e := enginesim.DefaultOptions()
	e.StepTimePerRequest = o.StepTime * e.StepTimePerRequest / e.BaseStepTime
	e.BaseStepTime = o.StepTime
	e.ColdCapacity, e.WarmCapacity = coldLimit, warmLimit
	if start == InitialWarm {
		e.ColdCapacity, e.ColdSlowdown = warmLimit, 1
	}
	return e
}

// Capacity returns the answers per second that the warm engines give.
func (o Options) Capacity() float64 {
	const samples = 10_000
	tokens := 0
	for i := range samples {
		tokens += enginesim.CompletionTokenCount(time.Duration(i).String(), o.MaxTokens)
	}
	e := o.engine(InitialWarm)
	step := e.BaseStepTime + (warmLimit-1)*e.StepTimePerRequest
	perAnswer := float64(tokens) / samples * step.Seconds()
	return float64(o.Engines) * warmLimit / perAnswer
}

// Result is what one load has shown.
type Result struct {
	InitialState string
	LoadFactor   float64
	// Goodput is the rate of whole answers in the second half, per second.
	Goodput float64
	// RelativeGoodput is Goodput divided by the capacity.
	RelativeGoodput float64
	// EnginesWarmAfter is the time until all engines were warm, LimitsWarmAfter until all agents
	// were at the warm limit; 0 if that was not seen.
	EnginesWarmAfter, LimitsWarmAfter time.Duration
	// Organisations are the measurements by organisation.
	Organisations        map[string]loadgen.ClassSummary
	Crashes, MaxOverload int
	// LimitDecreases counts how often an agent lowered its limit.
	LimitDecreases int
}

// Run measures every combination of start and load and writes a table to w.
func Run(ctx context.Context, opt Options, w io.Writer) ([]Result, error) {
	var results []Result
	for _, start := range opt.InitialStates {
		for _, load := range opt.LoadFactors {
			results = append(results, Result{InitialState: start, LoadFactor: load})
		}
	}
	errs := make([]error, len(results))
	places := make(chan struct{}, max(opt.Parallelism, 1))
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			errs[i] = results[i].measure(ctx, opt)
		})
	}
	group.Wait()
	if err := trace.NewAggregate(errs...); err != nil {
		return nil, err
	}
	return results, write(w, opt, results)
}

func (r *Result) measure(ctx context.Context, opt Options) error {
	sys, err := start(opt, r.InitialState)
	if err != nil {
		return err
	}
	defer sys.stop()
	if err := sys.roll(ctx); err != nil {
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
	r.LimitDecreases = sys.limits.fallen() // before the load
	begun := time.Now()
	go sys.watch(ctx, begun, opt)
	var group sync.WaitGroup
	for _, g := range gens {
		group.Go(func() { g.Run(ctx) })
	}
	pause.For(ctx, opt.LoadDuration/2)
	half := whole(gens)
	pause.For(ctx, time.Until(begun.Add(opt.LoadDuration)))
	r.Goodput = float64(whole(gens)-half) / (opt.LoadDuration / 2).Seconds()
	r.RelativeGoodput = r.Goodput / opt.Capacity()
	group.Wait()
	r.read(sys, gens)
	return ctx.Err()
}

func (r *Result) read(sys *system, gens map[string]*loadgen.Generator) {
	r.EnginesWarmAfter = time.Duration(sys.warm.Load())
	r.LimitsWarmAfter = time.Duration(sys.full.Load())
	r.LimitDecreases = sys.limits.fallen() - r.LimitDecreases
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

func whole(gens map[string]*loadgen.Generator) int {
	n := 0
	for _, g := range gens {
		for _, c := range g.Summary(nil).Classes {
			n += c.Complete
		}
	}
	return n
}
