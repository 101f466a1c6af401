package rankgroup

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/expertmap"
	"github.com/wasabinotch/wasabinotch/store"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Parameters of a Bench. Intervals are far shorter than in production, so that a
// run of a few seconds covers many switches.
const (
	benchRanks        = 8
	benchLayers       = 2
	benchExperts      = 16
	benchSlots        = 3
	benchStepTime     = 2 * time.Millisecond
	benchPlanInterval = 150 * time.Millisecond
	benchPollInterval = 10 * time.Millisecond
	benchRestartTime  = 100 * time.Millisecond
	benchLoadDelay    = 20 * time.Millisecond
	benchExpertBytes  = 256 << 10 // bytes
	benchWeightRate   = 256e6     // bytes/s
	// TakeoverDelay is the time from the exit of the coordinating entry until
	// another entry starts to coordinate. It is shorter than
	// expertmap.EntryTimeout to keep runs short.
	TakeoverDelay = 2 * time.Second
)

// Bench runs a group with its agents, a store and up to two coordinators in one
// process. Their calls are function calls that can be made to fail.
type Bench struct {
	Group      *Group
	store      *memStore
	log        logr.Logger
	mu         sync.Mutex
	agents     []*expertmap.MapLoader
	stopAgents []context.CancelFunc
	entries    [2]*benchEntry
	ctx        context.Context
	cancel     context.CancelFunc
	startedAt  time.Time
	// steadyPopularity keeps the popularity of experts constant.
	steadyPopularity atomic.Bool
	done             sync.WaitGroup
	// relaysLeft is the number of maps that agents can still forward to other
	// agents; negative is unlimited.
	relaysLeft atomic.Int64
	// RefusedMaps counts the maps that agents refused.
	RefusedMaps atomic.Int64
}

// benchEntry is an entry that coordinates the group. It implements control.View
// and expertmap.RPCClient for its coordinator.
type benchEntry struct {
	bench            *Bench
	id               string
	seesNoOtherEntry atomic.Bool // its view shows no other entry, so it coordinates whatever the other does
	notReady         atomic.Bool // its view shows it as leaving
	exited           atomic.Bool
	// sendsLeft is the number of maps that the entry can still send before it
	// exits; negative is unlimited.
	sendsLeft atomic.Int64
	// sendGate blocks sends until it is closed; nil blocks none.
	gateMu       sync.Mutex
	sendGate     chan struct{}
	blockedSends atomic.Int64
}

// NewBench starts a group and its agents, but no coordinator. Rank 0 is slower by
// a factor of 1.2, and ignores fencing tokens if ignoreFencing is set.
func NewBench(ignoreFencing bool, log logr.Logger) (*Bench, error) {
	b := &Bench{store: newMemStore(), log: log}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.startedAt = time.Now()
	group, err := NewGroup(GroupConfig{
		Ranks: benchRanks, WeightRate: benchWeightRate,
		Options:    func(rank int) EngineOptions { return benchOptions(rank, ignoreFencing) },
		Popularity: b.popularity,
	})
	if err != nil {
		return nil, err
	}
	b.Group = group
	b.relaysLeft.Store(-1)
	b.stopAgents = make([]context.CancelFunc, benchRanks)
	b.agents = make([]*expertmap.MapLoader, benchRanks)
	for r := range benchRanks {
		b.RestartAgent(r)
	}
	b.done.Go(func() { group.Run(b.ctx) })
	for i := range b.entries {
		b.entries[i] = &benchEntry{bench: b, id: fmt.Sprintf("entry-%d", i)}
		b.entries[i].sendsLeft.Store(-1)
	}
	return b, nil
}

func (b *Bench) popularity(layer int) []float64 {
	if b.steadyPopularity.Load() {
		return rotatingPopularity(layer, 0)
	}
	return rotatingPopularity(layer, time.Since(b.startedAt))
}

// skew returns the skew of the recorded map under the current popularity.
func (b *Bench) skew() (float64, error) {
	m, _, err := b.recordedMap()
	if err != nil {
		return 0, err
	}
	speeds := ones(benchRanks)
	speeds[0] = benchOptions(0, false).Speed
	var loads [][]float64
	for l := range m.Layers {
		loads = append(loads, b.popularity(l))
	}
	return expertmap.Skew(m, loads, speeds), nil
}

// recordedMap returns the map in the store.
func (b *Bench) recordedMap() (*expertmap.Map, expertmap.PackedMap, error) {
	e, err := b.store.Get(b.ctx, store.PrefixGroups+"bench")
	if err != nil {
		return nil, expertmap.PackedMap{}, err
	}
	return expertmap.Unpack(e.Value)
}

func benchOptions(rank int, ignoreFencing bool) EngineOptions {
	o := EngineOptions{StepTime: benchStepTime, RestartTime: benchRestartTime, LoadDelay: benchLoadDelay, ExpertBytes: benchExpertBytes, Speed: 1}
	if rank == 0 {
		o.IgnoreFencing, o.Speed = ignoreFencing, 1/1.2
	}
	return o
}

// rotatingPopularity returns the popularity of each expert at a time. Its peak
// moves over all experts once in 2 s.
func rotatingPopularity(layer int, at time.Duration) []float64 {
	out := make([]float64, benchExperts)
	for e := range out {
		phase := float64(e+layer)/benchExperts - at.Seconds()/2
		out[e] = math.Exp(math.Sin(2 * math.Pi * phase))
	}
	return out
}

