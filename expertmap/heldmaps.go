package expertmap

import (
	"maps"
	"slices"
)

// HeldMaps is the set of maps that a rank has loaded, with content of type T. It
// is the reference for the exchange with which an engine begins each step: every
// rank offers Numbers, computes AgreedNumber over all offered sets, and calls
// BeginStep with the result. The zero value is an empty set.
type HeldMaps[T any] struct {
	maps   map[uint64]T
	active uint64
}

// Add adds a loaded map.
func (h *HeldMaps[T]) Add(number uint64, content T) {
	if h.maps == nil {
		h.maps = make(map[uint64]T)
	}
	h.maps[number] = content
}

// Numbers returns the numbers of all held maps in ascending order.
func (h *HeldMaps[T]) Numbers() []uint64 {
	return slices.Sorted(maps.Keys(h.maps))
}

// Get returns the content of a map; false if the map is not held.
func (h *HeldMaps[T]) Get(number uint64) (T, bool) {
	m, ok := h.maps[number]
	return m, ok
}

// Active returns the number of the map used in the latest step, 0 for none.
func (h *HeldMaps[T]) Active() uint64 { return h.active }

// All returns the contents of all held maps, in no particular order.
func (h *HeldMaps[T]) All() []T {
	return slices.Collect(maps.Values(h.maps))
}

// BeginStep makes the agreed map active and returns its content; false if the map
// is not held. It frees maps below the number used in the previous step: every
// rank has taken part in the exchange of this step, so the previous step has
// ended on all of them.
func (h *HeldMaps[T]) BeginStep(agreed uint64) (T, bool) {
	content, ok := h.maps[agreed]
	if !ok {
		return content, false
	}
	for n := range h.maps {
		if n < h.active {
			delete(h.maps, n)
		}
	}
	h.active = agreed
	return content, true
}
