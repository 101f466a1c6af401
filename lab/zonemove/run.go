package zonemove

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/lab/demo"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
	"github.com/wasabinotch/wasabinotch/lab/loadgen"
	"github.com/wasabinotch/wasabinotch/pause"
)

// move is what was seen of one zone's move.
type move struct {
	zone         string
	outAt        time.Time
	outAnswered  time.Duration
	confirmed    []string
	inStore      bool
	lastWork     time.Duration // from the command to the last new work; 0 for none after it
	lastFrozen   time.Duration // the same at the frozen agent
	backAt       time.Time
	backAnswered time.Duration
	normal       time.Duration // from the return to the normal part of the load; 0 if not reached
	normalPart   float64       // of the zone before, as a fraction of new work at engines
	redirects    *redirects
}

// Result is what one run has seen.
type Result struct {
	opt      Options
	measured time.Time // start of the phase before
	moves    []*move
	groups   []groupResult
	orders   loadgen.OrderSummary
	crashes  int
	overload int
	warming  int // crashes during the warm-up
	failed   int
}

type groupResult struct {
	name    string
	summary loadgen.Summary
}

// Run runs one measurement, prints it to w, and fails if a target was missed.
func Run(ctx context.Context, parts demo.Deps, opt Options, w io.Writer) error {
	if err := opt.validate(); err != nil {
		return err
	}
	s, err := start(parts, opt)
	if err != nil {
		return err
	}
	r, err := s.measure(ctx)
	stopErr := s.stop()
	if err != nil {
		return trace.NewAggregate(err, stopErr)
	}
	if err := r.write(w); err != nil {
		return trace.Wrap(err)
	}
	if missed := r.missed(); len(missed) > 0 {
		return trace.CompareFailed("%d targets missed", len(missed))
	}
	return stopErr
}

func (s *system) measure(ctx context.Context) (*Result, error) {
	op := demo.NewOperator(s.parts, s.d)
	if _, err := op.RollOut(ctx); err != nil {
		return nil, err
	}
	if _, err := op.AwaitInForce(ctx, s.d.Bundle.Version); err != nil {
		return nil, err
	}
	if err := s.warm(ctx); err != nil {
		return nil, err
	}
	r := &Result{opt: s.opt, warming: s.crashes(time.Time{})}
	l, err := s.newLoad(1, s.opt.rates(), maxRun, s.opt.Seed)
	if err != nil {
		return nil, err
	}
	l.phase("settle")
	l.start(ctx)
	defer l.stop()
	pause.For(ctx, settle)
	r.measured = time.Now()
	l.phase("before")
	pause.For(ctx, s.opt.PhaseDuration)
	for i, zone := range s.opt.moved() {
		m, err := s.moveZone(ctx, op, l, zone, i)
		if err != nil {
			return nil, err
		}
		r.moves = append(r.moves, m)
	}
	l.stop()
	s.collect(r, l)
	return r, ctx.Err()
}

// settle is the time from the end of the warm-up to the first measured phase.
const settle = 3 * time.Second

// moveZone takes a zone out and brings it back; i counts the moves.
func (s *system) moveZone(ctx context.Context, op *demo.Operator, l *load, zone string, i int) (*move, error) {
	prefix := ""
	if i > 0 {
		prefix = "2nd "
	}
	m := &move{zone: zone, redirects: newRedirects(s.d, zone)}
	var beside sync.WaitGroup
	defer beside.Wait()
	probing, stopProbes := context.WithCancel(ctx)
	defer stopProbes()
	l.phase(prefix + "out")
	if err := s.takeOut(ctx, op, m, i, &beside); err != nil {
		return nil, err
	}
	beside.Go(func() { m.redirects.run(probing) })
	pause.For(ctx, s.opt.OutDuration-time.Since(m.outAt))
	if err := s.store.SetFaults(kvsim.Faults{}); err != nil {
		return nil, trace.Wrap(err)
	}
	s.coolDown(zone)
	l.phase(prefix + "out steady")
	pause.For(ctx, s.opt.PhaseDuration)
	m.lastWork = max(s.lastWork(zone).Sub(m.outAt), 0)
	if s.frozenWork != nil && i == 0 {
		m.lastFrozen = max(s.frozenWork().Sub(m.outAt), 0)
	}
	stopProbes()
	l.phase(prefix + "back")
	if err := s.bringBack(ctx, op, m); err != nil {
		return nil, err
	}
	if s.opt.MoveInterval > 0 && i+1 < s.opt.ZoneMoves {
		pause.For(ctx, s.opt.MoveInterval-time.Since(m.backAt))
		return m, nil
	}
	pause.For(ctx, s.opt.BackDuration-time.Since(m.backAt))
	l.phase(prefix + "back steady")
	pause.For(ctx, s.opt.PhaseDuration)
	return m, nil
}

// storeDownLead is the time by which the store is down before the command.
const storeDownLead = 200 * time.Millisecond

func (s *system) takeOut(ctx context.Context, op *demo.Operator, m *move, i int, beside *sync.WaitGroup) error {
	if s.opt.StoreDown {
		if err := s.store.SetFaults(kvsim.Faults{Outage: kvsim.OutageRefuse}); err != nil {
			return trace.Wrap(err)
		}
		pause.For(ctx, storeDownLead)
	}
	if s.frozen != nil && i == 0 {
		s.frozen.set(true)
		time.AfterFunc(s.opt.FreezeDuration, func() { s.frozen.set(false) })
	}
	if s.opt.RestartEntry && i == 0 {
		// The second entry is in a zone that stays; the first takes the commands.
		beside.Go(func() { _ = s.restartEntry(1) })
	}
	m.outAt = time.Now()
	result, err := op.SetZoneOut(ctx, m.zone, true)
	if err != nil {
		return err
	}
	m.outAnswered, m.confirmed, m.inStore = time.Since(m.outAt), result.ConfirmedZones, result.InStore
	return nil
}

// coolDown makes the engines of a zone cold, as they are after a zone was
// stopped and started.
func (s *system) coolDown(zone string) {
	for _, e := range s.engines[zone] {
		e.TurnCold(0)
	}
}

// bringBack repeats the command while the store is not back for the entry.
func (s *system) bringBack(ctx context.Context, op *demo.Operator, m *move) error {
	m.backAt = time.Now()
	for {
		_, err := op.SetZoneOut(ctx, m.zone, false)
		if err == nil {
			m.backAnswered = time.Since(m.backAt)
			return nil
		}
		if time.Since(m.backAt) > s.opt.BackDuration || ctx.Err() != nil {
			return err
		}
		pause.For(ctx, retryCommand)
	}
}

const retryCommand = 200 * time.Millisecond
