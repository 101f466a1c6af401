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
	// ownZoneSize is the part of the subset taken from the entry's zone.
	ownZoneSize = 20
	// poolAge is how long a subset serves newer snapshots. State, load and
	// intents are always read from the newest snapshot.
	poolAge = 250 * time.Millisecond
	// prefixBuckets is the number of classes into which prompt prefixes are
	// hashed; the owner of a class is computed once per membership.
	prefixBuckets = 1024
)

// pool is the prepared choice of one service.
type pool struct {
	snap *control.Snapshot
	at   time.Time
	size int
	// members is the sum of the hashes of all endpoint IDs.
	members uint64
	all     []*state
	own     []*state
	subset  []*state
	// load and limit are totals over all endpoints.
	load, limit int
	// others is the part of the limits in use by other entries.
	others float64
	owners *owners
}

// owners caches the preferred endpoint of each prefix bucket.
type owners [prefixBuckets]atomic.Pointer[state]

// fresh reports whether the pool may serve the snapshot.
func (p *pool) fresh(snap *control.Snapshot, service string, now time.Time) bool {
	if p.snap == snap {
		return true
	}
	age := now.Sub(p.at)
	return age >= 0 && age < poolAge && p.size == len(snap.Endpoints[service])
}

// pool returns the prepared pool of the service, building it if needed.
func (b *Balancer) pool(snap *control.Snapshot, service string, now time.Time) *pool {
	if v, ok := b.pools.Load(service); ok && v.(*pool).fresh(snap, service, now) {
		return v.(*pool)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var old *pool
	if v, ok := b.pools.Load(service); ok {
		old = v.(*pool)
		if old.fresh(snap, service, now) {
			return old
		}
	}
	p := b.build(snap, service, now, old)
	b.pools.Store(service, p)
	return p
}

// build selects the subset of the service for this entry. The caller holds b.mu.
func (b *Balancer) build(snap *control.Snapshot, service string, now time.Time, old *pool) *pool {
	eps := snap.Endpoints[service]
	p := &pool{snap: snap, at: now, size: len(eps), all: make([]*state, 0, len(eps))}
	var own, others []*state
	for _, ep := range eps {
		st := b.stateOf(ep.Node.ID)
		p.members += st.hash
		p.all = append(p.all, st)
		p.load += ep.Load.InFlight + ep.Load.Queued
		p.limit += ep.Load.Limit
		if snap.OutOfService(ep.Node) {
			continue
		}
		if ep.Node.Zone == b.zone {
			own = append(own, st)
			continue
		}
		others = append(others, st)
	}
	p.own, p.subset = b.selectSubset(own, others)
	p.others = usedByOthers(append(own, others...), snap)
	p.owners = &owners{}
	if old != nil && old.members == p.members && old.size == p.size {
		p.owners = old.owners
	}
	b.prune(snap)
	return p
}

// usedByOthers returns the part of the limits that requests of other entries
// use, from 0 upward.
func usedByOthers(states []*state, snap *control.Snapshot) float64 {
	load, limit := 0, 0
	for _, st := range states {
		ep := snap.AgentByID[st.id]
		if ep == nil {
			continue
		}
		b := st.current(ep)
		load += max(b.load-int(b.own), 0)
		limit += b.limit
	}
	return float64(load) / float64(max(limit, 1))
}

// selectSubset returns the endpoints of the own zone and the whole subset.
// One side fills the places that the other does not use.
func (b *Balancer) selectSubset(own, others []*state) (near, subset []*state) {
	fromOthers := min(len(others), subsetSize-min(len(own), ownZoneSize))
	fromOwn := min(len(own), subsetSize-fromOthers)
	near = b.highest(own, fromOwn)
	subset = append(slices.Clone(near), b.highest(others, fromOthers)...)
	return near, subset
}

// highest returns the n states with the highest rendezvous scores for this entry.
func (b *Balancer) highest(states []*state, n int) []*state {
	if len(states) <= n {
		return states
	}
	type scored struct {
		st    *state
		score uint64
	}
	list := make([]scored, len(states))
	for i, st := range states {
		list[i] = scored{st, combine(b.hash, st.hash)}
	}
	slices.SortFunc(list, func(x, y scored) int { return cmp.Compare(y.score, x.score) })
	top := make([]*state, n)
	for i := range top {
		top[i] = list[i].st
	}
	return top
}

// preferred returns the rendezvous owner of the prefix bucket among all
// endpoints, which is the same on every entry.
func (p *pool) preferred(bucket uint64) *state {
	if st := p.owners[bucket].Load(); st != nil {
		return st
	}
	var best *state
	var bestScore uint64
	for _, st := range p.all {
		score := combine(bucket, st.hash)
		if best == nil || score > bestScore {
			best, bestScore = st, score
		}
	}
	p.owners[bucket].Store(best)
	return best
}

// combine returns the rendezvous score of two hashes.
func combine(x, y uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], x)
	binary.LittleEndian.PutUint64(buf[8:], y)
	return xxhash.Sum64(buf[:])
}
