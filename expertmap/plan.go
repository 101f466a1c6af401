package expertmap

import (
	"fmt"
	"math"
)

// CostModel is the cost model of the planner.
type CostModel struct {
	// ExpertBytes is the size of one expert's weights, in bytes.
	ExpertBytes int64
	// StoreRate is the rate of the weight store, in bytes/s.
	StoreRate float64
	// StepTime is the present step time, in seconds.
	StepTime float64
	// Horizon is how long a placement is expected to pay, in seconds.
	Horizon float64
}

// PlanInput is what the planner knows.
type PlanInput struct {
	Current *Map
	// Loads holds the expected load by layer and expert, in any unit.
	Loads [][]float64
	// Speeds holds the speed by rank, 1 for a nominal rank.
	Speeds []float64
	Cost   CostModel
}

// Move loads the weights of an expert into a slot.
type Move struct {
	Layer    int
	Rank     int
	Slot     int   // within the rank
	Expert   int32 // the expert that is loaded
	Replaced int32 // the expert that is dropped, or NoExpert
}

// PlanResult is a plan.
type PlanResult struct {
	// Map is the new map; its number is one above the current one.
	Map   *Map
	Moves []Move
	// LoadBytes is the amount to load from the weight store.
	LoadBytes int64
	// StepTimeBefore and StepTimeAfter are the expected step times in seconds.
	StepTimeBefore, StepTimeAfter float64
}

// Limits of the search for moves in one layer; they bound the planning time.
const (
	maxMovesPerLayer = 24
	candidateRanks   = 24
	candidateExperts = 2
	localSweeps      = 4
	settleSweeps     = 8
)

// Plan returns a map for the given loads. It first shifts weights between
// existing replicas, which moves nothing, then makes the moves whose saving in
// step time over the horizon exceeds the time of loading them.
func Plan(in PlanInput) (PlanResult, error) {
	if err := in.check(); err != nil {
		return PlanResult{}, err
	}
	next := in.Current.Clone()
	next.Number++
	res := PlanResult{Map: next}
	_, before, _ := RankTimes(in.Current, in.Loads, in.Speeds)
	value := in.secondsPerLoad(before)
	after := 0.0
	for l := range next.Layers {
		s := newLayerState(&next.Layers[l], next.Slots, in.Loads[l], in.Speeds)
		s.balance(maxSweeps)
		moves := s.improve(value, in.moveSeconds())
		s.write(&next.Layers[l])
		_, t := s.slowest()
		after += t
		for _, m := range moves {
			m.Layer = l
			res.Moves = append(res.Moves, m)
		}
	}
	res.LoadBytes = int64(len(res.Moves)) * in.Cost.ExpertBytes
	res.StepTimeBefore = in.Cost.StepTime
	if before > 0 {
		res.StepTimeAfter = in.Cost.StepTime * after / before
	}
	return res, nil
}

// secondsPerLoad converts a change of a layer's maximum, in load units, to
// seconds saved over the horizon.
func (in *PlanInput) secondsPerLoad(sumMax float64) float64 {
	if sumMax == 0 {
		return 0
	}
	steps := in.Cost.Horizon / in.Cost.StepTime
	return in.Cost.StepTime / sumMax * steps
}

// moveSeconds is the time of loading one expert.
func (in *PlanInput) moveSeconds() float64 {
	return float64(in.Cost.ExpertBytes) / in.Cost.StoreRate
}

