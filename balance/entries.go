package balance

import (
	"math/rand/v2"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// entrySilentAfter is the age of an entry's last heartbeat beyond which
	// callers are not sent to it. Heartbeats reach this node over several
	// gossip rounds of 1 s.
	entrySilentAfter = 10 * time.Second
	// maxEntries bounds a list of entries; of these, maxNear are in the
	// caller's zone, so that the list survives the loss of that zone.
	maxEntries = 8
	maxNear    = 6
)

// Entries returns entries that can take work, those of the zone first, in
// random order within both parts. This entry is listed if self is true.
func Entries(snap *control.Snapshot, zone string, self bool, now time.Time) []api.ResolvedEntry {
	var near, far []api.ResolvedEntry
	add := func(n wire.Node) {
		entry := api.ResolvedEntry{Address: n.HTTPAddr, Zone: n.Zone}
		if n.Zone == zone {
			near = append(near, entry)
			return
		}
		far = append(far, entry)
	}
	for _, e := range snap.Entries {
		usable := e.Node.State == wire.StateReady &&
			e.Node.ID != snap.Self.ID &&
			!snap.OutOfService(e.Node) &&
			now.Sub(e.LastSeen) <= entrySilentAfter
		if usable {
			add(e.Node)
		}
	}
	if self {
		add(snap.Self)
	}
	shuffle(near)
	shuffle(far)
	near = near[:min(len(near), max(maxNear, maxEntries-len(far)))]
	list := append(near, far...)
	return list[:min(len(list), maxEntries)]
}

func shuffle(list []api.ResolvedEntry) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
