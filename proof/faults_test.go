package proof

import (
	"net/netip"
)

// cutZone parts a zone from all others and from the store; traffic within the
// zone goes on. It returns the function that heals the cut.
func (c *cluster) cutZone(zone string) func() {
	inZone := map[netip.Addr]bool{}
	for _, n := range c.nodes {
		inZone[n.ip] = n.zone == zone
	}
	return c.net.add(func(source netip.Addr, target string) (link, bool) {
		from, known := inZone[source]
		if !known {
			return link{}, false // callers are in no zone
		}
		to := inZone[netip.MustParseAddrPort(target).Addr()]
		return link{cut: true}, from != to
	})
}

// cutTo holds all traffic from one node to another.
func (c *cluster) cutTo(from, to string) func() {
	source, target := c.nodes[from].ip, c.nodes[to].ip
	return c.net.add(func(s netip.Addr, announced string) (link, bool) {
		return link{cut: true}, s == source && netip.MustParseAddrPort(announced).Addr() == target
	})
}
