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
	// silentAfter is the age of the last report beyond which an endpoint is
	// not chosen.
	silentAfter = 2 * time.Second
	// boundedLoad is the multiple of the mean load up to which prefix
	// affinity is followed.
	boundedLoad = 1.25
	// draws is the number of random candidates tried before a scan.
	draws = 6
	// probes is the number of endpoints outside the subset that are tried
	// when the subset has no room.
	probes = 8
	// maxCrowd bounds the number of entries supposed to act alike.
	maxCrowd = 8
)

// Balancer chooses endpoints for one entry. It is safe for concurrent use.
type Balancer struct {
	hash uint64
	zone string

	pools sync.Map // service name to *pool
	// seen holds the last prefix hash of each bucket.
	seen [prefixBuckets]atomic.Uint64

	mu     sync.Mutex
	states map[string]*state
}

// New returns a balancer for the entry with the given node ID and zone.
func New(id, zone string) *Balancer {
	return &Balancer{hash: xxhash.Sum64String(id), zone: zone, states: make(map[string]*state)}
}

// Request describes one choice.
type Request struct {
	Service string
	// Prefix is the part of the prompt used for affinity; "" for none.
	Prefix string
	// Exclude lists node IDs that were tried already.
	Exclude []string
	// QueueLimit is the number of waiting requests that an endpoint accepts.
	QueueLimit int
	Now        time.Time
}

// Pick is a chosen endpoint. The caller calls Done once when its request ends.
type Pick struct {
	Endpoint *control.Endpoint
	// Reason says why the endpoint was chosen, for logs and explain.
	Reason string
	st     *state
	since  time.Time
	// dispatched is set once the endpoint answered. Other picks only name an
	// endpoint, and their time is no holding time.
	dispatched atomic.Bool
	done       sync.Once
}

// RecordResponse records the limit and the in-flight count of the agent's answer.
func (p *Pick) RecordResponse(now time.Time, limit, inFlight int) {
	p.dispatched.Store(true)
	p.st.answered(now, limit, inFlight)
}

// RecordFailure records that the endpoint gave no answer or refuses all work. It is
// not chosen again before its next report, so that the requests of the time
// until the view changes do not spend the retry budget.
func (p *Pick) RecordFailure(now time.Time) {
	p.st.failedAt.Store(&now)
}

// Release ends the request's count on the endpoint.
func (p *Pick) Release() {
	p.done.Do(func() {
		p.st.own.Add(-1)
		if p.dispatched.Load() {
			p.st.released(time.Since(p.since))
		}
	})
}

// Assign counts a request on an endpoint that is not a free choice, such as
// the agent to which an order is bound.
func (b *Balancer) Assign(ep *control.Endpoint, reason string) *Pick {
	b.mu.Lock()
	defer b.mu.Unlock()
	return take(ep, b.stateOf(ep.Node.ID), reason)
}

func take(ep *control.Endpoint, st *state, reason string) *Pick {
	st.own.Add(1)
	return &Pick{Endpoint: ep, Reason: reason, st: st, since: time.Now()}
}

// chooser is one choice in progress.
type chooser struct {
	snap    *control.Snapshot
	rq      *Request
	entries int
	// others is the part of a limit that other entries use on average.
	others float64
	warm   int // warm limit of the service; 0 if not known
}

// candidate is an endpoint that passed the checks of one choice.
type candidate struct {
	ep  *control.Endpoint
	st  *state
	est estimate
}

// Choose returns an endpoint, or nil if none can take the request.
func (b *Balancer) Choose(snap *control.Snapshot, rq Request) *Pick {
	p := b.pool(snap, rq.Service, rq.Now)
	c := &chooser{snap: snap, rq: &rq, entries: min(len(snap.Entries)+1, maxCrowd), others: p.others}
	if service := snap.Services[rq.Service]; service != nil {
		c.warm = service.WarmLimit
	}
	if rand.IntN(warmingTrickle) == 0 {
		if pick := c.better(p.subset, estimate.hasWarmingRoom, "warming up"); pick != nil {
			return pick
		}
	}
	if pick := c.byPrefix(p, b.prefixHash(&rq)); pick != nil {
		return pick
	}
	if pick := c.better(p.own, estimate.hasZoneRoom, "own zone"); pick != nil {
		return pick
	}
	if pick := c.better(p.subset, estimate.hasWarmRoom, "any zone"); pick != nil {
		return pick
	}
	if pick := c.better(p.subset, estimate.hasRoom, "any zone, warming up"); pick != nil {
		return pick
	}
	if pick := c.probe(p.all, estimate.hasRoom, "outside the subset"); pick != nil {
		return pick
	}
	queue := func(e estimate) bool { return e.limit > 0 && e.load < e.limit+rq.QueueLimit }
	if pick := c.better(p.subset, queue, "queue"); pick != nil {
		return pick
	}
	return c.probe(p.all, queue, "queue outside the subset")
}

