package fleet

import (
	"context"
	"slices"
	"sort"
	"time"
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
	// Aim is when a response is late, Deadline when the caller gives up. The zero time
	// means unknown.
	Aim, Deadline time.Time
}

// waiter is a waiting request.
type waiter struct {
	request *Request
	// assigned gets the chosen endpoint.
	assigned chan *Pick
}

// queue holds the waiting requests of one service, most urgent first.
type queue struct {
	waiters []*waiter
}

// maxQueueLength bounds the waiting requests of one service at one entry; more than
// that can't be served within any useful wait.
const maxQueueLength = 64

// Acquire chooses an endpoint for a request. If all are busy, it waits for one for at
// most MaxWait, or until ctx ends; it returns AllBusy if there was none. If no endpoint
// can take the request until then, because the rate limits that the endpoints name leave
// no room, all asked for a longer pause or none is in service, it returns RateLimited,
// Paused or Unavailable at once.
func (f *Fleet) Acquire(ctx context.Context, request *Request) (*Pick, Availability) {
	f.mu.Lock()
	q := f.queues[request.Service]
	if q == nil {
		q = &queue{}
		f.queues[request.Service] = q
	}
	if !q.blocks(request) {
		if p, availability := f.choose(request); p != nil {
			f.mu.Unlock()
			return p, availability
		}
	}
	now := time.Now()
	if availability := f.outlook(request, now); availability != AllBusy {
		f.mu.Unlock()
		return nil, availability
	}
	at := sort.Search(len(q.waiters), func(i int) bool { return q.waiters[i].request.Priority > request.Priority })
	availability := AllBusy
	if f.turnsBy(request, now, now.Add(max(0, request.MaxWait))) <= at {
		availability = RateLimited
	}
	if availability == RateLimited || request.MaxWait <= 0 || len(q.waiters) >= maxQueueLength {
		f.mu.Unlock()
		return nil, availability
	}
	w := &waiter{request: request, assigned: make(chan *Pick, 1)}
	q.waiters = slices.Insert(q.waiters, at, w)
	f.mu.Unlock()

	timer := time.NewTimer(request.MaxWait)
	defer timer.Stop()
	tick := time.NewTicker(queueRetryInterval)
	defer tick.Stop()
	for {
		select {
		case p := <-w.assigned:
			return p, Available
		case <-tick.C:
			f.mu.Lock()
			f.assignWaiting(request.Service)
			f.mu.Unlock()
		case <-timer.C:
			return f.cancelWait(q, w)
		case <-ctx.Done():
			return f.cancelWait(q, w)
		}
	}
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

// queueRetryInterval is the interval at which waiting requests are retried, as
// endpoints may become usable merely through the passage of time.
const queueRetryInterval = 40 * time.Millisecond

// blocks reports whether a waiting request has precedence over a new one.
func (q *queue) blocks(request *Request) bool {
	return len(q.waiters) > 0 && q.waiters[0].request.Priority <= request.Priority
}

// cancelWait removes a waiter from the queue. If it was assigned an endpoint in the
// meantime, that one is returned.
func (f *Fleet) cancelWait(q *queue, w *waiter) (*Pick, Availability) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
		return nil, AllBusy
	}
	return <-w.assigned, Available
}

// assignWaiting assigns free endpoints to waiting requests. f.mu must be held.
func (f *Fleet) assignWaiting(service string) {
	q := f.queues[service]
	if q == nil {
		return
	}
	stillWaiting := q.waiters[:0]
	for i, w := range q.waiters {
		p, availability := f.choose(w.request)
		if p != nil {
			w.assigned <- p
			continue
		}
		stillWaiting = append(stillWaiting, w)
		if availability == AllBusy && len(w.request.Exclude) == 0 {
			stillWaiting = append(stillWaiting, q.waiters[i+1:]...)
			break
		}
	}
	clear(q.waiters[len(stillWaiting):])
	q.waiters = stillWaiting
}

// Waiting returns the number of waiting requests of a service.
func (f *Fleet) Waiting(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if q := f.queues[service]; q != nil {
		return len(q.waiters)
	}
	return 0
}
