package rankgroup

import (
	"math"
	"slices"
	"sort"
)

// A plan minimises, over the sets, the load of the most loaded rank over the
// mean: a pass lasts as long as that rank takes. The maximum is smoothed by a
// power mean, so that a move helps that relieves one of several equally loaded
// ranks.
const (
	// candidateExperts bounds the experts per set that may get another replica.
	candidateExperts = 12
	// candidateRanks bounds the ranks per set that may receive one.
	candidateRanks = 8
)

// Plan describes a new map.
type Plan struct {
	Map *Map
	// CopiesPerRank is the largest number of experts that one rank copies.
	CopiesPerRank int
	// SkewBefore and SkewAfter are the most loaded rank over the mean, averaged over
	// sets.
	SkewBefore, SkewAfter float64
}

// PlanConfig bounds a plan.
type PlanConfig struct {
	Dimensions
	// MaxCopiesPerRank bounds the experts that one rank copies for one plan, over all sets.
	MaxCopiesPerRank int
	// MinGain is the least improvement of a set's smoothed maximum, in means,
	// that is worth one copy.
	MinGain float64
}

// setState is one set of the map under change.
type setState struct {
	set   int
	ranks [][]int
	// replicas counts the holders of each expert.
	replicas []int
	holds    [][]bool
	// share is the load of each expert, load that of each rank, in means.
	share []float64
	load  []float64
	// fresh counts the experts that the plan brings to each rank.
	fresh []int
}

// move adds an expert to a rank, in place of victim if that isn't -1.
type move struct {
	set                  int
	rank, expert, victim int
	gain                 float64
}

// NewPlan plans the copies that help most for a demand: the part of its set
// that each expert gets, sets one after the other.
func NewPlan(current *Map, demand []float64, cfg PlanConfig) Plan {
	next := current.Clone()
	states := make([]*setState, cfg.Sets)
	for s := range states {
		states[s] = newSetState(s, next.Sets[s], demand, cfg.Dimensions)
	}
	plan := Plan{Map: next, SkewBefore: skew(states)}
	copies := make([]int, cfg.Ranks)
	best := make([]*move, cfg.Sets)
	for s, st := range states {
		best[s] = st.best(copies, cfg)
	}
	for {
		var pick *move
		for _, m := range best {
			if m != nil && (pick == nil || m.gain > pick.gain) {
				pick = m
			}
		}
		if pick == nil {
			break
		}
		states[pick.set].apply(pick)
		copies[pick.rank]++
		for s, st := range states {
			stale := best[s] != nil && copies[best[s].rank] >= cfg.MaxCopiesPerRank
			if s == pick.set || stale {
				best[s] = st.best(copies, cfg)
			}
		}
	}
	for s, st := range states {
		next.Sets[s] = st.ranks
	}
	plan.CopiesPerRank = slices.Max(copies)
	plan.SkewAfter = skew(states)
	if plan.SkewAfter >= plan.SkewBefore {
		// The smoothed maximum fell, the real one didn't: not worth a copy.
		return Plan{Map: current, SkewBefore: plan.SkewBefore, SkewAfter: plan.SkewBefore}
	}
	return plan
}

func newSetState(set int, ranks [][]int, demand []float64, d Dimensions) *setState {
	st := &setState{set: set, ranks: ranks, replicas: make([]int, d.Experts), fresh: make([]int, d.Ranks)}
	st.holds = make([][]bool, d.Ranks)
	for r, experts := range ranks {
		st.holds[r] = make([]bool, d.Experts)
		for _, e := range experts {
			st.holds[r][e] = true
			st.replicas[e]++
		}
	}
	st.share = make([]float64, d.Experts)
	for e := range st.share {
		st.share[e] = demand[set*d.Experts+e] * float64(d.Ranks)
	}
	st.load = make([]float64, d.Ranks)
	st.sum()
	return st
}

