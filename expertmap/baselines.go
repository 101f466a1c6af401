package expertmap

import (
	"container/heap"
	"sort"
)

// PlanFromScratch ignores the current placement: it gives replicas to the
// experts with the highest load per replica, packs them onto ranks largest
// first, and only then matches the packed ranks to the ranks that already hold
// most of their experts. It is the baseline for bytes moved.
func PlanFromScratch(in PlanInput) (PlanResult, error) {
	return planLayers(in, func(l int, next *Layer) {
		current := &in.Current.Layers[l]
		bundles := pack(in.Loads[l], in.Speeds, in.Current.Slots)
		place(next, current, matchBundles(bundles, current, in.Current.Slots, in.Speeds), bundles, in.Current.Slots)
	})
}

// PlanKeepingReplicas is a stricter baseline: the number of replicas of each expert is
// planned from scratch, but replicas stay on ranks that hold them already and
// only added ones are placed.
func PlanKeepingReplicas(in PlanInput) (PlanResult, error) {
	return planLayers(in, func(l int, next *Layer) {
		keepReplicas(next, in.Loads[l], in.Speeds, in.Current.Slots)
	})
}

// planLayers applies a placement to every layer and splits the load.
func planLayers(in PlanInput, placeLayer func(l int, next *Layer)) (PlanResult, error) {
	if err := in.check(); err != nil {
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
		s.balance(maxSweeps)
		s.write(&next.Layers[l])
		_, t := s.slowest()
		after += t
		res.Moves = append(res.Moves, moved(&in.Current.Layers[l], &next.Layers[l], l, next.Slots)...)
	}
	res.LoadBytes = int64(len(res.Moves)) * in.Cost.ExpertBytes
	res.StepTimeBefore = in.Cost.StepTime
	if before > 0 {
		res.StepTimeAfter = in.Cost.StepTime * after / before
	}
	return res, nil
}

// keepReplicas drops surplus replicas from the ranks with the highest load and
// puts missing ones on the free slots of the ranks with the lowest.
func keepReplicas(layer *Layer, load, speeds []float64, slots int) {
	want := replicas(load, len(speeds), slots)
	count := make([]int, len(load))
	sum := make([]float64, len(speeds))
	for i, e := range layer.Experts {
		if e != NoExpert {
			count[e]++
			sum[i/slots] += load[e] / float64(want[e]) / speeds[i/slots]
		}
	}
	for e := range want {
		for count[e] > want[e] {
			i := heldBy(layer, int32(e), slots, sum)
			layer.Experts[i] = NoExpert
			sum[i/slots] -= load[e] / float64(want[e]) / speeds[i/slots]
			count[e]--
		}
	}
	for e := range want {
		for count[e] < want[e] {
			i := freeFor(layer, int32(e), slots, sum)
			if i < 0 {
				break
			}
			layer.Experts[i] = int32(e)
			sum[i/slots] += load[e] / float64(want[e]) / speeds[i/slots]
			count[e]++
		}
	}
	clear(layer.Weights)
	spreadEvenly(layer, count)
}

// heldBy returns the slot with e on the rank with the highest sum.
func heldBy(layer *Layer, e int32, slots int, sum []float64) int {
	best := -1
	for i, x := range layer.Experts {
		if x == e && (best < 0 || sum[i/slots] > sum[best/slots]) {
			best = i
		}
	}
	return best
}

// freeFor returns the free slot on the rank with the lowest sum that does not
// hold e, -1 if there is none.
func freeFor(layer *Layer, e int32, slots int, sum []float64) int {
	best := -1
	for i, x := range layer.Experts {
		r := i / slots
		if x != NoExpert || containsSlot(layer.Experts[r*slots:(r+1)*slots], e) {
			continue
		}
		if best < 0 || sum[r] < sum[best/slots] {
			best = i
		}
	}
	return best
}

// replicaHeap orders experts by load per replica, highest first.
type replicaHeap struct {
	load  []float64
	count []int
	ids   []int
	limit int
}

func (h *replicaHeap) per(k int) float64 {
	e := h.ids[k]
	if h.count[e] >= h.limit {
		return -1
	}
	return h.load[e] / float64(h.count[e])
}
func (h *replicaHeap) Len() int           { return len(h.ids) }
func (h *replicaHeap) Less(a, b int) bool { return h.per(a) > h.per(b) }
func (h *replicaHeap) Swap(a, b int)      { h.ids[a], h.ids[b] = h.ids[b], h.ids[a] }
func (h *replicaHeap) Push(any)           {}
func (h *replicaHeap) Pop() any           { return nil }

// replicas divides all slots among the experts.
func replicas(load []float64, ranks, slots int) []int {
	h := &replicaHeap{load: load, count: make([]int, len(load)), limit: ranks}
	for e := range load {
		h.count[e] = 1
		h.ids = append(h.ids, e)
	}
	heap.Init(h)
	for range ranks*slots - len(load) {
		if h.per(0) < 0 {
			break
		}
		h.count[h.ids[0]]++
		heap.Fix(h, 0)
	}
	return h.count
}

