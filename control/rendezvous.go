package control

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabinotch/wasabinotch/wire"
)

// sortByRendezvousHash returns the nodes sorted by their rendezvous hash for the
// key, highest first; equal hashes are sorted by ID.
func sortByRendezvousHash(key string, nodes []wire.Node) []wire.Node {
	out := slices.Clone(nodes)
	score := func(n wire.Node) uint64 { return xxhash.Sum64String(key + "\n" + n.ID) }
	slices.SortFunc(out, func(a, b wire.Node) int {
		x, y := score(a), score(b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return out
}

// spreadOverZones returns up to limit nodes in the order of their rendezvous hash
// for the key, taking one node of each zone in turn, so that they cover as many
// zones as possible.
func spreadOverZones(key string, nodes []wire.Node, limit int) []wire.Node {
	byZone := make(map[string][]wire.Node)
	var zones []string
	for _, n := range sortByRendezvousHash(key, nodes) {
		if len(byZone[n.Zone]) == 0 {
			zones = append(zones, n.Zone)
		}
		byZone[n.Zone] = append(byZone[n.Zone], n)
	}
	var out []wire.Node
	for i := 0; len(out) < min(limit, len(nodes)); i++ {
		for _, z := range zones {
			if i < len(byZone[z]) && len(out) < limit {
				out = append(out, byZone[z][i])
			}
		}
	}
	return out
}
