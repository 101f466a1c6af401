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
	// requested is the highest map that the rank was to load.
	requested uint64
}

// Accept adds a recorded map. It returns false if the fence rejects the map, e.g.
// because its number is lower than the highest one seen.
func (c *MapCache) Accept(p PackedMap) bool {
	if !c.fence.Accept(p.Number, p.Digest) {
		return false
	}
	for _, m := range c.maps {
		if m.Number == p.Number {
			return true
		}
	}
	c.maps = append(c.maps, p)
	if len(c.maps) > maxCachedMaps {
		c.maps = c.maps[len(c.maps)-maxCachedMaps:]
	}
	return true
}

// Highest returns the highest map number seen.
func (c *MapCache) Highest() uint64 { return c.fence.Highest() }

// Drop removes a map that the rank rejects.
func (c *MapCache) Drop(number uint64) {
	c.maps = slices.DeleteFunc(c.maps, func(m PackedMap) bool { return m.Number == number })
}

// NextToLoad returns the map that the rank must load next, if any: the cached map
// with the lowest number, not below the one in use, that the rank does not hold.
// There is none while the rank is loading. A restarted rank thus gets the map in
// use first, undelayed by the load of a newer map, because the group is stalled
// until the rank holds it. If the rank was to load a newer map before it restarted, the
// group may have switched to that one since the last poll, and the rank gets it first:
// with the older one, the group would go back.
func (c *MapCache) NextToLoad(st RankState) (PackedMap, bool) {
	for _, n := range st.Held {
		c.fence.RaiseTo(n)
	}
	c.active = max(c.active, st.Active)
	c.maps = slices.DeleteFunc(c.maps, func(m PackedMap) bool { return m.Number < c.active })
	if st.Loading != 0 {
		return PackedMap{}, false
	}
	if len(st.Held) == 0 {
		for _, m := range c.maps {
			if m.Number == c.requested {
				return m, true
			}
		}
	}
	for _, m := range c.maps {
		if !slices.Contains(st.Held, m.Number) {
			c.requested = max(c.requested, m.Number)
			return m, true
		}
	}
	return PackedMap{}, false
}
