package fleet

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wasabinotch/wasabinotch/admission"
)

// Request describes a request that needs an endpoint.
type Request struct {
	Service string
	// Priority determines the place among waiting requests; 0 is the most urgent.
	Priority int
	// Exclude lists endpoints that were already tried.
	Exclude []*Endpoint
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration
	// Organisation is the name of the caller's organisation, "" for anonymous callers.
	Organisation string
	// Work is what the request is expected to cost the endpoint.
	Work Work
	// Kind names the kind of request, such as its route, and Cost is what it takes of an
	// endpoint, in a unit that is the same for all requests of the service; 0 if unknown.
	Kind string
	Cost float64
	// Aim is when a response is late, Deadline when the caller gives up. The zero time
	// means unknown.
	Aim, Deadline time.Time
}

// waiter is a waiting request.
type waiter struct {
	request   *Request
	admission *admission.Request
	// assigned gets the chosen endpoint, or nil if the request is refused in favour of
	// another one.
	assigned chan *Pick
}

// queue holds the waiting requests of one service in the order of their arrival.
type queue struct {
	waiters []*waiter
	control *admission.Controller
	claims  admission.Claims
	// triedAt is when assignWaiting last tried to assign endpoints.
	triedAt time.Time
}

// maxQueueLength bounds the waiting requests of one service at one entry, and so the
// memory of those that wait. Of more, the least urgent one is refused.
const maxQueueLength = 64

func (f *Fleet) queueOf(service string) *queue {
	q := f.queues[service]
	if q == nil {
		q = &queue{control: admission.NewController()}
		f.queues[service] = q
	}
	q.control.EngineQueuesByPriority = f.limits[service].QueuesByPriority
	return q
}

// waiting returns the waiting requests in the order of their arrival.
func (q *queue) waiting() []*admission.Request {
	all := make([]*admission.Request, len(q.waiters))
	for i, w := range q.waiters {
		all[i] = w.admission
	}
	return all
}

func (q *queue) remove(w *waiter, now time.Time) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	q.control.UpdateWaiting(len(q.waiters), now)
	return true
}

// isRepeat reports whether the request was sent to another endpoint before.
func (r *Request) isRepeat() bool { return len(r.Exclude) > 0 }

func (r *Request) admission(now time.Time) *admission.Request {
	return &admission.Request{Arrived: now, Repeat: r.isRepeat(), Priority: r.Priority, Organisation: r.Organisation, Kind: r.Kind, Cost: r.Cost, Aim: r.Aim}
}

// Acquire chooses an endpoint for a request. If all are busy, it waits for one for at
// most MaxWait, or until ctx ends; it returns AllBusy if there was none, NotInTime at once
// if none is expected in that time, and Displaced if the queue is full. If no endpoint can
// take the request until then, because the rate limits that the endpoints name leave no
// room, all asked for a longer pause, none is in service or none has so much memory, it
// returns RateLimited, Paused, Unavailable or TooLarge at once.
func (f *Fleet) Acquire(ctx context.Context, request *Request) (*Pick, Availability) {
	f.mu.Lock()
	if f.tooLarge(request) {
		// It isn't counted as demand or as a refusal: it says nothing about the room there is.
		f.mu.Unlock()
		return nil, TooLarge
	}
	now := time.Now()
	q := f.queueOf(request.Service)
	w := &waiter{request: request, admission: request.admission(now), assigned: make(chan *Pick, 1)}
	q.control.Arrive(w.admission, now)
	if len(q.waiters) == 0 {
		if p, availability := f.choose(request, q.control.Room(w.admission, now), false); p != nil {
			q.control.Grant(w.admission, now)
			f.mu.Unlock()
			return p, availability
		}
	}
	q.waiters = append(q.waiters, w)
	if len(q.waiters) > 1 {
		f.assignWaiting(request.Service)
	}
	if len(w.assigned) == 0 {
		if availability := f.mayWait(q, w, now); availability != Available {
			q.remove(w, now)
			q.control.Refused(now)
			f.mu.Unlock()
			return nil, availability
		}
	}
	q.control.UpdateWaiting(len(q.waiters), now)
	f.mu.Unlock()

	timer := time.NewTimer(request.MaxWait)
	defer timer.Stop()
	tick := time.NewTicker(queueRetryInterval)
	defer tick.Stop()
	for {
		select {
		case p := <-w.assigned:
			if p == nil {
				return nil, Displaced
			}
			return p, Available
		case <-tick.C:
			f.mu.Lock()
			if time.Since(q.triedAt) >= queueRetryInterval/2 {
				f.assignWaiting(request.Service)
			}
			f.mu.Unlock()
		case <-timer.C:
			return f.cancelWait(q, w, true)
		case <-ctx.Done():
			return f.cancelWait(q, w, false)
		}
	}
}

