package rankgroup

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/pause"
)

// ErrSuperseded means that another coordinator is in charge; it clears up what
// this one left.
var ErrSuperseded = errors.New("another coordinator is in charge; it finishes or undoes the switch")

// phase is how far a switch has come.
type phase int

const (
	// holding: the pass is not yet held back.
	holding phase = iota
	// arming: the ranks are armed one by one.
	arming
	// undoing: the ranks are disarmed, and the version can't be armed again.
	undoing
	// releasing: all ranks agree on the maps of the pass; it may begin.
	releasing
	// finished: nothing is left to do.
	finished
)

// Switch makes all ranks of a group begin one pass with a prepared map, or
// with the old one.
//
// The pass is held back at one rank before any rank is armed. The hold is
// released only once all ranks are known to be armed, or once all are known to
// be disarmed and unable to arm: an Arm that is carried out late is refused
// after its pass has begun, or when a newer version is prepared. After the
// release nothing is changed any more, so a release that is carried out late
// finds what it was meant for.
//
// Another coordinator that finds a hold or an armed rank holds the pass at all
// ranks that don't, before it changes anything. A release by an earlier
// coordinator, sent before or carried out late, reaches one rank and then
// starts nothing.
type Switch struct {
	ranks []Engine
	epoch uint64
	// version is what the ranks are armed with; it isn't set for an undo.
	version uint64
	// newest is the newest version that this switch may disarm. Ranks are armed
	// with a newer one by a coordinator that began later.
	newest uint64
	// step is the pass that is held back: of several, the first.
	step uint64
	// holders are the ranks at which this switch holds the pass back.
	holders []int
	// others are the passes that ranks hold back for a coordinator that is gone.
	others map[int]uint64
	// blank is the map in force. Preparing it again takes no copies and keeps
	// older versions from being armed.
	blank *Map
	// blankVersion returns a new version; it is called from several goroutines.
	blankVersion func() uint64

	phase phase
	ready []bool
	// RolledBack says that the old map stays in force.
	RolledBack bool
	// StepMissed says that the pass began before it could be held; nothing was changed.
	StepMissed bool
}

// NewSwitch returns a switch of all ranks to version at step, held at holder.
// current is the map in force.
func NewSwitch(ranks []Engine, epoch, version, step uint64, holder int, current *Map, nextVersion func() uint64) *Switch {
	return &Switch{ranks: ranks, epoch: epoch, version: version, newest: version, step: step, holders: []int{holder},
		blank: current, blankVersion: nextVersion, ready: make([]bool, len(ranks))}
}

// NewRollback returns a switch that clears up what another coordinator left, as the
// reports show it.
func NewRollback(ranks []Engine, reports []Report, current *Map, nextVersion func() uint64) *Switch {
	s := &Switch{ranks: ranks, epoch: reports[0].Epoch, blank: current, blankVersion: nextVersion,
		ready: make([]bool, len(ranks)), RolledBack: true, others: make(map[int]uint64), step: math.MaxUint64}
	for r, rep := range reports {
		// The coordinator that is gone had its version copied everywhere before it
		// armed a rank, so no version of its is newer than these.
		s.newest = max(s.newest, rep.MapVersion, rep.PreparedVersion)
		if rep.Armed != nil {
			s.newest = max(s.newest, rep.Armed.Version)
			s.step = min(s.step, rep.Armed.Step)
		}
		if rep.HeldStep != nil {
			s.others[r] = *rep.HeldStep
			s.step = min(s.step, *rep.HeldStep)
		} else {
			s.holders = append(s.holders, r)
		}
	}
	return s
}

const (
	// orderTimeout bounds one order. An engine answers within a few ms, and the
	// agent beside it repeats an order whose answer is lost; this is for agents
	// that don't answer.
	orderTimeout = 100 * time.Millisecond
	// orderPause is the pause before an order is repeated.
	orderPause = 5 * time.Millisecond
)

// outcome names the end of a finished switch.
func (s *Switch) outcome() string {
	switch {
	case s.StepMissed:
		return "missed"
	case s.RolledBack:
		return "undone"
	}
	return "done"
}

// Advance goes on until the switch is finished or ctx ends. It may be called again.
func (s *Switch) Advance(ctx context.Context) (done bool, err error) {
	for s.phase != finished && ctx.Err() == nil {
		switch s.phase {
		case holding:
			err = s.hold(ctx)
		case arming:
			err = s.arm(ctx)
		case undoing:
			err = s.undo(ctx)
		case releasing:
			err = s.release(ctx)
		}
		if err != nil {
			return false, err
		}
	}
	return s.phase == finished, nil
}

