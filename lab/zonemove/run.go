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

// zoneMove holds the observations of one zone move. outAt and backAt are the times at
// which the two commands were sent, outCommandTook and backCommandTook the times
// until their results arrived.
type zoneMove struct {
	zone              string
	outAt             time.Time
	outCommandTook    time.Duration
	confirmedZones    []string      // zones that confirmed the command
	inStore           bool          // the store holds the command
	lastNewWork       time.Duration // from the command to the last new work in the zone; 0 if none came after it
	lastNewWorkFrozen time.Duration // the same for the endpoint of the frozen agent
	backAt            time.Time
	backCommandTook   time.Duration
	recoveredAfter    time.Duration // from the return command until the zone has recovered; 0 if it has not
	normalFraction    float64       // of new work at engines that the zone got before the first move
	redirects         *redirectProbe
}

// Result holds the observations of one run.
type Result struct {
	options        Options
	measuredFrom   time.Time // start of the phase "before"
	moves          []*zoneMove
	groups         []groupResult
	orders         loadgen.OrderSummary
	crashes        int
	maxOverload    int
	warmUpCrashes  int // crashes during the warm-up
	failedRequests int
}

type groupResult struct {
	name    string
	summary loadgen.Summary
}

// Run runs one measurement and prints its results to w. It returns an error if a
// command or a daemon failed or a target was missed.
func Run(ctx context.Context, deps demo.Deps, opt Options, w io.Writer) error {
	if err := opt.validate(); err != nil {
		return err
	}
	s, err := start(deps, opt)
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
	if missed := r.missedTargets(); len(missed) > 0 {
		return trace.CompareFailed("%d targets missed", len(missed))
	}
	return stopErr
}

func (s *system) measure(ctx context.Context) (*Result, error) {
	op := demo.NewOperator(s.deps, s.deployment)
	if _, err := op.RollOut(ctx); err != nil {
		return nil, err
	}
	if _, err := op.AwaitInForce(ctx, s.deployment.Bundle.Version); err != nil {
		return nil, err
	}
	if err := s.warmUp(ctx); err != nil {
		return nil, err
	}
	r := &Result{options: s.options, warmUpCrashes: s.crashesSince(time.Time{})}
	l, err := s.newLoad(1, s.options.rates(), maxLoadDuration, s.options.Seed)
	if err != nil {
		return nil, err
	}
	l.setPhase("settle")
	l.start(ctx)
	defer l.stop()
	pause.For(ctx, settleTime)
	r.measuredFrom = time.Now()
	l.setPhase("before")
	pause.For(ctx, s.options.PhaseDuration)
	for i, zone := range s.options.movedZones() {
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

// settleTime is the time from the start of the load after the warm-up to the first
// measured phase.
const settleTime = 3 * time.Second

// moveZone takes a zone out of service and returns it to service; i is the index of
// the move.
func (s *system) moveZone(ctx context.Context, op *demo.Operator, l *callerLoad, zone string, i int) (*zoneMove, error) {
	prefix := ""
	if i > 0 {
		prefix = "2nd "
	}
	m := &zoneMove{zone: zone, redirects: newRedirectProbe(s.deployment, zone)}
	var background sync.WaitGroup
	defer background.Wait()
	probeCtx, stopProbes := context.WithCancel(ctx)
	defer stopProbes()
	l.setPhase(prefix + "out")
	if err := s.takeZoneOut(ctx, op, m, i, &background); err != nil {
		return nil, err
	}
	background.Go(func() { m.redirects.run(probeCtx) })
	pause.For(ctx, s.options.OutDuration-time.Since(m.outAt))
	if err := s.store.SetFaults(kvsim.Faults{}); err != nil {
		return nil, trace.Wrap(err)
	}
	s.makeEnginesCold(zone)
	l.setPhase(prefix + "out steady")
	pause.For(ctx, s.options.PhaseDuration)
	m.lastNewWork = max(s.lastNewWork(zone).Sub(m.outAt), 0)
	if s.frozenAgentLastRequestTime != nil && i == 0 {
		m.lastNewWorkFrozen = max(s.frozenAgentLastRequestTime().Sub(m.outAt), 0)
	}
	stopProbes()
	l.setPhase(prefix + "back")
	if err := s.returnZone(ctx, op, m); err != nil {
		return nil, err
	}
	if s.options.MoveInterval > 0 && i+1 < s.options.ZoneMoves {
		pause.For(ctx, s.options.MoveInterval-time.Since(m.backAt))
		return m, nil
	}
	pause.For(ctx, s.options.BackDuration-time.Since(m.backAt))
	l.setPhase(prefix + "back steady")
	pause.For(ctx, s.options.PhaseDuration)
	return m, nil
}

// storeDownLead is the time from taking the store down to the command.
const storeDownLead = 200 * time.Millisecond

func (s *system) takeZoneOut(ctx context.Context, op *demo.Operator, m *zoneMove, i int, background *sync.WaitGroup) error {
	if s.options.StoreDown {
		if err := s.store.SetFaults(kvsim.Faults{Outage: kvsim.OutageRefuse}); err != nil {
			return trace.Wrap(err)
		}
		pause.For(ctx, storeDownLead)
	}
	if s.freezer != nil && i == 0 {
		s.freezer.setFrozen(true)
		time.AfterFunc(s.options.FreezeDuration, func() { s.freezer.setFrozen(false) })
	}
	if s.options.RestartEntry && i == 0 {
		// The second entry is in a zone that stays in service. The first one receives
		// the commands and must not restart.
		background.Go(func() { _ = s.restartEntry(1) })
	}
	m.outAt = time.Now()
	result, err := op.SetZoneOut(ctx, m.zone, true)
	if err != nil {
		return err
	}
	m.outCommandTook, m.confirmedZones, m.inStore = time.Since(m.outAt), result.ConfirmedZones, result.InStore
	return nil
}

// makeEnginesCold makes the engines of a zone cold, as they are after the VMs of a
// zone were stopped and started.
func (s *system) makeEnginesCold(zone string) {
	for _, e := range s.engines[zone] {
		e.TurnCold(0)
	}
}

// returnZone sends the command that returns the zone to service, and retries it while
// the entry cannot reach the store yet, for at most BackDuration.
func (s *system) returnZone(ctx context.Context, op *demo.Operator, m *zoneMove) error {
	m.backAt = time.Now()
	for {
		_, err := op.SetZoneOut(ctx, m.zone, false)
		if err == nil {
			m.backCommandTook = time.Since(m.backAt)
			return nil
		}
		if time.Since(m.backAt) > s.options.BackDuration || ctx.Err() != nil {
			return err
		}
		pause.For(ctx, commandRetryInterval)
	}
}

// commandRetryInterval is the time between two attempts of a command.
const commandRetryInterval = 200 * time.Millisecond
