package expertmap

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/wire"
)

// EntryTimeout is the time since the last heartbeat after which an entry is no
// longer eligible as coordinator. It exceeds the usual age of heartbeats that
// are relayed by other entries, so that the choice does not alternate.
const EntryTimeout = 5 * time.Second

// ChooseCoordinator returns the ID of the entry that coordinates the group, by
// rendezvous hashing over the entries that are ready, in service and within
// EntryTimeout; empty if there is none. Entries with different views may choose
// different coordinators; that costs extra messages but no step uses two maps.
func ChooseCoordinator(group string, snap *control.Snapshot, now time.Time) string {
	best, bestHash := "", uint64(0)
	consider := func(n wire.Node) {
		if n.State != wire.StateReady || snap.OutOfService(n) {
			return
		}
		h := xxhash.Sum64String(n.ID + "\x00" + group)
		if best == "" || h > bestHash || (h == bestHash && n.ID > best) {
			best, bestHash = n.ID, h
		}
	}
	consider(snap.Self)
	for _, e := range snap.Entries {
		if e.Node.ID != snap.Self.ID && now.Sub(e.LastSeen) <= EntryTimeout {
			consider(e.Node)
		}
	}
	return best
}

// newestAgents returns the most recently seen agent of each rank; ok is false if
// a rank has none. Agents in state leaving are included, because their ranks
// still take part in steps.
func newestAgents(group string, ranks int, snap *control.Snapshot) (nodes []wire.Node, ok bool) {
	nodes = make([]wire.Node, ranks)
	lastSeen := make([]time.Time, ranks)
	found := 0
	for _, ep := range snap.AgentByID {
		n := ep.Node
		if n.Group != group || n.Rank < 0 || n.Rank >= ranks {
			continue
		}
		if nodes[n.Rank].ID == "" {
			found++
		} else if !ep.LastSeen.After(lastSeen[n.Rank]) {
			continue
		}
		nodes[n.Rank], lastSeen[n.Rank] = n, ep.LastSeen
	}
	return nodes, found == ranks
}
