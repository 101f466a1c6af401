package expertmap

import "slices"

// maxCachedMaps bounds the maps that an agent keeps for reloading: the one in use,
// the one being loaded and one spare.
const maxCachedMaps = 3

// MapCache keeps the recent maps of an agent's rank. It rejects outdated maps and
// selects the map that the rank must load next. It is not safe for concurrent use.
type MapCache struct {
	fence  Fence
	maps   []PackedMap // ascending by number
	active uint64
}

// Accept adds a recorded map. It returns false if the fence rejects the map, e.g.
// because its number is lower than the highest one seen.
func (k *MapCache) Accept(p PackedMap) bool {
	if !k.fence.Accept(p.Number, p.Digest) {
		return false
	}
	for _, m := range k.maps {
		if m.Number == p.Number {
			return true
		}
	}
	k.maps = append(k.maps, p)
	if len(k.maps) > maxCachedMaps {
		k.maps = k.maps[len(k.maps)-maxCachedMaps:]
	}
	return true
}

// Highest returns the highest map number seen.
func (k *MapCache) Highest() uint64 { return k.fence.Highest() }

// Drop removes a map that the rank rejects.
func (k *MapCache) Drop(number uint64) {
	k.maps = slices.DeleteFunc(k.maps, func(m PackedMap) bool { return m.Number == number })
}

// NextToLoad returns the map that the rank must load next, if any: the cached map
// with the lowest number, not below the one in use, that the rank does not hold.
// There is none while the rank is loading. A restarted rank thus gets the map in
// use first, undelayed by the load of a newer map, because the group is stalled
// until the rank holds it.
func (k *MapCache) NextToLoad(st RankState) (PackedMap, bool) {
	for _, n := range st.Held {
		k.fence.RaiseTo(n)
	}
	k.active = max(k.active, st.Active)
	k.maps = slices.DeleteFunc(k.maps, func(m PackedMap) bool { return m.Number < k.active })
	if st.Loading != 0 {
		return PackedMap{}, false
	}
	for _, m := range k.maps {
		if !slices.Contains(st.Held, m.Number) {
			return m, true
		}
	}
	return PackedMap{}, false
}
