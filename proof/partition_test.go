package proof

import (
	"net/netip"
)

// isolateZone blocks the traffic between a zone's nodes and all other nodes and
// the store; traffic within the zone goes on. The returned function ends the
// fault.
func (c *cluster) isolateZone(zone string) func() {
	inZone := map[netip.Addr]bool{}
	for _, n := range c.nodes {
		inZone[n.ip] = n.zone == zone
	}
	return c.linkRules.add(func(source netip.Addr, target string) (linkFault, bool) {
		from, known := inZone[source]
		if !known {
			return linkFault{}, false // the load generator is in no zone
		}
		to := inZone[netip.MustParseAddrPort(target).Addr()]
		return linkFault{blocked: true}, from != to
	})
}

// blockTraffic blocks the connections that one node opens to another. The
// returned function ends the fault.
func (c *cluster) blockTraffic(from, to string) func() {
	source, target := c.nodes[from].ip, c.nodes[to].ip
	return c.linkRules.add(func(s netip.Addr, announced string) (linkFault, bool) {
		return linkFault{blocked: true}, s == source && netip.MustParseAddrPort(announced).Addr() == target
	})
}
