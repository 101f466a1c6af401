package expertmap

import (
	"slices"

	"github.com/wasabinotch/wasabinotch/wire"
)

// AgreedNumber returns the highest map number contained in every set, 0 if there is
// none. All ranks compute it from the same exchanged sets, so that all use one
// map in a step.
func AgreedNumber(sets [][]uint64) uint64 {
	if len(sets) == 0 {
		return 0
	}
	best := uint64(0)
	for _, n := range sets[0] {
		if n <= best {
			continue
		}
		if inAll(sets[1:], n) {
			best = n
		}
	}
	return best
}

func inAll(sets [][]uint64, n uint64) bool {
	for _, s := range sets {
		if !slices.Contains(s, n) {
			return false
		}
	}
	return true
}

// Fence refuses maps with a number lower than the highest one seen. It is the
// agent's fence in front of engines that ignore fencing tokens.
type Fence struct {
	highest uint64
	digest  string
}

// Accept reports whether a map may pass, and remembers its number.
func (g *Fence) Accept(number uint64, digest string) bool {
	if number < g.highest {
		return false
	}
	if number == g.highest && g.digest != "" && g.digest != digest {
		return false
	}
	g.highest, g.digest = number, digest
	return true
}

// RaiseTo raises the highest number to one that the rank holds, e.g. after a
// restart of the agent.
func (g *Fence) RaiseTo(number uint64) {
	if number > g.highest {
		g.highest, g.digest = number, ""
	}
}

// Highest returns the highest number seen.
func (g *Fence) Highest() uint64 { return g.highest }

// RecordCache is a coordinator's knowledge of the group's map in the store. Maps to
// send come only from reads of the store, never from a plan or from the value
// of a write, so that an unrecorded map cannot reach a rank whatever the
// outcome of the write was.
type RecordCache struct {
	packed   PackedMap
	revision uint64
	fresh    bool
}

// Update takes the result of a read; revision 0 means that there is no record.
func (r *RecordCache) Update(p PackedMap, revision uint64) {
	if revision == 0 || p.Number >= r.packed.Number {
		r.packed, r.revision = p, revision
	}
	r.fresh = true
}

// Invalidate demands a read before the next write.
func (r *RecordCache) Invalidate() { r.fresh = false }

// Fresh reports whether no write was attempted since the last read.
func (r *RecordCache) Fresh() bool { return r.fresh }

// BeginWrite returns the revision under which next may be written. The outcome of
// the write does not matter: a read must follow it.
func (r *RecordCache) BeginWrite(next PackedMap) (revision uint64, ok bool) {
	first := r.packed.Number == 0 && r.revision == 0
	if !r.fresh || (!first && next.Number != r.packed.Number+1) {
		return 0, false
	}
	r.fresh = false
	return r.revision, true
}

// Recorded returns the map that may be sent, if any.
func (r *RecordCache) Recorded() (PackedMap, bool) {
	return r.packed, r.packed.Number > 0
}

// RankNeedsMap reports whether a rank must be sent the recorded map. An agent that has
// the map but no answer from its rank hands it over by itself.
func (r *RecordCache) RankNeedsMap(reply wire.MapReply) bool {
	n := r.packed.Number
	if reply.NotReady && reply.Highest == n {
		return false
	}
	return n > 0 && reply.Highest <= n && reply.Loading != n && !slices.Contains(reply.Held, n)
}

// InUseByAll reports whether all ranks hold and use the recorded map.
func (r *RecordCache) InUseByAll(replies []wire.MapReply) bool {
	n := r.packed.Number
	for _, reply := range replies {
		if reply.NotReady || reply.Active != n || !slices.Contains(reply.Held, n) {
			return false
		}
	}
	return n > 0
}
