package expertmap

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/wasabinotch/wasabinotch/wire"
)

// addReports adds the reports of all ranks to the estimator. It returns false if
// a report is missing or belongs to another map.
func (g *groupCoordinator) addReports(replies []wire.MapReply) bool {
	loads, work, ok := SumLoads(g.current, replies)
	if !ok {
		return false
	}
	if g.estimator == nil {
		g.estimator = NewEstimator(DefaultEstimatorConfig)
	}
	g.estimator.AddLoads(loads)
	g.estimator.AddSpeeds(RelativeSpeeds(work, replies))
	return true
}

// bytesPerLoad is the size of a packed load (bfloat16). Rounding to eight bits of
// mantissa changes a load by at most 0.4%, less than its sampling error.
const bytesPerLoad = 2

// PackLoads encodes the loads of a rank, by layer and slot, for wire.MapReply.
func PackLoads(loads [][]float64) []byte {
	var out []byte
	for _, row := range loads {
		for _, x := range row {
			const half = 1 << 15 // half of the last kept bit, to round to nearest
			out = binary.BigEndian.AppendUint16(out, uint16((math.Float32bits(float32(x))+half)>>16))
		}
	}
	return out
}

// unpackLoad returns the load at index i.
func unpackLoad(packed []byte, i int) float64 {
	bits := binary.BigEndian.Uint16(packed[bytesPerLoad*i:])
	return float64(math.Float32frombits(uint32(bits) << 16))
}

// SumLoads returns the reported loads summed by layer and expert, and the work of
// each rank, which is the sum of its loads. It returns false if a report is missing
// or belongs to another map. It ignores loads that are negative, not finite or of
// an empty slot.
func SumLoads(m *Map, replies []wire.MapReply) (loads [][]float64, work []float64, ok bool) {
	work = make([]float64, m.Ranks)
	loads = make([][]float64, len(m.Layers))
	for l := range loads {
		loads[l] = make([]float64, m.Experts)
	}
	if len(replies) != m.Ranks {
		return nil, nil, false
	}
	for r, reply := range replies {
		if reply.LoadsOf != m.Number || len(reply.Loads) != bytesPerLoad*m.Slots*len(m.Layers) {
			return nil, nil, false
		}
		for i := range m.Slots * len(m.Layers) {
			l, k := i/m.Slots, i%m.Slots
			e := m.Layers[l].Experts[r*m.Slots+k]
			x := unpackLoad(reply.Loads, i)
			if e == NoExpert || !(x >= 0) || math.IsInf(x, 0) {
				continue
			}
			loads[l][e] += x
			work[r] += x
		}
	}
	return loads, work, true
}

// RelativeSpeeds returns the work per time of each rank relative to the median
// rank; 0 for ranks that report no time or have no work.
func RelativeSpeeds(work []float64, replies []wire.MapReply) []float64 {
	speeds := make([]float64, len(work))
	var known []float64
	for r, reply := range replies {
		if reply.StepMS > 0 && work[r] > 0 {
			speeds[r] = work[r] / reply.StepMS
			known = append(known, speeds[r])
		}
	}
	if len(known) == 0 {
		return speeds
	}
	slices.Sort(known)
	median := known[len(known)/2]
	for r := range speeds {
		speeds[r] /= median
	}
	return speeds
}
