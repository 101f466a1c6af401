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

// groupCoordinator coordinates one group. It is used by one goroutine at a time.
type groupCoordinator struct {
	cfg   *CoordinatorConfig
	group bundle.Group
	log   logr.Logger

	record    RecordCache
	current   *Map // decoded record
	revision  uint64
	estimator *Estimator
	nodes     []wire.Node
	settled   bool
	wait      time.Duration // until the next poll during a switch
	sentAt    time.Time     // when the recorded map was first sent; zero if not yet
	polledAt  time.Time
	plannedAt time.Time
}

// tick does one round: read the record, create it if there is none, poll the
// ranks, send the recorded map to ranks that lack it, and plan when due.
func (g *groupCoordinator) tick(ctx context.Context, snap *control.Snapshot) {
	if !g.record.Fresh() && !g.read(ctx) && g.current == nil {
		return
	}
	if g.current == nil {
		g.createFirst(ctx, snap)
		return
	}
	if !g.fits() {
		g.reshape(ctx)
		return
	}
	nodes, complete := agents(g.group.Name, g.group.Ranks, snap)
	now := g.cfg.Clock.Now()
	due := now.Sub(g.plannedAt) >= g.cfg.PlanInterval
	if sameNodes(nodes, g.nodes) && !(g.settled && due) && now.Sub(g.polledAt) < g.pollWait() {
		return
	}
	g.nodes, g.polledAt = nodes, now
	loads := g.settled && due
	replies := g.poll(ctx, nodes, loads)
	g.settled = complete && g.record.InUseByAll(replies)
	g.wait = min(2*g.wait, maxBackoff*g.cfg.PollInterval)
	g.send(ctx, snap, replies)
	if !g.settled || !loads || !g.record.Fresh() {
		return
	}
	g.plannedAt = now
	if !g.observe(replies) {
		// Ranks may still report loads of the map before; ask again soon.
		g.plannedAt = now.Add(-g.cfg.PlanInterval + g.cfg.PlanInterval/4)
		return
	}
	g.plan(ctx, replies)
}

func (g *groupCoordinator) pollWait() time.Duration {
	if g.settled {
		return g.cfg.SettledPollInterval
	}
	return g.wait
}

// beginSwitch polls soon and sends the recorded map again.
func (g *groupCoordinator) beginSwitch() {
	g.settled = false
	g.wait = g.cfg.PollInterval
	g.polledAt = time.Time{}
	g.sentAt = time.Time{}
}

func sameNodes(a, b []wire.Node) bool {
	return slices.EqualFunc(a, b, func(x, y wire.Node) bool {
		return x.ID == y.ID && x.Incarnation == y.Incarnation
	})
}

func (g *groupCoordinator) key() string { return store.PrefixGroups + g.group.Name }

// read takes the record from the store. It returns false on an error.
func (g *groupCoordinator) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := g.cfg.Store.Get(ctx, g.key())
	if err != nil {
		g.log.V(1).Info("cannot read the record", "reason", err.Error())
		return false
	}
	if e.Revision == 0 {
		g.record.Update(PackedMap{}, 0)
		g.current = nil
		return true
	}
	if e.Revision == g.revision && g.current != nil {
		g.record.Update(g.record.packed, e.Revision)
		return true
	}
	m, p, err := Unpack(e.Value)
	if err != nil {
		g.log.Error(err, "the record is not a valid map; delete the store key to start again", "key", g.key())
		return false
	}
	g.record.Update(p, e.Revision)
	if p.Number < g.record.packed.Number {
		return true // a stale read
	}
	g.current, g.revision = m, e.Revision
	g.beginSwitch()
	g.log.Info("read the record", "map", p.Number, "digest", p.Digest)
	return true
}

// createFirst records the first map of a group, spread evenly. If ranks have
// seen maps of a record that is gone, its number is above theirs, since a
// number must not name two contents.
func (g *groupCoordinator) createFirst(ctx context.Context, snap *control.Snapshot) {
	nodes, _ := agents(g.group.Name, g.group.Ranks, snap)
	highest := uint64(0)
	for _, reply := range g.poll(ctx, nodes, false) {
		highest = max(highest, reply.Highest)
	}
	if !g.record.Fresh() && (!g.read(ctx) || g.current != nil) {
		return
	}
	m, err := NewEvenMap(g.group.Name, g.group.Ranks, g.group.Layers, g.group.Experts, g.group.SlotsPerRank)
	if err != nil {
		g.log.Error(err, "cannot create the first map")
		return
	}
	m.Number = highest + 1
	g.log.Info("record the first map", "map", m.Number)
	g.write(ctx, m)
}

// fits reports whether the recorded map has the shape that the bundle names.
func (g *groupCoordinator) fits() bool {
	m := g.current
	return m.Group == g.group.Name && m.Ranks == g.group.Ranks && len(m.Layers) == g.group.Layers &&
		m.Experts == g.group.Experts && m.Slots == g.group.SlotsPerRank
}

