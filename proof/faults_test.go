package proof

import (
	"net/netip"
)

// isolateZone parts a zone from all others and from the store; traffic within the
// zone goes on. It returns the function that heals the cut.
func (c *cluster) isolateZone(zone string) func() {
	inZone := map[netip.Addr]bool{}
	for _, n := range c.nodes {
		inZone[n.ip] = n.zone == zone
	}
	return c.linkRules.add(func(source netip.Addr, target string) (linkFault, bool) {
		from, known := inZone[source]
		if !known {
			return linkFault{}, false // callers are in no zone
		}
		to := inZone[netip.MustParseAddrPort(target).Addr()]
		return linkFault{blocked: true}, from != to
	})
}

// blockTraffic holds all traffic from one node to another.
func (c *cluster) blockTraffic(from, to string) func() {
	source, target := c.nodes[from].ip, c.nodes[to].ip
	return c.linkRules.add(func(s netip.Addr, announced string) (linkFault, bool) {
		return linkFault{blocked: true}, s == source && netip.MustParseAddrPort(announced).Addr() == target
	})
}
