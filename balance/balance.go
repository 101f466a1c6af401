package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// endpointTimeout is the age of the last report beyond which an endpoint is not
	// chosen.
	endpointTimeout = 2 * time.Second
	// loadBoundFactor is the multiple of the mean load up to which prefix
	// affinity is followed.
	loadBoundFactor = 1.25
	// randomDraws is the number of random candidates tried before a scan.
	randomDraws = 6
	// outsideProbes is the number of random endpoints of the whole service that are
	// tried when the subset has no capacity.
	outsideProbes = 8
	// maxHerdEntries bounds the number of entries that are assumed to make the same
	// choices.
	maxHerdEntries = 8
)

// Balancer chooses endpoints for one entry. It is safe for concurrent use.
type Balancer struct {
	idHash uint64
	zone   string

	pools sync.Map // service name to *pool
	// lastPrefixHash holds the last prefix hash of each bucket.
	lastPrefixHash [prefixBuckets]atomic.Uint64

	mu     sync.Mutex
	states map[string]*endpointState
}

// New returns a balancer for the entry with the given node ID and zone.
func New(id, zone string) *Balancer {
	return &Balancer{idHash: xxhash.Sum64String(id), zone: zone, states: make(map[string]*endpointState)}
}

// Request describes the request for which an endpoint is chosen.
type Request struct {
	Service string
	// Prefix is the part of the prompt used for affinity; "" for none.
	Prefix string
	// Exclude lists the IDs of nodes that have already been tried.
	Exclude []string
	// QueueLimit is the number of waiting requests that an endpoint accepts.
	QueueLimit int
	Now        time.Time
}

// Pick is a chosen endpoint. The caller calls Release when its request ends.
type Pick struct {
	Endpoint *control.Endpoint
	// Reason says why the endpoint was chosen, for logs and explain.
	Reason    string
	state     *endpointState
	startedAt time.Time
	// responded is set once the endpoint's agent has responded. Other picks only
	// name an endpoint, and their duration is not a holding time.
	responded   atomic.Bool
	releaseOnce sync.Once
}

// RecordResponse records the limit and the in-flight count in the agent's response.
func (p *Pick) RecordResponse(now time.Time, limit, inFlight int) {
	p.responded.Store(true)
	p.state.recordResponse(now, limit, inFlight)
}

// RecordFailure records that the endpoint did not respond or refuses all work. The
// endpoint is not chosen again before its next report, so that requests that arrive
// before the view changes do not spend the retry budget.
func (p *Pick) RecordFailure(now time.Time) {
	p.state.failedAt.Store(&now)
}

// Release removes the request from this entry's in-flight count of the endpoint.
// Repeated calls have no effect.
func (p *Pick) Release() {
	p.releaseOnce.Do(func() {
		p.state.inFlight.Add(-1)
		if p.responded.Load() {
			p.state.recordHoldTime(time.Since(p.startedAt))
		}
	})
}

// Assign counts a request on an endpoint that is determined in advance, such as the
// agent to which an order is bound.
func (b *Balancer) Assign(ep *control.Endpoint, reason string) *Pick {
	b.mu.Lock()
	defer b.mu.Unlock()
	return newPick(ep, b.stateOf(ep.Node.ID), reason)
}

func newPick(ep *control.Endpoint, st *endpointState, reason string) *Pick {
	st.inFlight.Add(1)
	return &Pick{Endpoint: ep, Reason: reason, state: st, startedAt: time.Now()}
}

// choice holds the inputs of one call of Choose.
type choice struct {
	snap    *control.Snapshot
	req     *Request
	entries int
	// othersFraction is the fraction of the endpoints' total limit that requests of
	// other entries use.
	othersFraction float64
	warmLimit      int // warm limit of the service; 0 if not known
}

// candidate is an endpoint that passed the checks of one choice.
type candidate struct {
	ep       *control.Endpoint
	state    *endpointState
	estimate estimate
}

// Choose returns an endpoint, or nil if none can accept the request.
func (b *Balancer) Choose(snap *control.Snapshot, req Request) *Pick {
	p := b.pool(snap, req.Service, req.Now)
	c := &choice{snap: snap, req: &req, entries: min(len(snap.Entries)+1, maxHerdEntries), othersFraction: p.othersFraction}
	if service := snap.Services[req.Service]; service != nil {
		c.warmLimit = service.WarmLimit
	}
	if rand.IntN(warmingChoiceInterval) == 0 {
		if pick := c.betterOfTwo(p.subset, estimate.isIdleWarmingUp, "warming up"); pick != nil {
			return pick
		}
	}
	if pick := c.preferredForPrefix(p, b.prefixHash(&req)); pick != nil {
		return pick
	}
	if pick := c.betterOfTwo(p.sameZone, estimate.hasZoneCapacity, "own zone"); pick != nil {
		return pick
	}
	if pick := c.betterOfTwo(p.subset, estimate.hasWarmCapacity, "any zone"); pick != nil {
		return pick
	}
	if pick := c.betterOfTwo(p.subset, estimate.hasCapacity, "any zone, warming up"); pick != nil {
		return pick
	}
	if pick := c.probe(p.all, estimate.hasCapacity, "outside the subset"); pick != nil {
		return pick
	}
	hasQueueCapacity := func(e estimate) bool { return e.limit > 0 && e.load < e.limit+req.QueueLimit }
	if pick := c.betterOfTwo(p.subset, hasQueueCapacity, "queue"); pick != nil {
		return pick
	}
	return c.probe(p.all, hasQueueCapacity, "queue outside the subset")
}

