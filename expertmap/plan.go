package expertmap

import (
	"fmt"
	"math"
)

// CostModel holds the quantities with which the planner weighs the time to load an
// expert against the saved step time.
type CostModel struct {
	// ExpertBytes is the size of one expert's weights, in bytes.
	ExpertBytes int64
	// StoreRate is the read rate of the weight store, in bytes/s.
	StoreRate float64
	// StepTime is the current step time, in seconds.
	StepTime float64
	// Horizon is the time over which savings in step time are counted, in seconds.
	Horizon float64
}

// PlanInput holds the inputs of the planner.
type PlanInput struct {
	Current *Map
	// Loads holds the expected load by layer and expert, in any unit.
	Loads [][]float64
	// Speeds holds the relative speed by rank, 1 for a nominal rank.
	Speeds []float64
	Cost   CostModel
}

// Move is the replacement of the replica in a slot: the rank loads the weights of
// another expert.
type Move struct {
	Layer    int
	Rank     int
	Slot     int   // within the rank
	Expert   int32 // the expert that is loaded
	Replaced int32 // the expert that is dropped, or NoExpert
}

// PlanResult is a planned map with its moves, cost and expected step times.
type PlanResult struct {
	// Map is the new map; its number is one above the current one.
	Map   *Map
	Moves []Move
	// LoadBytes is the amount of data to load from the weight store, in bytes.
	LoadBytes int64
	// StepTimeBefore and StepTimeAfter are the expected step times in seconds.
	StepTimeBefore, StepTimeAfter float64
}

// Limits of the search for moves in one layer. They bound the planning time.
const (
	maxMovesPerLayer = 24
	candidateRanks   = 24
	candidateExperts = 2
	nearbySweeps     = 4
	moveSweeps       = 8
)