// sum computes the ranks' loads.
func (st *setState) sum() {
	clear(st.load)
	for r, experts := range st.ranks {
		for _, e := range experts {
			st.load[r] += st.share[e] / float64(st.replicas[e])
		}
	}
}

// skew averages the most loaded rank over the sets.
func skew(states []*setState) float64 {
	sum := 0.0
	for _, st := range states {
		sum += slices.Max(st.load)
	}
	return sum / float64(len(states))
}

// power is the eighth power, of which the smoothed maximum is made.
func power(x float64) float64 {
	x *= x
	x *= x
	return x * x
}

func smoothMax(sum float64) float64 { return math.Pow(math.Max(0, sum), 1.0/8) }

// best returns the most useful move in the set, or nil.
func (st *setState) best(copies []int, cfg PlanConfig) *move {
	sum := 0.0
	for _, x := range st.load {
		sum += power(x)
	}
	before := smoothMax(sum)
	ranks := st.idlest(copies, cfg)
	var best *move
	for _, e := range st.hottest() {
		for _, r := range ranks {
			if st.holds[r][e] {
				continue
			}
			st.eachVictim(r, cfg.ExpertSlots, func(v int) {
				gain := before - smoothMax(sum+st.change(r, e, v))
				if gain >= cfg.MinGain && (best == nil || gain > best.gain) {
					best = &move{st.set, r, e, v, gain}
				}
			})
		}
	}
	return best
}

// hottest returns the experts whose replicas carry most.
func (st *setState) hottest() []int {
	order := make([]int, len(st.replicas))
	for e := range order {
		order[e] = e
	}
	heat := func(e int) float64 { return st.share[e] / float64(st.replicas[e]) }
	sort.Slice(order, func(i, j int) bool { return heat(order[i]) > heat(order[j]) })
	return order[:min(candidateExperts, len(order))]
}

// idlest returns the least loaded ranks that may still copy.
func (st *setState) idlest(copies []int, cfg PlanConfig) []int {
	var order []int
	for r := range st.ranks {
		if copies[r] < cfg.MaxCopiesPerRank && st.fresh[r] < cfg.SpareSlots {
			order = append(order, r)
		}
	}
	sort.Slice(order, func(i, j int) bool { return st.load[order[i]] < st.load[order[j]] })
	return order[:min(candidateRanks, len(order))]
}

// eachVictim calls f with each expert that may leave a rank, or -1 if there is
// a free place.
func (st *setState) eachVictim(r, places int, f func(int)) {
	if len(st.ranks[r]) < places {
		f(-1)
		return
	}
	for _, v := range st.ranks[r] {
		if st.replicas[v] > 1 {
			f(v)
		}
	}
}

// change returns by how much a move changes the sum of powers.
func (st *setState) change(rank, expert, victim int) float64 {
	load, share := st.load, st.share
	n := float64(st.replicas[expert])
	lose, gain := share[expert]/n-share[expert]/(n+1), 0.0
	own := load[rank] + share[expert]/(n+1)
	if victim >= 0 {
		m := float64(st.replicas[victim])
		gain = share[victim]/(m-1) - share[victim]/m
		own -= share[victim] / m
	}
	delta := power(own) - power(load[rank])
	for r := range load {
		if r == rank {
			continue
		}
		x := load[r]
		if st.holds[r][expert] {
			x -= lose
		}
		if victim >= 0 && st.holds[r][victim] {
			x += gain
		}
		if x != load[r] {
			delta += power(x) - power(load[r])
		}
	}
	return delta
}

func (st *setState) apply(m *move) {
	if m.victim >= 0 {
		st.holds[m.rank][m.victim] = false
		st.replicas[m.victim]--
		st.ranks[m.rank] = slices.DeleteFunc(st.ranks[m.rank], func(e int) bool { return e == m.victim })
	}
	st.holds[m.rank][m.expert] = true
	st.replicas[m.expert]++
	st.ranks[m.rank] = append(st.ranks[m.rank], m.expert)
	st.fresh[m.rank]++
	st.sum()
}
