package expertmap

import (
	"container/heap"
	"sort"
)

// PlanFromScratch is a baseline for the bytes that a plan loads. It ignores the
// current placement: it gives replicas to the experts with the highest load per
// replica, packs them into one bin per rank, largest first, and only then assigns
// each bin to the rank that already holds most of its experts.
func PlanFromScratch(in PlanInput) (PlanResult, error) {
	return planLayers(in, func(l int, next *Layer) {
		current := &in.Current.Layers[l]
		bins := packBins(in.Loads[l], in.Speeds, in.Current.Slots)
		placeBins(next, current, matchBins(bins, current, in.Current.Slots, in.Speeds), bins, in.Current.Slots)
	})
}

// PlanKeepingReplicas is a stricter baseline than PlanFromScratch: it recomputes
// the number of replicas of each expert, but keeps replicas on the ranks that
// already hold them and places only the additional ones.
func PlanKeepingReplicas(in PlanInput) (PlanResult, error) {
	return planLayers(in, func(l int, next *Layer) {
		keepReplicas(next, in.Loads[l], in.Speeds, in.Current.Slots)
	})
}

// planLayers calls placeLayer for every layer of a copy of the current map and
// balances the load over the resulting replicas.
func planLayers(in PlanInput, placeLayer func(l int, next *Layer)) (PlanResult, error) {
	if err := in.validate(); err != nil {
		return PlanResult{}, err
	}
	next := in.Current.Clone()
	next.Number++
	res := PlanResult{Map: next}
	_, before, _ := RankTimes(in.Current, in.Loads, in.Speeds)
	after := 0.0
	for l := range next.Layers {
		placeLayer(l, &next.Layers[l])
		s := newLayerState(&next.Layers[l], next.Slots, in.Loads[l], in.Speeds)
		s.balanceLoads(maxSweeps)
		s.writeTo(&next.Layers[l])
		_, t := s.slowestRank()
		after += t
		res.Moves = append(res.Moves, diffMoves(&in.Current.Layers[l], &next.Layers[l], l, next.Slots)...)
	}
	res.LoadBytes = int64(len(res.Moves)) * in.Cost.ExpertBytes
	res.StepTimeBefore = in.Cost.StepTime
	if before > 0 {
		res.StepTimeAfter = in.Cost.StepTime * after / before
	}
	return res, nil
}

// keepReplicas drops surplus replicas from the ranks with the longest times and
// puts missing ones on free slots of the ranks with the shortest.
func keepReplicas(layer *Layer, load, speeds []float64, slots int) {
	target := replicaCounts(load, len(speeds), slots)
	count := make([]int, len(load))
	rankTime := make([]float64, len(speeds))
	for i, e := range layer.Experts {
		if e != NoExpert {
			count[e]++
			rankTime[i/slots] += load[e] / float64(target[e]) / speeds[i/slots]
		}
	}
	for e := range target {
		for count[e] > target[e] {
			i := mostLoadedReplica(layer, int32(e), slots, rankTime)
			layer.Experts[i] = NoExpert
			rankTime[i/slots] -= load[e] / float64(target[e]) / speeds[i/slots]
			count[e]--
		}
	}
	for e := range target {
		for count[e] < target[e] {
			i := leastLoadedFreeSlot(layer, int32(e), slots, rankTime)
			if i < 0 {
				break
			}
			layer.Experts[i] = int32(e)
			rankTime[i/slots] += load[e] / float64(target[e]) / speeds[i/slots]
			count[e]++
		}
	}
	clear(layer.Weights)
	spreadEvenly(layer, count)
}

// mostLoadedReplica returns the slot that holds e on the rank with the longest time.
func mostLoadedReplica(layer *Layer, e int32, slots int, rankTime []float64) int {
	best := -1
	for i, x := range layer.Experts {
		if x == e && (best < 0 || rankTime[i/slots] > rankTime[best/slots]) {
			best = i
		}
	}
	return best
}