// RestartAgent replaces the agent of a rank with a new one that has no state.
func (b *Bench) RestartAgent(rank int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopAgents[rank] != nil {
		b.stopAgents[rank]()
	}
	ctx, stop := context.WithCancel(b.ctx)
	a := expertmap.NewMapLoader(expertmap.MapLoaderConfig{Group: "bench", Rank: rank, Endpoint: b.Group.Address(rank), Pool: b, Log: b.log})
	b.agents[rank], b.stopAgents[rank] = a, stop
	b.done.Go(func() { _ = a.Run(ctx) }) // returns nil
}

// StartEntry starts the coordinator of entry i.
func (b *Bench) StartEntry(i int) {
	e := b.entries[i]
	c := expertmap.NewCoordinator(expertmap.CoordinatorConfig{
		View: e, Store: b.store, Pool: e, Log: b.log.WithName(e.id),
		PlanInterval: benchPlanInterval, PollInterval: benchPollInterval, SettledPollInterval: benchPollInterval, MinSaving: -1,
	})
	b.done.Go(func() {
		ctx, stop := context.WithCancel(b.ctx)
		defer stop()
		go e.stopOnExit(ctx, stop)
		_ = c.Run(ctx) // returns nil
	})
}

// stopOnExit calls stop when the entry exits or ctx ends.
func (e *benchEntry) stopOnExit(ctx context.Context, stop context.CancelFunc) {
	for ctx.Err() == nil && !e.exited.Load() {
		_ = sleep(ctx, time.Millisecond)
	}
	stop()
}

// Close stops the coordinators, the agents and the group.
func (b *Bench) Close() {
	b.cancel()
	for _, e := range b.entries {
		if e != nil {
			e.unblockSends()
		}
	}
	b.done.Wait()
	b.Group.Close()
}

// Snapshot implements control.View.
func (e *benchEntry) Snapshot() *control.Snapshot {
	now := time.Now()
	state := wire.StateReady
	if e.notReady.Load() {
		state = wire.StateLeaving
	}
	snap := &control.Snapshot{
		Self: wire.Node{ID: e.id, State: state}, ConfirmedAt: now,
		Bundle: &bundle.Bundle{Groups: []bundle.Group{{
			Name: "bench", Ranks: benchRanks, Layers: benchLayers, Experts: benchExperts,
			SlotsPerRank: benchSlots, ExpertBytes: benchExpertBytes,
		}}},
		AgentByID: make(map[string]*control.Endpoint),
	}
	if !e.seesNoOtherEntry.Load() {
		for _, other := range e.bench.entries {
			snap.Entries = append(snap.Entries, control.Entry{Node: wire.Node{ID: other.id, State: wire.StateReady}, LastSeen: now})
		}
	}
	for r := range benchRanks {
		id := fmt.Sprintf("agent-%d", r)
		n := wire.Node{ID: id, RPCAddr: fmt.Sprint(r), Group: "bench", Rank: r, State: wire.StateReady}
		snap.AgentByID[id] = &control.Endpoint{Node: n, LastSeen: now}
	}
	return snap
}

var (
	errEntryExited = errors.New("entry has exited")
	errMessageLost = errors.New("message lost")
)

// Call implements expertmap.RPCClient for calls from the coordinator to agents.
func (e *benchEntry) Call(ctx context.Context, addr, _ string, args, reply any) error {
	if e.exited.Load() {
		return errEntryExited
	}
	a := args.(wire.MapArgs)
	if len(a.Content) > 0 {
		if err := e.applySendFaults(); err != nil {
			return err
		}
		// A message that was sent is delivered even if the coordinator has given up.
		ctx = context.WithoutCancel(ctx)
	}
	return e.bench.deliver(ctx, addr, a, reply)
}

// Call implements expertmap.RPCClient for calls between agents. The address is
// the rank.
func (b *Bench) Call(ctx context.Context, addr, _ string, args, reply any) error {
	for {
		left := b.relaysLeft.Load()
		if left == 0 {
			return errMessageLost
		}
		if left < 0 || b.relaysLeft.CompareAndSwap(left, left-1) {
			return b.deliver(ctx, addr, args.(wire.MapArgs), reply)
		}
	}
}

// deliver passes a message to the agent of the rank in addr.
func (b *Bench) deliver(ctx context.Context, addr string, args wire.MapArgs, reply any) error {
	var rank int
	if _, err := fmt.Sscan(addr, &rank); err != nil {
		return err
	}
	b.mu.Lock()
	agent := b.agents[rank]
	b.mu.Unlock()
	r, err := agent.Handle(ctx, args)
	if err != nil {
		return err
	}
	if r.Refused {
		b.RefusedMaps.Add(1)
	}
	*reply.(*wire.MapReply) = r
	return nil
}

// applySendFaults makes the entry exit if it has no sends left, and waits while
// sends are blocked.
func (e *benchEntry) applySendFaults() error {
	if left := e.sendsLeft.Load(); left >= 0 {
		if left = e.sendsLeft.Add(-1); left < 0 {
			e.exited.Store(true)
			return errEntryExited
		}
	}
	e.gateMu.Lock()
	gate := e.sendGate
	e.gateMu.Unlock()
	if gate != nil {
		e.blockedSends.Add(1)
		<-gate
	}
	return nil
}

func (e *benchEntry) blockSends() {
	e.gateMu.Lock()
	defer e.gateMu.Unlock()
	e.sendGate = make(chan struct{})
}

func (e *benchEntry) unblockSends() {
	e.gateMu.Lock()
	defer e.gateMu.Unlock()
	if e.sendGate != nil {
		close(e.sendGate)
		e.sendGate = nil
	}
}
