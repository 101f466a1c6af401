package expertmap

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/store"
	"github.com/wasabinotch/wasabinotch/wire"
)

// groupCoordinator coordinates one group. It is not safe for concurrent use.
type groupCoordinator struct {
	cfg   *CoordinatorConfig
	group bundle.Group
	log   logr.Logger

	record       RecordCache
	current      *Map // recorded map, decoded
	revision     uint64
	estimator    *Estimator
	nodes        []wire.Node
	settled      bool
	pollInterval time.Duration // until the next poll during a switch, with backoff
	sentAt       time.Time     // when the recorded map was first sent; zero if not yet
	polledAt     time.Time
	plannedAt    time.Time
}

// tick runs one round: it reads the record if it may have changed, creates it if
// there is none, polls the ranks, sends the recorded map to ranks that lack it,
// and plans a new map when due.
func (g *groupCoordinator) tick(ctx context.Context, snap *control.Snapshot) {
	if !g.record.Fresh() && !g.readRecord(ctx) && g.current == nil {
		return
	}
	if g.current == nil {
		g.recordFirstMap(ctx, snap)
		return
	}
	if !g.shapeMatches() {
		g.recordNewShape(ctx)
		return
	}
	nodes, complete := newestAgents(g.group.Name, g.group.Ranks, snap)
	now := g.cfg.Clock.Now()
	due := now.Sub(g.plannedAt) >= g.cfg.PlanInterval
	if sameNodes(nodes, g.nodes) && !(g.settled && due) && now.Sub(g.polledAt) < g.nextPollInterval() {
		return
	}
	g.nodes, g.polledAt = nodes, now
	wantLoads := g.settled && due
	replies := g.pollRanks(ctx, nodes, wantLoads)
	g.settled = complete && g.record.InUseByAll(replies)
	g.pollInterval = min(2*g.pollInterval, maxPollBackoff*g.cfg.PollInterval)
	g.sendMap(ctx, snap, replies)
	if !g.settled || !wantLoads || !g.record.Fresh() {
		return
	}
	g.plannedAt = now
	if !g.addReports(replies) {
		// Ranks may still report loads under the previous map; retry after a
		// quarter of the interval.
		g.plannedAt = now.Add(-g.cfg.PlanInterval + g.cfg.PlanInterval/4)
		return
	}
	g.planMap(ctx, replies)
}

// nextPollInterval returns the time between the last poll and the next one.
func (g *groupCoordinator) nextPollInterval() time.Duration {
	if g.settled {
		return g.cfg.SettledPollInterval
	}
	return g.pollInterval
}

// beginSwitch resets the poll times so that the next tick polls the ranks and sends
// the recorded map.
func (g *groupCoordinator) beginSwitch() {
	g.settled = false
	g.pollInterval = g.cfg.PollInterval
	g.polledAt = time.Time{}
	g.sentAt = time.Time{}
}

// sameNodes reports whether both lists have the same nodes in the same incarnations.
func sameNodes(a, b []wire.Node) bool {
	return slices.EqualFunc(a, b, func(x, y wire.Node) bool {
		return x.ID == y.ID && x.Incarnation == y.Incarnation
	})
}

func (g *groupCoordinator) storeKey() string { return store.PrefixGroups + g.group.Name }

// readRecord reads the record from the store. It returns false if the store cannot
// be read or the record is invalid.
func (g *groupCoordinator) readRecord(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, err := g.cfg.Store.Get(ctx, g.storeKey())
	if err != nil {
		g.log.V(1).Info("Cannot read the group record from the store.", "reason", err.Error())
		return false
	}
	if kv.Revision == 0 {
		g.record.Update(PackedMap{}, 0)
		g.current = nil
		return true
	}
	if kv.Revision == g.revision && g.current != nil {
		g.record.Update(g.record.packed, kv.Revision)
		return true
	}
	m, p, err := Unpack(kv.Value)
	if err != nil {
		g.log.Error(err, "The group record is not a valid map. Delete the store key to have a new one created.", "key", g.storeKey())
		return false
	}
	g.record.Update(p, kv.Revision)
	if p.Number < g.record.packed.Number {
		return true // the store returned an older record than before
	}
	g.current, g.revision = m, kv.Revision
	g.beginSwitch()
	g.log.Info("Read a new map from the store.", "map", p.Number, "digest", p.Digest)
	return true
}

