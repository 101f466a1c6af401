// Package ranksim simulates a group of model ranks that run in lock-step and
// execute map commands as the platform's engines do. A command may be lost, be
// executed without a reply, or be executed seconds later. The simulation records
// the first step that starts while the ranks' expert maps differ.
package ranksim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/pause"
	"github.com/wasabinotch/wasabinotch/rankgroup"
)

const (
	// A delayed command is executed between minExecutionDelay and maxExecutionDelay
	// after it was sent.
	minExecutionDelay = 2 * time.Second
	maxExecutionDelay = 12 * time.Second
	// networkCallTime is the duration of a report from another VM.
	networkCallTime = 2 * time.Millisecond
)

// Group is a simulated rank group. Hold its lock to access the fields; the
// methods acquire it.
type Group struct {
	sync.Mutex
	rankgroup.Dimensions
	rng *rand.Rand

	Epoch uint64
	Step  uint64
	// Idle keeps steps from starting, as when the group has no requests.
	Idle  bool
	Ranks []*Rank
	// A command is lost with LossProbability, executed without a reply with
	// ReplyLossProbability, and executed seconds later without a reply with
	// DelayProbability.
	LossProbability, ReplyLossProbability, DelayProbability float64
	// MapMismatch describes the first step that started while the ranks' maps
	// differed; empty if there was none.
	MapMismatch string
	// RankSwitches counts map switches; each rank of a switch counts.
	RankSwitches int
	// Blocked reports whether the last call of BeginStep found a rank that holds
	// the step or has crashed.
	Blocked bool
	// DemandOffset shifts the distribution of expert selections; users change it to
	// move demand to other experts.
	DemandOffset int
	// SlowCopies makes Prepare take CopyTime for each expert that the rank does
	// not hold yet.
	SlowCopies bool
	// Delivered is called with each command that Deliver got and its result, before the
	// sender gets a reply; nil for none.
	Delivered func(rank int, c rankgroup.Command, result rankgroup.Result)
	// ReportLag is the age of the reports that callers on other VMs get from an engine.
	ReportLag time.Duration

	// history holds what the ranks reported during the last ReportLag or longer, in order.
	history []snapshot
}

// snapshot holds the reports of all ranks at one time.
type snapshot struct {
	at      time.Time
	reports []rankgroup.Report
}

// Rank is the state of one rank.
type Rank struct {
	Incarnation int64
	MapVersion  uint64
	// Armed is the scheduled switch and HeldStep the step that the rank holds back; nil
	// for none.
	Armed    *rankgroup.Armed
	HeldStep *uint64
	Crashed  bool

	mapContent      string // sets of the current map, formatted for comparison
	preparedVersion uint64
	preparedOwner   int
	pendingMap      *rankgroup.Map
	highestVersion  uint64
	selections      []uint64 // by set and expert
	experts         [][]int  // held experts by set
}

// New returns a formed group. seed determines the random faults of commands.
func New(d rankgroup.Dimensions, seed uint64) *Group {
	g := &Group{Dimensions: d, rng: rand.New(rand.NewPCG(seed, 1))}
	for range d.Ranks {
		g.Ranks = append(g.Ranks, &Rank{})
	}
	g.Form()
	return g
}

// Form starts a new epoch: each rank gets a new incarnation, the initial map and
// no scheduled switch.
func (g *Group) Form() {
	g.Lock()
	defer g.Unlock()
	g.Epoch++
	first := rankgroup.InitialMap(g.Dimensions)
	for r, rank := range g.Ranks {
		*rank = Rank{Incarnation: rank.Incarnation + 1, selections: make([]uint64, g.Sets*g.Experts)}
		for s := range first.Sets {
			rank.experts = append(rank.experts, first.Sets[s][r])
		}
	}
}

// BeginStep starts the next step and reports whether it did. It does not if a
// rank holds the step or has crashed, or if the group is idle.
func (g *Group) BeginStep() bool {
	g.Lock()
	defer g.Unlock()
	g.keepReports()
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
			r.mapContent = fmt.Sprint(r.pendingMap.Sets)
			r.experts = r.experts[:0]
			for s := range r.pendingMap.Sets {
				r.experts = append(r.experts, r.pendingMap.Sets[s][i])
			}
			r.Armed = nil
			g.RankSwitches++
		}
		for e := range g.Experts {
			for s := range g.Sets {
				r.selections[s*g.Experts+e] += uint64(20 + 200/(1+(e+g.DemandOffset+s)%g.Experts))
			}
		}
	}
	for i, r := range g.Ranks {
		if first := g.Ranks[0]; g.MapMismatch == "" && (r.MapVersion != first.MapVersion || r.mapContent != first.mapContent) {
			g.MapMismatch = fmt.Sprintf("step %d: rank %d has map %d, rank 0 has %d", next, i, r.MapVersion, first.MapVersion)
		}
	}
	return true
}

// Execute executes a command on a rank, without faults.
func (g *Group) Execute(rank int, c rankgroup.Command) rankgroup.Result {
	g.Lock()
	defer g.Unlock()
	return g.execute(rank, c)
}