// HasUsableEndpoint reports whether the service has any endpoint that could be chosen
// if it had room.
func (b *Balancer) HasUsableEndpoint(snap *control.Snapshot, rq Request) bool {
	c := &chooser{snap: snap, rq: &rq}
	return slices.ContainsFunc(snap.Endpoints[rq.Service], c.usable)
}

// usable reports whether the endpoint may get new work at all.
func (c *chooser) usable(ep *control.Endpoint) bool {
	return ep != nil &&
		ep.Node.State == wire.StateReady &&
		ep.Node.Service == c.rq.Service &&
		c.rq.Now.Sub(ep.LastSeen) <= silentAfter &&
		!c.snap.OutOfService(ep.Node) &&
		!slices.Contains(c.rq.Exclude, ep.Node.ID)
}

// check returns the candidate for a state if it is usable and accepted.
func (c *chooser) check(st *state, accept func(estimate) bool) (candidate, bool) {
	ep := c.snap.AgentByID[st.id]
	if !c.usable(ep) || st.failedSince(ep.LastSeen) {
		return candidate{}, false
	}
	est := st.estimate(ep, c.rq.Now, c.entries, c.others, c.warm)
	if !accept(est) {
		return candidate{}, false
	}
	return candidate{ep, st, est}, true
}

// prefixHash returns the hash of a prefix that recurs, or 0. A prefix that
// was not seen before has no cache to return to.
func (b *Balancer) prefixHash(rq *Request) uint64 {
	if rq.Prefix == "" {
		return 0
	}
	hash := combine(xxhash.Sum64String(rq.Service), xxhash.Sum64String(rq.Prefix))
	if b.seen[hash%prefixBuckets].Swap(hash) != hash {
		return 0
	}
	return hash
}

// byPrefix returns the preferred endpoint of the prefix unless its load
// exceeds the bound.
func (c *chooser) byPrefix(p *pool, hash uint64) *Pick {
	if hash == 0 || p.limit <= 0 || len(p.all) == 0 {
		return nil
	}
	st := p.preferred(hash % prefixBuckets)
	within := func(e estimate) bool {
		mean := float64(p.load+1) * float64(e.limit) / float64(p.limit)
		return e.hasWarmRoom() && e.load+1 <= int(math.Ceil(boundedLoad*mean))
	}
	found, ok := c.check(st, within)
	if !ok {
		return nil
	}
	return found.take("prompt prefix")
}

// better returns the better of two random acceptable states, or the only one.
func (c *chooser) better(states []*state, accept func(estimate) bool, reason string) *Pick {
	n := len(states)
	if n == 0 {
		return nil
	}
	first, last := -1, rand.IntN(n)
	var best candidate
	for i := range draws + n {
		at := (last + 1) % n // scan once the random draws are used up
		if i < draws {
			at = rand.IntN(n)
		}
		last = at
		if at == first {
			continue
		}
		found, ok := c.check(states[at], accept)
		if !ok {
			continue
		}
		if first < 0 {
			first, best = at, found
			continue
		}
		if found.est.score() < best.est.score() {
			best = found
		}
		return best.take(reason)
	}
	if first < 0 {
		return nil
	}
	return best.take(reason)
}

// probe tries a few random endpoints of the whole fleet.
func (c *chooser) probe(states []*state, accept func(estimate) bool, reason string) *Pick {
	if len(states) <= subsetSize {
		return nil // the subset was all of it
	}
	for range probes {
		if found, ok := c.check(states[rand.IntN(len(states))], accept); ok {
			return found.take(reason)
		}
	}
	return nil
}

func (f candidate) take(reason string) *Pick {
	text := fmt.Sprintf("%s, %d of %d in flight", reason, f.est.load, f.est.limit)
	return take(f.ep, f.st, text)
}

// stateOf returns the state of a node ID. The caller holds b.mu.
func (b *Balancer) stateOf(id string) *state {
	st := b.states[id]
	if st == nil {
		st = &state{id: id, hash: xxhash.Sum64String(id)}
		b.states[id] = st
	}
	return st
}

// prune forgets endpoints that have left the view. The caller holds b.mu.
func (b *Balancer) prune(snap *control.Snapshot) {
	if len(b.states) <= 2*len(snap.AgentByID) {
		return
	}
	for id, st := range b.states {
		if snap.AgentByID[id] == nil && st.own.Load() == 0 {
			delete(b.states, id)
		}
	}
}
