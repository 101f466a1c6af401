package rankgroup

import (
	"errors"
	"slices"
)

// MapDelta describes a map by its differences from another one, which a rank's agent may
// have kept. Maps of large groups are too long to be sent to each rank whole.
type MapDelta struct {
	// Base is the version of the other map; 0 is the initial map of a group with the
	// given numbers of ranks, expert sets and experts in each set.
	Base    uint64 `json:"base"`
	Ranks   int    `json:"ranks"`
	Sets    int    `json:"sets"`
	Experts int    `json:"experts"`
	// Changes holds the lists of experts that differ, packed like a map, each preceded by
	// the numbers of its set and rank.
	Changes []byte `json:"changes"`
}

// ErrOtherShape means that maps of different dimensions can't be compared.
var ErrOtherShape = errors.New("the maps have different dimensions; send the whole map")

// NewMapDelta returns the differences of a map from a base, the map of the given version.
func NewMapDelta(m, base *Map, version uint64, experts int) (*MapDelta, error) {
	if len(m.Sets) == 0 || len(base.Sets) != len(m.Sets) {
		return nil, ErrOtherShape
	}
	var numbers []int
	for s, ranks := range m.Sets {
		if len(base.Sets[s]) != len(ranks) {
			return nil, ErrOtherShape
		}
		for r, experts := range ranks {
			if !slices.Equal(experts, base.Sets[s][r]) {
				numbers = append(append(numbers, s, r, len(experts)), experts...)
			}
		}
	}
	changes, err := pack(numbers)
	return &MapDelta{Base: version, Ranks: len(m.Sets[0]), Sets: len(m.Sets), Experts: experts, Changes: changes}, err
}

// Apply returns the map that differs from base as d describes.
func (d *MapDelta) Apply(base *Map) (*Map, error) {
	if len(base.Sets) != d.Sets {
		return nil, ErrOtherShape
	}
	numbers, err := unpack(d.Changes)
	if err != nil {
		return nil, err
	}
	m := base.Clone()
	for len(numbers) > 0 {
		if len(numbers) < 3 {
			return nil, ErrInvalidMap
		}
		set, rank, n := numbers[0], numbers[1], numbers[2]
		if numbers = numbers[3:]; set >= len(m.Sets) || rank >= len(m.Sets[set]) || n > len(numbers) {
			return nil, ErrInvalidMap
		}
		m.Sets[set][rank], numbers = slices.Clone(numbers[:n]), numbers[n:]
	}
	return m, nil
}

// keptMaps is the number of maps that MapHistory keeps: the one in force, the prepared one,
// one before, and two that rollbacks prepared since.
const keptMaps = 5

// MapHistory keeps the last maps that were prepared at a rank. The zero value is ready to
// use; it isn't safe for concurrent use.
type MapHistory struct {
	versions []uint64
	maps     []*Map
}

// Add keeps a map.
func (h *MapHistory) Add(version uint64, m *Map) {
	if len(h.maps) >= keptMaps {
		h.versions, h.maps = slices.Delete(h.versions, 0, 1), slices.Delete(h.maps, 0, 1)
	}
	h.versions, h.maps = append(h.versions, version), append(h.maps, m)
}

// Get returns the map that was kept under a version, nil if none is.
func (h *MapHistory) Get(version uint64) *Map {
	if i := slices.Index(h.versions, version); i >= 0 {
		return h.maps[i]
	}
	return nil
}

// maxMapSize bounds the experts of all sets of a map that is described by a delta.
const maxMapSize = 1 << 20

// Resolve returns the map that a delta describes; ok is false if its base isn't kept or
// the delta can't be applied to it. The whole map must then be sent.
func (h *MapHistory) Resolve(d *MapDelta) (m *Map, ok bool) {
	var base *Map
	if i := slices.Index(h.versions, d.Base); i >= 0 {
		base = h.maps[i]
	} else if d.Base == 0 && d.Ranks > 0 && d.Sets > 0 && d.Experts > 0 && d.Ranks <= maxMapSize && d.Experts <= maxMapSize && d.Sets <= maxMapSize/max(d.Experts, d.Ranks) {
		base = InitialMap(Dimensions{Ranks: d.Ranks, Sets: d.Sets, Experts: d.Experts})
	} else {
		return nil, false
	}
	m, err := d.Apply(base)
	return m, err == nil
}
