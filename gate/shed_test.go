package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/api"
)

// newPaced returns a gate whose requests of cost 10 take a second each, two at
// a time.
func newPaced(t *testing.T) *harness {
	h := newHarness(t)
	h.poll(t.Context())
	h.pace.step(time.Second, 10)
	return h
}

// offer queues a request of cost 10.
func (h *harness) offer(org string, priority int, within time.Duration) *waiter {
	w := &waiter{org: org, cost: 10, priority: priority, ready: make(chan struct{}), deadline: h.clock.Now().Add(within)}
	if r := h.enqueue(w); r != nil {
		w.refusal = r
	}
	return w
}

// Guards against a queue that fills up with requests that end after their
// deadline, and against refusals that a caller cannot act on.
func TestLateRequestsAreRefusedOnArrival(t *testing.T) {
	is := is.New(t)
	h := newPaced(t)
	var refused []*api.Refusal
	for range 12 {
		if w := h.offer("big", 0, 4*time.Second); w.refusal != nil {
			refused = append(refused, w.refusal)
		}
	}
	is.Equal(h.queue.length, 2) // they wait 1 s, a quarter of the time left
	is.Equal(len(refused), 8)
	for _, r := range refused {
		is.Equal(r.Kind, api.KindOverloaded)
		is.Equal(r.Outcome, api.OutcomeNotRun)
		is.Equal(r.RetryAfterMS, int64(1000)) // the wait of 2 s is 1 s too long
	}
	is.True(h.offer("big", 0, 2900*time.Millisecond).refusal != nil) // would wait 2 s and run 1 s
	is.True(h.offer("small", 0, 4*time.Second).refusal == nil)       // within its share
	is.True(h.offer("big", 1, 4*time.Second).refusal == nil)         // of higher priority
	resumed := &waiter{org: "big", cost: 10, resumed: 5, ready: make(chan struct{}), deadline: h.clock.Now().Add(7 * time.Second)}
	is.Equal(h.enqueue(resumed), nil)
	is.True(resumed.refusal == nil)                                   // its caller has a part of the answer
	is.True(h.offer("other", 0, 500*time.Millisecond).refusal != nil) // shorter than a request takes
}

// Guards against slots that go to requests with too little time left, which
// are then cut while they run.
func TestRequestsThatBecameLateGetNoSlot(t *testing.T) {
	is := is.New(t)
	h := newPaced(t)
	running := []*waiter{h.offer("big", 0, 9*time.Second), h.offer("big", 0, 9*time.Second)}
	late, other := h.offer("big", 0, 5*time.Second), h.offer("big", 0, 9*time.Second)
	h.clock.Advance(4500 * time.Millisecond) // longer than expected
	h.release(running[0].slot, result{good: true, stepped: true, served: 10})
	is.Equal(late.refusal.Kind, api.KindOverloaded)
	is.True(late.slot == nil)
	is.True(other.slot != nil)
}

// Guards against an endpoint that gets no work any more, since its pace was
// measured under other conditions.
func TestIdleEndpointGetsARequestWhateverItsPace(t *testing.T) {
	is := is.New(t)
	h := newPaced(t)
	is.True(h.offer("big", 0, 500*time.Millisecond).slot != nil)
	is.True(h.offer("big", 0, 500*time.Millisecond).refusal != nil)
}

// Guards against an endpoint that stays cold since callers give up, and against
// a baseline that makes a busy endpoint look cold.
func TestGrowthIgnoresStoppedRequestsAndIdleBaselines(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.poll(t.Context())
	for _, res := range []result{{good: true}, {stopped: true}, {good: true}} {
		h.release(h.offer("big", 0, time.Second).slot, res)
	}
	is.Equal(h.limit.current, 3)
	h.limit.set(8)
	for range 2 * baselineSamples {
		h.release(h.offer("big", 0, time.Second).slot, result{good: true, firstToken: time.Millisecond})
	}
	is.Equal(h.limit.samples, 0)
}

// Guards against a warm endpoint that falls to the cold limit since its VM is
// busy or prompts are longer, and against a slow one that does not.
func TestSlowFirstTokenIsConfirmedByTheTokenGap(t *testing.T) {
	for gap, want := range map[float64]bool{0.015: false, 0.04: true} {
		is := is.New(t)
		l := limit{gap: 0.01}
		l.configure(2, 8)
		l.set(8)
		for range 2 * baselineSamples {
			l.completed(l.generation, 20*time.Millisecond)
		}
		l.gap = gap
		fell := false
		for range 20 {
			l.completed(l.generation, 200*time.Millisecond)
			fell = fell || l.current == 2
		}
		is.Equal(fell, want)
	}
}

// Guards against estimates that hold every request to its bound, and against
// ones that expect no answer to be longer than the mean.
func TestHoldFollowsTheLengthOfAnswers(t *testing.T) {
	is := is.New(t)
	p := pace{}
	p.step(time.Second, 10)
	mean, high := p.hold(100)
	is.Equal([]time.Duration{mean, high}, []time.Duration{10 * time.Second, 10 * time.Second})
	for i := range 200 {
		p.answered(100, float64(20+20*(i%2)))
	}
	mean, high = p.hold(100)
	is.True(mean > 2500*time.Millisecond && mean < 3500*time.Millisecond)
	is.True(high > 4*time.Second && high < 6*time.Second)
}
