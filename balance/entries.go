package balance

import (
	"math/rand/v2"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// entryTimeout is the age of an entry's last heartbeat beyond which
	// callers are not sent to it. Heartbeats reach this node over several
	// gossip rounds of 1 s.
	entryTimeout = 10 * time.Second
	// maxEntries bounds a list of entries. If other zones have enough entries, at
	// most maxSameZone of the list are in the caller's zone, so that the list
	// survives the loss of that zone.
	maxEntries  = 8
	maxSameZone = 6
)

// Entries returns entries that accept work, those of the given zone first, in random
// order within both parts. This entry is listed if includeSelf is true.
func Entries(snap *control.Snapshot, zone string, includeSelf bool, now time.Time) []api.ResolvedEntry {
	var sameZone, otherZones []api.ResolvedEntry
	add := func(n wire.Node) {
		entry := api.ResolvedEntry{Address: n.HTTPAddr, Zone: n.Zone}
		if n.Zone == zone {
			sameZone = append(sameZone, entry)
			return
		}
		otherZones = append(otherZones, entry)
	}
	for _, e := range snap.Entries {
		usable := e.Node.State == wire.StateReady &&
			e.Node.ID != snap.Self.ID &&
			!snap.OutOfService(e.Node) &&
			now.Sub(e.LastSeen) <= entryTimeout
		if usable {
			add(e.Node)
		}
	}
	if includeSelf {
		add(snap.Self)
	}
	shuffle(sameZone)
	shuffle(otherZones)
	sameZone = sameZone[:min(len(sameZone), max(maxSameZone, maxEntries-len(otherZones)))]
	list := append(sameZone, otherZones...)
	return list[:min(len(list), maxEntries)]
}

func shuffle(list []api.ResolvedEntry) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
