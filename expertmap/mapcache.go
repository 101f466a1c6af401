package expertmap

import "slices"

// keptMaps bounds the maps an agent keeps for reloading: the one in use, the
// one being loaded and one spare.
const keptMaps = 3

// MapCache decides for an agent which maps pass and which ones its rank must
// load. It is not safe for concurrent use.
type MapCache struct {
	gate   Fence
	kept   []PackedMap // ascending by number
	active uint64
}

// Accept takes a recorded map. It returns false if its number is lower than the
// highest one seen.
func (k *MapCache) Accept(p PackedMap) bool {
	if !k.gate.Accept(p.Number, p.Digest) {
		return false
	}
	for _, m := range k.kept {
		if m.Number == p.Number {
			return true
		}
	}
	k.kept = append(k.kept, p)
	if len(k.kept) > keptMaps {
		k.kept = k.kept[len(k.kept)-keptMaps:]
	}
	return true
}

// Highest returns the highest number seen.
func (k *MapCache) Highest() uint64 { return k.gate.Highest() }

// Drop gives up a map that the rank refuses.
func (k *MapCache) Drop(number uint64) {
	k.kept = slices.DeleteFunc(k.kept, func(m PackedMap) bool { return m.Number == number })
}

// NextToLoad returns the map that the rank must load next, if any: the lowest kept
// one, from the one in use on, that it neither holds nor loads. A restarted
// rank thus gets the map in use first, because the group stands still until it
// holds that one, and loading of a newer map does not slow it down.
func (k *MapCache) NextToLoad(st RankState) (PackedMap, bool) {
	for _, n := range st.Held {
		k.gate.RaiseTo(n)
	}
	k.active = max(k.active, st.Active)
	k.kept = slices.DeleteFunc(k.kept, func(m PackedMap) bool { return m.Number < k.active })
	if st.Loading != 0 {
		return PackedMap{}, false
	}
	for _, m := range k.kept {
		if !slices.Contains(st.Held, m.Number) {
			return m, true
		}
	}
	return PackedMap{}, false
}
