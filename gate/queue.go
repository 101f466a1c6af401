package gate

import (
	"cmp"
	"container/heap"
	"slices"
	"sort"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
)

// waiter is a request that waits for a slot.
type waiter struct {
	org      string
	priority int
	cost     float64 // expected token cost
	// resumedCost is the part of cost that another endpoint served.
	resumedCost float64
	deadline    time.Time // zero for none
	seq         uint64    // arrival number
	index       int       // position in the flow's heap, -1 when not queued
	// decided is closed when the request is granted a slot or refused.
	decided chan struct{}
	refusal *api.Refusal // set before decided is closed
	slot    *slot        // set before decided is closed
	isOrder bool         // a non-idempotent call, which may be bound to this agent
}

// flow is the queue of one organisation. Higher priority comes first, then
// the earlier arrival.
type flow struct {
	weight   float64
	startTag float64 // virtual start tag of the next request
	heap     []*waiter
}

func (f *flow) Len() int           { return len(f.heap) }
func (f *flow) Less(i, j int) bool { return compareInFlow(f.heap[i], f.heap[j]) < 0 }

// compareInFlow compares two requests of one organisation by the order of service.
func compareInFlow(a, b *waiter) int {
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

// fairQueue is a start-time fair queue over organisations. Start tags are kept
// per organisation: the organisation with the lowest start tag is served next,
// and its tag then rises by cost divided by weight. An idle organisation's tag is
// raised to the virtual time when its next request arrives, so that an unused
// share goes to others and does not accumulate.
// It is not safe for concurrent use.
type fairQueue struct {
	flows       map[string]*flow
	virtualTime float64
	length      int
	seq         uint64 // arrival number of the last queued request
	// weight returns the share weight of an organisation.
	weight func(org string) float64
}

func newFairQueue(weight func(string) float64) *fairQueue {
	return &fairQueue{flows: make(map[string]*flow), weight: weight}
}

func (q *fairQueue) push(w *waiter) {
	f := q.flow(w.org)
	if len(f.heap) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	q.seq++
	w.seq = q.seq
	heap.Push(f, w)
	q.length++
}

// evict removes and returns the request that would be served last of the
// organisation with the longest queue, so that a large organisation cannot keep
// others out of a full queue. Queue lengths are not divided by the shares: when
// they were, an organisation that stayed below its share lost more requests of
// its bursts.
func (q *fairQueue) evict(arriving string) *waiter {
	w := q.longestFlow(arriving).lastServed()
	q.remove(w)
	return w
}

// flow returns the flow of the organisation, creating it if there is none, with
// its current weight.
func (q *fairQueue) flow(org string) *flow {
	f := q.flows[org]
	if f == nil {
		f = &flow{startTag: q.virtualTime}
		q.flows[org] = f
	}
	f.weight = q.weight(org)
	return f
}

// longestFlow returns the flow with the most queued requests; between equals, that
// of the arriving organisation.
func (q *fairQueue) longestFlow(arriving string) *flow {
	best := q.flows[arriving]
	for _, f := range q.flows {
		if len(f.heap) > len(best.heap) {
			best = f
		}
	}
	return best
}

// lastServed returns the request of the flow that would be served last.
func (f *flow) lastServed() *waiter {
	last := 0
	for i := range f.heap {
		if f.Less(last, i) {
			last = i
		}
	}
	return f.heap[last]
}

// pop removes and returns the request to serve next; nil if the queue is empty.
func (q *fairQueue) pop() *waiter {
	var next *flow
	for _, f := range q.flows {
		if len(f.heap) == 0 {
			continue
		}
		if next == nil || f.startTag < next.startTag || (f.startTag == next.startTag && f.heap[0].seq < next.heap[0].seq) {
			next = f
		}
	}
	if next == nil {
		return nil
	}
	w := heap.Pop(next).(*waiter)
	q.length--
	q.virtualTime = max(q.virtualTime, next.startTag)
	next.startTag += w.cost / next.weight
	q.pruneIdle()
	return w
}

// inServiceOrder lists the queued requests in the order in which they
// would be served if no other arrived.
func (q *fairQueue) inServiceOrder() []*waiter {
	type tagged struct {
		start float64
		w     *waiter
	}
	list := make([]tagged, 0, q.length)
	for _, f := range q.flows {
		sorted := slices.Clone(f.heap)
		slices.SortFunc(sorted, compareInFlow)
		start := f.startTag
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

// remove removes w from the queue and reports whether it was queued.
func (q *fairQueue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(q.flows[w.org], w.index)
	q.length--
	return true
}

// settleCost replaces the expected cost of a request in its organisation's start
// tag by the cost that was served.
func (q *fairQueue) settleCost(org string, expected, served float64) {
	if f := q.flows[org]; f != nil {
		f.startTag += (served - expected) / f.weight
	}
}

// pruneAboveFlows is the number of flows above which idle ones are removed. It is
// the number of organisations that the design supports.
const pruneAboveFlows = 500

// pruneIdle removes idle flows whose start tag is not ahead of the virtual time.
// The other flows are kept, since their tags account for cost already served.
func (q *fairQueue) pruneIdle() {
	if len(q.flows) <= pruneAboveFlows {
		return
	}
	for org, f := range q.flows {
		if len(f.heap) == 0 && f.startTag <= q.virtualTime {
			delete(q.flows, org)
		}
	}
}

// inArrivalOrder lists the queued requests in order of arrival.
func (q *fairQueue) inArrivalOrder() []*waiter {
	out := make([]*waiter, 0, q.length)
	for _, f := range q.flows {
		out = append(out, f.heap...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].seq < out[j].seq })
	return out
}