// mayWait decides whether a request that has just joined the queue waits for an endpoint:
// it returns Available if it does, else why it is refused. If the queue is too long, the
// request that would go last is refused.
func (f *Fleet) mayWait(q *queue, w *waiter, now time.Time) Availability {
	r := w.request
	if availability := f.outlook(r, now); availability != AllBusy {
		return availability
	}
	waiting := q.waiting()
	order := q.control.Order(waiting, now)
	place := slices.IndexFunc(order, func(c admission.Candidate) bool { return c.Index == len(q.waiters)-1 })
	before := make([]*admission.Request, place)
	for i, c := range order[:place] {
		before[i] = waiting[c.Index]
	}
	switch {
	case f.turnsBy(r, now, now.Add(max(0, r.MaxWait))) <= place:
		return RateLimited
	case r.MaxWait <= 0:
		return AllBusy
	case q.control.Hopeless(w.admission, before, r.MaxWait, f.busyShare(r, now), now):
		return NotInTime
	case len(q.waiters) > maxQueueLength:
		last := q.waiters[order[len(order)-1].Index]
		if last == w {
			return Displaced
		}
		q.remove(last, now)
		q.control.Refused(now)
		last.assigned <- nil
	}
	return Available
}

// busyShare returns the part of the usable slots of a service that is occupied.
func (f *Fleet) busyShare(r *Request, now time.Time) float64 {
	limits := f.limits[r.Service]
	busy, slots := 0, 0
	for _, ep := range f.byService[r.Service] {
		if !f.usable(ep, r.Exclude, now) {
			continue
		}
		n := ep.usableSlots(limits, now)
		busy += min(n, ep.load(now))
		slots += n
	}
	if slots == 0 {
		return 0
	}
	return float64(busy) / float64(slots)
}

// Obstacles counts the endpoints of a service by what keeps a request from them.
type Obstacles struct {
	// OutOfService endpoints drain, leave, pause or stall, or their zone is out of service.
	OutOfService int
	// Full endpoints have no room, Limited ones are at a limit of rate or connections, and
	// BackedOff ones are avoided after failures, or since they are slow or silent.
	Full, Limited, BackedOff int
	// Unclaimed endpoints have room that this entry leaves to the queues of other ones.
	Unclaimed int
	// Free endpoints could take the request.
	Free int
}

// String implements fmt.Stringer.
func (o Obstacles) String() string {
	return fmt.Sprintf("endpoints: %d out of service, %d full, %d limited, %d backed off, %d unclaimed, %d free", o.OutOfService, o.Full, o.Limited, o.BackedOff, o.Unclaimed, o.Free)
}

// Obstacles returns what keeps a request from the endpoints of its service now.
func (f *Fleet) Obstacles(r *Request) Obstacles {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	p := f.newPlacing(r, f.queueOf(r.Service).control.Room(r.admission(now), now), true, now)
	var o Obstacles
	for _, ep := range f.byService[r.Service] {
		a := f.assess(ep, p, now)
		switch {
		case a.obstacle == notInService:
			o.OutOfService++
		case a.obstacle == noSlot || a.obstacle == noMemory:
			o.Full++
		case a.obstacle == unclaimed:
			o.Unclaimed++
		case a.obstacle != none:
			o.Limited++
		case a.lastResort != noReason:
			o.BackedOff++
		default:
			o.Free++
		}
	}
	return o
}

// RetryAfter returns the time after which a caller whose request was refused for the given
// reason should return, at most limit.
func (f *Fleet) RetryAfter(r *Request, why Availability, limit time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.queueOf(r.Service)
	now := time.Now()
	return q.control.ReturnAfter(r.admission(now), q.waiting(), why == Unavailable, limit, rand.Float64(), now)
}

