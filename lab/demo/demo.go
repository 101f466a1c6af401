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

// maxZoneDelay is the target for the last new work in a zone after the command
// that takes it out.
const maxZoneDelay = 2 * time.Second

// report is what the demo has seen.
type report struct {
	nodes, nodesWanted int
	inForce            time.Duration // from the accepted roll-out to all nodes
	zone               string
	outConfirmed       []string
	outAnswered        time.Duration // time of the command
	lastWork           time.Duration // from the command to the last new work; 0 if none came after it
	backAnswered       time.Duration
	firstWork          time.Duration // from the command to the first new work after the return
	load               loadgen.Summary
	crashes, overload  int
	violations         []string
}

// Run runs the demo and prints a table to w. It returns an error if a part
// failed or a guarantee was violated.
func Run(ctx context.Context, parts Deps, opt Options, w io.Writer) error {
	opt = opt.withDefaults()
	sys, err := start(parts, opt)
	if err != nil {
		return err
	}
	r, err := play(ctx, parts, opt, sys)
	stopErr := sys.stop(opt.DrainTimeout)
	if err != nil {
		return trace.NewAggregate(err, stopErr)
	}
	if err := r.write(w); err != nil {
		return trace.Wrap(err)
	}
	if len(r.violations) > 0 {
		return trace.CompareFailed("violated: %s", strings.Join(r.violations, "; "))
	}
	return stopErr
}

// play runs the whole sequence against a started system.
func play(ctx context.Context, parts Deps, opt Options, sys *system) (*report, error) {
	r := &report{nodesWanted: len(sys.deployment.Entries) + len(sys.deployment.Agents)}
	op := NewOperator(parts, sys.deployment)
	if err := r.roll(ctx, op); err != nil {
		return nil, err
	}
	g, err := generator(opt, sys)
	if err != nil {
		return nil, err
	}
	g.SetPhase("first")
	g.SendOnce(ctx)
	if err := r.moveZone(ctx, opt, op, sys, g); err != nil {
		return nil, err
	}
	if r.nodes, err = op.inForce(ctx, sys.deployment.Bundle.Version); err != nil {
		return nil, err
	}
	r.judge(g, sys)
	return r, nil
}

func (r *report) roll(ctx context.Context, op *Operator) error {
	if _, err := op.RollOut(ctx); err != nil {
		return err
	}
	accepted := time.Now()
	nodes, err := op.AwaitInForce(ctx, op.deployment.Bundle.Version)
	r.nodes, r.inForce = nodes, time.Since(accepted)
	return err
}

func generator(opt Options, sys *system) (*loadgen.Generator, error) {
	var entries []string
	for _, e := range sys.deployment.Entries {
		entries = append(entries, e.HTTPAddr)
	}
	p := plan()
	return loadgen.New(loadgen.Config{
		EntryAddrs:        entries,
		Organisations:     sys.deployment.Callers,
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

// moveZone takes a zone out and back during load.
func (r *report) moveZone(ctx context.Context, opt Options, op *Operator, sys *system, g *loadgen.Generator) error {
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	g.SetPhase("before")
	running.Go(func() { g.Run(load) })
	defer running.Wait()
	defer cancel() // before the wait
	pause.For(ctx, opt.PhaseDuration)
	g.SetPhase("out")
	if err := r.takeOut(ctx, opt, op, sys); err != nil {
		return err
	}
	g.SetPhase("back")
	if err := r.bringBack(ctx, opt, op, sys); err != nil {
		return err
	}
	running.Wait()
	return ctx.Err()
}

func (r *report) takeOut(ctx context.Context, opt Options, op *Operator, sys *system) error {
	// The entry that takes the commands is in the first zone.
	r.zone = sys.deployment.Entries[len(sys.deployment.Entries)-1].Zone
	commanded := time.Now()
	result, err := op.SetZoneOut(ctx, r.zone, true)
	if err != nil {
		return err
	}
	r.outAnswered = time.Since(commanded)
	r.outConfirmed = result.ConfirmedZones
	pause.For(ctx, opt.PhaseDuration-time.Since(commanded))
	r.lastWork = max(sys.lastWork(r.zone).Sub(commanded), 0)
	return nil
}

func (r *report) bringBack(ctx context.Context, opt Options, op *Operator, sys *system) error {
	commanded := time.Now()
	if _, err := op.SetZoneOut(ctx, r.zone, false); err != nil {
		return err
	}
	r.backAnswered = time.Since(commanded)
	for time.Since(commanded) < opt.PhaseDuration && ctx.Err() == nil {
		if at := sys.lastWork(r.zone); at.After(commanded) {
			r.firstWork = at.Sub(commanded)
			return nil
		}
		pause.For(ctx, pollInterval)
	}
	return nil
}

// judge compares what was seen with the guarantees.
func (r *report) judge(g *loadgen.Generator, sys *system) {
	r.load = g.Summary(sys.ledger.Counts())
	r.violations = r.load.Violations()
	for _, e := range sys.engines {
		record := e.Record()
		r.crashes += len(record.Crashes)
		r.overload = max(r.overload, record.MaxOverload)
	}
	if r.crashes > 0 || r.overload > 0 {
		r.violate("cold endpoints were given %d requests more than they sustain (%d crashes)", r.overload, r.crashes)
	}
	if r.lastWork > maxZoneDelay {
		r.violate("zone %s got new work %v after it was taken out", r.zone, r.lastWork.Round(time.Millisecond))
	}
	if r.nodes < r.nodesWanted {
		r.violate("the bundle is in force on %d of %d nodes", r.nodes, r.nodesWanted)
	}
}

func (r *report) violate(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// write prints the report.
func (r *report) write(w io.Writer) error {
	if err := r.load.Write(w); err != nil {
		return trace.Wrap(err)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(label, format string, args ...any) {
		_, _ = fmt.Fprintf(t, label+"\t"+format+"\n", args...) // Flush reports errors
	}
	line("\nbundle in force", "%d of %d nodes, on all %v after the roll-out", r.nodes, r.nodesWanted, round(r.inForce))
	line("zone out", "%s, answered after %v, confirmed in %s, last new work %s",
		r.zone, round(r.outAnswered), strings.Join(r.outConfirmed, " "), after(r.lastWork))
	line("zone back", "%s, answered after %v, first new work %s", r.zone, round(r.backAnswered), after(r.firstWork))
	line("cold endpoints", "%d crashes, highest overload %d requests", r.crashes, r.overload)
	violations := "none"
	if len(r.violations) > 0 {
		violations = strings.Join(r.violations, "; ")
	}
	line("violations", "%s", violations)
	return trace.Wrap(t.Flush())
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// after says how long after a command something was seen; 0 means that it was not.
func after(d time.Duration) string {
	if d == 0 {
		return "not seen"
	}
	return fmt.Sprintf("%v after the command", round(d))
}