func (g *Group) execute(rank int, c rankgroup.Command) rankgroup.Result {
	r := g.Ranks[rank]
	if c.Epoch != g.Epoch || r.Crashed {
		return rankgroup.Refused
	}
	switch c.Operation {
	case rankgroup.Prepare:
		return g.prepare(rank, r, c)
	case rankgroup.Arm:
		if r.preparedVersion != c.Version || c.Step <= g.Step {
			return rankgroup.Refused
		}
		r.Armed = &rankgroup.Armed{Version: c.Version, Step: c.Step, Owner: c.Owner}
	case rankgroup.Disarm:
		if c.Version == r.MapVersion {
			return rankgroup.Refused
		}
		if r.Armed != nil && r.Armed.Version == c.Version {
			r.Armed = nil
		}
	case rankgroup.Hold:
		if c.Step <= g.Step || r.HeldStep != nil && *r.HeldStep != c.Step {
			return rankgroup.Refused
		}
		step := c.Step
		r.HeldStep = &step
	case rankgroup.Release:
		if r.HeldStep != nil && *r.HeldStep == c.Step {
			r.HeldStep = nil
		}
	}
	return rankgroup.Accepted
}

func (g *Group) prepare(rank int, r *Rank, c rankgroup.Command) rankgroup.Result {
	if c.Version <= r.highestVersion || r.Armed != nil {
		return rankgroup.Refused // a version is accepted once, so a retry is refused too
	}
	newExperts := 0
	for s := range c.Map.Sets {
		for _, e := range c.Map.Sets[s][rank] {
			if !slices.Contains(r.experts[s], e) {
				newExperts++
			}
		}
	}
	r.highestVersion, r.preparedVersion, r.preparedOwner, r.pendingMap = c.Version, 0, c.Owner, c.Map
	if newExperts == 0 || !g.SlowCopies {
		r.preparedVersion = c.Version
		return rankgroup.Accepted
	}
	epoch := g.Epoch
	time.AfterFunc(time.Duration(newExperts)*g.CopyTime, func() {
		g.Lock()
		defer g.Unlock()
		if g.Epoch == epoch && r.highestVersion == c.Version {
			r.preparedVersion = c.Version
		}
	})
	return rankgroup.Accepted
}

// AllRanksRunning reports whether no rank has crashed.
func (g *Group) AllRanksRunning() bool {
	g.Lock()
	defer g.Unlock()
	return g.allRanksRunning()
}

func (g *Group) allRanksRunning() bool {
	return !slices.ContainsFunc(g.Ranks, func(r *Rank) bool { return r.Crashed })
}

// keepReports keeps the current reports for LaggedReport.
func (g *Group) keepReports() {
	if g.ReportLag <= 0 {
		return
	}
	now := time.Now()
	next := snapshot{at: now}
	for r := range g.Ranks {
		next.reports = append(next.reports, g.report(r))
	}
	g.history = append(g.history, next)
	for len(g.history) > 1 && now.Sub(g.history[1].at) >= g.ReportLag {
		g.history = g.history[1:]
	}
}

// LaggedReport returns the report that a caller on another VM gets from the engine of a
// rank: as it was ReportLag ago, rounded up to the last call of BeginStep before.
func (g *Group) LaggedReport(rank int) rankgroup.Report {
	g.Lock()
	defer g.Unlock()
	seen := snapshot{reports: make([]rankgroup.Report, len(g.Ranks))}
	seen.reports[rank] = g.report(rank)
	if g.ReportLag > 0 && len(g.history) > 0 {
		seen = g.history[0]
	}
	for _, s := range g.history {
		if time.Since(s.at) >= g.ReportLag {
			seen = s
		}
	}
	rep := seen.reports[rank]
	rep.PreparedOwner = 0
	if rep.Armed != nil { // only an agent knows its owner
		armed := *rep.Armed
		armed.Owner = 0
		rep.Armed = &armed
	}
	return rep
}

// Report returns the report of a rank.
func (g *Group) Report(rank int) rankgroup.Report {
	g.Lock()
	defer g.Unlock()
	return g.report(rank)
}

