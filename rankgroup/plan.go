package rankgroup

import (
	"math"
	"slices"
	"sort"
)

// A plan minimises, for each set, the load of the most loaded rank in units of the
// mean load: an engine step lasts as long as that rank takes. The maximum is smoothed
// by a power mean, so that relieving one of several equally loaded ranks also counts
// as a gain.
const (
	// maxCandidateExperts bounds the experts per set that are considered for another
	// replica.
	maxCandidateExperts = 12
	// maxCandidateRanks bounds the ranks per set that are considered as its holder.
	maxCandidateRanks = 8
)

// Plan describes a new map.
type Plan struct {
	Map *Map
	// CopiesPerRank is the largest number of experts that one rank has to copy.
	CopiesPerRank int
	// SkewBefore and SkewAfter are the load of the most loaded rank over the mean,
	// averaged over the sets, with the old map and with the new one. The load of a slow
	// rank counts as many times as it is slower than others.
	SkewBefore, SkewAfter float64
}

// PlanConfig bounds a plan.
type PlanConfig struct {
	Dimensions
	// MaxCopiesPerRank bounds the experts that one rank copies for a plan, over all sets.
	MaxCopiesPerRank int
	// MinGain is the least decrease of a set's smoothed maximum, in units of the mean
	// load, for which an expert is copied.
	MinGain float64
	// Pace says how many times longer each rank takes for the same work than it should; nil
	// if none is slow.
	Pace []float64
}

// pace returns the pace of a rank.
func (c *PlanConfig) pace(rank int) float64 {
	if rank >= len(c.Pace) {
		return 1
	}
	return max(1, c.Pace[rank])
}

// setState is one expert set of the map while it is changed.
type setState struct {
	set   int
	ranks [][]int
	// replicas counts the ranks that hold each expert; holds states, by rank and expert,
	// whether the rank holds the expert.
	replicas []int
	holds    [][]bool
	// share is the load of each expert in units of the mean load of a rank, pace that of
	// each rank (see PlanConfig). load is the time that each rank takes, in units of the
	// time for the mean load.
	share []float64
	pace  []float64
	load  []float64
	// newExperts counts the experts that the plan adds to each rank.
	newExperts []int
}

// move adds an expert to a rank and evicts another one from it, or none if evicted
// is -1. A move that only evicts one has the expert -1.
type move struct {
	set                   int
	rank, expert, evicted int
	gain                  float64
}

