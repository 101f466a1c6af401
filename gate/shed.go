package gate

import (
	"fmt"
	"slices"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
)

// minRetryAfter is the least retry interval given to callers, so that they do
// not retry a refused request before the queue can have changed.
const minRetryAfter = 200 * time.Millisecond

// maxWaitDivisor bounds the expected wait of an arriving request to a quarter of
// the time left to its deadline. Longer queues raised first-token times and not
// goodput (docs/design.md, 6.13).
const maxWaitDivisor = 4

// shed refuses queued requests that are not expected to finish before their
// deadline, in the order in which they would be served, so that slots go to
// requests whose responses arrive in time. arriving is the request that was
// queued last, or nil. The wait of a resumed stream is bounded by its deadline
// only, since its caller already has a part of the response. One request is
// kept at an idle endpoint whatever the estimate, so that slot times measured
// under other conditions are measured again.
func (g *Gate) shed(arriving *waiter) {
	if g.queue.length == 0 || !g.slotTimes.known() {
		return
	}
	now := g.cfg.Clock.Now()
	free := g.slotFreeTimes(now)
	if len(free) == 0 {
		return
	}
	keepOne := len(g.slots) == 0
	for _, w := range g.queue.inServiceOrder() {
		wait := free[0]
		mean, high := g.slotTimes.estimate(w.cost - w.resumedCost)
		if late := g.lateness(w, now, wait, high, w == arriving); late > 0 && !keepOne {
			g.queue.remove(w)
			w.refusal = tooLate(wait, max(late, minRetryAfter))
			close(w.decided)
			continue
		}
		keepOne = false
		free[0] = wait + mean
		insertFirst(free)
	}
}

// insertFirst moves the first element to its place in a list whose other elements
// are sorted.
func insertFirst(list []time.Duration) {
	for i := 1; i < len(list) && list[i] < list[i-1]; i++ {
		list[i], list[i-1] = list[i-1], list[i]
	}
}

// lateness returns by how much the request would miss its deadline or exceed the
// allowed wait; 0 or less if it is in time. hold is the time for which it would
// hold its slot.
func (g *Gate) lateness(w *waiter, now time.Time, wait, hold time.Duration, arriving bool) time.Duration {
	if w.deadline.IsZero() {
		return 0
	}
	left := w.deadline.Sub(now)
	late := wait + hold - left
	if arriving && w.resumedCost == 0 {
		late = max(late, wait-left/maxWaitDivisor)
	}
	return late
}

// slotFreeTimes returns the expected times until each slot of the endpoint is free,
// in ascending order.
func (g *Gate) slotFreeTimes(now time.Time) []time.Duration {
	slotCount := g.limit.current - g.endpoint.unaccounted
	free := make([]time.Duration, 0, max(slotCount, len(g.slots), 0))
	for s := range g.slots {
		mean, _ := g.slotTimes.estimate(s.cost - s.resumedCost)
		free = append(free, max(mean-now.Sub(s.grantedAt), 0))
	}
	for len(free) < slotCount {
		free = append(free, 0)
	}
	slices.Sort(free)
	return free[len(free)-max(slotCount, 0):]
}

// recordTimings records the duration and the length of a complete response.
func (g *Gate) recordTimings(s *slot, res requestResult) {
	if !res.gapsMeasured {
		g.slotTimes.addGap(g.cfg.Clock.Since(s.grantedAt), res.servedCost)
	}
	g.slotTimes.addResponse(s.cost-s.resumedCost, res.servedCost)
	if res.gapsMeasured {
		g.limit.recentGap = g.slotTimes.gapSeconds
	}
}

// recordTokenTime records the time to the first token of a request, or the gap
// before a later one.
func (g *Gate) recordTokenTime(d time.Duration, first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if first {
		g.slotTimes.addFirstToken(d)
		return
	}
	g.slotTimes.addGap(d, 1)
}

func tooLate(wait, retryAfter time.Duration) *api.Refusal {
	r := api.NotRun(api.KindOverloaded, fmt.Sprintf("the endpoint is overloaded: the request would wait %v, too long for its deadline", wait.Round(time.Millisecond)), "retry later, or with a longer deadline")
	r.RetryAfterMS = retryAfter.Milliseconds()
	return r
}
