package rankgroup

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/expertmap"
)

// Fault is a named sequence of events during map switches.
type Fault struct {
	Name string
	// IgnoreFencing makes rank 0 ignore fencing tokens.
	IgnoreFencing bool
	// MustNotStall is set if the fault must not stop the group: no rank is away or
	// stalled.
	MustNotStall bool
	run          func(b *Bench) error
}

// Faults are the sequences that the tests run. Each starts on a group that
// switches maps regularly under entry 0.
var Faults = []Fault{
	{Name: "none", MustNotStall: true, run: func(b *Bench) error { return b.advance(4) }},
	{Name: "coordinator dies between record and sending", MustNotStall: true, run: func(b *Bench) error { return b.dieAfter(0, 0) }},
	{Name: "coordinator dies after sending to half of the ranks", MustNotStall: true, run: func(b *Bench) error { return b.dieAfter(1, benchRanks/2-1) }},
	{Name: "paused old coordinator wakes and resends", MustNotStall: true, run: (*Bench).pausedCoordinator},
	{Name: "paused old coordinator wakes, agents restarted", MustNotStall: true, run: (*Bench).pausedAndAgentsRestarted},
	{Name: "store down", run: (*Bench).storeDown},
	{Name: "lost answers of compare-and-swap", MustNotStall: true, run: (*Bench).lostAnswers},
	{Name: "two coordinators at once", MustNotStall: true, run: (*Bench).twoCoordinators},
	{Name: "old map posted to a rank that ignores fencing", MustNotStall: true, IgnoreFencing: true, run: (*Bench).stalePost},
	{Name: "old map posted to a rank that enforces fencing", MustNotStall: true, run: (*Bench).stalePost},
	{Name: "rank restarts in mid-switch", run: (*Bench).rankRestart},
	{Name: "rank and agent restart in mid-switch", run: (*Bench).rankAndAgentRestart},
	{Name: "agent restarts", MustNotStall: true, run: (*Bench).agentRestart},
	{Name: "messages between agents are lost", MustNotStall: true, run: (*Bench).lostRelays},
	{Name: "rank stalls for 300 ms", run: (*Bench).stalledRank},
	{Name: "rank is 500 ms slow to load", MustNotStall: true, run: (*Bench).slowLoad},
}

// FaultResult is what was seen while a fault ran.
type FaultResult struct {
	CheckResult
	Recorded int
	Refused  int64
}

// Run executes the fault on a new bench. Figures count from the start of the
// fault, when the group has switched maps at least twice.
func (f Fault) Run(log logr.Logger) (FaultResult, error) {
	b, err := NewBench(f.IgnoreFencing, log)
	if err != nil {
		return FaultResult{}, err
	}
	defer b.Close()
	b.entry[0].alone.Store(true)
	b.entry[1].alone.Store(true)
	b.StartEntry(0)
	if err := b.advance(2); err != nil {
		return FaultResult{}, err
	}
	began := time.Now()
	if err := f.run(b); err != nil {
		return FaultResult{}, fmt.Errorf("%s: %w", f.Name, err)
	}
	return FaultResult{CheckResult: b.Group.Checker.Result(began), Recorded: b.recorded(), Refused: b.RefusedMaps.Load()}, nil
}

// Report writes one line of figures.
func (r FaultResult) Report(w io.Writer, name string) {
	_, _ = fmt.Fprintf(w, "%-52s steps %5d mixed %d back %d maps %2d refused %2d stood still %4d ms; longest other gap %3d ms\n",
		name, r.Steps, len(r.MixedSteps), r.BackwardSteps, r.Recorded, r.Refused, r.StallTime.Milliseconds(), r.LongestOtherGap.Milliseconds())
}

// RunFaults runs all faults and the comparison with named switch steps, and
// reports each.
func RunFaults(w io.Writer, log logr.Logger) error {
	for _, f := range Faults {
		res, err := f.Run(log)
		if err != nil {
			return err
		}
		res.Report(w, f.Name)
	}
	for _, f := range NamedFaults {
		v, err := RunNamed(f)
		if err != nil {
			return err
		}
		FaultResult{CheckResult: v, Recorded: namedMaps}.Report(w, "named step: "+string(f))
	}
	return nil
}

func (b *Bench) recorded() int {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	return b.store.writes
}

// waitTime bounds the wait for an expected event.
const waitTime = 20 * time.Second

