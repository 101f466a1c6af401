package rankgroup

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// fakeGroup is a group of ranks in lock-step that takes orders as the engines
// do. Orders may be lost, answered too late, or carried out seconds later.
type fakeGroup struct {
	mu    sync.Mutex
	d     Dimensions
	rng   *rand.Rand
	epoch uint64
	step  uint64
	idle  bool
	ranks []*fakeRank
	// lost, mute and late are the probabilities that an order does nothing, is
	// done without an answer, and is done seconds later without an answer.
	lost, mute, late float64
	// mixed describes the first pass that began with two maps.
	mixed    string
	switches int
	blocked  bool
	// hot is where demand lies; it moves.
	hot int
}

type fakeRank struct {
	born     int64
	version  uint64
	content  string
	prepared uint64
	pending  *Map
	highest  uint64
	armed    *Armed
	held     *uint64
	counts   []uint64
	experts  [][]int
	dead     bool
}

func newFakeGroup(d Dimensions, seed uint64) *fakeGroup {
	g := &fakeGroup{d: d, rng: rand.New(rand.NewPCG(seed, 1))}
	for range d.Ranks {
		g.ranks = append(g.ranks, &fakeRank{})
	}
	g.form()
	return g
}

// form opens the group anew, with the first map and without orders.
func (g *fakeGroup) form() {
	g.epoch++
	first := First(g.d)
	for r, rank := range g.ranks {
		*rank = fakeRank{born: rank.born + 1, counts: make([]uint64, g.d.Sets*g.d.Experts)}
		for s := range first.Sets {
			rank.experts = append(rank.experts, first.Sets[s][r])
		}
	}
}

// pass begins the next pass unless a rank holds it.
func (g *fakeGroup) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocked = false
	next := g.step + 1
	for _, r := range g.ranks {
		if r.dead || r.held != nil && *r.held <= next {
			g.blocked = true
			return
		}
	}
	if g.idle {
		return
	}
	g.step = next
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.Step == next {
			r.version = r.armed.Version
			r.content = fmt.Sprint(r.pending.Sets)
			r.armed = nil
			g.switches++
		}
		for e := range g.d.Experts {
			for s := range g.d.Sets {
				r.counts[s*g.d.Experts+e] += uint64(20 + 200/(1+(e+g.hot+s)%g.d.Experts))
			}
		}
	}
	for i, r := range g.ranks {
		if first := g.ranks[0]; g.mixed == "" && (r.version != first.version || r.content != first.content) {
			g.mixed = fmt.Sprintf("pass %d: rank %d has map %d, rank 0 has %d", next, i, r.version, first.version)
		}
	}
}

// carryOut does an order at a rank.
func (g *fakeGroup) carryOut(rank int, o Order) Result {
	r := g.ranks[rank]
	if o.Epoch != g.epoch || r.dead {
		return Refused
	}
	switch o.Operation {
	case Prepare:
		if o.Version == r.prepared {
			return Accepted
		}
		if o.Version <= r.highest || r.armed != nil {
			return Refused
		}
		r.highest, r.prepared, r.pending = o.Version, o.Version, o.Map
	case Arm:
		if r.prepared != o.Version || o.Step <= g.step {
			return Refused
		}
		r.armed = &Armed{Version: o.Version, Step: o.Step}
	case Disarm:
		if o.Version == r.version {
			return Refused
		}
		if r.armed != nil && r.armed.Version == o.Version {
			r.armed = nil
		}
	case Hold:
		if o.Step <= g.step || r.held != nil && *r.held != o.Step {
			return Refused
		}
		step := o.Step
		r.held = &step
	case Go:
		if r.held != nil && *r.held == o.Step {
			r.held = nil
		}
	}
	return Accepted
}

// fakeEngine is one rank as a coordinator sees it.
type fakeEngine struct {
	g     *fakeGroup
	rank  int
	meter Meter
	// off is set while the coordinator can't reach the rank.
	off func() bool
}

var errFake = errors.New("no answer")

func (e *fakeEngine) Report(ctx context.Context) (Report, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	r := e.g.ranks[e.rank]
	if r.dead || e.off != nil && e.off() || ctx.Err() != nil {
		return Report{}, errFake
	}
	rep := Report{Group: "g", Rank: e.rank, Size: e.g.d.Ranks, Epoch: e.g.epoch, Open: true, Born: r.born,
		Step: e.g.step, Map: r.version, Prepared: r.prepared}
	if r.armed != nil {
		armed := *r.armed
		rep.Armed = &armed
	}
	if r.held != nil {
		held := *r.held
		rep.Held = &held
	}
	return rep, nil
}

func (e *fakeEngine) Poll(ctx context.Context, window bool) (Report, Window, error) {
	rep, err := e.Report(ctx)
	if err != nil || !window {
		return rep, Window{}, err
	}
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	counts := append([]uint64(nil), e.g.ranks[e.rank].counts...)
	return rep, e.meter.Window(rep.Born, Counts{Epoch: rep.Epoch, Experts: counts}), nil
}

func (e *fakeEngine) Experts(context.Context) ([][]int, uint64, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	r := e.g.ranks[e.rank]
	if r.version == 0 {
		return r.experts, 0, nil
	}
	var sets [][]int
	for s := range r.pending.Sets {
		sets = append(sets, r.pending.Sets[s][e.rank])
	}
	return sets, r.version, nil
}

func (e *fakeEngine) Order(ctx context.Context, o Order) (Result, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	if e.off != nil && e.off() || ctx.Err() != nil {
		return Unanswered, errFake
	}
	x := e.g.rng.Float64()
	switch {
	case x < e.g.lost:
		return Unanswered, errFake
	case x < e.g.lost+e.g.mute:
		e.g.carryOut(e.rank, o)
		return Unanswered, errFake
	case x < e.g.lost+e.g.mute+e.g.late:
		delay := time.Duration(2000+e.g.rng.IntN(10000)) * time.Millisecond
		time.AfterFunc(delay, func() {
			e.g.mu.Lock()
			defer e.g.mu.Unlock()
			e.g.carryOut(e.rank, o)
		})
		return Unanswered, errFake
	}
	return e.g.carryOut(e.rank, o), nil
}
