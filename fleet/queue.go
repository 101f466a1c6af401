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
	// Priority orders waiting requests; 0 goes first.
	Priority int
	// Exclude names endpoints that were tried already.
	Exclude []*Endpoint
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration
}

type waiter struct {
	ask *Request
	got chan *Pick
}

// queue holds the waiting requests of one service, most urgent first.
type queue struct {
	waiters []*waiter
}

// maxQueue bounds the waiting requests of one service at one entry; more than
// this can't be served within any useful wait.
const maxQueue = 64

// Acquire returns an endpoint for a request, waiting for a free one if need be.
func (f *Fleet) Acquire(ctx context.Context, ask *Request) (*Pick, Availability) {
	f.mu.Lock()
	q := f.queues[ask.Service]
	if q == nil {
		q = &queue{}
		f.queues[ask.Service] = q
	}
	if !q.blocks(ask) {
		if p, why := f.choose(ask.Service, ask.Exclude); p != nil || why == Unavailable {
			f.mu.Unlock()
			return p, why
		}
	}
	if ask.MaxWait <= 0 || len(q.waiters) >= maxQueue {
		f.mu.Unlock()
		return nil, AllBusy
	}
	w := &waiter{ask: ask, got: make(chan *Pick, 1)}
	at := sort.Search(len(q.waiters), func(i int) bool { return q.waiters[i].ask.Priority > ask.Priority })
	q.waiters = slices.Insert(q.waiters, at, w)
	f.mu.Unlock()

	timer := time.NewTimer(ask.MaxWait)
	defer timer.Stop()
	tick := time.NewTicker(queueTick)
	defer tick.Stop()
	for {
		select {
		case p := <-w.got:
			return p, Available
		case <-tick.C:
			f.mu.Lock()
			f.wake(ask.Service)
			f.mu.Unlock()
		case <-timer.C:
			return f.leave(q, w)
		case <-ctx.Done():
			return f.leave(q, w)
		}
	}
}

// queueTick is the interval at which waiting requests look for an endpoint
// that time alone made usable.
const queueTick = 40 * time.Millisecond

// blocks reports whether a waiting request goes before ask.
func (q *queue) blocks(ask *Request) bool {
	return len(q.waiters) > 0 && q.waiters[0].ask.Priority <= ask.Priority
}

// leave takes a waiter out of the queue; it may have got an endpoint meanwhile.
func (f *Fleet) leave(q *queue, w *waiter) (*Pick, Availability) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
		return nil, AllBusy
	}
	return <-w.got, Available
}

// wake gives free endpoints to waiting requests. The lock is held.
func (f *Fleet) wake(service string) {
	q := f.queues[service]
	if q == nil {
		return
	}
	kept := q.waiters[:0]
	for i, w := range q.waiters {
		p, why := f.choose(service, w.ask.Exclude)
		if p != nil {
			w.got <- p
			continue
		}
		kept = append(kept, w)
		if why == AllBusy && len(w.ask.Exclude) == 0 {
			kept = append(kept, q.waiters[i+1:]...)
			break
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
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