func (b *Bench) wait(what string, cond func() bool) error {
	end := time.Now().Add(waitTime)
	for !cond() {
		if time.Now().After(end) {
			return fmt.Errorf("%s did not happen within %v", what, waitTime)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (b *Bench) latest() uint64 {
	return b.Group.Checker.Result(time.Now()).LatestMap
}

// advance waits until the group uses a map n numbers higher.
func (b *Bench) advance(n uint64) error {
	want := b.latest() + n
	return b.wait(fmt.Sprintf("use of map %d", want), func() bool { return b.latest() >= want })
}

// inSwitch waits until a map is recorded that the group does not use yet.
func (b *Bench) inSwitch() error {
	before := b.recorded()
	return b.wait("a new record", func() bool { return b.recorded() > before })
}

// dieAfter lets entry 0 die after it has sent a map to some agents, which can
// pass it on only to the given number of others.
func (b *Bench) dieAfter(sends, relays int64) error {
	if err := b.inSwitch(); err != nil {
		return err
	}
	if err := b.advance(1); err != nil {
		return err
	}
	b.relays.Store(relays)
	b.entry[0].sends.Store(sends)
	if err := b.wait("death of the coordinator", b.entry[0].dead.Load); err != nil {
		return err
	}
	time.Sleep(TakeoverDelay)
	b.relays.Store(-1)
	b.StartEntry(1)
	return b.advance(3)
}

func (b *Bench) pausedCoordinator() error {
	b.entry[0].pause()
	if err := b.wait("a blocked send", func() bool { return b.entry[0].blocked.Load() > 0 }); err != nil {
		return err
	}
	b.StartEntry(1)
	if err := b.advance(3); err != nil {
		return err
	}
	b.entry[0].resume()
	return b.advance(3)
}

func (b *Bench) pausedAndAgentsRestarted() error {
	b.entry[0].pause()
	if err := b.wait("a blocked send", func() bool { return b.entry[0].blocked.Load() > 0 }); err != nil {
		return err
	}
	b.StartEntry(1)
	if err := b.advance(3); err != nil {
		return err
	}
	for r := range benchRanks {
		b.RestartAgent(r)
	}
	b.entry[0].resume()
	return b.advance(3)
}

func (b *Bench) storeDown() error {
	b.store.setDown(true)
	time.Sleep(time.Second)
	b.Group.Restart(1) // recovers without the store
	time.Sleep(time.Second)
	b.store.setDown(false)
	return b.advance(2)
}

func (b *Bench) lostAnswers() error {
	b.store.loseAnswers(4)
	return b.advance(5)
}

func (b *Bench) twoCoordinators() error {
	b.StartEntry(1)
	return b.advance(8)
}

// stalePost sends an old recorded map to rank 0 past its agent.
func (b *Bench) stalePost() error {
	m, p, err := b.record()
	if err != nil {
		return err
	}
	if err := b.advance(3); err != nil {
		return err
	}
	canonical, err := m.Canonical()
	if err != nil {
		return err
	}
	body := fmt.Sprintf(`{"number":%d,"fencing_token":%d,"digest":%q,"content":%s}`, m.Number, m.Number, p.Digest, canonical)
	res, err := http.Post("http://"+b.Group.Address(0)+expertmap.PathRankMap, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	if err := res.Body.Close(); err != nil {
		return err
	}
	ignores := b.Group.engines[0].opt.IgnoreFencing
	if (res.StatusCode == http.StatusConflict) == ignores {
		return fmt.Errorf("rank answered %s to an old map", res.Status)
	}
	return b.advance(3)
}

func (b *Bench) rankRestart() error {
	if err := b.inSwitch(); err != nil {
		return err
	}
	b.Group.Restart(2)
	return b.advance(3)
}

func (b *Bench) rankAndAgentRestart() error {
	if err := b.inSwitch(); err != nil {
		return err
	}
	b.Group.Restart(2)
	b.RestartAgent(2)
	return b.advance(3)
}

func (b *Bench) agentRestart() error {
	if err := b.inSwitch(); err != nil {
		return err
	}
	for r := range benchRanks {
		b.RestartAgent(r)
	}
	return b.advance(3)
}

func (b *Bench) lostRelays() error {
	b.relays.Store(0)
	return b.advance(3)
}

func (b *Bench) stalledRank() error {
	b.Group.Stall(3, 300*time.Millisecond)
	return b.advance(3)
}

func (b *Bench) slowLoad() error {
	b.Group.SetLoadDelay(3, 500*time.Millisecond)
	return b.advance(2)
}
