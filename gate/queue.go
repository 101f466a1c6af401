package gate

import (
	"cmp"
	"container/heap"
	"slices"
	"sort"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
)

// waiter is one queued request.
type waiter struct {
	org      string
	priority int
	cost     float64
	// resumed is the part of cost that was served elsewhere.
	resumed  float64
	deadline time.Time // zero for none
	seq      uint64
	index    int // position in the flow's heap, -1 when not queued
	// ready is closed when the request was granted a slot or refused.
	ready   chan struct{}
	refusal *api.Refusal // set before ready is closed
	slot    *slot        // set before ready is closed
	order   bool         // an order, which may be bound to this agent
}

// flow is the queue of one organisation. Higher priority comes first, then
// the earlier arrival.
type flow struct {
	weight float64
	start  float64 // virtual start tag of the next request
	heap   []*waiter
}

func (f *flow) Len() int           { return len(f.heap) }
func (f *flow) Less(i, j int) bool { return before(f.heap[i], f.heap[j]) < 0 }

// before compares two requests of one organisation.
func before(a, b *waiter) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.seq, b.seq))
}

func (f *flow) Swap(i, j int) {
	f.heap[i], f.heap[j] = f.heap[j], f.heap[i]
	f.heap[i].index, f.heap[j].index = i, j
}
func (f *flow) Push(x any) {
	w := x.(*waiter)
	w.index = len(f.heap)
	f.heap = append(f.heap, w)
}
func (f *flow) Pop() any {
	w := f.heap[len(f.heap)-1]
	f.heap[len(f.heap)-1] = nil
	f.heap = f.heap[:len(f.heap)-1]
	w.index = -1
	return w
}

// fairQueue is a start-time fair queue over organisations. Tags are kept per
// organisation: the organisation with the lowest start tag is served next, and
// its tag then rises by cost divided by weight. An idle organisation's tag is
// raised to the virtual time, so that unused share is lent and not saved up.
// It is not safe for concurrent use.
type fairQueue struct {
	flows   map[string]*flow
	virtual float64
	length  int
	seq     uint64
	// weight returns the share weight of an organisation.
	weight func(org string) float64
}

func newFairQueue(weight func(string) float64) *fairQueue {
	return &fairQueue{flows: make(map[string]*flow), weight: weight}
}

// push queues w.
func (q *fairQueue) push(w *waiter) {
	f := q.flow(w.org)
	if len(f.heap) == 0 {
		f.start = max(f.start, q.virtual)
	}
	q.seq++
	w.seq = q.seq
	heap.Push(f, w)
	q.length++
}

// evict removes and returns the last request of the organisation with the
// longest queue, so that a large organisation cannot keep others out of a full
// queue. Queue lengths are not weighed by share: with weights, an organisation
// that stayed below its share lost more of its bursts.
func (q *fairQueue) evict(arriving string) *waiter {
	w := q.longest(arriving).last()
	q.remove(w)
	return w
}

func (q *fairQueue) flow(org string) *flow {
	f := q.flows[org]
	if f == nil {
		f = &flow{start: q.virtual}
		q.flows[org] = f
	}
	f.weight = q.weight(org)
	return f
}

// longest returns the flow with the most queued requests, the arriving
// organisation's among equals.
func (q *fairQueue) longest(arriving string) *flow {
	best := q.flows[arriving]
	for _, f := range q.flows {
		if len(f.heap) > len(best.heap) {
			best = f
		}
	}
	return best
}

// last returns the request that would be served last.
func (f *flow) last() *waiter {
	last := 0
	for i := range f.heap {
		if f.Less(last, i) {
			last = i
		}
	}
	return f.heap[last]
}

// pop removes the request to serve next, nil if the queue is empty.
func (q *fairQueue) pop() *waiter {
	var next *flow
	for _, f := range q.flows {
		if len(f.heap) == 0 {
			continue
		}
		if next == nil || f.start < next.start || (f.start == next.start && f.heap[0].seq < next.heap[0].seq) {
			next = f
		}
	}
	if next == nil {
		return nil
	}
	w := heap.Pop(next).(*waiter)
	q.length--
	q.virtual = max(q.virtual, next.start)
	next.start += w.cost / next.weight
	q.forgetIdle()
	return w
}

// inOrder lists the queued requests in the order in which they would be served
// if no other arrived.
func (q *fairQueue) inOrder() []*waiter {
	type tagged struct {
		start float64
		w     *waiter
	}
	list := make([]tagged, 0, q.length)
	for _, f := range q.flows {
		sorted := slices.Clone(f.heap)
		slices.SortFunc(sorted, before)
		start := f.start
		for _, w := range sorted {
			list = append(list, tagged{start, w})
			start += w.cost / f.weight
		}
	}
	slices.SortFunc(list, func(a, b tagged) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.w.seq, b.w.seq))
	})
	out := make([]*waiter, len(list))
	for i, t := range list {
		out[i] = t.w
	}
	return out
}

// remove takes w out of the queue; it reports whether w was queued.
func (q *fairQueue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(q.flows[w.org], w.index)
	q.length--
	return true
}

// settle replaces the expected cost of a served request by the real one.
func (q *fairQueue) settle(org string, expected, real float64) {
	if f := q.flows[org]; f != nil {
		f.start += (real - expected) / f.weight
	}
}

// idleFlows is the number of flows above which idle ones are forgotten; it
// is the number of organisations the design supports.
const idleFlows = 500

// forgetIdle removes idle flows whose tag holds no debt.
func (q *fairQueue) forgetIdle() {
	if len(q.flows) <= idleFlows {
		return
	}
	for org, f := range q.flows {
		if len(f.heap) == 0 && f.start <= q.virtual {
			delete(q.flows, org)
		}
	}
}

// waiting lists the queued requests in order of arrival.
func (q *fairQueue) waiting() []*waiter {
	out := make([]*waiter, 0, q.length)
	for _, f := range q.flows {
		out = append(out, f.heap...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].seq < out[j].seq })
	return out
}