// order repeats an order until it is answered or ctx ends.
func (s *Switch) order(ctx context.Context, rank int, o Command) (Result, error) {
	o.Epoch = s.epoch
	for ctx.Err() == nil {
		octx, cancel := context.WithTimeout(ctx, orderTimeout)
		result, err := s.ranks[rank].Send(octx, o)
		cancel()
		if err == nil && result != Unanswered {
			if result == Superseded {
				return result, ErrSuperseded
			}
			return result, nil
		}
		pause.For(ctx, orderPause)
	}
	return Unanswered, nil
}

func (s *Switch) hold(ctx context.Context) error {
	results := make([]Result, len(s.holders))
	errs := make([]error, len(s.holders))
	var wg sync.WaitGroup
	for i, r := range s.holders {
		wg.Go(func() { results[i], errs[i] = s.order(ctx, r, Command{Operation: Hold, Step: s.step}) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if slices.Contains(results, Refused) {
		// The pass has begun, or another coordinator holds one. Nothing was changed.
		s.RolledBack, s.StepMissed = true, true
		s.phase = releasing
		return nil
	}
	if slices.Contains(results, Unanswered) {
		return nil // ctx ended; the next call goes on
	}
	s.phase = arming
	if s.RolledBack {
		s.phase = undoing
	}
	return nil
}

// forAll runs f for each rank that isn't ready and reports whether all are.
func (s *Switch) forAll(f func(rank int) (bool, error)) (bool, error) {
	var wg sync.WaitGroup
	errs := make([]error, len(s.ranks))
	for r := range s.ranks {
		if s.ready[r] {
			continue
		}
		wg.Go(func() { s.ready[r], errs[r] = f(r) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return false, err
	}
	for _, ok := range s.ready {
		if !ok {
			return false, nil
		}
	}
	return true, nil
}

func (s *Switch) arm(ctx context.Context) error {
	refused := make([]bool, len(s.ranks))
	all, err := s.forAll(func(r int) (bool, error) {
		result, err := s.order(ctx, r, Command{Operation: Arm, Version: s.version, Step: s.step})
		refused[r] = result == Refused
		return result == Accepted, err
	})
	if err != nil {
		return err
	}
	if all {
		s.phase = releasing
		return nil
	}
	for _, x := range refused {
		if x {
			s.RolledBack = true
			s.phase = undoing
			clear(s.ready)
		}
	}
	return nil
}

// undo disarms all ranks and makes sure that no late order arms one again.
func (s *Switch) undo(ctx context.Context) error {
	all, err := s.forAll(func(r int) (bool, error) { return s.undoRank(ctx, r) })
	if all && err == nil {
		s.phase = releasing
	}
	return err
}

func (s *Switch) undoRank(ctx context.Context, r int) (bool, error) {
	blank := s.blankVersion()
	for ctx.Err() == nil {
		rep, err := s.ranks[r].Report(ctx)
		switch {
		case err != nil:
			pause.For(ctx, orderPause)
			continue
		case rep.Epoch != s.epoch:
			return true, nil // a new formation has no maps and no orders of this one
		case rep.Step >= s.step:
			// Another coordinator released the pass. What ranks are armed with now
			// belongs to a later switch.
			return true, nil
		case rep.Armed != nil && (rep.Armed.Step != s.step || rep.Armed.Version > s.newest):
			return true, nil // another switch, which isn't this one's to undo
		case rep.Armed != nil:
			if _, err := s.order(ctx, r, Command{Operation: Disarm, Version: rep.Armed.Version}); err != nil {
				return false, err
			}
			continue
		case rep.PreparedVersion == blank:
			return true, nil
		}
		result, err := s.order(ctx, r, Command{Operation: Prepare, Version: blank, Map: s.blank})
		if err != nil {
			return false, err
		}
		if result == Refused {
			// The rank has had a newer version, or a late order armed it.
			blank = s.blankVersion()
		}
		pause.For(ctx, orderPause)
	}
	return false, nil
}

func (s *Switch) release(ctx context.Context) error {
	steps := maps.Clone(s.others)
	if s.StepMissed {
		// What others hold isn't this switch's to release; it changed nothing.
		steps = nil
	}
	if steps == nil {
		steps = make(map[int]uint64)
	}
	for _, r := range s.holders {
		steps[r] = s.step
	}
	results := make([]Result, len(s.ranks))
	errs := make([]error, len(s.ranks))
	var wg sync.WaitGroup
	for r, step := range steps {
		// A refusal means that the hold is gone with its formation.
		wg.Go(func() { results[r], errs[r] = s.order(ctx, r, Command{Operation: Release, Step: step}) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for r := range steps {
		if results[r] == Unanswered {
			return nil
		}
	}
	s.phase = finished
	return nil
}