// recordFirstMap records an evenly spread map for a group without a record. If the
// record was lost and ranks have seen earlier maps, the new number is above
// theirs, since one number must not identify two contents.
func (g *groupCoordinator) recordFirstMap(ctx context.Context, snap *control.Snapshot) {
	nodes, _ := newestAgents(g.group.Name, g.group.Ranks, snap)
	highest := uint64(0)
	for _, reply := range g.pollRanks(ctx, nodes, false) {
		highest = max(highest, reply.Highest)
	}
	if !g.record.Fresh() && (!g.readRecord(ctx) || g.current != nil) {
		return
	}
	m, err := NewEvenMap(g.group.Name, g.group.Ranks, g.group.Layers, g.group.Experts, g.group.SlotsPerRank)
	if err != nil {
		g.log.Error(err, "Cannot create the first map.")
		return
	}
	m.Number = highest + 1
	g.log.Info("Recording the first map.", "map", m.Number)
	g.recordMap(ctx, m)
}

// shapeMatches reports whether the recorded map has the dimensions of the group in
// the bundle.
func (g *groupCoordinator) shapeMatches() bool {
	m := g.current
	return m.Group == g.group.Name && m.Ranks == g.group.Ranks && len(m.Layers) == g.group.Layers &&
		m.Experts == g.group.Experts && m.Slots == g.group.SlotsPerRank
}

// recordNewShape records an evenly spread map after the bundle changed the
// dimensions of the group.
func (g *groupCoordinator) recordNewShape(ctx context.Context) {
	m, err := NewEvenMap(g.group.Name, g.group.Ranks, g.group.Layers, g.group.Experts, g.group.SlotsPerRank)
	if err != nil {
		g.log.Error(err, "Cannot create a map of the new dimensions.")
		return
	}
	m.Number = g.current.Number + 1
	g.log.Info("The bundle changed the dimensions of the group. Recording an evenly spread map.", "map", m.Number)
	g.recordMap(ctx, m)
}

// recordMap writes a map to the store by compare-and-swap. It reads the record
// back whatever the outcome, because a failed write may have taken effect.
func (g *groupCoordinator) recordMap(ctx context.Context, m *Map) {
	p, err := Pack(m)
	if err != nil {
		g.log.Error(err, "Cannot encode a map.")
		return
	}
	revision, ok := g.record.BeginWrite(p)
	if !ok || !g.confirmed() {
		return
	}
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = g.cfg.Store.CompareAndSwap(cctx, g.storeKey(), p.Bytes, revision)
	switch {
	case err == nil:
		g.log.Info("Recorded a map.", "map", p.Number, "digest", p.Digest, "bytes", len(p.Bytes))
	case errors.Is(err, store.ErrConflict):
		g.log.Info("Another entry has changed the record. Discarding the map.", "map", p.Number)
	default:
		g.log.Info("Recording a map failed or its outcome is unknown.", "map", p.Number, "reason", err.Error())
	}
	g.readRecord(ctx)
}

// confirmed reports whether the current view is still confirmed.
func (g *groupCoordinator) confirmed() bool {
	return g.cfg.View.Snapshot().Confirmed(g.cfg.Clock.Now())
}

