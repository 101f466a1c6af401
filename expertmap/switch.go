package expertmap

import (
	"slices"

	"github.com/wasabinotch/wasabinotch/wire"
)

// AgreedNumber returns the highest map number that every set contains, 0 if there
// is none. All ranks compute it from the same exchanged sets, so that all use the
// same map in a step.
func AgreedNumber(sets [][]uint64) uint64 {
	if len(sets) == 0 {
		return 0
	}
	best := uint64(0)
	for _, n := range sets[0] {
		if n <= best {
			continue
		}
		if containedInAll(sets[1:], n) {
			best = n
		}
	}
	return best
}

func containedInAll(sets [][]uint64, n uint64) bool {
	for _, s := range sets {
		if !slices.Contains(s, n) {
			return false
		}
	}
	return true
}

// Fence rejects maps with a number lower than the highest one seen. An agent uses
// it to protect engines that do not enforce fencing tokens.
type Fence struct {
	highest uint64
	digest  string
}

// Accept reports whether a map is acceptable, and if so records its number and
// digest. A map with the highest number seen must have the same digest.
func (f *Fence) Accept(number uint64, digest string) bool {
	if number < f.highest {
		return false
	}
	if number == f.highest && f.digest != "" && f.digest != digest {
		return false
	}
	f.highest, f.digest = number, digest
	return true
}

// RaiseTo raises the highest number to that of a map which the rank holds and whose
// digest is unknown, e.g. after a restart of the agent. Lower numbers have no
// effect.
func (f *Fence) RaiseTo(number uint64) {
	if number > f.highest {
		f.highest, f.digest = number, ""
	}
}

// Highest returns the highest map number seen.
func (f *Fence) Highest() uint64 { return f.highest }

// RecordCache is a coordinator's copy of the group record in the store, which is
// the packed map. The map to send comes only from reads of the store, never from
// a plan or from the value of a write, so that an unrecorded map cannot reach a
// rank whatever the outcome of the write.
type RecordCache struct {
	packed   PackedMap
	revision uint64
	fresh    bool
}

// Update applies the result of a read; revision 0 means that there is no record. A
// map with a lower number than the cached one is a stale read and is ignored.
func (r *RecordCache) Update(p PackedMap, revision uint64) {
	if revision == 0 || p.Number >= r.packed.Number {
		r.packed, r.revision = p, revision
	}
	r.fresh = true
}

// Invalidate requires a read before the next write.
func (r *RecordCache) Invalidate() { r.fresh = false }

// Fresh reports whether the record was read since the last call of BeginWrite or
// Invalidate.
func (r *RecordCache) Fresh() bool { return r.fresh }

// BeginWrite returns the revision for the compare-and-swap that records next. It
// returns false if the cache is not fresh or next does not have the number after
// the recorded one; the first record may have any number. A read must follow the
// write whatever its outcome.
func (r *RecordCache) BeginWrite(next PackedMap) (revision uint64, ok bool) {
	first := r.packed.Number == 0 && r.revision == 0
	if !r.fresh || (!first && next.Number != r.packed.Number+1) {
		return 0, false
	}
	r.fresh = false
	return r.revision, true
}

// Recorded returns the recorded map, which may be sent; false if there is none.
func (r *RecordCache) Recorded() (PackedMap, bool) {
	return r.packed, r.packed.Number > 0
}

// RankNeedsMap reports whether the recorded map must be sent to a rank, given the
// reply of its agent. An agent that has the map while its rank does not respond
// delivers it without the coordinator.
func (r *RecordCache) RankNeedsMap(reply wire.MapReply) bool {
	n := r.packed.Number
	if reply.NotReady && reply.Highest == n {
		return false
	}
	return n > 0 && reply.Highest <= n && reply.Loading != n && !slices.Contains(reply.Held, n)
}

// InUseByAll reports whether the replies show that all ranks hold and use the
// recorded map.
func (r *RecordCache) InUseByAll(replies []wire.MapReply) bool {
	n := r.packed.Number
	for _, reply := range replies {
		if reply.NotReady || reply.Active != n || !slices.Contains(reply.Held, n) {
			return false
		}
	}
	return n > 0
}
