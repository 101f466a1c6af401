package rankgroup

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabinotch/wasabinotch/pause"
)

// ErrSuperseded means that another coordinator is in charge; that one completes or
// rolls back what this one left unfinished.
var ErrSuperseded = errors.New("another coordinator is in charge; it completes or rolls back the switch")

// phase is the progress of a switch.
type phase int

const (
	// holding: the step is not held yet.
	holding phase = iota
	// arming: ranks are being armed.
	arming
	// proving: a rank that isn't armed is kept from being armed with the version, which
	// proves that the absent rank isn't either.
	proving
	// rollingBack: ranks are being disarmed, and kept from being armed with the
	// version again.
	rollingBack
	// releasing: all ranks agree on the map for the step; it may begin.
	releasing
	// finished: nothing is left to do.
	finished
)

// Switch makes all ranks of a group begin one step with a prepared map, or all of them
// with the old one.
//
// The step is held at one rank before any rank is armed. The hold is released only
// once all ranks are known to be armed, or once all are known to be disarmed and unable
// to be armed: an Arm that is carried out late is refused after its step has begun, or
// once a newer version is prepared. After the Release the switch changes nothing any
// more, so a Release that is carried out late meets the state for which it was sent.
//
// A coordinator's own rank is armed last, after all others are known to be armed, and one of
// these, the witness, only once half of the others have replied, so that a batch of commands
// which is under way when the coordinator freezes doesn't arm all. A rank that was never armed and can't
// be any more therefore proves that the coordinator's rank isn't armed with that version and
// won't be. So others roll the switch back without the rank of a coordinator whose VM is
// frozen, unless that happened after all others were armed. Other versions can't be armed
// at that rank: all ranks have copied the version since, and while a rank is armed with it
// no newer one is copied to all. The step is held at another VM than the coordinator's, at
// a different rank for each coordinator.
//
// A coordinator that finds a hold or an armed rank of another coordinator first holds
// the step at all ranks that don't hold one, before it changes anything. A Release by
// the earlier coordinator, whether sent before or carried out late, ends the hold of one
// rank only and so can't make the step begin.
type Switch struct {
	ranks []Engine
	epoch uint64
	// version is the version that the ranks are armed with; it isn't set for a rollback.
	version uint64
	// newestVersion is the newest version that this switch may disarm. A rank that is
	// armed with a newer one was armed by a coordinator that began later.
	newestVersion uint64
	// step is the step that is held; if ranks hold several, the first of them.
	step uint64
	// self is the coordinator's rank and witness the one that is armed once
	// half of the others have replied.
	self, witness int
	// absent is the rank without which the switch is rolled back, -1 for none; proof is the
	// rank that proves that the absent one isn't armed.
	absent, proof int
	// holders are the ranks at which this switch holds the step.
	holders []int
	// foreignHolds are the steps that ranks hold for a failed coordinator, by rank.
	foreignHolds map[int]uint64
	// fenceMap is the map in force. Preparing it again under a new version needs no
	// copies and keeps older versions from being armed.
	fenceMap *Map
	// fenceDelta describes fenceMap to agents that have kept it; nil if it isn't known to be kept.
	fenceDelta *MapDelta
	// fences are the versions under which fenceMap was prepared, by rank.
	fences []rankFence
	// overtaken is set if a rank is armed for a newer switch at the same step.
	overtaken atomic.Bool
	// newFenceVersion returns a new version; it is called from several goroutines.
	newFenceVersion func() uint64

	phase phase
	// rankDone marks the ranks that have completed the current phase.
	rankDone []bool
	// RolledBack is set if the old map stays in force.
	RolledBack bool
	// StepMissed is set if the step began before it could be held; nothing was changed.
	StepMissed bool
}

// holderOf returns the rank at which the coordinator beside rank self holds steps: on another
// VM, and a different one for each coordinator.
func holderOf(self, ranks int) int { return (self + max(1, ranks/2)) % ranks }