func (g *Group) report(rank int) rankgroup.Report {
	r := g.Ranks[rank]
	rep := rankgroup.Report{Group: "g", Rank: rank, Size: len(g.Ranks), Epoch: g.Epoch, Open: g.allRanksRunning(), Incarnation: r.Incarnation,
		Step: g.Step, MapVersion: r.MapVersion, PreparedVersion: r.preparedVersion, PreparedOwner: r.preparedOwner}
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

// SelectionCounts returns how often a rank's requests selected each expert.
func (g *Group) SelectionCounts(rank int) rankgroup.SelectionCounts {
	g.Lock()
	defer g.Unlock()
	return rankgroup.SelectionCounts{Epoch: g.Epoch, Selections: append([]uint64(nil), g.Ranks[rank].selections...)}
}

// HeldExperts returns the experts that a rank holds, by set, and the version of
// its map.
func (g *Group) HeldExperts(rank int) ([][]int, uint64) {
	g.Lock()
	defer g.Unlock()
	r := g.Ranks[rank]
	return append([][]int(nil), r.experts...), r.MapVersion
}

// Deliver sends a command to a rank, subject to the configured faults. replied is
// false if the sender gets no reply; the command may be executed all the same.
func (g *Group) Deliver(rank int, c rankgroup.Command) (result rankgroup.Result, replied bool) {
	result, replied, delivered := g.deliver(rank, c)
	if delivered != nil {
		delivered(rank, c, result)
	}
	return result, replied
}

func (g *Group) deliver(rank int, c rankgroup.Command) (result rankgroup.Result, replied bool, delivered func(int, rankgroup.Command, rankgroup.Result)) {
	g.Lock()
	defer g.Unlock()
	delivered = g.Delivered
	x := g.rng.Float64()
	switch {
	case x < g.LossProbability:
		return rankgroup.NoReply, false, delivered
	case x < g.LossProbability+g.ReplyLossProbability:
		g.execute(rank, c)
		return rankgroup.NoReply, false, delivered
	case x < g.LossProbability+g.ReplyLossProbability+g.DelayProbability:
		delay := minExecutionDelay + time.Duration(g.rng.Int64N(int64(maxExecutionDelay-minExecutionDelay)))
		time.AfterFunc(delay, func() { g.Execute(rank, c) })
		return rankgroup.NoReply, false, delivered
	}
	return g.execute(rank, c), true, delivered
}

// Engine is a coordinator's connection to one rank in the same process. It
// implements rankgroup.Engine.
type Engine struct {
	Group *Group
	Rank  int
	// Disconnected reports whether the coordinator cannot reach the rank now; nil
	// means that it always can.
	Disconnected func() bool
	// WithoutAgent reports whether the rank has no agent that replies now, so that the
	// engine itself is asked, whose reports lag and whose selection counts aren't read.
	// nil means that it always has one.
	WithoutAgent func() bool
	// Frozen blocks while the coordinator's process is frozen, before a call leaves it and
	// before its reply is read. nil means that it never is.
	Frozen func()

	meter rankgroup.SelectionMeter
}

var errNoReply = errors.New("no reply from the rank")

func (e *Engine) unreachable(ctx context.Context) bool {
	return ctx.Err() != nil || e.Disconnected != nil && e.Disconnected()
}

// Direct reports whether the rank has no agent that replies now.
func (e *Engine) Direct() bool { return e.withoutAgent() }

func (e *Engine) withoutAgent() bool { return e.WithoutAgent != nil && e.WithoutAgent() }

// awaitThaw blocks while the coordinator's process is frozen.
func (e *Engine) awaitThaw() {
	if e.Frozen != nil {
		e.Frozen()
	}
}

// Report implements rankgroup.Engine.
func (e *Engine) Report(ctx context.Context) (rankgroup.Report, error) {
	unreachable := e.unreachable(ctx)
	e.awaitThaw() // a call that was made before the freeze may leave after it
	defer e.awaitThaw()
	e.Group.Lock()
	crashed := e.Group.Ranks[e.Rank].Crashed
	e.Group.Unlock()
	if crashed || unreachable {
		return rankgroup.Report{}, errNoReply
	}
	if e.withoutAgent() {
		pause.For(ctx, networkCallTime)
		return e.Group.LaggedReport(e.Rank), nil
	}
	return e.Group.Report(e.Rank), nil
}

// Poll implements rankgroup.Engine.
func (e *Engine) Poll(ctx context.Context, window rankgroup.WindowRequest) (rankgroup.Report, rankgroup.SelectionWindow, error) {
	rep, err := e.Report(ctx)
	if err != nil || window == rankgroup.NoWindow || e.withoutAgent() {
		return rep, rankgroup.SelectionWindow{}, err
	}
	if window == rankgroup.StartWindow {
		e.meter.Window(rep.Incarnation, e.Group.SelectionCounts(e.Rank))
		return rep, rankgroup.SelectionWindow{}, nil
	}
	return rep, e.meter.Window(rep.Incarnation, e.Group.SelectionCounts(e.Rank)), nil
}

// Experts implements rankgroup.Engine.
func (e *Engine) Experts(context.Context) ([][]int, uint64, error) {
	e.awaitThaw()
	defer e.awaitThaw()
	sets, version := e.Group.HeldExperts(e.Rank)
	return sets, version, nil
}

// Send implements rankgroup.Engine.
func (e *Engine) Send(ctx context.Context, c rankgroup.Command) (rankgroup.Result, error) {
	unreachable := e.unreachable(ctx)
	e.awaitThaw()
	defer e.awaitThaw()
	if unreachable {
		return rankgroup.NoReply, errNoReply
	}
	result, replied := e.Group.Deliver(e.Rank, c)
	if !replied {
		return rankgroup.NoReply, errNoReply
	}
	return result, nil
}

// AwaitPrepared implements rankgroup.Engine.
func (e *Engine) AwaitPrepared(ctx context.Context, version uint64) error {
	if e.withoutAgent() {
		return rankgroup.ErrNotPrepared
	}
	return rankgroup.AwaitPrepared(ctx, e, version)
}
