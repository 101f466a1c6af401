// Package ranksim is a stand-in for a group of model ranks in lock-step that
// take orders as the platform's engines do. Orders may be lost, answered too
// late, or carried out seconds later. It notes a pass that begins with two maps.
package ranksim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/rankgroup"
)

const (
	// lateMin and lateMax bound the delay of an order that is carried out late.
	lateMin = 2 * time.Second
	lateMax = 12 * time.Second
)

// Group is the stand-in. Its lock protects the exported fields; the methods
// take it themselves.
type Group struct {
	sync.Mutex
	rankgroup.Dimensions
	rng *rand.Rand

	Epoch uint64
	Step  uint64
	// Idle keeps passes from beginning, as without requests.
	Idle  bool
	Ranks []*Rank
	// LossProbability, ReplyLossProbability and DelayProbability are the probabilities that an order does nothing, is
	// done without an answer, and is done seconds later without an answer.
	LossProbability, ReplyLossProbability, DelayProbability float64
	// MapMismatch describes the first pass that began with two maps.
	MapMismatch string
	// RankSwitches counts the ranks that changed their map.
	RankSwitches int
	// Blocked is set while a rank holds the next pass back, or is dead.
	Blocked bool
	// DemandOffset is where demand lies; it moves.
	DemandOffset int
	// SlowCopies makes a rank take CopyTime for each expert that is new to it.
	SlowCopies bool
}

// Rank is one rank of a group.
type Rank struct {
	Incarnation int64
	MapVersion  uint64
	Armed       *rankgroup.Armed
	HeldStep    *uint64
	Crashed     bool

	content  string
	prepared uint64
	pending  *rankgroup.Map
	highest  uint64
	counts   []uint64
	experts  [][]int
}

// New returns a group that has formed once. seed decides on the fate of orders.
func New(d rankgroup.Dimensions, seed uint64) *Group {
	g := &Group{Dimensions: d, rng: rand.New(rand.NewPCG(seed, 1))}
	for range d.Ranks {
		g.Ranks = append(g.Ranks, &Rank{})
	}
	g.Form()
	return g
}

// Form opens the group anew, with the first map and without orders.
func (g *Group) Form() {
	g.Lock()
	defer g.Unlock()
	g.Epoch++
	first := rankgroup.InitialMap(g.Dimensions)
	for r, rank := range g.Ranks {
		*rank = Rank{Incarnation: rank.Incarnation + 1, counts: make([]uint64, g.Sets*g.Experts)}
		for s := range first.Sets {
			rank.experts = append(rank.experts, first.Sets[s][r])
		}
	}
}

// BeginStep begins the next pass and reports whether it did; a rank may hold it.
func (g *Group) BeginStep() bool {
	g.Lock()
	defer g.Unlock()
	g.Blocked = false
	next := g.Step + 1
	for _, r := range g.Ranks {
		if r.Crashed || r.HeldStep != nil && *r.HeldStep <= next {
			g.Blocked = true
			return false
		}
	}
	if g.Idle {
		return false
	}
	g.Step = next
	for i, r := range g.Ranks {
		if r.Armed != nil && r.Armed.Step == next {
			r.MapVersion = r.Armed.Version
			r.content = fmt.Sprint(r.pending.Sets)
			r.experts = r.experts[:0]
			for s := range r.pending.Sets {
				r.experts = append(r.experts, r.pending.Sets[s][i])
			}
			r.Armed = nil
			g.RankSwitches++
		}
		for e := range g.Experts {
			for s := range g.Sets {
				r.counts[s*g.Experts+e] += uint64(20 + 200/(1+(e+g.DemandOffset+s)%g.Experts))
			}
		}
	}
	for i, r := range g.Ranks {
		if first := g.Ranks[0]; g.MapMismatch == "" && (r.MapVersion != first.MapVersion || r.content != first.content) {
			g.MapMismatch = fmt.Sprintf("pass %d: rank %d has map %d, rank 0 has %d", next, i, r.MapVersion, first.MapVersion)
		}
	}
	return true
}

// Execute does an order at a rank.
func (g *Group) Execute(rank int, o rankgroup.Command) rankgroup.Result {
	g.Lock()
	defer g.Unlock()
	return g.carryOut(rank, o)
}

func (g *Group) carryOut(rank int, o rankgroup.Command) rankgroup.Result {
	r := g.Ranks[rank]
	if o.Epoch != g.Epoch || r.Crashed {
		return rankgroup.Refused
	}
	switch o.Operation {
	case rankgroup.Prepare:
		return g.prepare(rank, r, o)
	case rankgroup.Arm:
		if r.prepared != o.Version || o.Step <= g.Step {
			return rankgroup.Refused
		}
		r.Armed = &rankgroup.Armed{Version: o.Version, Step: o.Step}
	case rankgroup.Disarm:
		if o.Version == r.MapVersion {
			return rankgroup.Refused
		}
		if r.Armed != nil && r.Armed.Version == o.Version {
			r.Armed = nil
		}
	case rankgroup.Hold:
		if o.Step <= g.Step || r.HeldStep != nil && *r.HeldStep != o.Step {
			return rankgroup.Refused
		}
		step := o.Step
		r.HeldStep = &step
	case rankgroup.Release:
		if r.HeldStep != nil && *r.HeldStep == o.Step {
			r.HeldStep = nil
		}
	}
	return rankgroup.Accepted
}

