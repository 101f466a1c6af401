package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/lab/loadgen"
	"github.com/wasabinotch/wasabinotch/pause"
)

// maxNewWorkDelay bounds the time for which a zone may get new work after the
// command that takes it out of service.
const maxNewWorkDelay = 2 * time.Second

// report holds the observations of one run.
type report struct {
	readyNodes, totalNodes int           // nodes that are ready with the bundle in force at the end, and all nodes
	inForceAfter           time.Duration // from the accepted rollout until the bundle is in force on all nodes
	movedZone              string        // the zone that is taken out of service and returned
	outConfirmedZones      []string
	outCommandTook         time.Duration // duration of the command that takes the zone out of service
	lastNewWork            time.Duration // from that command to the last new work; 0 if none came after it
	backCommandTook        time.Duration // duration of the command that returns the zone to service
	firstNewWork           time.Duration // from that command to the first new work in the zone; 0 if none was observed
	load                   loadgen.Summary
	crashes, maxOverload   int // overload crashes of all engines, and the most requests beyond the capacity of one that was cold
	violations             []string
}

// Run runs the demo and prints its results to w. It returns an error if a command
// or a daemon failed or a guarantee was violated.
func Run(ctx context.Context, deps Deps, opt Options, w io.Writer) error {
	opt = opt.withDefaults()
	sys, err := start(deps, opt)
	if err != nil {
		return err
	}
	r, err := runScenario(ctx, deps, opt, sys)
	stopErr := sys.stop(opt.DrainTimeout)
	if err != nil {
		return trace.NewAggregate(err, stopErr)
	}
	if err := r.write(w); err != nil {
		return trace.Wrap(err)
	}
	if len(r.violations) > 0 {
		return trace.CompareFailed("guarantees violated: %s", strings.Join(r.violations, "; "))
	}
	return stopErr
}

// runScenario runs all commands and the load against a started system.
func runScenario(ctx context.Context, deps Deps, opt Options, sys *system) (*report, error) {
	r := &report{totalNodes: len(sys.deployment.Entries) + len(sys.deployment.Agents)}
	op := NewOperator(deps, sys.deployment)
	if err := r.rollOut(ctx, op); err != nil {
		return nil, err
	}
	g, err := newGenerator(opt, sys)
	if err != nil {
		return nil, err
	}
	g.SetPhase("first")
	g.SendOnce(ctx)
	if err := r.moveZone(ctx, opt, op, sys, g); err != nil {
		return nil, err
	}
	if r.readyNodes, err = op.countInForce(ctx, sys.deployment.Bundle.Version); err != nil {
		return nil, err
	}
	r.evaluate(g, sys)
	return r, nil
}

func (r *report) rollOut(ctx context.Context, op *Operator) error {
	if _, err := op.RollOut(ctx); err != nil {
		return err
	}
	accepted := time.Now()
	nodes, err := op.AwaitInForce(ctx, op.deployment.Bundle.Version)
	r.readyNodes, r.inForceAfter = nodes, time.Since(accepted)
	return err
}

func newGenerator(opt Options, sys *system) (*loadgen.Generator, error) {
	var entries []string
	for _, e := range sys.deployment.Entries {
		entries = append(entries, e.HTTPAddr)
	}
	p := plan()
	return loadgen.New(loadgen.Config{
		EntryAddrs:        entries,
		Organisations:     sys.deployment.Organisations,
		Zones:             p.Zones,
		ModelService:      p.ModelService,
		PlainService:      p.PlainService,
		ModelRate:         opt.ModelRate,
		StockRate:         opt.StockRate,
		OrderRate:         opt.OrderRate,
		CallerKeyFraction: 0.5,
		Duration:          3 * opt.PhaseDuration,
	})
}

