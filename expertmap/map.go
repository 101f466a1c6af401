package expertmap

import "fmt"

// WeightTotal is the whole traffic of one expert; weights are parts of it.
// Integers make the sum exact and the canonical form short: at 256 ranks, 256
// experts and 60 layers under drift, a packed map has 56 kB with parts of 1000
// and 77 kB with parts of 10000, at the same skew of 0.070.
const WeightTotal = 1000

// NoExpert marks an empty slot.
const NoExpert = -1

// Map assigns a replica of an expert to each slot of each rank, per layer.
// JSON fields are in alphabetical order so that the encoding is canonical
// (RFC 8785).
type Map struct {
	// Experts is the number of experts per layer.
	Experts int    `json:"experts"`
	Group   string `json:"group"`
	// Layers holds the placement of each layer.
	Layers []Layer `json:"layers"`
	// Number identifies the content; maps of a group are numbered from 1.
	Number uint64 `json:"number"`
	Ranks  int    `json:"ranks"`
	// Slots is the number of slots per rank and layer.
	Slots int `json:"slots"`
}

// Layer is the placement of one layer. Index rank*Slots+slot selects a slot.
type Layer struct {
	// Experts is the expert in each slot, NoExpert for none.
	Experts []int32 `json:"e"`
	// Weights is the part of the expert's traffic that goes to each slot, in
	// parts of WeightUnit.
	Weights []int32 `json:"w"`
}

// ErrorKind is the type of an Error.
type ErrorKind string

// The kinds of map errors.
const (
	KindShape     ErrorKind = "shape"     // dimensions are out of range or do not match
	KindSlot      ErrorKind = "slot"      // a slot names no valid expert, or one twice on a rank
	KindNoReplica ErrorKind = "noreplica" // an expert has no replica in a layer
	KindWeight    ErrorKind = "weight"    // weights of an expert do not sum to WeightUnit
	KindEncoding  ErrorKind = "encoding"  // the bytes are not an encoded map
	KindInput     ErrorKind = "input"     // planner input is invalid
)

// Error is an invalid map or planner input.
type Error struct {
	Kind   ErrorKind
	Reason string
	Remedy string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("expert map (%s): %s; %s", e.Kind, e.Reason, e.Remedy)
}

const remedyPlan = "discard the map and plan a new one"

func invalid(kind ErrorKind, format string, args ...any) error {
	return &Error{Kind: kind, Reason: fmt.Sprintf(format, args...), Remedy: remedyPlan}
}

// Limits on dimensions; they bound the memory that decoding can take.
const (
	MaxRanks   = 4096
	MaxExperts = 4096
	MaxLayers  = 512
	MaxSlots   = 64 // per rank and layer
	maxCells   = 1 << 22
)

// Validate checks the structure of the map: every expert has a replica in
// every layer, no rank holds an expert twice, and weights sum to WeightUnit.
func (m *Map) Validate() error {
	if err := m.validateShape(); err != nil {
		return err
	}
	seen := make([]int, m.Experts) // last rank, counted over all layers, that held the expert
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
				return invalid(KindNoReplica, "layer %d has no replica of expert %d", l, e)
			}
			if sum[e] != WeightTotal {
				return invalid(KindWeight, "weights of expert %d in layer %d sum to %d, not %d", e, l, sum[e], WeightTotal)
			}
		}
	}
	return nil
}

func (m *Map) validateShape() error {
	if m.Ranks < 1 || m.Ranks > MaxRanks || m.Experts < 1 || m.Experts > MaxExperts || m.Slots < 1 || m.Slots > MaxSlots {
		return invalid(KindShape, "%d ranks, %d experts, %d slots are out of range", m.Ranks, m.Experts, m.Slots)
	}
	if len(m.Layers) < 1 || len(m.Layers) > MaxLayers || len(m.Layers)*m.Ranks*m.Slots > maxCells {
		return invalid(KindShape, "%d layers of %d ranks and %d slots are out of range", len(m.Layers), m.Ranks, m.Slots)
	}
	for l := range m.Layers {
		e, w := len(m.Layers[l].Experts), len(m.Layers[l].Weights)
		if e != m.Ranks*m.Slots || w != e {
			return invalid(KindShape, "layer %d has %d slots and %d weights, want %d", l, e, w, m.Ranks*m.Slots)
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
			return invalid(KindSlot, "layer %d slot %d names expert %d of %d with weight %d", l, i, e, m.Experts, w)
		}
		mark := l*m.Ranks + i/m.Slots + 1
		if seen[e] == mark {
			return invalid(KindSlot, "layer %d rank %d holds expert %d twice", l, i/m.Slots, e)
		}
		if w < 0 || w > WeightTotal {
			return invalid(KindWeight, "layer %d slot %d has weight %d", l, i, w)
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

// NewEvenMap returns map 1 of a group whose loads are not known yet: replicas are
// spread evenly. Successive passes over the experts are shifted by one rank,
// so that replicas chain all ranks together and load can be shifted between
// any two of them by weights alone.
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
		m.Layers[l] = firstLayer(ranks, experts, slots)
	}
	return m, m.Validate()
}

func firstLayer(ranks, experts, slots int) Layer {
	n := ranks * slots
	layer := Layer{Experts: make([]int32, n), Weights: make([]int32, n)}
	count := make([]int, experts)
	for i := range n {
		rank, slot := i%ranks, i/ranks
		pass := i / experts
		e := int32((i + pass) % experts)
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

// spreadEvenly gives the replicas of an expert equal weights; the remainder of
// the division goes to the last one.
func spreadEvenly(layer *Layer, count []int) {
	left := append([]int(nil), count...)
	for i, e := range layer.Experts {
		if e == NoExpert {
			continue
		}
		part := WeightTotal / count[e]
		left[e]--
		if left[e] == 0 {
			part = WeightTotal - part*(count[e]-1)
		}
		layer.Weights[i] = int32(part)
	}
}
