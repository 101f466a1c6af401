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

// Parameters of the fault bench. Intervals are far shorter than in service, so
// that a run of seconds sees many switches.
const (
	benchRanks     = 8
	benchLayers    = 2
	benchExperts   = 16
	benchSlots     = 3
	benchStep      = 2 * time.Millisecond
	benchInterval  = 150 * time.Millisecond
	benchPoll      = 10 * time.Millisecond
	benchRestart   = 100 * time.Millisecond
	benchLoadDelay = 20 * time.Millisecond
	benchExpert    = 256 << 10 // bytes
	benchRate      = 256e6     // bytes/s
	// TakeoverDelay is the time after which another entry coordinates when one has
	// died. It is shorter than expertmap.EntryLive to keep runs short.
	TakeoverDelay = 2 * time.Second
)

// Bench runs a group with agents, a store and two coordinators in one process,
// connected by calls that can be made to fail.
type Bench struct {
	Group  *Group
	store  *memStore
	log    logr.Logger
	mu     sync.Mutex
	agents []*expertmap.MapLoader
	stops  []context.CancelFunc
	entry  [2]*benchEntry
	ctx    context.Context
	cancel context.CancelFunc
	start  time.Time
	// steady stops the drift of popularity.
	steady atomic.Bool
	done   sync.WaitGroup
	// relays limits the number of maps that agents can still pass on; negative
	// is unlimited.
	relays atomic.Int64
	// RefusedMaps counts maps that agents refused.
	RefusedMaps atomic.Int64
}

// benchEntry is one entry with its coordinator.
type benchEntry struct {
	bench *Bench
	id    string
	alone atomic.Bool // sees no other entry
	idle  atomic.Bool // does not see itself as ready
	dead  atomic.Bool
	// sends limits the number of maps that can still be sent before the entry
	// dies; negative is unlimited.
	sends atomic.Int64
	// paused blocks sends while it is not nil.
	pauseMu sync.Mutex
	paused  chan struct{}
	blocked atomic.Int64
}

// NewBench starts a group and its agents; rank 0 ignores fencing tokens if
// ignoreFencing is set, and works 1.2 times slower.
func NewBench(ignoreFencing bool, log logr.Logger) (*Bench, error) {
	b := &Bench{store: newMemStore(), log: log}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.start = time.Now()
	group, err := NewGroup(GroupConfig{
		Ranks: benchRanks, WeightRate: benchRate,
		Options:    func(rank int) EngineOptions { return benchOptions(rank, ignoreFencing) },
		Popularity: b.popularity,
	})
	if err != nil {
		return nil, err
	}
	b.Group = group
	b.relays.Store(-1)
	b.stops = make([]context.CancelFunc, benchRanks)
	b.agents = make([]*expertmap.MapLoader, benchRanks)
	for r := range benchRanks {
		b.RestartAgent(r)
	}
	b.done.Go(func() { group.Run(b.ctx) })
	for i := range b.entry {
		b.entry[i] = &benchEntry{bench: b, id: fmt.Sprintf("entry-%d", i)}
		b.entry[i].sends.Store(-1)
	}
	return b, nil
}

func (b *Bench) popularity(layer int) []float64 {
	if b.steady.Load() {
		return wave(layer, 0)
	}
	return wave(layer, time.Since(b.start))
}

