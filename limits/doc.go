// Package limits bounds what a process holds for its peers: the bytes of their requests
// and responses, and their connections. Peers aren't under our control; a bound for each
// request alone doesn't bound the process.
//
// A process has one Memory and a Connections for each listener, with the sizes that
// SizesFor derives from its VM. Whoever keeps bytes for a peer claims them first:
//
//	claim := memory.Claim(limits.Host(r.RemoteAddr), cancel)
//	defer claim.Release()
//	body, err := limits.ReadBody(r.Body, r.ContentLength, maxBytes, claim)
//
// The package decides under the load of many peers that send or read slowly, or not at
// all. Its decisions need neither a network nor a real clock.
package limits
