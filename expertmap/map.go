package expertmap

import "fmt"

// WeightTotal is the sum of the weights of all replicas of one expert in a layer.
// Integer weights make the sum exact and the canonical JSON short: with 256 ranks,
// 256 experts, 60 layers and drifting loads, a packed map has 56 kB with a total
// of 1000 and 77 kB with 10000, at the same skew of 0.070.
const WeightTotal = 1000

// NoExpert marks an empty slot.
const NoExpert = -1

// Map assigns a replica of an expert to each slot of each rank, in each layer.
// Fields are in alphabetical order of their JSON names so that the encoding is
// canonical (RFC 8785).
type Map struct {
	// Experts is the number of experts per layer.
	Experts int    `json:"experts"`
	Group   string `json:"group"`
	// Layers is the placement by layer.
	Layers []Layer `json:"layers"`
	// Number identifies the content. It increases with each new map of a group,
	// starting from 1.
	Number uint64 `json:"number"`
	Ranks  int    `json:"ranks"`
	// Slots is the number of slots per rank and layer.
	Slots int `json:"slots"`
}

// Layer is the placement of one layer. Both slices are indexed by rank*Slots+slot.
type Layer struct {
	// Experts is the expert in each slot, NoExpert for none.
	Experts []int32 `json:"e"`
	// Weights is the fraction of the expert's traffic that goes to each slot, as a
	// multiple of 1/WeightTotal.
	Weights []int32 `json:"w"`
}

// ErrorKind classifies an Error.
type ErrorKind string

// The values of ErrorKind.
const (
	KindShape     ErrorKind = "shape"     // dimensions are out of range or do not match
	KindSlot      ErrorKind = "slot"      // a slot has an invalid expert, or a rank has an expert twice
	KindNoReplica ErrorKind = "noreplica" // an expert has no replica in a layer
	KindWeight    ErrorKind = "weight"    // a weight is out of range or an expert's weights do not sum to WeightTotal
	KindEncoding  ErrorKind = "encoding"  // the bytes are not an encoded map
	KindInput     ErrorKind = "input"     // planner input is invalid
)

// Error reports an invalid map or invalid planner input.
type Error struct {
	Kind   ErrorKind
	Reason string
	Remedy string
}

func (e *Error) Error() string {
	return fmt.Sprintf("expert map (%s): %s; %s", e.Kind, e.Reason, e.Remedy)
}

const remedyPlan = "discard the map and plan a new one"

func invalidMap(kind ErrorKind, format string, args ...any) error {
	return &Error{Kind: kind, Reason: fmt.Sprintf(format, args...), Remedy: remedyPlan}
}

// Limits on dimensions. They bound the memory that validation and planning use.
const (
	MaxRanks      = 4096
	MaxExperts    = 4096
	MaxLayers     = 512
	MaxSlots      = 64      // per rank and layer
	maxTotalSlots = 1 << 22 // over all layers and ranks
)

// Validate checks the structure of the map: dimensions are within the limits,
// every expert has a replica in every layer, no rank has an expert twice in a
// layer, and the weights of each expert sum to WeightTotal in each layer.
func (m *Map) Validate() error {
	if err := m.validateShape(); err != nil {
		return err
	}
	seen := make([]int, m.Experts) // by expert: layer*Ranks+rank+1 of the last rank found to hold it
	sum := make([]int, m.Experts)
	count := make([]int, m.Experts)
	for l := range m.Layers {
		clear(sum)
		clear(count)
		if err := m.validateSlots(l, seen, sum, count); err != nil {
			return err
		}
		for e, n := range count {
			if n == 0 {
				return invalidMap(KindNoReplica, "layer %d has no replica of expert %d", l, e)
			}
			if sum[e] != WeightTotal {
				return invalidMap(KindWeight, "weights of expert %d in layer %d sum to %d, not %d", e, l, sum[e], WeightTotal)
			}
		}
	}
	return nil
}

