package rankgroup

import (
	"context"
	"time"

	"github.com/wasabinotch/wasabinotch/expertmap"
)

// namedSwitch is the alternative to agreement in the exchange, for comparison:
// a map is prepared with a step at which to switch, and used from that step on
// if it was committed. A rank that reaches the step undecided waits.
type namedSwitch struct {
	number    uint64
	step      uint64
	committed bool
	from      uint64 // the map used before
}

// prepareNamed announces a switch; the map is loaded as usual.
func (e *engine) prepareNamed(m *expertmap.Map, digest string, step uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.named = &namedSwitch{number: m.Number, step: step, from: e.held.Active()}
	e.enqueue(heldMap{use{m.Number, digest}, m})
}

// commitNamed decides the switch.
func (e *engine) commitNamed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.named != nil {
		e.named.committed = true
	}
}

// undecided reports whether the rank must wait for a decision before its next step.
func (e *engine) undecided() bool {
	return e.named != nil && !e.named.committed && e.step+1 >= e.named.step
}

// offered returns the map numbers to contribute. Under a named switch, the rank
// offers the only map that its own decision allows.
func (e *engine) offered() []uint64 {
	if e.named == nil {
		return e.held.Numbers()
	}
	if e.named.committed && e.step+1 >= e.named.step {
		return []uint64{e.named.number}
	}
	return []uint64{e.named.from}
}

// NamedFault is a fault during a named switch.
type NamedFault string

// NamedFaults are the faults for which the named switch is measured.
var NamedFaults = []NamedFault{NamedNone, NamedDiesBeforeCommit, NamedDiesHalfway, NamedSlowLoad}

// Faults of a named switch.
const (
	NamedNone             NamedFault = "none"
	NamedDiesBeforeCommit NamedFault = "coordinator dies between prepare and commit"
	NamedDiesHalfway      NamedFault = "coordinator dies after commit to half of the ranks"
	NamedSlowLoad         NamedFault = "rank is 500 ms slow to load"
)

// namedAhead is the distance of the switch step in steps: three times what
// loading takes without a fault.
const namedAhead = 40

// namedMaps is the number of maps in such a run.
const namedMaps = 2

// RunNamed switches a group once by a named step, with a fault, and returns
// what was seen from the preparation until some steps after the switch. A
// coordinator that dies is replaced after TakeOver; its successor commits what
// all ranks have prepared.
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
	if err := b.wait("holding of the map", func() bool { return allHold(engines, 2) }); err != nil {
		return CheckResult{}, err
	}
	committed := 0
	switch fault {
	case NamedDiesHalfway:
		committed = len(engines) / 2
		commit(engines[:committed])
		time.Sleep(TakeoverDelay)
	case NamedDiesBeforeCommit:
		time.Sleep(TakeoverDelay)
	}
	commit(engines[committed:])
	if err := b.wait("use of the map", func() bool { return b.latest() == 2 }); err != nil {
		return CheckResult{}, err
	}
	time.Sleep(benchInterval)
	return b.Group.Checker.Result(began), nil
}

// newNamedBench starts a group without agents and coordinators that uses map 1.
func newNamedBench() (*Bench, error) {
	b := &Bench{}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	group, err := NewGroup(GroupConfig{
		Ranks: benchRanks, WeightRate: benchRate,
		Options:    func(rank int) EngineOptions { return benchOptions(rank, false) },
		Popularity: func(layer int) []float64 { return wave(layer, 0) },
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
	return b, b.wait("use of map 1", func() bool { return b.latest() == 1 })
}

func benchMap(number uint64) (heldMap, error) {
	m, err := expertmap.NewEvenMap("bench", benchRanks, benchLayers, benchExperts, benchSlots)
	if err != nil {
		return heldMap{}, err
	}
	m.Number = number
	canonical, err := m.Canonical()
	return heldMap{use{number, expertmap.Digest(canonical)}, m}, err
}

func (b *Bench) prepareNamed(number uint64) error {
	h, err := benchMap(number)
	if err != nil {
		return err
	}
	first := b.Group.engines[0]
	first.mu.Lock()
	step := first.step + namedAhead
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