// Plan returns a map for the given loads and speeds. In each layer it first shifts
// weights between existing replicas, which loads nothing, and then makes the moves
// whose saving in step time over the horizon exceeds the time to load them. It
// fails if the input is invalid.
func Plan(in PlanInput) (PlanResult, error) {
	if err := in.validate(); err != nil {
		return PlanResult{}, err
	}
	next := in.Current.Clone()
	next.Number++
	res := PlanResult{Map: next}
	_, before, _ := RankTimes(in.Current, in.Loads, in.Speeds)
	secondsPerLoad := in.secondsPerLoad(before)
	after := 0.0
	for l := range next.Layers {
		s := newLayerState(&next.Layers[l], next.Slots, in.Loads[l], in.Speeds)
		s.balanceLoads(maxSweeps)
		moves := s.findMoves(secondsPerLoad, in.moveSeconds())
		s.writeTo(&next.Layers[l])
		_, t := s.slowestRank()
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

// secondsPerLoad returns the time in seconds saved over the horizon per unit of
// load by which the longest rank time of a layer falls. sumMax is the sum of the
// longest rank times over the layers before planning.
func (in *PlanInput) secondsPerLoad(sumMax float64) float64 {
	if sumMax == 0 {
		return 0
	}
	steps := in.Cost.Horizon / in.Cost.StepTime
	return in.Cost.StepTime / sumMax * steps
}

// moveSeconds returns the time to load one expert, in seconds.
func (in *PlanInput) moveSeconds() float64 {
	return float64(in.Cost.ExpertBytes) / in.Cost.StoreRate
}

func (in *PlanInput) validate() error {
	invalidInput := func(format string, args ...any) error {
		return &Error{Kind: KindInput, Reason: fmt.Sprintf(format, args...), Remedy: "correct the planner input"}
	}
	m := in.Current
	if m == nil {
		return invalidInput("the current map is missing")
	}
	if err := m.Validate(); err != nil {
		return err
	}
	if len(in.Loads) != len(m.Layers) || len(in.Speeds) != m.Ranks {
		return invalidInput("%d layers of loads and %d speeds for %d layers and %d ranks", len(in.Loads), len(in.Speeds), len(m.Layers), m.Ranks)
	}
	for l, loads := range in.Loads {
		if len(loads) != m.Experts {
			return invalidInput("layer %d has loads of %d experts, want %d", l, len(loads), m.Experts)
		}
		for e, x := range loads {
			if x < 0 || math.IsNaN(x) || math.IsInf(x, 0) {
				return invalidInput("load %v of expert %d in layer %d is not a finite number >= 0", x, e, l)
			}
		}
	}
	for r, v := range in.Speeds {
		if !(v > 0) || math.IsInf(v, 0) {
			return invalidInput("speed %v of rank %d is not a finite number > 0", v, r)
		}
	}
	c := in.Cost
	if c.ExpertBytes < 0 || !(c.StoreRate > 0) || !(c.StepTime > 0) || !(c.Horizon >= 0) {
		return invalidInput("cost model %+v has a value out of range", c)
	}
	return nil
}

// findMoves finds and applies moves in one layer, one after the other. It keeps the
// prefix with the largest net saving and reverts the rest: when several ranks are
// equally slow, a move often saves time only together with the following ones.
// secondsPerLoad is the value of a unit of load, moveSeconds the cost of a move.
func (s *layerState) findMoves(secondsPerLoad, moveSeconds float64) []Move {
	_, timeBefore := s.slowestRank()
	// Moves cannot lower the longest time below the mean. If even that would
	// save less than one move costs, no search is needed.
	if (timeBefore-s.meanTime())*secondsPerLoad <= moveSeconds {
		return nil
	}
	bestState := s.save()
	var moves []Move
	bestCount, bestNet := 0, 0.0
	for len(moves) < maxMovesPerLayer {
		m, ok := s.bestMove()
		if !ok {
			break
		}
		moves = append(moves, m)
		_, t := s.slowestRank()
		net := (timeBefore-t)*secondsPerLoad - float64(len(moves))*moveSeconds
		if net > bestNet {
			bestCount, bestNet = len(moves), net
			bestState.update(s)
		}
	}
	bestState.restore(s)
	return moves[:bestCount]
}

// candidate is a replica of expert to be placed in slot, in place of the one there.
type candidate struct {
	expert int32
	slot   int32
}

// bestMove applies the move of an expert from the slowest rank that lowers the
// imbalance most. It returns false if none lowers it by minRelativeGain.
func (s *layerState) bestMove() (Move, bool) {
	slow, _ := s.slowestRank()
	saved := s.save()
	bestScore := s.imbalance() * (1 - minRelativeGain)
	var best candidate
	found := false
	for _, e := range s.heaviestExperts(slow) {
		for _, r := range s.fastestRanks(e) {
			slot, ok := s.evictionSlot(r)
			if !ok {
				continue
			}
			c := candidate{expert: e, slot: slot}
			old := s.replace(c)
			s.balanceNear(c.expert, old)
			score := s.imbalance()
			s.rollBack(c, old)
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
	s.balanceLoads(moveSweeps)
	slot := int(best.slot)
	return Move{Rank: slot / s.slots, Slot: slot % s.slots, Expert: best.expert, Replaced: old}, true
}

// heaviestExperts returns up to candidateExperts experts of the rank, those with the
// highest load in their slots first.
func (s *layerState) heaviestExperts(rank int) []int32 {
	var best [candidateExperts]int32
	n := 0
	for k := range candidateExperts {
		top := int32(-1)
		for i := rank * s.slots; i < (rank+1)*s.slots; i++ {
			if s.slotLoad[i] <= 0 || contains(best[:k], int32(i)) {
				continue
			}
			if top < 0 || s.slotLoad[i] > s.slotLoad[top] {
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

func contains(list []int32, value int32) bool {
	for _, x := range list {
		if x == value {
			return true
		}
	}
	return false
}

// fastestRanks returns up to candidateRanks ranks that do not hold e and have a slot
// to evict, by ascending time.
func (s *layerState) fastestRanks(e int32) []int {
	best := make([]int, 0, candidateRanks+1)
	for r := range s.rankLoad {
		if len(best) == candidateRanks && s.rankTime(r) >= s.rankTime(best[candidateRanks-1]) {
			continue
		}
		if s.holds(r, e) {
			continue
		}
		if _, ok := s.evictionSlot(r); !ok {
			continue
		}
		best = append(best, r)
		for k := len(best) - 1; k > 0 && s.rankTime(best[k]) < s.rankTime(best[k-1]); k-- {
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

// evictionSlot returns the slot of the rank to be overwritten by a move: an empty
// slot, else the slot with the lowest load among those whose expert has other
// replicas. It returns false if there is none.
func (s *layerState) evictionSlot(rank int) (int32, bool) {
	best, found := int32(0), false
	for i := rank * s.slots; i < (rank+1)*s.slots; i++ {
		e := s.experts[i]
		if e == NoExpert {
			return int32(i), true
		}
		if len(s.slotsOf[e]) < 2 {
			continue
		}
		if !found || s.slotLoad[i] < s.slotLoad[best] {
			best, found = int32(i), true
		}
	}
	return best, found
}

// replace puts the expert of c into its slot and returns the replaced expert, or
// NoExpert. The load of the replaced expert goes to its other replicas.
func (s *layerState) replace(c candidate) int32 {
	old := s.experts[c.slot]
	if old != NoExpert {
		s.rankLoad[int(c.slot)/s.slots] -= s.slotLoad[c.slot]
		s.slotLoad[c.slot] = 0
		s.removeReplica(old, c.slot)
		s.reassignLoad(old)
	}
	s.experts[c.slot] = c.expert
	s.slotsOf[c.expert] = append(s.slotsOf[c.expert], c.slot)
	s.splitLoad(c.expert)
	return old
}

// reassignLoad assigns the whole load of an expert that has lost a replica to the
// remaining ones.
func (s *layerState) reassignLoad(e int32) {
	slots := s.slotsOf[e]
	if len(slots) > 1 {
		s.splitLoad(e)
		return
	}
	i := slots[0]
	s.rankLoad[int(i)/s.slots] += s.expertLoad[e] - s.slotLoad[i]
	s.slotLoad[i] = s.expertLoad[e]
}

// rollBack reverts the placement change of replace, but not the loads. old is the
// replaced expert.
func (s *layerState) rollBack(c candidate, old int32) {
	s.removeReplica(c.expert, c.slot)
	s.experts[c.slot] = old
	if old != NoExpert {
		s.slotsOf[old] = append(s.slotsOf[old], c.slot)
	}
}

func (s *layerState) removeReplica(e, slot int32) {
	list := s.slotsOf[e]
	for k, i := range list {
		if i == slot {
			list[k] = list[len(list)-1]
			s.slotsOf[e] = list[:len(list)-1]
			return
		}
	}
}

// balanceNear rebalances a and b, the added and the replaced expert of a move, and
// the experts on the same ranks. It is a fast approximation of balanceLoads.
func (s *layerState) balanceNear(a, b int32) {
	for range nearbySweeps {
		s.splitLoadsNear(a)
		if b != NoExpert {
			s.splitLoadsNear(b)
		}
	}
}

// splitLoadsNear splits the loads of the experts that share a rank with e, then the
// load of e.
func (s *layerState) splitLoadsNear(e int32) {
	for _, i := range s.slotsOf[e] {
		r := int(i) / s.slots
		for _, x := range s.experts[r*s.slots : (r+1)*s.slots] {
			if x != NoExpert && x != e {
				s.splitLoad(x)
			}
		}
	}
	s.splitLoad(e)
}

// savedState is a copy of the fields of a layerState that moves and balancing change.
type savedState struct {
	experts  []int32
	slotLoad []float64
	rankLoad []float64
}

func (s *layerState) save() *savedState {
	v := &savedState{}
	v.update(s)
	return v
}

func (v *savedState) update(s *layerState) {
	v.experts = append(v.experts[:0], s.experts...)
	v.slotLoad = append(v.slotLoad[:0], s.slotLoad...)
	v.rankLoad = append(v.rankLoad[:0], s.rankLoad...)
}

func (v *savedState) restoreLoads(s *layerState) {
	copy(s.slotLoad, v.slotLoad)
	copy(s.rankLoad, v.rankLoad)
}

func (v *savedState) restore(s *layerState) {
	v.restoreLoads(s)
	copy(s.experts, v.experts)
	for e := range s.slotsOf {
		s.slotsOf[e] = s.slotsOf[e][:0]
	}
	for i, e := range s.experts {
		if e != NoExpert {
			s.slotsOf[e] = append(s.slotsOf[e], int32(i))
		}
	}
}