// outlook says whether a request for which no endpoint is free may wait for one: AllBusy
// if it may, else Unavailable or Paused.
func (f *Fleet) outlook(r *Request, now time.Time) Availability {
	if left, paused := f.pausedFor(r.Service, r.Exclude, now); paused {
		if left > r.MaxWait {
			return Paused
		}
		return AllBusy
	}
	for _, ep := range f.byService[r.Service] {
		if f.usable(ep, r.Exclude, now) && ep.memory.canHold(r) {
			return AllBusy
		}
	}
	return Unavailable
}

// tooLarge reports whether the prompt exceeds the known memory of every endpoint of the
// service, also of those that are out of service now.
func (f *Fleet) tooLarge(r *Request) bool {
	all := f.byService[r.Service]
	return len(all) > 0 && !slices.ContainsFunc(all, func(ep *Endpoint) bool { return ep.memory.canHold(r) })
}

// queueRetryInterval is the interval at which waiting requests are retried, as
// endpoints may become usable merely through the passage of time.
const queueRetryInterval = 40 * time.Millisecond

// cancelWait removes a waiter from the queue. If it was assigned an endpoint in the
// meantime, that one is returned. refused is set if the wait was too long.
func (f *Fleet) cancelWait(q *queue, w *waiter, refused bool) (*Pick, Availability) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if q.remove(w, now) {
		if refused {
			q.control.Refused(now)
		}
		return nil, AllBusy
	}
	if p := <-w.assigned; p != nil {
		return p, Available
	}
	return nil, Displaced
}

// assignWaiting assigns free endpoints to waiting requests. f.mu must be held.
func (f *Fleet) assignWaiting(service string) {
	q := f.queues[service]
	if q == nil || len(q.waiters) == 0 {
		return
	}
	now := time.Now()
	q.triedAt = now
	for len(q.waiters) > 0 && f.assignNext(q, now) {
	}
	q.control.UpdateWaiting(len(q.waiters), now)
}

// assignNext assigns an endpoint to the first waiting request that can have one, and
// reports whether there was any.
func (f *Fleet) assignNext(q *queue, now time.Time) bool {
	// Endpoints are too busy for requests with at most this room.
	var tooBusyFor admission.Room
	memoryTries, leastNeed := 0, math.MaxInt
	waiting := q.waiting()
	for _, c := range q.control.Order(waiting, now) {
		if c.Room.Within(tooBusyFor) {
			continue
		}
		w := q.waiters[c.Index]
		need := f.memoryNeed(w.request)
		if memoryTries >= maxMemoryTries && need >= leastNeed {
			continue
		}
		p, availability := f.choose(w.request, c.Room, true)
		if p != nil {
			p.Expedited = c.Expedited
			w.assigned <- p
			q.control.GrantWaiting(w.admission, waiting, now)
			q.remove(w, now)
			return true
		}
		switch {
		case availability == OutOfMemory: // a smaller request may find room
			memoryTries++
			leastNeed = min(leastNeed, need)
		case !w.request.isRepeat():
			tooBusyFor = c.Room
		}
	}
	return false
}

// maxMemoryTries is the number of waiting requests for which no endpoint has memory after
// which only those that need less are tried. Each of them looks at all endpoints while the
// fleet is locked: a queue of 60 took 1.8 ms before 63 endpoints, each time a request ended.
const maxMemoryTries = 8

// memoryNeed returns the tokens of an engine's memory that a request is expected to take.
func (f *Fleet) memoryNeed(r *Request) int {
	engine := f.limits[r.Service].Engine
	d := engine.Demand(r.Work.placement(), 0)
	return d.Tokens
}

// renewClaims determines how many places at an endpoint that has just reported its load may
// be taken by waiting requests.
func (f *Fleet) renewClaims(ep *Endpoint, now time.Time) {
	q := f.queueOf(ep.Service)
	load, slots := ep.load(now), ep.usableSlots(f.limits[ep.Service], now)
	if len(q.waiters) > 0 {
		q.claims.Observe(load, slots, f.entries)
	}
	ep.claims = q.claims.Of(admission.MaxRoom.Of(slots, 0, 0)-load, rand.Float64)
}

// mayClaim reports whether a waiting request may take a place at the endpoint, as far as
// other entries may see the same free places.
func (ep *Endpoint) mayClaim(now time.Time) bool { return ep.claims > 0 || !ep.hasFreshReport(now) }

// Waiting returns the number of waiting requests of a service.
func (f *Fleet) Waiting(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if q := f.queues[service]; q != nil {
		return len(q.waiters)
	}
	return 0
}
