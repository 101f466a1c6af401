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

// Fault is a named sequence of faults during map switches.
type Fault struct {
	Name string
	// IgnoreFencing makes rank 0 ignore fencing tokens.
	IgnoreFencing bool
	// MustNotStall is set if the group must not stall under the fault, because no
	// rank restarts or stalls in it.
	MustNotStall bool
	run          func(b *Bench) error
}

// Faults are the faults that the tests run. Each starts on a group that switches
// maps regularly, coordinated by entry 0.
var Faults = []Fault{
	{Name: "none", MustNotStall: true, run: func(b *Bench) error { return b.awaitMaps(4) }},
	{Name: "coordinator dies between record and sending", MustNotStall: true, run: func(b *Bench) error { return b.coordinatorExits(0, 0) }},
	{Name: "coordinator dies after sending to half of the ranks", MustNotStall: true, run: func(b *Bench) error { return b.coordinatorExits(1, benchRanks/2-1) }},
	{Name: "paused old coordinator wakes and resends", MustNotStall: true, run: (*Bench).pausedCoordinator},
	{Name: "paused old coordinator wakes, agents restarted", MustNotStall: true, run: (*Bench).pausedAndAgentsRestarted},
	{Name: "store down", run: (*Bench).storeDown},
	{Name: "lost answers of compare-and-swap", MustNotStall: true, run: (*Bench).lostReplies},
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

// FaultResult is the result of running a fault.
type FaultResult struct {
	CheckResult
	// Recorded is the number of maps written to the store, Refused that of maps
	// refused by agents.
	Recorded int
	Refused  int64
}

// Run runs the fault on a new Bench, after the group has switched maps at least
// twice. StallTime and LongestOtherGap count from the start of the fault.
func (f Fault) Run(log logr.Logger) (FaultResult, error) {
	b, err := NewBench(f.IgnoreFencing, log)
	if err != nil {
		return FaultResult{}, err
	}
	defer b.Close()
	b.entries[0].seesNoOtherEntry.Store(true)
	b.entries[1].seesNoOtherEntry.Store(true)
	b.StartEntry(0)
	if err := b.awaitMaps(2); err != nil {
		return FaultResult{}, err
	}
	began := time.Now()
	if err := f.run(b); err != nil {
		return FaultResult{}, fmt.Errorf("%s: %w", f.Name, err)
	}
	return FaultResult{CheckResult: b.Group.Checker.Result(began), Recorded: b.recordCount(), Refused: b.RefusedMaps.Load()}, nil
}

// Report writes the result as one line.
func (r FaultResult) Report(w io.Writer, name string) {
	_, _ = fmt.Fprintf(w, "%-52s steps %5d mixed %d back %d maps %2d refused %2d stood still %4d ms; longest other gap %3d ms\n",
		name, r.Steps, len(r.MixedSteps), r.BackwardSteps, r.Recorded, r.Refused, r.StallTime.Milliseconds(), r.LongestOtherGap.Milliseconds())
}

// RunFaults runs Faults and, for comparison, NamedFaults, and writes a line for
// each.
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

// recordCount returns the number of maps written to the store.
func (b *Bench) recordCount() int {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	return b.store.writes
}

// waitLimit bounds the wait of waitFor for its condition.
const waitLimit = 20 * time.Second

func (b *Bench) waitFor(what string, cond func() bool) error {
	end := time.Now().Add(waitLimit)
	for !cond() {
		if time.Now().After(end) {
			return fmt.Errorf("%s did not happen within %v", what, waitLimit)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (b *Bench) latestMap() uint64 {
	return b.Group.Checker.Result(time.Now()).LatestMap
}

// awaitMaps waits until the group uses a map whose number is higher by at least n.
func (b *Bench) awaitMaps(n uint64) error {
	want := b.latestMap() + n
	return b.waitFor(fmt.Sprintf("use of map %d", want), func() bool { return b.latestMap() >= want })
}

// awaitSwitch waits until a new map is written to the store. The group does not use
// it yet.
func (b *Bench) awaitSwitch() error {
	before := b.recordCount()
	return b.waitFor("a new record", func() bool { return b.recordCount() > before })
}

// coordinatorExits makes entry 0 exit after it has sent a map to the given number
// of agents, which can relay it only to the given number of others. Entry 1
// replaces it after TakeoverDelay.
func (b *Bench) coordinatorExits(sends, relays int64) error {
	if err := b.awaitSwitch(); err != nil {
		return err
	}
	if err := b.awaitMaps(1); err != nil {
		return err
	}
	b.relaysLeft.Store(relays)
	b.entries[0].sendsLeft.Store(sends)
	if err := b.waitFor("exit of the coordinator", b.entries[0].exited.Load); err != nil {
		return err
	}
	time.Sleep(TakeoverDelay)
	b.relaysLeft.Store(-1)
	b.StartEntry(1)
	return b.awaitMaps(3)
}

// pausedCoordinator blocks the sends of entry 0 while entry 1 coordinates, and
// then lets entry 0 send its old map.
func (b *Bench) pausedCoordinator() error {
	b.entries[0].blockSends()
	if err := b.waitFor("a blocked send", func() bool { return b.entries[0].blockedSends.Load() > 0 }); err != nil {
		return err
	}
	b.StartEntry(1)
	if err := b.awaitMaps(3); err != nil {
		return err
	}
	b.entries[0].unblockSends()
	return b.awaitMaps(3)
}

// pausedAndAgentsRestarted is pausedCoordinator with a restart of all agents, which
// lose their state, before entry 0 sends its old map.
func (b *Bench) pausedAndAgentsRestarted() error {
	b.entries[0].blockSends()
	if err := b.waitFor("a blocked send", func() bool { return b.entries[0].blockedSends.Load() > 0 }); err != nil {
		return err
	}
	b.StartEntry(1)
	if err := b.awaitMaps(3); err != nil {
		return err
	}
	for r := range benchRanks {
		b.RestartAgent(r)
	}
	b.entries[0].unblockSends()
	return b.awaitMaps(3)
}

func (b *Bench) storeDown() error {
	b.store.setDown(true)
	time.Sleep(time.Second)
	b.Group.Restart(1) // the rank must recover without the store
	time.Sleep(time.Second)
	b.store.setDown(false)
	return b.awaitMaps(2)
}

func (b *Bench) lostReplies() error {
	b.store.loseReplies(4)
	return b.awaitMaps(5)
}

func (b *Bench) twoCoordinators() error {
	b.StartEntry(1)
	return b.awaitMaps(8)
}

// stalePost sends an old map directly to rank 0, bypassing its agent.
func (b *Bench) stalePost() error {
	m, p, err := b.recordedMap()
	if err != nil {
		return err
	}
	if err := b.awaitMaps(3); err != nil {
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
		return fmt.Errorf("rank responded %s to an old map", res.Status)
	}
	return b.awaitMaps(3)
}

func (b *Bench) rankRestart() error {
	if err := b.awaitSwitch(); err != nil {
		return err
	}
	b.Group.Restart(2)
	return b.awaitMaps(3)
}

func (b *Bench) rankAndAgentRestart() error {
	if err := b.awaitSwitch(); err != nil {
		return err
	}
	b.Group.Restart(2)
	b.RestartAgent(2)
	return b.awaitMaps(3)
}

func (b *Bench) agentRestart() error {
	if err := b.awaitSwitch(); err != nil {
		return err
	}
	for r := range benchRanks {
		b.RestartAgent(r)
	}
	return b.awaitMaps(3)
}

func (b *Bench) lostRelays() error {
	b.relaysLeft.Store(0)
	return b.awaitMaps(3)
}

func (b *Bench) stalledRank() error {
	b.Group.Stall(3, 300*time.Millisecond)
	return b.awaitMaps(3)
}

func (b *Bench) slowLoad() error {
	b.Group.SetLoadDelay(3, 500*time.Millisecond)
	return b.awaitMaps(2)
}
