package balance

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabinotch/wasabinotch/control"
)

const (
	// subsetSize bounds the endpoints that one entry uses of one service, so
	// that connections and reports do not grow with the fleet.
	subsetSize = 40
	// sameZoneSize is the part of the subset that is taken from the entry's zone.
	sameZoneSize = 20
	// maxPoolAge is how long a pool is used for newer snapshots. State, load and
	// intents are always read from the newest snapshot.
	maxPoolAge = 250 * time.Millisecond
	// prefixBuckets is the number of buckets into which prompt prefixes are hashed.
	// The owner of a bucket is computed once for each set of endpoints.
	prefixBuckets = 1024
)

// pool holds the endpoint lists and totals prepared for the choices of one service.
type pool struct {
	snap    *control.Snapshot
	builtAt time.Time
	size    int
	// idHashSum is the sum of the hashes of all endpoint IDs. With size, it detects
	// a change of the set of endpoints.
	idHashSum uint64
	all       []*endpointState
	sameZone  []*endpointState
	subset    []*endpointState
	// load and limit are totals over all endpoints.
	load, limit int
	// othersFraction is the fraction of the endpoints' total limit that requests of
	// other entries use.
	othersFraction float64
	owners         *owners
}

// owners caches the preferred endpoint of each prefix bucket.
type owners [prefixBuckets]atomic.Pointer[endpointState]

// isFresh reports whether the pool may be used for the snapshot.
func (p *pool) isFresh(snap *control.Snapshot, service string, now time.Time) bool {
	if p.snap == snap {
		return true
	}
	age := now.Sub(p.builtAt)
	return age >= 0 && age < maxPoolAge && p.size == len(snap.Endpoints[service])
}

// pool returns the prepared pool of the service, building it if needed.
func (b *Balancer) pool(snap *control.Snapshot, service string, now time.Time) *pool {
	if v, ok := b.pools.Load(service); ok && v.(*pool).isFresh(snap, service, now) {
		return v.(*pool)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var old *pool
	if v, ok := b.pools.Load(service); ok {
		old = v.(*pool)
		if old.isFresh(snap, service, now) {
			return old
		}
	}
	p := b.build(snap, service, now, old)
	b.pools.Store(service, p)
	return p
}

// build prepares the pool of the service. It keeps the owners of the old pool if the
// set of endpoints is the same. The caller holds b.mu.
func (b *Balancer) build(snap *control.Snapshot, service string, now time.Time, old *pool) *pool {
	eps := snap.Endpoints[service]
	p := &pool{snap: snap, builtAt: now, size: len(eps), all: make([]*endpointState, 0, len(eps))}
	var sameZone, otherZones []*endpointState
	for _, ep := range eps {
		st := b.stateOf(ep.Node.ID)
		p.idHashSum += st.hash
		p.all = append(p.all, st)
		p.load += ep.Load.InFlight + ep.Load.Queued
		p.limit += ep.Load.Limit
		if snap.OutOfService(ep.Node) {
			continue
		}
		if ep.Node.Zone == b.zone {
			sameZone = append(sameZone, st)
			continue
		}
		otherZones = append(otherZones, st)
	}
	p.sameZone, p.subset = b.selectSubset(sameZone, otherZones)
	p.othersFraction = fractionUsedByOthers(append(sameZone, otherZones...), snap)
	p.owners = &owners{}
	if old != nil && old.idHashSum == p.idHashSum && old.size == p.size {
		p.owners = old.owners
	}
	b.prune(snap)
	return p
}

// fractionUsedByOthers returns the fraction of the endpoints' total limit that requests
// of other entries use. It exceeds 1 if they also wait in queues.
func fractionUsedByOthers(states []*endpointState, snap *control.Snapshot) float64 {
	load, limit := 0, 0
	for _, st := range states {
		ep := snap.AgentByID[st.id]
		if ep == nil {
			continue
		}
		sample := st.currentSample(ep)
		load += max(sample.load-int(sample.ownInFlight), 0)
		limit += sample.limit
	}
	return float64(load) / float64(max(limit, 1))
}

// selectSubset returns the subset's endpoints in the entry's zone, and the whole
// subset. Each side fills the part of the subset that the other does not use.
func (b *Balancer) selectSubset(sameZone, otherZones []*endpointState) (sameZonePart, subset []*endpointState) {
	otherCount := min(len(otherZones), subsetSize-min(len(sameZone), sameZoneSize))
	sameCount := min(len(sameZone), subsetSize-otherCount)
	sameZonePart = b.highestScores(sameZone, sameCount)
	subset = append(slices.Clone(sameZonePart), b.highestScores(otherZones, otherCount)...)
	return sameZonePart, subset
}

// highestScores returns the n states with the highest rendezvous scores for this
// entry.
func (b *Balancer) highestScores(states []*endpointState, n int) []*endpointState {
	if len(states) <= n {
		return states
	}
	type scored struct {
		st    *endpointState
		score uint64
	}
	list := make([]scored, len(states))
	for i, st := range states {
		list[i] = scored{st, combineHashes(b.idHash, st.hash)}
	}
	slices.SortFunc(list, func(x, y scored) int { return cmp.Compare(y.score, x.score) })
	top := make([]*endpointState, n)
	for i := range top {
		top[i] = list[i].st
	}
	return top
}

// prefixOwner returns the rendezvous owner of the prefix bucket among all
// endpoints, which is the same on every entry.
func (p *pool) prefixOwner(bucket uint64) *endpointState {
	if st := p.owners[bucket].Load(); st != nil {
		return st
	}
	var best *endpointState
	var bestScore uint64
	for _, st := range p.all {
		score := combineHashes(bucket, st.hash)
		if best == nil || score > bestScore {
			best, bestScore = st, score
		}
	}
	p.owners[bucket].Store(best)
	return best
}

// combineHashes returns a hash of two hashes, which also serves as their rendezvous
// score.
func combineHashes(x, y uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], x)
	binary.LittleEndian.PutUint64(buf[8:], y)
	return xxhash.Sum64(buf[:])
}