// NewPlan chooses the copies that reduce the skew most for a demand, which gives each
// expert's share of the selections in its expert set, one set after the other. If no
// copies lower the skew, the plan has none and its map is the current one.
func NewPlan(current *Map, demand []float64, cfg PlanConfig) Plan {
	next := current.Clone()
	states := make([]*setState, cfg.Sets)
	for s := range states {
		states[s] = newSetState(s, next.Sets[s], demand, &cfg)
	}
	plan := Plan{Map: next, SkewBefore: skew(states)}
	copies := make([]int, cfg.Ranks)
	best := make([]*move, cfg.Sets)
	for s, st := range states {
		best[s] = st.best(copies, cfg)
	}
	for {
		var bestMove *move
		for _, m := range best {
			if m != nil && (bestMove == nil || m.gain > bestMove.gain) {
				bestMove = m
			}
		}
		if bestMove == nil {
			break
		}
		states[bestMove.set].apply(bestMove)
		if bestMove.expert >= 0 {
			copies[bestMove.rank]++
		}
		for s, st := range states {
			stale := best[s] != nil && copies[best[s].rank] >= cfg.MaxCopiesPerRank
			if s == bestMove.set || stale {
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
		// The smoothed maximum decreased but the maximum didn't, so the plan isn't worth
		// its copies, if it has any.
		return Plan{Map: current, SkewBefore: plan.SkewBefore, SkewAfter: plan.SkewBefore}
	}
	return plan
}

func newSetState(set int, ranks [][]int, demand []float64, cfg *PlanConfig) *setState {
	d := cfg.Dimensions
	st := &setState{set: set, ranks: ranks, replicas: make([]int, d.Experts), newExperts: make([]int, d.Ranks)}
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
	st.pace = make([]float64, d.Ranks)
	for r := range st.pace {
		st.pace[r] = cfg.pace(r)
	}
	st.load = make([]float64, d.Ranks)
	st.computeLoads()
	return st
}

// computeLoads computes the ranks' loads. The load of an expert is split evenly among
// its replicas.
func (st *setState) computeLoads() {
	clear(st.load)
	for r, experts := range st.ranks {
		for _, e := range experts {
			st.load[r] += st.pace[r] * st.share[e] / float64(st.replicas[e])
		}
	}
}

// skew returns the load of the most loaded rank, averaged over the sets.
func skew(states []*setState) float64 {
	sum := 0.0
	for _, st := range states {
		sum += slices.Max(st.load)
	}
	return sum / float64(len(states))
}

// eighthPower returns x to the eighth power. The smoothed maximum is made of such terms.
func eighthPower(x float64) float64 {
	x *= x
	x *= x
	return x * x
}

// smoothMax returns the smoothed maximum for a sum of eighth powers.
func smoothMax(sum float64) float64 { return math.Pow(math.Max(0, sum), 1.0/8) }

// best returns the move with the greatest gain in the set, or nil if no move gains
// cfg.MinGain.
func (st *setState) best(copies []int, cfg PlanConfig) *move {
	sum := 0.0
	for _, x := range st.load {
		sum += eighthPower(x)
	}
	before := smoothMax(sum)
	ranks := st.leastLoadedRanks(copies, cfg)
	var best *move
	for _, e := range st.mostLoadedExperts() {
		for _, r := range ranks {
			if st.holds[r][e] {
				continue
			}
			st.eachEvictable(r, cfg.ExpertSlots, func(v int) {
				gain := before - smoothMax(sum+st.powerSumDelta(r, e, v))
				if gain >= cfg.MinGain && (best == nil || gain > best.gain) {
					best = &move{st.set, r, e, v, gain}
				}
			})
		}
	}
	for r, pace := range st.pace {
		if pace <= 1 {
			continue // another replica of an expert costs a rank that isn't slow nothing
		}
		for _, v := range st.ranks[r] {
			if st.replicas[v] < 2 {
				continue
			}
			gain := before - smoothMax(sum+st.powerSumDelta(r, -1, v))
			if gain >= cfg.MinGain && (best == nil || gain > best.gain) {
				best = &move{st.set, r, -1, v, gain}
			}
		}
	}
	return best
}

// mostLoadedExperts returns the experts whose replicas take the longest time.
func (st *setState) mostLoadedExperts() []int {
	experts := make([]int, len(st.replicas))
	for e := range experts {
		experts[e] = e
	}
	slowest := make([]float64, len(experts))
	for r, held := range st.ranks {
		for _, e := range held {
			slowest[e] = max(slowest[e], st.pace[r])
		}
	}
	replicaLoad := func(e int) float64 { return slowest[e] * st.share[e] / float64(st.replicas[e]) }
	sort.Slice(experts, func(i, j int) bool { return replicaLoad(experts[i]) > replicaLoad(experts[j]) })
	return experts[:min(maxCandidateExperts, len(experts))]
}

// leastLoadedRanks returns the least loaded ranks that may copy another expert.
func (st *setState) leastLoadedRanks(copies []int, cfg PlanConfig) []int {
	var ranks []int
	for r := range st.ranks {
		if copies[r] < cfg.MaxCopiesPerRank && st.newExperts[r] < cfg.SpareSlots {
			ranks = append(ranks, r)
		}
	}
	sort.Slice(ranks, func(i, j int) bool { return st.load[ranks[i]] < st.load[ranks[j]] })
	return ranks[:min(maxCandidateRanks, len(ranks))]
}

// eachEvictable calls f with each expert that may be evicted from a rank, or with -1
// if the rank has a free slot. The last replica of an expert is never evicted.
func (st *setState) eachEvictable(r, slots int, f func(int)) {
	if len(st.ranks[r]) < slots {
		f(-1)
		return
	}
	for _, v := range st.ranks[r] {
		if st.replicas[v] > 1 {
			f(v)
		}
	}
}

// powerSumDelta returns by how much a move changes the sum of eighth powers of the
// ranks' loads.
func (st *setState) powerSumDelta(rank, expert, evicted int) float64 {
	load, share := st.load, st.share
	replicaDrop, replicaRise, change := 0.0, 0.0, 0.0
	if expert >= 0 {
		n := float64(st.replicas[expert])
		replicaDrop = share[expert]/n - share[expert]/(n+1)
		change = share[expert] / (n + 1)
	}
	if evicted >= 0 {
		m := float64(st.replicas[evicted])
		replicaRise = share[evicted]/(m-1) - share[evicted]/m
		change -= share[evicted] / m
	}
	delta := eighthPower(load[rank]+st.pace[rank]*change) - eighthPower(load[rank])
	for r := range load {
		if r == rank {
			continue
		}
		x := load[r]
		if expert >= 0 && st.holds[r][expert] {
			x -= st.pace[r] * replicaDrop
		}
		if evicted >= 0 && st.holds[r][evicted] {
			x += st.pace[r] * replicaRise
		}
		if x != load[r] {
			delta += eighthPower(x) - eighthPower(load[r])
		}
	}
	return delta
}

// apply carries out a move.
func (st *setState) apply(m *move) {
	if m.evicted >= 0 {
		st.holds[m.rank][m.evicted] = false
		st.replicas[m.evicted]--
		st.ranks[m.rank] = slices.DeleteFunc(st.ranks[m.rank], func(e int) bool { return e == m.evicted })
	}
	if m.expert >= 0 {
		st.holds[m.rank][m.expert] = true
		st.replicas[m.expert]++
		st.ranks[m.rank] = append(st.ranks[m.rank], m.expert)
		st.newExperts[m.rank]++
	}
	st.computeLoads()
}
