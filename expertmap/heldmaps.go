package expertmap

import (
	"maps"
	"slices"
)

// HeldMaps is the set of maps that a rank holds, with content of type T. It
// defines what an engine must do in the step exchange: offer Numbers, compute
// Agree over all offered sets, and Enter the step under the agreed number.
type HeldMaps[T any] struct {
	maps   map[uint64]T
	active uint64
}

// Add notes that a map is loaded.
func (h *HeldMaps[T]) Add(number uint64, content T) {
	if h.maps == nil {
		h.maps = make(map[uint64]T)
	}
	h.maps[number] = content
}

// Numbers returns the numbers to offer in the exchange, ascending.
func (h *HeldMaps[T]) Numbers() []uint64 {
	return slices.Sorted(maps.Keys(h.maps))
}

// Get returns a held map.
func (h *HeldMaps[T]) Get(number uint64) (T, bool) {
	m, ok := h.maps[number]
	return m, ok
}

// Active returns the number last used, 0 for none.
func (h *HeldMaps[T]) Active() uint64 { return h.active }

// All returns the contents of all held maps.
func (h *HeldMaps[T]) All() []T {
	return slices.Collect(maps.Values(h.maps))
}

// BeginStep begins a step under the agreed number and returns its content. Maps
// below the number used in the previous step are freed: that step has ended on
// all ranks, since each of them has contributed to this step's exchange.
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