// NewSwitch returns a switch of all ranks to version at step by the coordinator beside rank
// self. current is the map in force.
func NewSwitch(ranks []Engine, epoch, version, step uint64, self int, current *Map, nextVersion func() uint64) *Switch {
	return &Switch{ranks: ranks, epoch: epoch, version: version, newestVersion: version, step: step, self: self, witness: (self + 1) % len(ranks), absent: -1,
		holders:  []int{holderOf(self, len(ranks))},
		fenceMap: current, newFenceVersion: nextVersion, rankDone: make([]bool, len(ranks)), fences: make([]rankFence, len(ranks))}
}

// NewRollback returns a switch that rolls back what another coordinator left
// unfinished, as the reports show it. current is the map in force.
func NewRollback(ranks []Engine, reports []Report, current *Map, nextVersion func() uint64) *Switch {
	return newRollback(ranks, reports, -1, current, nextVersion)
}

// NewRollbackWithout returns a switch that rolls back, without the absent rank, the switch
// of the coordinator beside it. ok is false unless the reports of the others show one that
// can be rolled back so.
func NewRollbackWithout(absent int, ranks []Engine, reports []Report, current *Map, nextVersion func() uint64) (s *Switch, ok bool) {
	version, proof, ok := switchOf(absent, ranks, reports)
	if !ok {
		return nil, false
	}
	s = newRollback(ranks, reports, absent, current, nextVersion)
	s.version, s.proof = version, proof
	return s, true
}

// switchOf returns the version of the unfinished switch of the coordinator beside a rank that
// doesn't reply, and a rank that proves that this rank isn't armed. ok is false if the
// reports of the others show no such switch, or another one.
func switchOf(absent int, ranks []Engine, reports []Report) (version uint64, proof int, ok bool) {
	var armed *Armed
	proof = -1
	lagging := false
	for r, rep := range reports {
		switch {
		case r == absent:
		case rep.Armed == nil:
			if lagging = lagging || isDirect(ranks[r]); !isDirect(ranks[r]) {
				proof = r
			}
		case rep.Armed.Owner != absent+1, armed != nil && *rep.Armed != *armed:
			return 0, 0, false
		default:
			armed = rep.Armed
		}
	}
	switch {
	case proof < 0:
		return 0, 0, false
	case armed != nil:
		return armed.Version, proof, true
	case lagging:
		return 0, 0, false
	}
	// No rank is armed. The step is held for that coordinator if only its holder holds one and
	// all have copied its map: coordinators hold steps at different ranks, and another one
	// that had the absent rank armed would hold its own.
	version = reports[proof].PreparedVersion
	for r, rep := range reports {
		if r != absent && (rep.PreparedVersion != version || rep.PreparedOwner != absent+1 || (rep.HeldStep != nil) != (r == holderOf(absent, len(ranks)))) {
			return 0, 0, false
		}
	}
	return version, proof, true
}

func newRollback(ranks []Engine, reports []Report, absent int, current *Map, nextVersion func() uint64) *Switch {
	s := &Switch{ranks: ranks, fenceMap: current, newFenceVersion: nextVersion, absent: absent, proof: -1,
		rankDone: make([]bool, len(ranks)), fences: make([]rankFence, len(ranks)), RolledBack: true, foreignHolds: make(map[int]uint64), step: math.MaxUint64}
	for r, rep := range reports {
		if r == absent {
			continue
		}
		s.epoch = rep.Epoch
		// The failed coordinator had its version copied to all ranks before it armed any, so
		// none of its versions is newer than these.
		s.newestVersion = max(s.newestVersion, rep.MapVersion, rep.PreparedVersion)
		if rep.Armed != nil {
			s.newestVersion = max(s.newestVersion, rep.Armed.Version)
			s.step = min(s.step, rep.Armed.Step)
		}
		if rep.HeldStep != nil {
			s.foreignHolds[r] = *rep.HeldStep
			s.step = min(s.step, *rep.HeldStep)
		} else {
			s.holders = append(s.holders, r)
		}
	}
	return s
}