func (in *PlanInput) check() error {
	fail := func(format string, args ...any) error {
		return &Error{Kind: KindInput, Reason: fmt.Sprintf(format, args...), Remedy: "correct the planner input"}
	}
	m := in.Current
	if m == nil {
		return fail("there is no current map")
	}
	if err := m.Validate(); err != nil {
		return err
	}
	if len(in.Loads) != len(m.Layers) || len(in.Speeds) != m.Ranks {
		return fail("%d layers of loads and %d speeds for %d layers and %d ranks", len(in.Loads), len(in.Speeds), len(m.Layers), m.Ranks)
	}
	for l, loads := range in.Loads {
		if len(loads) != m.Experts {
			return fail("layer %d has loads of %d experts, want %d", l, len(loads), m.Experts)
		}
		for e, x := range loads {
			if x < 0 || math.IsNaN(x) || math.IsInf(x, 0) {
				return fail("load %v of expert %d in layer %d is not a finite number >= 0", x, e, l)
			}
		}
	}
	for r, v := range in.Speeds {
		if !(v > 0) || math.IsInf(v, 0) {
			return fail("speed %v of rank %d is not a finite number > 0", v, r)
		}
	}
	c := in.Cost
	if c.ExpertBytes < 0 || !(c.StoreRate > 0) || !(c.StepTime > 0) || !(c.Horizon >= 0) {
		return fail("cost model %+v has a value out of range", c)
	}
	return nil
}

// improve makes moves in one layer. Moves are found one after the other; the
// prefix with the largest net saving is kept, since one move often pays only
// together with the next ones when several ranks are equally slow.
func (s *layerState) improve(value, moveSeconds float64) []Move {
	_, start := s.slowest()
	// No move can push the maximum below the mean; stop early if that gain
	// would not pay for one move.
	if (start-s.mean())*value <= moveSeconds {
		return nil
	}
	kept := s.save()
	var moves []Move
	best, bestNet := 0, 0.0
	for len(moves) < maxMovesPerLayer {
		m, ok := s.bestMove()
		if !ok {
			break
		}
		moves = append(moves, m)
		_, t := s.slowest()
		net := (start-t)*value - float64(len(moves))*moveSeconds
		if net > bestNet {
			best, bestNet = len(moves), net
			kept.update(s)
		}
	}
	kept.restore(s)
	return moves[:best]
}

// candidate is a replica to add on a rank in place of another one.
type candidate struct {
	expert int32
	slot   int32
}

// bestMove applies the move that lowers the potential most, if any does.
func (s *layerState) bestMove() (Move, bool) {
	slow, _ := s.slowest()
	saved := s.save()
	bestScore := s.potential() * (1 - sweepGain)
	var best candidate
	found := false
	for _, e := range s.hotExperts(slow) {
		for _, r := range s.fastRanks(e) {
			slot, ok := s.victim(r)
			if !ok {
				continue
			}
			c := candidate{expert: e, slot: slot}
			old := s.replace(c)
			s.settle(c.expert, old)
			score := s.potential()
			s.undo(c, old)
			saved.restoreLoads(s)
			if score < bestScore {
				best, bestScore, found = c, score, true
			}
		}
	}
	if !found {
		return Move{}, false
	}
	old := s.replace(best)
	s.balance(settleSweeps)
	slot := int(best.slot)
	return Move{Rank: slot / s.slots, Slot: slot % s.slots, Expert: best.expert, Replaced: old}, true
}

// hotExperts returns the experts with the largest shares on the rank.
func (s *layerState) hotExperts(rank int) []int32 {
	var best [candidateExperts]int32
	n := 0
	for k := range candidateExperts {
		top := int32(-1)
		for i := rank * s.slots; i < (rank+1)*s.slots; i++ {
			if s.share[i] <= 0 || containsSlot(best[:k], int32(i)) {
				continue
			}
			if top < 0 || s.share[i] > s.share[top] {
				top = int32(i)
			}
		}
		if top < 0 {
			break
		}
		best[k] = top
		n++
	}
	out := make([]int32, n)
	for k := range n {
		out[k] = s.experts[best[k]]
	}
	return out
}

func containsSlot(list []int32, i int32) bool {
	for _, x := range list {
		if x == i {
			return true
		}
	}
	return false
}