// reshape records an evenly spread map after the bundle changed the shape of
// the group.
func (g *groupCoordinator) reshape(ctx context.Context) {
	m, err := NewEvenMap(g.group.Name, g.group.Ranks, g.group.Layers, g.group.Experts, g.group.SlotsPerRank)
	if err != nil {
		g.log.Error(err, "cannot create a map of the new shape")
		return
	}
	m.Number = g.current.Number + 1
	g.log.Info("the shape of the group has changed", "map", m.Number)
	g.write(ctx, m)
}

// write records a map by compare-and-swap and reads the record back, whatever
// the outcome was.
func (g *groupCoordinator) write(ctx context.Context, m *Map) {
	p, err := Pack(m)
	if err != nil {
		g.log.Error(err, "cannot pack a map")
		return
	}
	revision, ok := g.record.BeginWrite(p)
	if !ok || !g.confirmed() {
		return
	}
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = g.cfg.Store.CompareAndSwap(cctx, g.key(), p.Bytes, revision)
	switch {
	case err == nil:
		g.log.Info("recorded a map", "map", p.Number, "digest", p.Digest, "bytes", len(p.Bytes))
	case errors.Is(err, store.ErrConflict):
		g.log.Info("another entry recorded a map", "map", p.Number)
	default:
		g.log.Info("recording a map failed or is unknown", "map", p.Number, "reason", err.Error())
	}
	g.read(ctx)
}

// confirmed reports whether the view is still confirmed.
func (g *groupCoordinator) confirmed() bool {
	return g.cfg.View.Snapshot().Confirmed(g.cfg.Clock.Now())
}

// poll asks all agents for the state of their ranks.
func (g *groupCoordinator) poll(ctx context.Context, nodes []wire.Node, loads bool) []wire.MapReply {
	replies := make([]wire.MapReply, len(nodes))
	args := wire.MapArgs{Group: g.group.Name, WantLoads: loads} // no From, to keep polls small
	var eg errgroup.Group
	eg.SetLimit(parallelCalls)
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
	_ = eg.Wait() // failed calls yield NotReady
	for _, reply := range replies {
		if reply.Highest > g.record.packed.Number {
			g.record.Invalidate() // another entry has recorded a newer map
		}
	}
	return replies
}

// relayPolls is the time, in units of Poll, after which a map that was sent
// through relays is sent directly: a relay may have failed.
const relayPolls = 2

// send gives the recorded map to the ranks that lack it, first through relays.
func (g *groupCoordinator) send(ctx context.Context, snap *control.Snapshot, replies []wire.MapReply) {
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
		g.log.Info("send the map", "map", p.Number, "ranks", len(addrs))
		g.sentAt = now
		relay(ctx, g.cfg.Pool, coordinatorFanOut, addrs, args, g.log)
		return
	}
	if now.Sub(g.sentAt) < relayPolls*g.cfg.PollInterval {
		return
	}
	g.log.Info("send the map again", "map", p.Number, "agents", addrs)
	relayEach(ctx, g.cfg.Pool, addrs, args, g.log)
}

// plan records a better map if there is one. The record is read first, because
// another entry may have written since.
func (g *groupCoordinator) plan(ctx context.Context, replies []wire.MapReply) {
	number := g.current.Number
	g.record.Invalidate()
	if !g.read(ctx) || g.current == nil || g.current.Number != number {
		return
	}
	stepTime := g.stepTime(replies)
	res, err := Plan(PlanInput{
		Current: g.current, Loads: g.estimator.Loads(), Speeds: g.estimator.Speeds(),
		Cost: CostModel{ExpertBytes: g.group.ExpertBytes, StoreRate: g.cfg.StoreRate, StepTime: stepTime, Horizon: g.cfg.Horizon.Seconds()},
	})
	if err != nil {
		g.log.Error(err, "cannot plan")
		return
	}
	if res.StepTimeAfter > res.StepTimeBefore*(1-g.cfg.MinSaving) {
		g.log.Info("keep the map", "map", number, "step_s", res.StepTimeBefore, "planned_step_s", res.StepTimeAfter)
		return
	}
	g.log.Info("planned a map", "map", res.Map.Number, "step_s", res.StepTimeBefore, "planned_step_s", res.StepTimeAfter, "moves", len(res.Moves), "bytes", res.LoadBytes)
	g.write(ctx, res.Map)
}

// stepTime is the longest work time of a rank, in seconds.
func (g *groupCoordinator) stepTime(replies []wire.MapReply) float64 {
	longest := 0.001 // engines that report no time
	for _, reply := range replies {
		longest = max(longest, reply.StepMS/1000)
	}
	return longest
}