// leastLoadedFreeSlot returns a free slot on the rank with the shortest time that
// does not hold e, -1 if there is none.
func leastLoadedFreeSlot(layer *Layer, e int32, slots int, rankTime []float64) int {
	best := -1
	for i, x := range layer.Experts {
		r := i / slots
		if x != NoExpert || contains(layer.Experts[r*slots:(r+1)*slots], e) {
			continue
		}
		if best < 0 || rankTime[r] < rankTime[best/slots] {
			best = i
		}
	}
	return best
}

// replicaHeap is a heap of experts ordered by load per replica, highest first.
// Experts with limit replicas, one per rank, come last.
type replicaHeap struct {
	load  []float64
	count []int
	ids   []int
	limit int
}

func (h *replicaHeap) loadPerReplica(k int) float64 {
	e := h.ids[k]
	if h.count[e] >= h.limit {
		return -1
	}
	return h.load[e] / float64(h.count[e])
}
func (h *replicaHeap) Len() int           { return len(h.ids) }
func (h *replicaHeap) Less(a, b int) bool { return h.loadPerReplica(a) > h.loadPerReplica(b) }
func (h *replicaHeap) Swap(a, b int)      { h.ids[a], h.ids[b] = h.ids[b], h.ids[a] }
func (h *replicaHeap) Push(any)           {}
func (h *replicaHeap) Pop() any           { return nil }

// replicaCounts returns the number of replicas of each expert. Each slot beyond
// one per expert goes to the expert with the highest load per replica.
func replicaCounts(load []float64, ranks, slots int) []int {
	h := &replicaHeap{load: load, count: make([]int, len(load)), limit: ranks}
	for e := range load {
		h.count[e] = 1
		h.ids = append(h.ids, e)
	}
	heap.Init(h)
	for range ranks*slots - len(load) {
		if h.loadPerReplica(0) < 0 {
			break
		}
		h.count[h.ids[0]]++
		heap.Fix(h, 0)
	}
	return h.count
}

// packBins packs replicas, largest first, into one bin per rank, each into the bin
// whose rank then has the shortest time. It returns the experts of each bin.
func packBins(load, speeds []float64, slots int) [][]int32 {
	count := replicaCounts(load, len(speeds), slots)
	type replica struct {
		expert int32
		load   float64
	}
	var list []replica
	for e, n := range count {
		for range n {
			list = append(list, replica{int32(e), load[e] / float64(n)})
		}
	}
	sort.SliceStable(list, func(a, b int) bool { return list[a].load > list[b].load })
	bins := make([][]int32, len(speeds))
	rankLoad := make([]float64, len(speeds))
	for _, rep := range list {
		best := -1
		for r := range bins {
			if len(bins[r]) >= slots || contains(bins[r], rep.expert) {
				continue
			}
			if best < 0 || (rankLoad[r]+rep.load)/speeds[r] < (rankLoad[best]+rep.load)/speeds[best] {
				best = r
			}
		}
		if best >= 0 {
			bins[best] = append(bins[best], rep.expert)
			rankLoad[best] += rep.load
			continue
		}
		swapIntoBins(bins, rankLoad, rep.expert, rep.load, count, slots)
	}
	return bins
}

// swapIntoBins places a replica of e when every bin with a free slot already holds
// e: it takes the slot of a replica in another bin, which moves to the free slot.
// If that is impossible, the replica is left out. This loses no expert, because
// another bin holds e.
func swapIntoBins(bins [][]int32, rankLoad []float64, e int32, load float64, count []int, slots int) {
	for r := range bins {
		if len(bins[r]) >= slots {
			continue
		}
		for q := range bins {
			if contains(bins[q], e) {
				continue
			}
			for k, x := range bins[q] {
				if contains(bins[r], x) {
					continue
				}
				bins[q][k] = e
				bins[r] = append(bins[r], x)
				rankLoad[q] += load
				return
			}
		}
	}
	count[e]--
}