// moveZone takes a zone out of service and returns it to service under load.
func (r *report) moveZone(ctx context.Context, opt Options, op *Operator, sys *system, g *loadgen.Generator) error {
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	g.SetPhase("before")
	running.Go(func() { g.Run(load) })
	defer running.Wait()
	defer cancel() // runs before running.Wait
	pause.For(ctx, opt.PhaseDuration)
	g.SetPhase("out")
	if err := r.takeZoneOut(ctx, opt, op, sys); err != nil {
		return err
	}
	g.SetPhase("back")
	if err := r.returnZone(ctx, opt, op, sys); err != nil {
		return err
	}
	running.Wait()
	return ctx.Err()
}

func (r *report) takeZoneOut(ctx context.Context, opt Options, op *Operator, sys *system) error {
	// The commands are sent to an entry in the first zone, so another zone is chosen.
	r.movedZone = sys.deployment.Entries[len(sys.deployment.Entries)-1].Zone
	sentAt := time.Now()
	result, err := op.SetZoneOut(ctx, r.movedZone, true)
	if err != nil {
		return err
	}
	r.outCommandTook = time.Since(sentAt)
	r.outConfirmedZones = result.ConfirmedZones
	pause.For(ctx, opt.PhaseDuration-time.Since(sentAt))
	r.lastNewWork = max(sys.lastNewWork(r.movedZone).Sub(sentAt), 0)
	return nil
}

func (r *report) returnZone(ctx context.Context, opt Options, op *Operator, sys *system) error {
	sentAt := time.Now()
	if _, err := op.SetZoneOut(ctx, r.movedZone, false); err != nil {
		return err
	}
	r.backCommandTook = time.Since(sentAt)
	for time.Since(sentAt) < opt.PhaseDuration && ctx.Err() == nil {
		if at := sys.lastNewWork(r.movedZone); at.After(sentAt) {
			r.firstNewWork = at.Sub(sentAt)
			return nil
		}
		pause.For(ctx, pollInterval)
	}
	return nil
}

// evaluate reads the statistics of the load and of the engines, and compares the
// observations with the guarantees.
func (r *report) evaluate(g *loadgen.Generator, sys *system) {
	r.load = g.Summary(sys.ledger.Counts())
	r.violations = r.load.Violations()
	for _, e := range sys.engines {
		record := e.Record()
		r.crashes += len(record.Crashes)
		r.maxOverload = max(r.maxOverload, record.MaxOverload)
	}
	if r.crashes > 0 || r.maxOverload > 0 {
		r.addViolation("cold endpoints got up to %d requests more than their capacity (%d crashes)", r.maxOverload, r.crashes)
	}
	if r.lastNewWork > maxNewWorkDelay {
		r.addViolation("zone %s got new work %v after it was taken out", r.movedZone, r.lastNewWork.Round(time.Millisecond))
	}
	if r.readyNodes < r.totalNodes {
		r.addViolation("the bundle is in force on %d of %d nodes", r.readyNodes, r.totalNodes)
	}
}

func (r *report) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *report) write(w io.Writer) error {
	if err := r.load.Write(w); err != nil {
		return trace.Wrap(err)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(label, format string, args ...any) {
		_, _ = fmt.Fprintf(t, label+"\t"+format+"\n", args...) // Flush reports errors
	}
	line("\nbundle in force", "%d of %d nodes, on all %v after the rollout", r.readyNodes, r.totalNodes, round(r.inForceAfter))
	line("zone out", "%s, answered after %v, confirmed in %s, last new work %s",
		r.movedZone, round(r.outCommandTook), strings.Join(r.outConfirmedZones, " "), after(r.lastNewWork))
	line("zone back", "%s, answered after %v, first new work %s", r.movedZone, round(r.backCommandTook), after(r.firstNewWork))
	line("cold endpoints", "%d crashes, highest overload %d requests", r.crashes, r.maxOverload)
	violations := "none"
	if len(r.violations) > 0 {
		violations = strings.Join(r.violations, "; ")
	}
	line("violations", "%s", violations)
	return trace.Wrap(t.Flush())
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// after formats the time from a command to an event; 0 means that the event was
// not observed.
func after(d time.Duration) string {
	if d == 0 {
		return "not seen"
	}
	return fmt.Sprintf("%v after the command", round(d))
}