func (m *Map) validateShape() error {
	if m.Ranks < 1 || m.Ranks > MaxRanks || m.Experts < 1 || m.Experts > MaxExperts || m.Slots < 1 || m.Slots > MaxSlots {
		return invalidMap(KindShape, "%d ranks, %d experts, %d slots are out of range", m.Ranks, m.Experts, m.Slots)
	}
	if len(m.Layers) < 1 || len(m.Layers) > MaxLayers || len(m.Layers)*m.Ranks*m.Slots > maxTotalSlots {
		return invalidMap(KindShape, "%d layers of %d ranks and %d slots are out of range", len(m.Layers), m.Ranks, m.Slots)
	}
	for l := range m.Layers {
		e, w := len(m.Layers[l].Experts), len(m.Layers[l].Weights)
		if e != m.Ranks*m.Slots || w != e {
			return invalidMap(KindShape, "layer %d has %d slots and %d weights, want %d", l, e, w, m.Ranks*m.Slots)
		}
	}
	return nil
}

func (m *Map) validateSlots(l int, seen, sum, count []int) error {
	layer := &m.Layers[l]
	for i, e := range layer.Experts {
		w := layer.Weights[i]
		if e == NoExpert && w == 0 {
			continue
		}
		if e < 0 || int(e) >= m.Experts {
			return invalidMap(KindSlot, "layer %d slot %d has invalid expert %d (of %d) with weight %d", l, i, e, m.Experts, w)
		}
		mark := l*m.Ranks + i/m.Slots + 1
		if seen[e] == mark {
			return invalidMap(KindSlot, "layer %d rank %d holds expert %d twice", l, i/m.Slots, e)
		}
		if w < 0 || w > WeightTotal {
			return invalidMap(KindWeight, "layer %d slot %d has weight %d", l, i, w)
		}
		seen[e] = mark
		sum[e] += int(w)
		count[e]++
	}
	return nil
}

// Clone returns a deep copy.
func (m *Map) Clone() *Map {
	c := *m
	c.Layers = make([]Layer, len(m.Layers))
	for l := range m.Layers {
		c.Layers[l].Experts = append([]int32(nil), m.Layers[l].Experts...)
		c.Layers[l].Weights = append([]int32(nil), m.Layers[l].Weights...)
	}
	return &c
}

// NewEvenMap returns a map with number 1 for a group whose loads are unknown: all
// experts have about the same number of replicas. Experts are assigned to the
// slots in rounds, each shifted by one rank, so that ranks are linked by common
// experts and load can move between any two ranks by changes of weights alone.
func NewEvenMap(group string, ranks, layers, experts, slots int) (*Map, error) {
	if ranks < 1 || slots < 1 || ranks*slots < experts {
		return nil, &Error{Kind: KindShape,
			Reason: fmt.Sprintf("%d ranks with %d slots cannot hold %d experts", ranks, slots, experts),
			Remedy: "raise slots_per_rank or ranks of the group in the bundle"}
	}
	m := &Map{Experts: experts, Group: group, Number: 1, Ranks: ranks, Slots: slots, Layers: make([]Layer, layers)}
	if layers > MaxLayers || ranks > MaxRanks || slots > MaxSlots || experts > MaxExperts {
		return nil, m.validateShape()
	}
	for l := range m.Layers {
		m.Layers[l] = evenLayer(ranks, experts, slots)
	}
	return m, m.Validate()
}

func evenLayer(ranks, experts, slots int) Layer {
	n := ranks * slots
	layer := Layer{Experts: make([]int32, n), Weights: make([]int32, n)}
	count := make([]int, experts)
	for i := range n {
		rank, slot := i%ranks, i/ranks
		round := i / experts
		e := int32((i + round) % experts)
		held := layer.Experts[rank*slots : rank*slots+slot]
		for _, h := range held {
			if h == e {
				e = NoExpert
				break
			}
		}
		layer.Experts[rank*slots+slot] = e
		if e != NoExpert {
			count[e]++
		}
	}
	spreadEvenly(&layer, count)
	return layer
}

// spreadEvenly gives the replicas of each expert equal weights; the remainder of
// the division goes to the last replica. count is the number of replicas by expert.
func spreadEvenly(layer *Layer, count []int) {
	remaining := append([]int(nil), count...)
	for i, e := range layer.Experts {
		if e == NoExpert {
			continue
		}
		weight := WeightTotal / count[e]
		remaining[e]--
		if remaining[e] == 0 {
			weight = WeightTotal - weight*(count[e]-1)
		}
		layer.Weights[i] = int32(weight)
	}
}