// skew returns the skew of the recorded map under the present popularity.
func (b *Bench) skew() (float64, error) {
	m, _, err := b.record()
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

// record returns the recorded map.
func (b *Bench) record() (*expertmap.Map, expertmap.PackedMap, error) {
	e, err := b.store.Get(b.ctx, store.PrefixGroups+"bench")
	if err != nil {
		return nil, expertmap.PackedMap{}, err
	}
	return expertmap.Unpack(e.Value)
}

func benchOptions(rank int, ignoreFencing bool) EngineOptions {
	o := EngineOptions{StepTime: benchStep, RestartTime: benchRestart, LoadDelay: benchLoadDelay, ExpertBytes: benchExpert, Speed: 1}
	if rank == 0 {
		o.IgnoreFencing, o.Speed = ignoreFencing, 1/1.2
	}
	return o
}

// wave is a popularity that rotates over the experts once in 2 s.
func wave(layer int, at time.Duration) []float64 {
	out := make([]float64, benchExperts)
	for e := range out {
		phase := float64(e+layer)/benchExperts - at.Seconds()/2
		out[e] = math.Exp(math.Sin(2 * math.Pi * phase))
	}
	return out
}

// RestartAgent replaces the agent of a rank by one that remembers nothing.
func (b *Bench) RestartAgent(rank int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stops[rank] != nil {
		b.stops[rank]()
	}
	ctx, stop := context.WithCancel(b.ctx)
	a := expertmap.NewMapLoader(expertmap.MapLoaderConfig{Group: "bench", Rank: rank, Endpoint: b.Group.Address(rank), Pool: b, Log: b.log})
	b.agents[rank], b.stops[rank] = a, stop
	b.done.Go(func() { _ = a.Run(ctx) }) // returns nil
}

// StartEntry starts the coordinator of an entry.
func (b *Bench) StartEntry(i int) {
	e := b.entry[i]
	c := expertmap.NewCoordinator(expertmap.CoordinatorConfig{
		View: e, Store: b.store, Pool: e, Log: b.log.WithName(e.id),
		PlanInterval: benchInterval, PollInterval: benchPoll, SettledPollInterval: benchPoll, MinSaving: -1,
	})
	b.done.Go(func() {
		ctx, stop := context.WithCancel(b.ctx)
		defer stop()
		go e.watchDeath(ctx, stop)
		_ = c.Run(ctx) // returns nil
	})
}

func (e *benchEntry) watchDeath(ctx context.Context, stop context.CancelFunc) {
	for ctx.Err() == nil && !e.dead.Load() {
		_ = sleep(ctx, time.Millisecond)
	}
	stop()
}

// Close stops everything.
func (b *Bench) Close() {
	b.cancel()
	for _, e := range b.entry {
		if e != nil {
			e.resume()
		}
	}
	b.done.Wait()
	b.Group.Close()
}

// Snapshot implements control.View.
func (e *benchEntry) Snapshot() *control.Snapshot {
	now := time.Now()
	state := wire.StateReady
	if e.idle.Load() {
		state = wire.StateLeaving
	}
	snap := &control.Snapshot{
		Self: wire.Node{ID: e.id, State: state}, ConfirmedAt: now,
		Bundle: &bundle.Bundle{Groups: []bundle.Group{{
			Name: "bench", Ranks: benchRanks, Layers: benchLayers, Experts: benchExperts,
			SlotsPerRank: benchSlots, ExpertBytes: benchExpert,
		}}},
		AgentByID: make(map[string]*control.Endpoint),
	}
	if !e.alone.Load() {
		for _, other := range e.bench.entry {
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
	errDead = errors.New("the entry is dead")
	errLost = errors.New("the message is lost")
)

// Call implements expertmap.Caller.
func (e *benchEntry) Call(ctx context.Context, addr, _ string, args, reply any) error {
	if e.dead.Load() {
		return errDead
	}
	a := args.(wire.MapArgs)
	if len(a.Content) > 0 {
		if err := e.beforeSend(); err != nil {
			return err
		}
		// A call that was on its way is delivered even if the caller gave up.
		ctx = context.WithoutCancel(ctx)
	}
	return e.bench.deliver(ctx, addr, a, reply)
}

// Call implements expertmap.Caller for calls between agents; the address is
// the rank.
func (b *Bench) Call(ctx context.Context, addr, _ string, args, reply any) error {
	for {
		left := b.relays.Load()
		if left == 0 {
			return errLost
		}
		if left < 0 || b.relays.CompareAndSwap(left, left-1) {
			return b.deliver(ctx, addr, args.(wire.MapArgs), reply)
		}
	}
}

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

// beforeSend applies the faults of sending: the entry dies after a number of
// sends, or its sends are held back until it is resumed.
func (e *benchEntry) beforeSend() error {
	if left := e.sends.Load(); left >= 0 {
		if left = e.sends.Add(-1); left < 0 {
			e.dead.Store(true)
			return errDead
		}
	}
	e.pauseMu.Lock()
	paused := e.paused
	e.pauseMu.Unlock()
	if paused != nil {
		e.blocked.Add(1)
		<-paused
	}
	return nil
}

func (e *benchEntry) pause() {
	e.pauseMu.Lock()
	defer e.pauseMu.Unlock()
	e.paused = make(chan struct{})
}

func (e *benchEntry) resume() {
	e.pauseMu.Lock()
	defer e.pauseMu.Unlock()
	if e.paused != nil {
		close(e.paused)
		e.paused = nil
	}
}