// speedTolerance is the relative difference in speed up to which a bin packed for
// one rank may be assigned to another.
const speedTolerance = 0.05

// matchBins returns the bin of each rank. It assigns bins greedily, largest overlap
// with the current experts of the rank first, and then swaps the bins of pairs of
// ranks while that raises the total overlap.
func matchBins(bins [][]int32, current *Layer, slots int, speeds []float64) []int {
	n := len(bins)
	overlap := make([][]int8, n)
	for b := range bins {
		overlap[b] = make([]int8, n)
		for r := range n {
			overlap[b][r] = countCommon(bins[b], current.Experts[r*slots:(r+1)*slots])
			if relativeDifference(speeds[b], speeds[r]) > speedTolerance {
				overlap[b][r] = -1
			}
		}
	}
	binOf := make([]int, n)
	used := make([]bool, n)
	for r := range binOf {
		binOf[r] = -1
	}
	for common := int8(slots); common >= 0; common-- {
		for b := range bins {
			for r := 0; r < n && !used[b]; r++ {
				if binOf[r] < 0 && overlap[b][r] == common {
					binOf[r] = b
					used[b] = true
				}
			}
		}
	}
	completeMatch(binOf, used)
	improveMatch(binOf, overlap)
	return binOf
}

func countCommon(bin, row []int32) int8 {
	n := int8(0)
	for _, e := range bin {
		if contains(row, e) {
			n++
		}
	}
	return n
}

func relativeDifference(a, b float64) float64 { return max(a, b)/min(a, b) - 1 }

// completeMatch assigns the unused bins to the ranks without a bin.
func completeMatch(binOf []int, used []bool) {
	b := 0
	for r := range binOf {
		if binOf[r] >= 0 {
			continue
		}
		for used[b] {
			b++
		}
		binOf[r] = b
		used[b] = true
	}
}

// improveMatch swaps the bins of two ranks while that raises the overlap.
func improveMatch(binOf []int, overlap [][]int8) {
	for improved := true; improved; {
		improved = false
		for r := range binOf {
			for q := range r {
				a, b := binOf[r], binOf[q]
				if overlap[a][q] < 0 || overlap[b][r] < 0 {
					continue
				}
				if overlap[a][q]+overlap[b][r] > overlap[a][r]+overlap[b][q] {
					binOf[r], binOf[q] = b, a
					improved = true
				}
			}
		}
	}
}

// placeBins writes the bins to the slots of their ranks, with equal weights per
// replica. An expert that a rank already holds keeps its slot.
func placeBins(next, current *Layer, binOf []int, bins [][]int32, slots int) {
	count := make(map[int32]int)
	for r, b := range binOf {
		row := next.Experts[r*slots : (r+1)*slots]
		old := current.Experts[r*slots : (r+1)*slots]
		for k := range row {
			row[k] = NoExpert
			if old[k] != NoExpert && contains(bins[b], old[k]) {
				row[k] = old[k]
			}
		}
		for _, e := range bins[b] {
			count[e]++
			if contains(row, e) {
				continue
			}
			for k := range row {
				if row[k] == NoExpert {
					row[k] = e
					break
				}
			}
		}
	}
	clear(next.Weights)
	counts := make([]int, 0, len(count))
	for e := range len(count) {
		counts = append(counts, count[int32(e)])
	}
	spreadEvenly(next, counts)
}

// diffMoves returns the moves that lead from old to next in one layer.
func diffMoves(old, next *Layer, layer, slots int) []Move {
	var moves []Move
	for i, e := range next.Experts {
		if e != old.Experts[i] && e != NoExpert {
			moves = append(moves, Move{Layer: layer, Rank: i / slots, Slot: i % slots, Expert: e, Replaced: old.Experts[i]})
		}
	}
	return moves
}