// describeFence has the map in force sent, in a rollback, as no differences from itself to
// the agents that have kept it: all ranks of a large group get it at once. version is its
// version, experts the number of experts of a set.
func (s *Switch) describeFence(version uint64, experts int) {
	if delta, err := NewMapDelta(s.fenceMap, s.fenceMap, version, experts); err == nil {
		s.fenceDelta = delta
	}
}

const (
	// commandTimeout bounds one command. An engine replies within a few ms, and the
	// agent beside it retries a command whose reply is lost; the timeout is for agents
	// that don't reply.
	commandTimeout = 100 * time.Millisecond
	// commandRetryInterval is the interval before a command is retried.
	commandRetryInterval = 5 * time.Millisecond
)

// outcome returns the metric label for the result of a finished switch.
func (s *Switch) outcome() string {
	switch {
	case s.StepMissed:
		return "missed"
	case s.RolledBack:
		return "undone"
	}
	return "done"
}

// Advance continues the switch until it is finished or ctx ends. It may be called again
// after ctx ended.
func (s *Switch) Advance(ctx context.Context) (done bool, err error) {
	for s.phase != finished && ctx.Err() == nil {
		switch s.phase {
		case holding:
			err = s.hold(ctx)
		case arming:
			err = s.arm(ctx)
		case proving:
			err = s.prove(ctx)
		case rollingBack:
			err = s.rollBack(ctx)
		case releasing:
			err = s.release(ctx)
		}
		if err != nil {
			return false, err
		}
	}
	return s.phase == finished, nil
}

// isDirect reports whether a rank is reached without its agent now, so that its reports lag.
func isDirect(e Engine) bool {
	d, ok := e.(interface{ Direct() bool })
	return ok && d.Direct()
}

// directSender is a rank on another VM whose engine takes commands without its agent.
type directSender interface {
	SendDirect(ctx context.Context, command Command) (Result, error)
}

// sendToHolder sends a Hold or a Release. Those of a switch go to the engine of the holder
// itself, so that the hold depends on no other process than the coordinator.
func (s *Switch) sendToHolder(ctx context.Context, rank int, command Command) (Result, error) {
	if d, ok := s.ranks[rank].(directSender); ok && s.foreignHolds == nil {
		return s.sendBy(ctx, d.SendDirect, command)
	}
	return s.send(ctx, rank, command)
}

// send sends a command and retries it until a reply arrives or ctx ends.
func (s *Switch) send(ctx context.Context, rank int, command Command) (Result, error) {
	return s.sendBy(ctx, s.ranks[rank].Send, command)
}

func (s *Switch) sendBy(ctx context.Context, send func(context.Context, Command) (Result, error), command Command) (Result, error) {
	command.Epoch = s.epoch
	for ctx.Err() == nil {
		commandCtx, cancel := context.WithTimeout(ctx, commandTimeout)
		result, err := send(commandCtx, command)
		cancel()
		if err == nil && result != NoReply {
			if result == Superseded {
				return result, ErrSuperseded
			}
			return result, nil
		}
		pause.For(ctx, commandRetryInterval)
	}
	return NoReply, nil
}

