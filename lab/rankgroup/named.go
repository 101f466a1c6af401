package rankgroup

import (
	"context"
	"time"

	"github.com/wasabinotch/wasabinotch/expertmap"
)

// namedSwitch is a map switch by two-phase commit at a step that is chosen in
// advance. It serves as the alternative with which the switch by agreement in the
// exchange is compared. A map is prepared together with the step at which to switch,
// and is used from that step on if it was committed. A rank that reaches the step
// without a commit waits.
type namedSwitch struct {
	number    uint64 // of the new map
	step      uint64
	committed bool
	from      uint64 // number of the map before the switch
}

// prepareNamed sets the switch to a map at a step and queues the map for loading.
func (e *engine) prepareNamed(m *expertmap.Map, digest string, step uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.namedSwitch = &namedSwitch{number: m.Number, step: step, from: e.held.Active()}
	e.enqueue(heldMap{mapUse{m.Number, digest}, m})
}

// commitNamed commits the prepared switch.
func (e *engine) commitNamed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.namedSwitch != nil {
		e.namedSwitch.committed = true
	}
}

// undecided reports whether the rank must wait for a commit before its next step.
func (e *engine) undecided() bool {
	return e.namedSwitch != nil && !e.namedSwitch.committed && e.step+1 >= e.namedSwitch.step
}

// offeredMaps returns the map numbers that the rank contributes to the exchange.
// With a named switch, that is only the map before or after the switch, depending
// on the step.
func (e *engine) offeredMaps() []uint64 {
	if e.namedSwitch == nil {
		return e.held.Numbers()
	}
	if e.namedSwitch.committed && e.step+1 >= e.namedSwitch.step {
		return []uint64{e.namedSwitch.number}
	}
	return []uint64{e.namedSwitch.from}
}

// NamedFault is a fault during a named switch.
type NamedFault string

// NamedFaults are the faults for which the named switch is measured.
var NamedFaults = []NamedFault{NamedNone, NamedExitBeforeCommit, NamedExitAmidCommits, NamedSlowLoad}

// Faults of a named switch.
const (
	NamedNone             NamedFault = "none"
	NamedExitBeforeCommit NamedFault = "coordinator dies between prepare and commit"
	NamedExitAmidCommits  NamedFault = "coordinator dies after commit to half of the ranks"
	NamedSlowLoad         NamedFault = "rank is 500 ms slow to load"
)

// namedStepLead is the number of steps from preparation to the switch: three times
// the loading time without a fault.
const namedStepLead = 40

// namedMaps is the number of maps in a run of RunNamed.
const namedMaps = 2

// RunNamed switches the map of a group once at a named step, under a fault. Its
// StallTime and LongestOtherGap cover the time from the preparation until some
// steps after the switch. A coordinator that exits is replaced after TakeoverDelay;
// its successor commits the map that all ranks have prepared.
func RunNamed(fault NamedFault) (CheckResult, error) {
	b, err := newNamedBench()
	if err != nil {
		return CheckResult{}, err
	}
	defer b.Close()
	engines := b.Group.engines
	if fault == NamedSlowLoad {
		b.Group.SetLoadDelay(3, 500*time.Millisecond)
	}
	began := time.Now()
	if err := b.prepareNamed(2); err != nil {
		return CheckResult{}, err
	}
	if err := b.waitFor("loading of the map on all ranks", func() bool { return allHold(engines, 2) }); err != nil {
		return CheckResult{}, err
	}
	committed := 0
	switch fault {
	case NamedExitAmidCommits:
		committed = len(engines) / 2
		commit(engines[:committed])
		time.Sleep(TakeoverDelay)
	case NamedExitBeforeCommit:
		time.Sleep(TakeoverDelay)
	}
	commit(engines[committed:])
	if err := b.waitFor("use of the map", func() bool { return b.latestMap() == 2 }); err != nil {
		return CheckResult{}, err
	}
	time.Sleep(benchPlanInterval)
	return b.Group.Checker.Result(began), nil
}

// newNamedBench starts a group without agents and coordinators and waits until it
// uses map 1.
func newNamedBench() (*Bench, error) {
	b := &Bench{}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	group, err := NewGroup(GroupConfig{
		Ranks: benchRanks, WeightRate: benchWeightRate,
		Options:    func(rank int) EngineOptions { return benchOptions(rank, false) },
		Popularity: func(layer int) []float64 { return rotatingPopularity(layer, 0) },
	})
	if err != nil {
		return nil, err
	}
	b.Group = group
	b.done.Go(func() { group.Run(b.ctx) })
	h, err := benchMap(1)
	if err != nil {
		return nil, err
	}
	for _, e := range group.engines {
		e.mu.Lock()
		e.enqueue(h)
		e.mu.Unlock()
	}
	return b, b.waitFor("use of map 1", func() bool { return b.latestMap() == 1 })
}

func benchMap(number uint64) (heldMap, error) {
	m, err := expertmap.NewEvenMap("bench", benchRanks, benchLayers, benchExperts, benchSlots)
	if err != nil {
		return heldMap{}, err
	}
	m.Number = number
	canonical, err := m.Canonical()
	return heldMap{mapUse{number, expertmap.Digest(canonical)}, m}, err
}

func (b *Bench) prepareNamed(number uint64) error {
	h, err := benchMap(number)
	if err != nil {
		return err
	}
	first := b.Group.engines[0]
	first.mu.Lock()
	step := first.step + namedStepLead
	first.mu.Unlock()
	for _, e := range b.Group.engines {
		e.prepareNamed(h.content, h.digest, step)
	}
	return nil
}

func commit(engines []*engine) {
	for _, e := range engines {
		e.commitNamed()
	}
}

// allHold reports whether all ranks hold the map with the number.
func allHold(engines []*engine, number uint64) bool {
	for _, e := range engines {
		e.mu.Lock()
		_, ok := e.held.Get(number)
		e.mu.Unlock()
		if !ok {
			return false
		}
	}
	return true
}