// fastRanks returns the ranks with the shortest times that do not hold e.
func (s *layerState) fastRanks(e int32) []int {
	best := make([]int, 0, candidateRanks+1)
	for r := range s.load {
		if len(best) == candidateRanks && s.time(r) >= s.time(best[candidateRanks-1]) {
			continue
		}
		if s.holds(r, e) {
			continue
		}
		if _, ok := s.victim(r); !ok {
			continue
		}
		best = append(best, r)
		for k := len(best) - 1; k > 0 && s.time(best[k]) < s.time(best[k-1]); k-- {
			best[k], best[k-1] = best[k-1], best[k]
		}
		best = best[:min(len(best), candidateRanks)]
	}
	return best
}

func (s *layerState) holds(rank int, e int32) bool {
	for _, x := range s.experts[rank*s.slots : (rank+1)*s.slots] {
		if x == e {
			return true
		}
	}
	return false
}

// victim returns the slot of the rank whose replica is cheapest to drop: an
// empty one, else the one with the smallest share that has other replicas.
func (s *layerState) victim(rank int) (int32, bool) {
	best, found := int32(0), false
	for i := rank * s.slots; i < (rank+1)*s.slots; i++ {
		e := s.experts[i]
		if e == NoExpert {
			return int32(i), true
		}
		if len(s.of[e]) < 2 {
			continue
		}
		if !found || s.share[i] < s.share[best] {
			best, found = int32(i), true
		}
	}
	return best, found
}

// replace puts the candidate's expert into its slot and returns the old one,
// whose load goes to its other replicas.
func (s *layerState) replace(c candidate) int32 {
	old := s.experts[c.slot]
	if old != NoExpert {
		s.load[int(c.slot)/s.slots] -= s.share[c.slot]
		s.share[c.slot] = 0
		s.detach(old, c.slot)
		s.refill(old)
	}
	s.experts[c.slot] = c.expert
	s.of[c.expert] = append(s.of[c.expert], c.slot)
	s.fill(c.expert)
	return old
}

// refill assigns the whole load of an expert that has lost a replica.
func (s *layerState) refill(e int32) {
	slots := s.of[e]
	if len(slots) > 1 {
		s.fill(e)
		return
	}
	i := slots[0]
	s.load[int(i)/s.slots] += s.demand[e] - s.share[i]
	s.share[i] = s.demand[e]
}

// undo restores the placement, but not the loads.
func (s *layerState) undo(c candidate, old int32) {
	s.detach(c.expert, c.slot)
	s.experts[c.slot] = old
	if old != NoExpert {
		s.of[old] = append(s.of[old], c.slot)
	}
}

func (s *layerState) detach(e, slot int32) {
	list := s.of[e]
	for k, i := range list {
		if i == slot {
			list[k] = list[len(list)-1]
			s.of[e] = list[:len(list)-1]
			return
		}
	}
}

// settle balances the experts near a move.
func (s *layerState) settle(a, b int32) {
	for range localSweeps {
		s.fillNear(a)
		if b != NoExpert {
			s.fillNear(b)
		}
	}
}

// fillNear balances e and the experts that share a rank with it.
func (s *layerState) fillNear(e int32) {
	for _, i := range s.of[e] {
		r := int(i) / s.slots
		for _, x := range s.experts[r*s.slots : (r+1)*s.slots] {
			if x != NoExpert && x != e {
				s.fill(x)
			}
		}
	}
	s.fill(e)
}

// savedState is a copy of the variable part of a layerState.
type savedState struct {
	experts []int32
	share   []float64
	load    []float64
}

func (s *layerState) save() *savedState {
	v := &savedState{}
	v.update(s)
	return v
}

func (v *savedState) update(s *layerState) {
	v.experts = append(v.experts[:0], s.experts...)
	v.share = append(v.share[:0], s.share...)
	v.load = append(v.load[:0], s.load...)
}

func (v *savedState) restoreLoads(s *layerState) {
	copy(s.share, v.share)
	copy(s.load, v.load)
}

func (v *savedState) restore(s *layerState) {
	v.restoreLoads(s)
	copy(s.experts, v.experts)
	for e := range s.of {
		s.of[e] = s.of[e][:0]
	}
	for i, e := range s.experts {
		if e != NoExpert {
			s.of[e] = append(s.of[e], int32(i))
		}
	}
}