// hold holds the step at all holders.
func (s *Switch) hold(ctx context.Context) error {
	results := make([]Result, len(s.holders))
	errs := make([]error, len(s.holders))
	var wg sync.WaitGroup
	for i, r := range s.holders {
		wg.Go(func() { results[i], errs[i] = s.sendToHolder(ctx, r, Command{Operation: Hold, Step: s.step}) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if slices.Contains(results, Refused) {
		// The step has begun, or another coordinator holds a step. Nothing was changed.
		s.RolledBack, s.StepMissed = true, true
		s.phase = releasing
		return nil
	}
	if slices.Contains(results, NoReply) {
		return nil // ctx ended; the next call continues
	}
	switch {
	case s.absent >= 0:
		s.phase = proving
	case s.RolledBack:
		s.phase = rollingBack
	default:
		s.phase = arming
	}
	return nil
}

// prove keeps the rank named by proof from being armed with the version. If it is armed by
// now, the absent rank may be armed too, and the rollback ends without a change.
func (s *Switch) prove(ctx context.Context) error {
	fence := &s.fences[s.proof]
	for ; ctx.Err() == nil; pause.For(ctx, commandRetryInterval) {
		rep, err := s.ranks[s.proof].Report(ctx)
		switch {
		case err != nil:
			continue
		case rep.Armed != nil || rep.Epoch != s.epoch || rep.Step >= s.step:
			s.StepMissed = true
			s.phase = releasing
			return nil
		case fence.includes(rep.PreparedVersion):
			s.phase = rollingBack
			return nil
		case !fence.due(time.Now()):
			continue
		}
		version := s.newFenceVersion()
		result, err := s.send(ctx, s.proof, Command{Operation: Prepare, Version: version, Map: s.fenceMap, Delta: s.fenceDelta})
		if err != nil {
			return err
		}
		fence.sent(version, result, time.Now())
	}
	return nil
}

// forAll runs f concurrently for each of the ranks that isn't done with the phase, and
// reports whether all of them are done now.
func (s *Switch) forAll(ranks []int, f func(rank int) (bool, error)) (bool, error) {
	var wg sync.WaitGroup
	errs := make([]error, len(s.ranks))
	for _, r := range ranks {
		if s.rankDone[r] {
			continue
		}
		wg.Go(func() { s.rankDone[r], errs[r] = f(r) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return false, err
	}
	return !slices.ContainsFunc(ranks, func(r int) bool { return !s.rankDone[r] }), nil
}

// ranksWithout returns all ranks except those given.
func (s *Switch) ranksWithout(except ...int) []int {
	var ranks []int
	for r := range s.ranks {
		if !slices.Contains(except, r) {
			ranks = append(ranks, r)
		}
	}
	return ranks
}

// arm arms all ranks, the coordinator's own after all others, and the witness once half of the
// others have replied: where replies are lost, waiting for all of them prolongs the hold. If
// one refuses, the switch is rolled back.
func (s *Switch) arm(ctx context.Context) error {
	others := s.ranksWithout(s.self)
	var awaited atomic.Int32 // replies without which the witness isn't armed
	awaited.Store(int32(len(others) / 2))
	replied := make(chan struct{})
	countReply := func() {
		if awaited.Add(-1) == 0 {
			close(replied)
		}
	}
	if len(others) < 2 {
		close(replied)
	}
	for _, done := range s.rankDone {
		if done {
			countReply()
		}
	}
	var refused atomic.Bool
	arm := func(r int) (bool, error) {
		if r == s.witness && r != s.self {
			select {
			case <-replied:
			case <-ctx.Done():
			}
			if refused.Load() || ctx.Err() != nil {
				return false, nil
			}
		}
		result, err := s.send(ctx, r, Command{Operation: Arm, Version: s.version, Step: s.step, Owner: s.self + 1})
		if result == Refused || err != nil {
			refused.Store(true)
		}
		countReply()
		return result == Accepted, err
	}
	for _, wave := range [][]int{others, {s.self}} {
		all, err := s.forAll(wave, arm)
		if err != nil {
			return err
		}
		if refused.Load() {
			s.RolledBack = true
			s.phase = rollingBack
			clear(s.rankDone)
			return nil
		}
		if !all {
			return nil
		}
	}
	s.phase = releasing
	return nil
}

// rollBack disarms all ranks and makes sure that no late command arms one again.
func (s *Switch) rollBack(ctx context.Context) error {
	all, err := s.forAll(s.ranksWithout(s.absent), func(r int) (bool, error) { return s.rollBackRank(ctx, r) })
	if all && err == nil {
		s.phase = releasing
	}
	return err
}

// rollBackRank disarms one rank and prepares fenceMap there under a new version. It
// returns true once late commands can't arm the rank, or if the rank no longer belongs to
// the switch.
//
// The rank's reports may lag, if the rank has no agent. Whatever they show was so at some
// time, and none of the states below is left again by a command of an older switch.
func (s *Switch) rollBackRank(ctx context.Context, r int) (bool, error) {
	fence := &s.fences[r]
	disarmed := uint64(0) // the version that was disarmed last, although a lagging report shows it armed
	for ; ctx.Err() == nil; pause.For(ctx, commandRetryInterval) {
		rep, err := s.ranks[r].Report(ctx)
		switch {
		case err != nil:
			continue
		case rep.Epoch != s.epoch:
			return true, nil // a new formation keeps no maps and no commands of the previous one
		case rep.Step >= s.step:
			// Another coordinator released the step. If ranks are armed now, it is for a later
			// switch.
			return true, nil
		case rep.Armed != nil && rep.Armed.Step != s.step:
			return true, nil // armed for a switch that this one must not roll back
		case rep.Armed != nil && rep.Armed.Version > s.newestVersion:
			// Another coordinator completed the rollback and switches at the same step. Its
			// hold may be at a rank at which this one holds the step.
			s.overtaken.Store(true)
			return true, nil
		case rep.Armed == nil && fence.includes(rep.PreparedVersion):
			return true, nil
		}
		if rep.Armed != nil && rep.Armed.Version != disarmed {
			result, err := s.send(ctx, r, Command{Operation: Disarm, Version: rep.Armed.Version})
			if err != nil {
				return false, err
			}
			if result != Accepted {
				continue
			}
			disarmed = rep.Armed.Version
		}
		if !fence.due(time.Now()) {
			continue // prepared; the next reports show it
		}
		version := s.newFenceVersion()
		result, err := s.send(ctx, r, Command{Operation: Prepare, Version: version, Map: s.fenceMap, Delta: s.fenceDelta})
		if err != nil {
			return false, err
		}
		if fence.sent(version, result, time.Now()); result == Refused {
			// The rank has seen a newer version, or a late command armed it.
			disarmed = 0
		}
	}
	return false, nil
}

// fenceResendInterval is the time after which a fence that a rank accepted, and that its
// reports don't show, is prepared again under a newer version. Reports of an engine
// without an agent lag by some hundred ms.
const fenceResendInterval = time.Second

// rankFence holds the versions under which a rollback prepared the map in force at a rank.
// Once one of them is prepared, the rank can't be armed with an older one.
type rankFence struct {
	versions []uint64
	// acceptedAt is when the rank accepted the last version; zero if it didn't.
	acceptedAt time.Time
}

func (f *rankFence) includes(version uint64) bool { return slices.Contains(f.versions, version) }

// due reports whether the map must be prepared under a new version.
func (f *rankFence) due(now time.Time) bool { return now.Sub(f.acceptedAt) >= fenceResendInterval }

// sent records that the map was sent under a version. It may be prepared even if the rank
// refused it, as an engine accepts a version once and an earlier attempt may have been
// carried out without a reply.
func (f *rankFence) sent(version uint64, result Result, now time.Time) {
	f.versions = append(f.versions, version)
	f.acceptedAt = time.Time{}
	if result == Accepted {
		f.acceptedAt = now
	}
}

// release releases the holds of the step, including those of a failed coordinator.
func (s *Switch) release(ctx context.Context) error {
	steps := maps.Clone(s.foreignHolds)
	if s.overtaken.Load() || s.StepMissed && s.foreignHolds != nil {
		// A Release could end the hold of another switch before all its ranks are armed: this
		// rollback may hold the same step at the same rank. What is still held is rolled back
		// like that of a failed coordinator.
		s.phase = finished
		return nil
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
		// Refused means that the hold ended along with its formation.
		wg.Go(func() { results[r], errs[r] = s.sendToHolder(ctx, r, Command{Operation: Release, Step: step}) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for r := range steps {
		if results[r] == NoReply {
			return nil
		}
	}
	s.phase = finished
	return nil
}