// pollRanks requests the state of all ranks from their agents, with loads if
// wantLoads. The reply of a rank whose agent is unknown or unreachable has NotReady
// set.
func (g *groupCoordinator) pollRanks(ctx context.Context, nodes []wire.Node, wantLoads bool) []wire.MapReply {
	replies := make([]wire.MapReply, len(nodes))
	args := wire.MapArgs{Group: g.group.Name, WantLoads: wantLoads} // without From, to keep polls small
	var eg errgroup.Group
	eg.SetLimit(maxConcurrentCalls)
	for r, n := range nodes {
		replies[r].NotReady = true
		if n.ID == "" {
			continue
		}
		eg.Go(func() error {
			replies[r] = callMap(ctx, g.cfg.Pool, n.RPCAddr, args, g.log)
			return nil
		})
	}
	_ = eg.Wait() // failed calls set NotReady
	for _, reply := range replies {
		if reply.Highest > g.record.packed.Number {
			g.record.Invalidate() // another entry has recorded a newer map
		}
	}
	return replies
}

// relayTimeoutPolls is the time after which a map that was sent through relays is
// sent directly, as a multiple of PollInterval, because a relay may have failed.
const relayTimeoutPolls = 2

// sendMap sends the recorded map to the agents of ranks that lack it: first through
// relays, after relayTimeoutPolls directly.
func (g *groupCoordinator) sendMap(ctx context.Context, snap *control.Snapshot, replies []wire.MapReply) {
	p, ok := g.record.Recorded()
	if !ok || !g.confirmed() {
		return
	}
	var addrs []string
	for r, reply := range replies {
		if g.nodes[r].ID != "" && g.record.RankNeedsMap(reply) {
			addrs = append(addrs, g.nodes[r].RPCAddr)
		}
	}
	if len(addrs) == 0 {
		return
	}
	now := g.cfg.Clock.Now()
	args := wire.MapArgs{From: wire.Node{ID: snap.Self.ID}, Group: g.group.Name, Number: p.Number, Digest: p.Digest, Content: p.Bytes}
	if g.sentAt.IsZero() {
		g.log.Info("Sending the map through relays.", "map", p.Number, "ranks", len(addrs))
		g.sentAt = now
		sendThroughRelays(ctx, g.cfg.Pool, coordinatorFanOut, addrs, args, g.log)
		return
	}
	if now.Sub(g.sentAt) < relayTimeoutPolls*g.cfg.PollInterval {
		return
	}
	g.log.Info("Sending the map directly to agents that still lack it.", "map", p.Number, "agents", addrs)
	sendDirectly(ctx, g.cfg.Pool, addrs, args, g.log)
}

// planMap plans a map and records it if it saves at least MinSaving. It reads the
// record first, because another entry may have written it since the last read.
func (g *groupCoordinator) planMap(ctx context.Context, replies []wire.MapReply) {
	number := g.current.Number
	g.record.Invalidate()
	if !g.readRecord(ctx) || g.current == nil || g.current.Number != number {
		return
	}
	stepTime := g.stepTime(replies)
	res, err := Plan(PlanInput{
		Current: g.current, Loads: g.estimator.Loads(), Speeds: g.estimator.Speeds(),
		Cost: CostModel{ExpertBytes: g.group.ExpertBytes, StoreRate: g.cfg.StoreRate, StepTime: stepTime, Horizon: g.cfg.Horizon.Seconds()},
	})
	if err != nil {
		g.log.Error(err, "Cannot plan a map.")
		return
	}
	if res.StepTimeAfter > res.StepTimeBefore*(1-g.cfg.MinSaving) {
		g.log.Info("Keeping the map, since a new one would save too little.", "map", number, "step_s", res.StepTimeBefore, "planned_step_s", res.StepTimeAfter)
		return
	}
	g.log.Info("Planned a map.", "map", res.Map.Number, "step_s", res.StepTimeBefore, "planned_step_s", res.StepTimeAfter, "moves", len(res.Moves), "bytes", res.LoadBytes)
	g.recordMap(ctx, res.Map)
}

// stepTime returns the longest time of a rank's work per step, in seconds, but at
// least 1 ms.
func (g *groupCoordinator) stepTime(replies []wire.MapReply) float64 {
	longest := 0.001 // for engines that report no time
	for _, reply := range replies {
		longest = max(longest, reply.StepMS/1000)
	}
	return longest
}