func (g *Group) prepare(rank int, r *Rank, o rankgroup.Command) rankgroup.Result {
	if o.Version <= r.highest || r.Armed != nil {
		return rankgroup.Refused // also a repeated one: a version is taken once
	}
	fresh := 0
	for s := range o.Map.Sets {
		for _, e := range o.Map.Sets[s][rank] {
			if !slices.Contains(r.experts[s], e) {
				fresh++
			}
		}
	}
	r.highest, r.prepared, r.pending = o.Version, 0, o.Map
	if fresh == 0 || !g.SlowCopies {
		r.prepared = o.Version
		return rankgroup.Accepted
	}
	epoch := g.Epoch
	time.AfterFunc(time.Duration(fresh)*g.CopyTime, func() {
		g.Lock()
		defer g.Unlock()
		if g.Epoch == epoch && r.highest == o.Version {
			r.prepared = o.Version
		}
	})
	return rankgroup.Accepted
}

// AllRanksRunning reports whether no rank is dead.
func (g *Group) AllRanksRunning() bool {
	g.Lock()
	defer g.Unlock()
	return g.whole()
}

func (g *Group) whole() bool {
	return !slices.ContainsFunc(g.Ranks, func(r *Rank) bool { return r.Crashed })
}

// Report returns a rank's report.
func (g *Group) Report(rank int) rankgroup.Report {
	g.Lock()
	defer g.Unlock()
	r := g.Ranks[rank]
	rep := rankgroup.Report{Group: "g", Rank: rank, Size: len(g.Ranks), Epoch: g.Epoch, Open: g.whole(), Incarnation: r.Incarnation,
		Step: g.Step, MapVersion: r.MapVersion, PreparedVersion: r.prepared}
	if r.Armed != nil {
		armed := *r.Armed
		rep.Armed = &armed
	}
	if r.HeldStep != nil {
		held := *r.HeldStep
		rep.HeldStep = &held
	}
	return rep
}

// SelectionCounts returns how often a rank's requests chose each expert.
func (g *Group) SelectionCounts(rank int) rankgroup.SelectionCounts {
	g.Lock()
	defer g.Unlock()
	return rankgroup.SelectionCounts{Epoch: g.Epoch, Selections: append([]uint64(nil), g.Ranks[rank].counts...)}
}

// HeldExperts returns the experts that a rank holds, by set, and the version in force.
func (g *Group) HeldExperts(rank int) ([][]int, uint64) {
	g.Lock()
	defer g.Unlock()
	r := g.Ranks[rank]
	return append([][]int(nil), r.experts...), r.MapVersion
}

// Deliver carries an order out, or not, or late. answered is false if the sender
// learns nothing.
func (g *Group) Deliver(rank int, o rankgroup.Command) (result rankgroup.Result, answered bool) {
	g.Lock()
	defer g.Unlock()
	x := g.rng.Float64()
	switch {
	case x < g.LossProbability:
		return rankgroup.NoReply, false
	case x < g.LossProbability+g.ReplyLossProbability:
		g.carryOut(rank, o)
		return rankgroup.NoReply, false
	case x < g.LossProbability+g.ReplyLossProbability+g.DelayProbability:
		delay := lateMin + time.Duration(g.rng.Int64N(int64(lateMax-lateMin)))
		time.AfterFunc(delay, func() { g.Execute(rank, o) })
		return rankgroup.NoReply, false
	}
	return g.carryOut(rank, o), true
}

// Engine is one rank as a coordinator in the same process sees it.
type Engine struct {
	Group *Group
	Rank  int
	// Disconnected is set while the coordinator can't reach the rank.
	Disconnected func() bool

	meter rankgroup.SelectionMeter
}

var errNoAnswer = errors.New("no answer")

func (e *Engine) unreachable(ctx context.Context) bool {
	return ctx.Err() != nil || e.Disconnected != nil && e.Disconnected()
}

// Report implements rankgroup.Engine.
func (e *Engine) Report(ctx context.Context) (rankgroup.Report, error) {
	e.Group.Lock()
	dead := e.Group.Ranks[e.Rank].Crashed
	e.Group.Unlock()
	if dead || e.unreachable(ctx) {
		return rankgroup.Report{}, errNoAnswer
	}
	return e.Group.Report(e.Rank), nil
}

// Poll implements rankgroup.Engine.
func (e *Engine) Poll(ctx context.Context, window bool) (rankgroup.Report, rankgroup.SelectionWindow, error) {
	rep, err := e.Report(ctx)
	if err != nil || !window {
		return rep, rankgroup.SelectionWindow{}, err
	}
	return rep, e.meter.Window(rep.Incarnation, e.Group.SelectionCounts(e.Rank)), nil
}

// Experts implements rankgroup.Engine.
func (e *Engine) Experts(context.Context) ([][]int, uint64, error) {
	sets, version := e.Group.HeldExperts(e.Rank)
	return sets, version, nil
}

// Send implements rankgroup.Engine.
func (e *Engine) Send(ctx context.Context, o rankgroup.Command) (rankgroup.Result, error) {
	if e.unreachable(ctx) {
		return rankgroup.NoReply, errNoAnswer
	}
	result, answered := e.Group.Deliver(e.Rank, o)
	if !answered {
		return rankgroup.NoReply, errNoAnswer
	}
	return result, nil
}

// AwaitPrepared implements rankgroup.Engine.
func (e *Engine) AwaitPrepared(ctx context.Context, version uint64) error {
	return rankgroup.AwaitPrepared(ctx, e, version)
}
