package gate

import (
	"fmt"
	"slices"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
)

// minRetryAfter keeps callers from repeating a refused request before the
// queue can have changed.
const minRetryAfter = 200 * time.Millisecond

// waitPart bounds the expected wait of an arriving request to this part of the
// time left: a quarter. Longer queues raised first-token times and not goodput
// (docs/design.md, 6.13).
const waitPart = 4

// shed refuses queued requests that cannot be finished before their deadline,
// in the order in which they would be served, so that slots go to requests
// whose answers arrive in time. arriving is the request that was queued last,
// or nil. A stream that is resumed here is bound by its deadline only, since
// its caller has a part of it already. One request is let through at an idle
// endpoint, so that a pace measured under other conditions is measured again.
func (g *Gate) shed(arriving *waiter) {
	if g.queue.length == 0 || !g.pace.known() {
		return
	}
	now := g.cfg.Clock.Now()
	free := g.freeTimes(now)
	if len(free) == 0 {
		return
	}
	probe := len(g.slots) == 0
	for _, w := range g.queue.inOrder() {
		wait := free[0]
		mean, high := g.pace.hold(w.cost - w.resumed)
		if late := g.late(w, now, wait, high, w == arriving); late > 0 && !probe {
			g.queue.remove(w)
			w.refusal = tooLate(wait, max(late, minRetryAfter))
			close(w.ready)
			continue
		}
		probe = false
		free[0] = wait + mean
		sortFirst(free)
	}
}

// sortFirst moves the first element of a list that is sorted otherwise to its place.
func sortFirst(list []time.Duration) {
	for i := 1; i < len(list) && list[i] < list[i-1]; i++ {
		list[i], list[i-1] = list[i-1], list[i]
	}
}

// late returns by how much the request would end or start too late.
func (g *Gate) late(w *waiter, now time.Time, wait, hold time.Duration, arriving bool) time.Duration {
	if w.deadline.IsZero() {
		return 0
	}
	left := w.deadline.Sub(now)
	late := wait + hold - left
	if arriving && w.resumed == 0 {
		late = max(late, wait-left/waitPart)
	}
	return late
}

// freeTimes returns the expected times until each place at the endpoint is
// free, in ascending order.
func (g *Gate) freeTimes(now time.Time) []time.Duration {
	places := g.limit.current - g.endpoint.foreign
	free := make([]time.Duration, 0, max(places, len(g.slots), 0))
	for s := range g.slots {
		mean, _ := g.pace.hold(s.cost - s.resumed)
		free = append(free, max(mean-now.Sub(s.since), 0))
	}
	for len(free) < places {
		free = append(free, 0)
	}
	slices.Sort(free)
	return free[len(free)-max(places, 0):]
}

// measure takes the duration and the length of a whole answer.
func (g *Gate) measure(s *slot, res result) {
	if !res.stepped {
		g.pace.step(g.cfg.Clock.Since(s.since), res.served)
	}
	g.pace.answered(s.cost-s.resumed, res.served)
	if res.stepped {
		g.limit.gap = g.pace.gap
	}
}

// tokenAfter takes the time to the first token of a request, or the gap
// before a further one.
func (g *Gate) tokenAfter(d time.Duration, first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if first {
		g.pace.firstToken(d)
		return
	}
	g.pace.step(d, 1)
}

func tooLate(wait, retryAfter time.Duration) *api.Refusal {
	r := api.NotRun(api.KindOverloaded, fmt.Sprintf("the endpoint is overloaded: the request would wait %v, too long for its deadline", wait.Round(time.Millisecond)), "retry later, or with a longer deadline")
	r.RetryAfterMS = retryAfter.Milliseconds()
	return r
}
