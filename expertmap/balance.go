package expertmap

import "math"

// layerState is the placement and load assignment of one layer during planning.
type layerState struct {
	slots      int       // per rank
	experts    []int32   // expert by slot index (rank*slots + slot of the rank)
	slotLoad   []float64 // load by slot index
	slotsOf    [][]int32 // slot indices by expert
	expertLoad []float64 // load by expert
	rankLoad   []float64 // load by rank
	rankSpeed  []float64 // speed by rank
	byTime     []int32   // buffer of splitLoad: slot indices by ascending rank time
}

func newLayerState(layer *Layer, slots int, expertLoad, rankSpeed []float64) *layerState {
	s := &layerState{
		slots:      slots,
		experts:    append([]int32(nil), layer.Experts...),
		slotLoad:   make([]float64, len(layer.Experts)),
		slotsOf:    make([][]int32, len(expertLoad)),
		expertLoad: expertLoad,
		rankLoad:   make([]float64, len(rankSpeed)),
		rankSpeed:  rankSpeed,
	}
	for i, e := range s.experts {
		if e == NoExpert {
			continue
		}
		s.slotsOf[e] = append(s.slotsOf[e], int32(i))
		s.slotLoad[i] = expertLoad[e] * float64(layer.Weights[i]) / WeightTotal
		s.rankLoad[i/slots] += s.slotLoad[i]
	}
	return s
}

func (s *layerState) rankTime(rank int) float64 { return s.rankLoad[rank] / s.rankSpeed[rank] }

// slowestRank returns the rank with the longest time, and that time.
func (s *layerState) slowestRank() (rank int, t float64) {
	for r := range s.rankLoad {
		if x := s.rankTime(r); x > t {
			rank, t = r, x
		}
	}
	return rank, t
}

func (s *layerState) meanTime() float64 {
	sum := 0.0
	for r := range s.rankLoad {
		sum += s.rankTime(r)
	}
	return sum / float64(len(s.rankLoad))
}

// splitLoad divides the load of one expert among its replicas by water-filling:
// the ranks that receive a part end up with equal times, and the other ranks that
// hold a replica are no faster.
func (s *layerState) splitLoad(e int32) {
	slots := s.slotsOf[e]
	if len(slots) < 2 {
		return
	}
	s.byTime = s.byTime[:0]
	for _, i := range slots {
		s.rankLoad[int(i)/s.slots] -= s.slotLoad[i]
		s.slotLoad[i] = 0
		s.insertByTime(i)
	}
	totalLoad, totalSpeed := s.expertLoad[e], 0.0
	level := 0.0
	n := 0
	for _, i := range s.byTime {
		r := int(i) / s.slots
		if n > 0 && level <= s.rankTime(r) {
			break
		}
		totalLoad += s.rankLoad[r]
		totalSpeed += s.rankSpeed[r]
		level = totalLoad / totalSpeed
		n++
	}
	for _, i := range s.byTime[:n] {
		r := int(i) / s.slots
		part := max(0, level*s.rankSpeed[r]-s.rankLoad[r])
		s.slotLoad[i] = part
		s.rankLoad[r] += part
	}
}

// insertByTime adds a slot to byTime, keeping it sorted by rank time. Insertion
// sort suffices because experts have few replicas.
func (s *layerState) insertByTime(i int32) {
	t := s.rankTime(int(i) / s.slots)
	s.byTime = append(s.byTime, i)
	k := len(s.byTime) - 1
	for k > 0 && s.rankTime(int(s.byTime[k-1])/s.slots) > t {
		s.byTime[k] = s.byTime[k-1]
		k--
	}
	s.byTime[k] = i
}

// Limits of balanceLoads. Block coordinate descent over the experts converges to
// the balanced split; it ends when four sweeps together lower the longest rank
// time by less than minRelativeGain.
const (
	maxSweeps       = 40
	minRelativeGain = 1e-4 // fraction of the longest rank time
)

// balanceLoads splits the load of all experts in at most the given number of
// sweeps. The direction alternates so that load moves both ways along chains of
// ranks that share replicas.
func (s *layerState) balanceLoads(sweeps int) {
	_, before := s.slowestRank()
	n := len(s.slotsOf)
	for k := range sweeps {
		for j := range n {
			e := j
			if k%2 == 1 {
				e = n - 1 - j
			}
			s.splitLoad(int32(e))
		}
		if k%4 == 3 {
			_, after := s.slowestRank()
			if after > before*(1-minRelativeGain) {
				return
			}
			before = after
		}
	}
}

// imbalance returns the sum over ranks of the 16th power of the rank time relative
// to the mean. It is dominated by the longest times but not determined by the
// maximum alone, so that of two placements with the same maximum the one with
// fewer slow ranks scores lower.
func (s *layerState) imbalance() float64 {
	mean := s.meanTime()
	if mean == 0 {
		return 0
	}
	sum := 0.0
	for r := range s.rankLoad {
		x := s.rankTime(r) / mean
		x *= x
		x *= x
		x *= x
		sum += x * x // 16th power
	}
	return sum
}

// writeTo stores placement and weights in layer. The replica with the largest
// weight absorbs the rounding error, so that the weights of an expert sum to
// WeightTotal exactly.
func (s *layerState) writeTo(layer *Layer) {
	copy(layer.Experts, s.experts)
	clear(layer.Weights)
	for e, slots := range s.slotsOf {
		s.writeWeights(layer, e, slots)
	}
}

func (s *layerState) writeWeights(layer *Layer, e int, slots []int32) {
	if len(slots) == 0 {
		return
	}
	total, largest := 0, slots[0]
	for _, i := range slots {
		fraction := 1 / float64(len(slots))
		if s.expertLoad[e] > 0 {
			fraction = s.slotLoad[i] / s.expertLoad[e]
		}
		w := int(math.Round(fraction * WeightTotal))
		w = min(max(w, 0), WeightTotal)
		layer.Weights[i] = int32(w)
		total += w
		if layer.Weights[i] > layer.Weights[largest] {
			largest = i
		}
	}
	layer.Weights[largest] += int32(WeightTotal - total)
}

// RankTimes returns the time of each rank by layer and rank, in units of load at
// speed 1, and the sums over the layers of the maximum and of the mean time.
func RankTimes(m *Map, loads [][]float64, speeds []float64) (times [][]float64, sumMax, sumMean float64) {
	times = make([][]float64, len(m.Layers))
	for l := range m.Layers {
		t := make([]float64, m.Ranks)
		for i, e := range m.Layers[l].Experts {
			if e != NoExpert {
				t[i/m.Slots] += loads[l][e] * float64(m.Layers[l].Weights[i]) / WeightTotal
			}
		}
		longest, sum := 0.0, 0.0
		for r := range t {
			t[r] /= speeds[r]
			longest = max(longest, t[r])
			sum += t[r]
		}
		times[l] = t
		sumMax += longest
		sumMean += sum / float64(m.Ranks)
	}
	return times, sumMax, sumMean
}

// Skew returns (sum of maxima - sum of means) / sum of means of the rank times
// over the layers; 0 if there is no load.
func Skew(m *Map, loads [][]float64, speeds []float64) float64 {
	_, sumMax, sumMean := RankTimes(m, loads, speeds)
	if sumMean == 0 {
		return 0
	}
	return (sumMax - sumMean) / sumMean
}
