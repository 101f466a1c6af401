package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/api"
)

// newHarnessWithSlotTime returns a harness with 2 slots and an estimated slot
// time of 1 s for a request of cost 10.
func newHarnessWithSlotTime(t *testing.T) *harness {
	h := newHarness(t)
	h.poll(t.Context())
	h.slotTimes.addGap(time.Second, 10)
	return h
}

// enqueueRequest enqueues a request of cost 10 with a deadline after within.
func (h *harness) enqueueRequest(org string, priority int, within time.Duration) *waiter {
	w := &waiter{org: org, cost: 10, priority: priority, decided: make(chan struct{}), deadline: h.clock.Now().Add(within)}
	if r := h.enqueue(w); r != nil {
		w.refusal = r
	}
	return w
}

// Guards against a queue that fills up with requests that would end after
// their deadline, and against refusals without a usable retry interval.
func TestLateRequestsAreRefusedOnArrival(t *testing.T) {
	is := is.New(t)
	h := newHarnessWithSlotTime(t)
	var refused []*api.Refusal
	for range 12 {
		if w := h.enqueueRequest("big", 0, 4*time.Second); w.refusal != nil {
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
	is.True(h.enqueueRequest("big", 0, 2900*time.Millisecond).refusal != nil) // would wait 2 s and run 1 s
	is.True(h.enqueueRequest("small", 0, 4*time.Second).refusal == nil)       // within its share
	is.True(h.enqueueRequest("big", 1, 4*time.Second).refusal == nil)         // of higher priority
	resumed := &waiter{org: "big", cost: 10, resumedCost: 5, decided: make(chan struct{}), deadline: h.clock.Now().Add(7 * time.Second)}
	is.Equal(h.enqueue(resumed), nil)
	is.True(resumed.refusal == nil)                                            // its caller has a part of the response
	is.True(h.enqueueRequest("other", 0, 500*time.Millisecond).refusal != nil) // shorter than a request takes
}

// Guards against granting slots to queued requests with too little time left,
// which then reach their deadline while they run.
func TestRequestsThatBecameLateGetNoSlot(t *testing.T) {
	is := is.New(t)
	h := newHarnessWithSlotTime(t)
	running := []*waiter{h.enqueueRequest("big", 0, 9*time.Second), h.enqueueRequest("big", 0, 9*time.Second)}
	late, other := h.enqueueRequest("big", 0, 5*time.Second), h.enqueueRequest("big", 0, 9*time.Second)
	h.clock.Advance(4500 * time.Millisecond) // the running requests take longer than estimated
	h.releaseSlot(running[0].slot, requestResult{succeeded: true, gapsMeasured: true, servedCost: 10})
	is.Equal(late.refusal.Kind, api.KindOverloaded)
	is.True(late.slot == nil)
	is.True(other.slot != nil)
}

// Guards against an idle endpoint that never gets work again, because slot times
// measured under other conditions make every request look too late.
func TestIdleEndpointGetsARequestWhateverTheEstimate(t *testing.T) {
	is := is.New(t)
	h := newHarnessWithSlotTime(t)
	is.True(h.enqueueRequest("big", 0, 500*time.Millisecond).slot != nil)
	is.True(h.enqueueRequest("big", 0, 500*time.Millisecond).refusal != nil)
}

// Guards against an endpoint that stays cold because callers cancel requests,
// and against a baseline measured at an idle endpoint, which makes a busy one
// look cold.
func TestGrowthIgnoresCancelledRequestsAndIdleBaselines(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.poll(t.Context())
	for _, res := range []requestResult{{succeeded: true}, {cancelConfirmed: true}, {succeeded: true}} {
		h.releaseSlot(h.enqueueRequest("big", 0, time.Second).slot, res)
	}
	is.Equal(h.limit.current, 3)
	h.limit.set(8)
	for range 2 * minBaselineSamples {
		h.releaseSlot(h.enqueueRequest("big", 0, time.Second).slot, requestResult{succeeded: true, firstTokenTime: time.Millisecond})
	}
	is.Equal(h.limit.sampleCount, 0)
}

// Guards against a warm endpoint that falls to the cold limit because its VM is
// busy or prompts are longer, and against a slow one that keeps its limit.
func TestSlowFirstTokenIsConfirmedByTheTokenGap(t *testing.T) {
	for gap, want := range map[float64]bool{0.015: false, 0.04: true} {
		is := is.New(t)
		l := adaptiveLimit{recentGap: 0.01}
		l.setBounds(2, 8)
		l.set(8)
		for range 2 * minBaselineSamples {
			l.recordSuccess(l.generation, 20*time.Millisecond)
		}
		l.recentGap = gap
		wasReset := false
		for range 20 {
			l.recordSuccess(l.generation, 200*time.Millisecond)
			wasReset = wasReset || l.current == 2
		}
		is.Equal(wasReset, want)
	}
}

// Guards against estimates that expect every request to serve its whole cost,
// and against ones that expect no response to be longer than the mean.
func TestEstimateFollowsResponseLength(t *testing.T) {
	is := is.New(t)
	estimator := slotTimeEstimator{}
	estimator.addGap(time.Second, 10)
	mean, high := estimator.estimate(100)
	is.Equal([]time.Duration{mean, high}, []time.Duration{10 * time.Second, 10 * time.Second})
	for i := range 200 {
		estimator.addResponse(100, float64(20+20*(i%2)))
	}
	mean, high = estimator.estimate(100)
	is.True(mean > 2500*time.Millisecond && mean < 3500*time.Millisecond)
	is.True(high > 4*time.Second && high < 6*time.Second)
}