// HasUsableEndpoint reports whether the service has any endpoint that could be
// chosen if it had capacity.
func (b *Balancer) HasUsableEndpoint(snap *control.Snapshot, req Request) bool {
	c := &choice{snap: snap, req: &req}
	return slices.ContainsFunc(snap.Endpoints[req.Service], c.isUsable)
}

// isUsable reports whether the endpoint may receive new work at all.
func (c *choice) isUsable(ep *control.Endpoint) bool {
	return ep != nil &&
		ep.Node.State == wire.StateReady &&
		ep.Node.Service == c.req.Service &&
		c.req.Now.Sub(ep.LastSeen) <= endpointTimeout &&
		!c.snap.OutOfService(ep.Node) &&
		!slices.Contains(c.req.Exclude, ep.Node.ID)
}

// candidateFor returns the candidate for a state if its endpoint is usable, has not
// failed since its last report, and is accepted.
func (c *choice) candidateFor(st *endpointState, accept func(estimate) bool) (candidate, bool) {
	ep := c.snap.AgentByID[st.id]
	if !c.isUsable(ep) || st.failedSince(ep.LastSeen) {
		return candidate{}, false
	}
	est := st.estimate(ep, c.req.Now, c.entries, c.othersFraction, c.warmLimit)
	if !accept(est) {
		return candidate{}, false
	}
	return candidate{ep, st, est}, true
}

// prefixHash returns the hash of a prefix that recurs, or 0. No endpoint has cached a
// prefix that was not seen before.
func (b *Balancer) prefixHash(req *Request) uint64 {
	if req.Prefix == "" {
		return 0
	}
	hash := combineHashes(xxhash.Sum64String(req.Service), xxhash.Sum64String(req.Prefix))
	if b.lastPrefixHash[hash%prefixBuckets].Swap(hash) != hash {
		return 0
	}
	return hash
}

// preferredForPrefix picks the preferred endpoint of the prefix, unless its load
// exceeds the bound or it has no capacity; it then returns nil.
func (c *choice) preferredForPrefix(p *pool, hash uint64) *Pick {
	if hash == 0 || p.limit <= 0 || len(p.all) == 0 {
		return nil
	}
	st := p.prefixOwner(hash % prefixBuckets)
	isWithinBound := func(e estimate) bool {
		mean := float64(p.load+1) * float64(e.limit) / float64(p.limit)
		return e.hasWarmCapacity() && e.load+1 <= int(math.Ceil(loadBoundFactor*mean))
	}
	found, ok := c.candidateFor(st, isWithinBound)
	if !ok {
		return nil
	}
	return found.pick("prompt prefix")
}

// betterOfTwo picks the better of two random acceptable states, or the only one.
func (c *choice) betterOfTwo(states []*endpointState, accept func(estimate) bool, reason string) *Pick {
	n := len(states)
	if n == 0 {
		return nil
	}
	first, last := -1, rand.IntN(n)
	var best candidate
	for i := range randomDraws + n {
		at := (last + 1) % n // scan once the random draws are used up
		if i < randomDraws {
			at = rand.IntN(n)
		}
		last = at
		if at == first {
			continue
		}
		found, ok := c.candidateFor(states[at], accept)
		if !ok {
			continue
		}
		if first < 0 {
			first, best = at, found
			continue
		}
		if found.estimate.score() < best.estimate.score() {
			best = found
		}
		return best.pick(reason)
	}
	if first < 0 {
		return nil
	}
	return best.pick(reason)
}

// probe tries a few random endpoints of the whole service.
func (c *choice) probe(states []*endpointState, accept func(estimate) bool, reason string) *Pick {
	if len(states) <= subsetSize {
		return nil // the subset contains all endpoints
	}
	for range outsideProbes {
		if found, ok := c.candidateFor(states[rand.IntN(len(states))], accept); ok {
			return found.pick(reason)
		}
	}
	return nil
}

func (f candidate) pick(reason string) *Pick {
	text := fmt.Sprintf("%s, %d of %d in flight", reason, f.estimate.load, f.estimate.limit)
	return newPick(f.ep, f.state, text)
}

// stateOf returns the state of a node ID. The caller holds b.mu.
func (b *Balancer) stateOf(id string) *endpointState {
	st := b.states[id]
	if st == nil {
		st = &endpointState{id: id, hash: xxhash.Sum64String(id)}
		b.states[id] = st
	}
	return st
}

// prune removes the states of endpoints that have left the view. The caller holds
// b.mu.
func (b *Balancer) prune(snap *control.Snapshot) {
	if len(b.states) <= 2*len(snap.AgentByID) {
		return
	}
	for id, st := range b.states {
		if snap.AgentByID[id] == nil && st.inFlight.Load() == 0 {
			delete(b.states, id)
		}
	}
}
