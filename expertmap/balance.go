package expertmap

import "math"

// layerState is the load assignment of one layer while it is balanced.
type layerState struct {
	slots   int       // per rank
	experts []int32   // expert by slot index
	share   []float64 // load assigned to the slot
	of      [][]int32 // slot indices by expert
	demand  []float64 // load by expert
	load    []float64 // load by rank
	speed   []float64 // speed by rank
	order   []int32   // scratch of fill
}

func newLayerState(layer *Layer, slots int, demand, speed []float64) *layerState {
	s := &layerState{
		slots:   slots,
		experts: append([]int32(nil), layer.Experts...),
		share:   make([]float64, len(layer.Experts)),
		of:      make([][]int32, len(demand)),
		demand:  demand,
		load:    make([]float64, len(speed)),
		speed:   speed,
	}
	for i, e := range s.experts {
		if e == NoExpert {
			continue
		}
		s.of[e] = append(s.of[e], int32(i))
		s.share[i] = demand[e] * float64(layer.Weights[i]) / WeightTotal
		s.load[i/slots] += s.share[i]
	}
	return s
}

func (s *layerState) time(rank int) float64 { return s.load[rank] / s.speed[rank] }

// slowest returns the rank with the longest time.
func (s *layerState) slowest() (rank int, t float64) {
	for r := range s.load {
		if x := s.time(r); x > t {
			rank, t = r, x
		}
	}
	return rank, t
}

// mean returns the mean rank time.
func (s *layerState) mean() float64 {
	sum := 0.0
	for r := range s.load {
		sum += s.time(r)
	}
	return sum / float64(len(s.load))
}

// fill splits the load of one expert between its replicas so that the times of
// the ranks that get a part are equal, and no rank without a part is faster.
func (s *layerState) fill(e int32) {
	slots := s.of[e]
	if len(slots) < 2 {
		return
	}
	s.order = s.order[:0]
	for _, i := range slots {
		s.load[int(i)/s.slots] -= s.share[i]
		s.share[i] = 0
		s.insert(i)
	}
	load, speed := s.demand[e], 0.0
	level := 0.0
	n := 0
	for _, i := range s.order {
		r := int(i) / s.slots
		if n > 0 && level <= s.time(r) {
			break
		}
		load += s.load[r]
		speed += s.speed[r]
		level = load / speed
		n++
	}
	for _, i := range s.order[:n] {
		r := int(i) / s.slots
		part := max(0, level*s.speed[r]-s.load[r])
		s.share[i] = part
		s.load[r] += part
	}
}

// insert keeps order sorted by rank time; experts have few replicas.
func (s *layerState) insert(i int32) {
	t := s.time(int(i) / s.slots)
	s.order = append(s.order, i)
	k := len(s.order) - 1
	for k > 0 && s.time(int(s.order[k-1])/s.slots) > t {
		s.order[k] = s.order[k-1]
		k--
	}
	s.order[k] = i
}

// Sweeps of balancing. Block descent over experts converges to the balanced
// split; a sweep that lowers the maximum by less than sweepGain ends it.
const (
	maxSweeps = 40
	sweepGain = 1e-4 // fraction of the maximum
)

// balance splits the load of all experts, alternating the direction so that
// load travels along chains of replicas both ways.
func (s *layerState) balance(sweeps int) {
	_, before := s.slowest()
	n := len(s.of)
	for k := range sweeps {
		for j := range n {
			e := j
			if k%2 == 1 {
				e = n - 1 - j
			}
			s.fill(int32(e))
		}
		if k%4 == 3 {
			_, after := s.slowest()
			if after > before*(1-sweepGain) {
				return
			}
			before = after
		}
	}
}

// potential weighs long rank times heavily but not exclusively, so that of two
// placements with the same maximum the one with fewer slow ranks is better.
func (s *layerState) potential() float64 {
	mean := s.mean()
	if mean == 0 {
		return 0
	}
	sum := 0.0
	for r := range s.load {
		x := s.time(r) / mean
		x *= x
		x *= x
		x *= x
		sum += x * x // 16th power
	}
	return sum
}

// write stores placement and weights into layer. Rounding goes to the largest
// replica, so that the weights of an expert sum to WeightUnit exactly.
func (s *layerState) write(layer *Layer) {
	copy(layer.Experts, s.experts)
	clear(layer.Weights)
	for e, slots := range s.of {
		s.writeExpert(layer, e, slots)
	}
}

func (s *layerState) writeExpert(layer *Layer, e int, slots []int32) {
	if len(slots) == 0 {
		return
	}
	total, largest := 0, slots[0]
	for _, i := range slots {
		part := 1 / float64(len(slots))
		if s.demand[e] > 0 {
			part = s.share[i] / s.demand[e]
		}
		w := int(math.Round(part * WeightTotal))
		w = min(max(w, 0), WeightTotal)
		layer.Weights[i] = int32(w)
		total += w
		if layer.Weights[i] > layer.Weights[largest] {
			largest = i
		}
	}
	layer.Weights[largest] += int32(WeightTotal - total)
}

// RankTimes returns the time of each rank in each layer, in load units, and the
// sum over layers of the maxima and of the means.
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

// Skew is (sum of maxima - sum of means) / sum of means over the layers.
func Skew(m *Map, loads [][]float64, speeds []float64) float64 {
	_, sumMax, sumMean := RankTimes(m, loads, speeds)
	if sumMean == 0 {
		return 0
	}
	return (sumMax - sumMean) / sumMean
}