// pack puts replicas, largest first, on the rank that finishes earliest.
func pack(load, speeds []float64, slots int) [][]int32 {
	count := replicas(load, len(speeds), slots)
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
	bundles := make([][]int32, len(speeds))
	sum := make([]float64, len(speeds))
	for _, rep := range list {
		best := -1
		for r := range bundles {
			if len(bundles[r]) >= slots || containsSlot(bundles[r], rep.expert) {
				continue
			}
			if best < 0 || (sum[r]+rep.load)/speeds[r] < (sum[best]+rep.load)/speeds[best] {
				best = r
			}
		}
		if best >= 0 {
			bundles[best] = append(bundles[best], rep.expert)
			sum[best] += rep.load
			continue
		}
		exchange(bundles, sum, rep.expert, rep.load, count, slots)
	}
	return bundles
}

// exchange handles a replica for which only ranks with the same expert have a
// free slot: it swaps with a replica of another rank. A replica that is not the
// only one of its expert may be left out.
func exchange(bundles [][]int32, sum []float64, e int32, load float64, count []int, slots int) {
	for r := range bundles {
		if len(bundles[r]) >= slots {
			continue
		}
		for q := range bundles {
			if containsSlot(bundles[q], e) {
				continue
			}
			for k, x := range bundles[q] {
				if containsSlot(bundles[r], x) {
					continue
				}
				bundles[q][k] = e
				bundles[r] = append(bundles[r], x)
				sum[q] += load
				return
			}
		}
	}
	count[e]--
}

// speedTolerance is the relative difference up to which two ranks may swap
// their bundles.
const speedTolerance = 0.05

// matchBundles assigns bundles to ranks, largest overlap with the rank's
// current experts first, and then improves the total overlap by exchanges.
func matchBundles(bundles [][]int32, current *Layer, slots int, speeds []float64) []int {
	n := len(bundles)
	overlap := make([][]int8, n)
	for b := range bundles {
		overlap[b] = make([]int8, n)
		for r := range n {
			overlap[b][r] = overlapOf(bundles[b], current.Experts[r*slots:(r+1)*slots])
			if relative(speeds[b], speeds[r]) > speedTolerance {
				overlap[b][r] = -1
			}
		}
	}
	bundleOf := make([]int, n)
	used := make([]bool, n)
	for r := range bundleOf {
		bundleOf[r] = -1
	}
	for common := int8(slots); common >= 0; common-- {
		for b := range bundles {
			for r := 0; r < n && !used[b]; r++ {
				if bundleOf[r] < 0 && overlap[b][r] == common {
					bundleOf[r] = b
					used[b] = true
				}
			}
		}
	}
	completeMatch(bundleOf, used)
	improveMatch(bundleOf, overlap)
	return bundleOf
}

func overlapOf(bundle, row []int32) int8 {
	n := int8(0)
	for _, e := range bundle {
		if containsSlot(row, e) {
			n++
		}
	}
	return n
}

func relative(a, b float64) float64 { return max(a, b)/min(a, b) - 1 }

// completeMatch gives ranks left over the bundles left over.
func completeMatch(bundleOf []int, used []bool) {
	b := 0
	for r := range bundleOf {
		if bundleOf[r] >= 0 {
			continue
		}
		for used[b] {
			b++
		}
		bundleOf[r] = b
		used[b] = true
	}
}

// improveMatch exchanges the bundles of two ranks while that raises the overlap.
func improveMatch(bundleOf []int, overlap [][]int8) {
	for improved := true; improved; {
		improved = false
		for r := range bundleOf {
			for q := range r {
				a, b := bundleOf[r], bundleOf[q]
				if overlap[a][q] < 0 || overlap[b][r] < 0 {
					continue
				}
				if overlap[a][q]+overlap[b][r] > overlap[a][r]+overlap[b][q] {
					bundleOf[r], bundleOf[q] = b, a
					improved = true
				}
			}
		}
	}
}

// place writes the bundles into slots; an expert that a rank already holds
// keeps its slot.
func place(next, current *Layer, bundleOf []int, bundles [][]int32, slots int) {
	count := make(map[int32]int)
	for r, b := range bundleOf {
		row := next.Experts[r*slots : (r+1)*slots]
		old := current.Experts[r*slots : (r+1)*slots]
		for k := range row {
			row[k] = NoExpert
			if old[k] != NoExpert && containsSlot(bundles[b], old[k]) {
				row[k] = old[k]
			}
		}
		for _, e := range bundles[b] {
			count[e]++
			if containsSlot(row, e) {
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

func moved(old, next *Layer, layer, slots int) []Move {
	var moves []Move
	for i, e := range next.Experts {
		if e != old.Experts[i] && e != NoExpert {
			moves = append(moves, Move{Layer: layer, Rank: i / slots, Slot: i % slots, Expert: e, Replaced: old.Experts[i]})
		}
	}
	return moves
}
