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
	// Loads are multiples of the warm capacity that are offered.
	Loads []float64
	// Starts are the states of the engines at the start: StartCold, StartWarm.
	Starts []string
	// Step is the time of a decoding step with one running request. Other
	// times in an engine are in proportion to it.
	Step time.Duration
	// MaxTokens bounds an answer, in tokens.
	MaxTokens int
	// Timeout is the time-out of the service.
	Timeout time.Duration
	// Duration is the time for which load is offered.
	Duration time.Duration
	// Attempts bounds the attempts of a caller for one request.
	Attempts int
	// Parallel is the number of systems measured at the same time.
	Parallel int
	// Log receives the logs of the daemons.
	Log logr.Logger
}

// The states of the engines at the start.
const (
	StartCold = "cold"
	StartWarm = "warm"
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
		Engines:   6,
		Loads:     []float64{0.5, 1, 2, 4},
		Starts:    []string{StartCold, StartWarm},
		Step:      30 * time.Millisecond,
		MaxTokens: 64,
		Timeout:   20 * time.Second,
		Duration:  time.Minute,
		Attempts:  1,
		Parallel:  2,
		Log:       logr.Discard(),
	}
}

func (o Options) engine(start string) enginesim.Options {
	e := enginesim.DefaultOptions()
	e.StepPerRequest = o.Step * e.StepPerRequest / e.StepBase
	e.StepBase = o.Step
	e.ColdCapacity, e.WarmCapacity = coldLimit, warmLimit
	if start == StartWarm {
		e.ColdCapacity, e.ColdSlowdown = warmLimit, 1
	}
	return e
}

// Capacity returns the answers per second that the warm engines give.
func (o Options) Capacity() float64 {
	const samples = 10_000
	tokens := 0
	for i := range samples {
		tokens += enginesim.Length(time.Duration(i).String(), o.MaxTokens)
	}
	e := o.engine(StartWarm)
	step := e.StepBase + (warmLimit-1)*e.StepPerRequest
	perAnswer := float64(tokens) / samples * step.Seconds()
	return float64(o.Engines) * warmLimit / perAnswer
}

// Result is what one load has shown.
type Result struct {
	Start string
	Load  float64
	// Goodput is the rate of whole answers in the second half, per second.
	Goodput float64
	// Relative is Goodput divided by the capacity.
	Relative float64
	// Warm is the time until all engines were warm, Full until all agents
	// were at the warm limit; 0 if that was not seen.
	Warm, Full time.Duration
	// Orgs are the measurements by organisation.
	Orgs              map[string]loadgen.ClassSummary
	Crashes, Overload int
	// Falls counts how often an agent lowered its limit.
	Falls int
}

// Run measures every combination of start and load and writes a table to w.
func Run(ctx context.Context, opt Options, w io.Writer) ([]Result, error) {
	var results []Result
	for _, start := range opt.Starts {
		for _, load := range opt.Loads {
			results = append(results, Result{Start: start, Load: load})
		}
	}
	errs := make([]error, len(results))
	places := make(chan struct{}, max(opt.Parallel, 1))
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
	sys, err := start(opt, r.Start)
	if err != nil {
		return err
	}
	defer sys.stop()
	if err := sys.roll(ctx); err != nil {
		return err
	}
	if r.Start == StartWarm {
		if err := sys.warmUp(ctx, opt); err != nil {
			return err
		}
	}
	gens, err := sys.generators(opt, r.Load*opt.Capacity(), opt.Duration)
	if err != nil {
		return err
	}
	r.Falls = sys.limits.fallen() // before the load
	begun := time.Now()
	go sys.watch(ctx, begun, opt)
	var group sync.WaitGroup
	for _, g := range gens {
		group.Go(func() { g.Run(ctx) })
	}
	pause.For(ctx, opt.Duration/2)
	half := whole(gens)
	pause.For(ctx, time.Until(begun.Add(opt.Duration)))
	r.Goodput = float64(whole(gens)-half) / (opt.Duration / 2).Seconds()
	r.Relative = r.Goodput / opt.Capacity()
	group.Wait()
	r.read(sys, gens)
	return ctx.Err()
}

func (r *Result) read(sys *system, gens map[string]*loadgen.Generator) {
	r.Warm = time.Duration(sys.warm.Load())
	r.Full = time.Duration(sys.full.Load())
	r.Falls = sys.limits.fallen() - r.Falls
	r.Orgs = make(map[string]loadgen.ClassSummary)
	for org, g := range gens {
		for _, c := range g.Summary(nil).Classes {
			r.Orgs[org] = c
		}
	}
	for _, e := range sys.engines {
		record := e.Record()
		r.Crashes += len(record.Crashes)
		r.Overload = max(r.Overload, record.Overload)
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
