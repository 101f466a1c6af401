package gate

import (
	"context"
	"io"
	"math/rand"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/wire"
)

// waitQueued waits for about 2 s until n requests are queued.
func (h *harness) waitQueued(t *testing.T, n int) {
	t.Helper()
	for range 2000 {
		if h.Load().Queued == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d requests are queued, not %d", h.Load().Queued, n)
}

// Guards against full load on an endpoint that has just started, and against
// a limit that stays high when the endpoint restarts or reports that it is cold.
func TestLimitStartsColdAndGrowsWithService(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.poll(t.Context())
	want := []int{2, 3, 3, 3, 5, 5, 5, 5, 5, 8} // grows after 2, 3 and 5 successful requests
	for i := range 10 {
		h.frames(t.Context(), stockRequest(string(rune('a'+i))))
		is.Equal(h.Load().Limit, append([]int{2}, want...)[i+1])
	}
	h.ep.report.BootID = "b2"
	h.poll(t.Context())
	is.Equal(h.Load().Limit, 2) // boot ID changed
	h.limit.set(8)
	h.ep.report.Cold = true
	h.poll(t.Context())
	is.Equal(h.Load().Limit, 2) // reported cold
	for i := range 5 {
		h.frames(t.Context(), stockRequest(string(rune('A'+i))))
	}
	is.Equal(h.Load().Limit, 2) // no growth while it reports cold
}

// Guards against new work on an endpoint that restarted under load, while more
// requests run there than its cold limit allows, and against priorities that are
// ignored within an organisation.
func TestColdEndpointGetsNoNewWorkUntilBelowTheLimit(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.poll(t.Context())
	h.limit.set(4)
	var running []*waiter
	add := func(priority int) *waiter {
		w := &waiter{org: "big", cost: 1, priority: priority, decided: make(chan struct{})}
		is.Equal(h.enqueue(w), nil)
		return w
	}
	for range 4 {
		running = append(running, add(0))
	}
	h.ep.report.BootID, h.ep.report.Running = "b2", 4
	h.poll(t.Context())
	low, high := add(0), add(1)
	for i, w := range running {
		is.Equal(h.Load().InFlight, 4-i)
		is.Equal(high.slot == nil, true)
		h.releaseSlot(w.slot, requestResult{})
		if i == 2 {
			break
		}
	}
	is.True(high.slot != nil && low.slot == nil) // only 1 of 2 slots was in use
}

// Guards against full load on an endpoint whose first-token time has risen to
// ten times the baseline.
func TestSlowFirstTokenResetsToColdLimit(t *testing.T) {
	is := is.New(t)
	l := adaptiveLimit{}
	l.setBounds(2, 8)
	l.set(8)
	for range 2 * minBaselineSamples {
		is.Equal(l.recordSuccess(l.generation, 20*time.Millisecond), "")
	}
	is.Equal(l.recordSuccess(l.generation, 200*time.Millisecond), "") // one slow response is not enough
	for range 20 {
		l.recordSuccess(l.generation, 200*time.Millisecond)
	}
	is.Equal(l.current, 2)
}

// Guards against exceeding the limit when an earlier agent process has left
// requests running, and against using a load report made before this agent
// started.
func TestWorkFromBeforeTheStartCounts(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	start := h.clock.Now()
	h.ep.report.ReportedAt = start
	h.poll(t.Context())
	is.Equal(h.Load().Limit, 0)
	is.Equal(lastFrame(h.frames(t.Context(), stockRequest("r1"))).Refusal.Kind, api.KindNoEndpoint)

	h.ep.report.ReportedAt, h.ep.report.Running = start.Add(time.Second), 2
	h.poll(t.Context())
	is.Equal(h.Load().InFlight, 2)
	done := make(chan []wire.Frame)
	go func() { done <- h.frames(context.Background(), stockRequest("r2")) }()
	h.waitQueued(t, 1)
	h.ep.mu.Lock()
	h.ep.report.ReportedAt, h.ep.report.Running = start.Add(2*time.Second), 1
	h.ep.mu.Unlock()
	h.poll(t.Context())
	is.Equal(frameKinds(<-done), "accepted head data end")
}

// Guards against an endpoint without load reports that never gets work, or keeps
// its limit when a lost connection shows that it may have restarted.
func TestEndpointWithoutLoadReports(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.ep.noLoadReports = true
	h.poll(t.Context())
	h.poll(t.Context()) // reuses the connection
	is.Equal(frameKinds(h.frames(t.Context(), stockRequest("r1"))), "accepted head data end")
	h.limit.set(8)
	h.ep.CloseClientConnections() // as a restart of the endpoint does
	h.poll(t.Context())
	h.poll(t.Context())
	is.Equal(h.Load().Limit, 2)
}

// Guards against a timer of a request from before the endpoint's restart that lowers the count of later ones.
func TestTimerFromBeforeARestartLowersNoLaterCount(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.ep.noLoadReports = true
	h.poll(t.Context())
	const timeout = 10 * time.Second
	locked := func(f func()) {
		h.mu.Lock()
		defer h.mu.Unlock()
		f()
	}
	locked(func() {
		h.service = &bundle.Service{TimeoutMS: timeout.Milliseconds()}
		h.addUnaccounted()
		h.markReady(0) // after a restart
	})
	h.clock.Advance(timeout / 2)
	locked(h.addUnaccounted)
	h.clock.Advance(timeout / 2)
	time.Sleep(20 * time.Millisecond) // the timer runs in a goroutine of its own
	locked(func() { is.Equal(h.endpoint.unaccounted, 1) })
	h.clock.Advance(timeout / 2)
	for range 1000 {
		count := 0
		if locked(func() { count = h.endpoint.unaccounted }); count == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the request still counts after its timeout")
}

// Guards against sending a queued request to the endpoint after the zone or VM
// was taken out of service, the view expired or the bundle was removed.
func TestZoneGateAppliesAfterQueueing(t *testing.T) {
	cases := []struct {
		kind   api.Kind
		change func(*harness)
	}{
		{api.KindZoneOut, func(h *harness) {
			h.view.change(func(s *control.Snapshot) { s.ZonesOut = map[string]bool{"z1": true} })
		}},
		{api.KindZoneOut, func(h *harness) {
			h.view.change(func(s *control.Snapshot) { s.VMsOut = map[string]bool{"vm1": true} })
		}},
		{api.KindNoBundle, func(h *harness) { h.view.change(func(s *control.Snapshot) { s.Bundle = nil }) }},
		{api.KindUnconfirmedView, func(h *harness) { h.clock.Advance(control.MaxConfirmationAge + time.Millisecond) }},
	}
	for _, c := range cases {
		t.Run(string(c.kind), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.poll(t.Context())
			h.ep.block = make(chan struct{})
			for _, id := range []string{"r1", "r2"} {
				go h.frames(context.Background(), modelRequest(id, 1))
			}
			for h.ep.arrivals.Load() < 2 {
				time.Sleep(time.Millisecond)
			}
			queued, identity := make(chan []wire.Frame, 2), order.FormatIssued(order.Binding{AgentID: "a1", Incarnation: 7}, 1, "x")
			go func() { queued <- h.frames(context.Background(), modelRequest("r3", 1)) }()
			go func() { queued <- h.frames(context.Background(), orderRequest("r4", identity)) }()
			h.waitQueued(t, 2)
			c.change(h)
			close(h.ep.block)
			for range 2 {
				r := lastFrame(<-queued).Refusal
				is.Equal(r.Kind, c.kind)
				is.Equal(r.Outcome, api.OutcomeNotRun)
			}
			is.Equal(h.ep.arrivals.Load(), int64(2))
			h.view.Store(newView(h.clock.Now()).Load()) // in service again, view confirmed
			is.Equal(lastFrame(h.frames(t.Context(), modelRequest("r3", 1))).Refusal.Kind, api.KindConflict)
			is.Equal(lastFrame(h.frames(t.Context(), orderRequest("r4", identity))).Refusal.Outcome, api.OutcomeNotRun)
			is.Equal(h.ep.arrivals.Load(), int64(2)) // refused requests and orders stay refused
		})
	}
}

// Guards against queued requests that outlive their deadline or cancellation,
// and against a cancelled stream that continues at the endpoint.
func TestDeadlineAndCancellation(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.poll(t.Context())
	h.ep.block = make(chan struct{})
	running := make(chan []wire.Frame, 2)
	for _, id := range []string{"r1", "r2"} {
		req := modelRequest(id, 1)
		req.DeadlineMS = 60_000
		go func() { running <- h.frames(context.Background(), req) }()
	}
	for h.ep.arrivals.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	queued := make(chan []wire.Frame)
	go func() { queued <- h.frames(context.Background(), modelRequest("r3", 1)) }()
	h.waitQueued(t, 1)
	is.True(h.Cancel("r3"))
	is.Equal(lastFrame(<-queued).Refusal.Kind, api.KindCancelled)
	go func() { queued <- h.frames(context.Background(), modelRequest("r4", 1)) }()
	h.waitQueued(t, 1)
	h.clock.Advance(5001 * time.Millisecond)
	is.Equal(lastFrame(<-queued).Refusal.Kind, api.KindTimeout)
	is.True(h.Cancel("r1"))
	is.Equal(lastFrame(<-running).Reason, "cancelled")
	is.Equal(h.ep.cancelledIDs, []string{"r1"})
	is.True(!h.Cancel("r9"))
	close(h.ep.block)
}

// Guards against running a late duplicate of a refused request, refusing the
// higher attempt of an entry that knows of the refusal, and unbounded memory.
func TestRefusedRequestsStayRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	c := newRefusedSet(h.clock)
	req := stockRequest("r1")
	req.Attempt = 2
	is.True(c.add(req))
	for attempt, want := range []bool{true, true, true, false} {
		late := *req
		late.Attempt = attempt
		is.Equal(c.contains(&late), want)
	}
	for i := len(c.byTime); i < maxRefusedRecords; i++ {
		c.byTime = append(c.byTime, expiryItem{key: uint64(i), queuedAt: h.clock.Now()})
	}
	is.True(!c.add(stockRequest("r2"))) // the set is full
	h.clock.Advance(refusalRetention + time.Second)
	is.True(c.add(stockRequest("r2")))
	is.Equal(len(c.byTime), 1)
}

// Guards against a drain that interrupts or drops running work.
func TestDrainFinishesRunningWork(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.poll(t.Context())
	h.ep.block = make(chan struct{})
	running := make(chan []wire.Frame)
	go func() { running <- h.frames(context.Background(), modelRequest("r1", 1)) }()
	for h.ep.arrivals.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	h.StopAdmitting()
	is.Equal(lastFrame(h.frames(t.Context(), modelRequest("r2", 1))).Refusal.Kind, api.KindLeaving)
	is.True(!h.idle())
	close(h.ep.block)
	is.Equal(lastFrame(<-running).Kind, wire.FrameEnd)
	is.True(h.idle())
}

// Guards against a large organisation that takes more than its agreed share,
// fills the queue, or starves a small one. Each organisation but small offers
// more load than its share, big ten times as much; small offers half of its share.
func TestSharesUnderTenfoldOverload(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.poll(t.Context())
	h.limit.set(8)
	const meanCost, steps = 50.0, 60_000 // one token of each running request per step
	offered := map[string]float64{"big": 5, "mid": 0.45, "small": 0.1}
	rng := rand.New(rand.NewSource(1))
	queued := map[*waiter]int{}
	runs := map[*waiter]float64{}
	requested, served, refused, longestWait := map[string]float64{}, map[string]float64{}, map[string]int{}, map[string]int{}
	for step := range steps {
		for _, org := range []string{"big", "mid", "small"} {
			if rng.Float64() < 8*offered[org]/meanCost {
				w := &waiter{org: org, cost: 1 + float64(rng.Intn(2*meanCost-1)), decided: make(chan struct{})}
				requested[org] += w.cost
				if h.enqueue(w) != nil {
					refused[org]++
					continue
				}
				queued[w] = step
			}
		}
		for w := range runs {
			if runs[w]--; runs[w] <= 0 {
				delete(runs, w)
				served[w.org] += w.cost
				h.releaseSlot(w.slot, requestResult{servedCost: w.cost})
			}
		}
		for w, since := range queued {
			select {
			case <-w.decided:
				delete(queued, w)
				if w.refusal != nil {
					refused[w.org]++
					continue
				}
				runs[w] = w.cost
				longestWait[w.org] = max(longestWait[w.org], step-since)
			default:
			}
		}
	}
	total := served["big"] + served["mid"] + served["small"]
	// small is to get all that it requests; big and mid share the rest 5 to 3.
	rest := 1 - requested["small"]/(8*steps)
	expected := map[string]float64{"big": rest * 5 / 8, "mid": rest * 3 / 8, "small": 1 - rest}
	for org, share := range expected {
		servedShare := served[org] / total
		t.Logf("%s: expected %.4f, served %.4f, error %+.2f%%, refused %d, longest wait %d steps", org, share, servedShare, 100*(servedShare/share-1), refused[org], longestWait[org])
		is.True(servedShare/share > 0.98 && servedShare/share < 1.02)
	}
	is.True(total > 0.98*8*steps)                      // unused share goes to others
	is.Equal(refused["small"], 0)                      // a full queue does not keep small out
	is.True(served["small"] > 0.99*requested["small"]) // small gets all it requests
}

// Measures the time of a plain call through the gate and of a direct call.
func BenchmarkPlainCall(b *testing.B) {
	h := newHarnessWithClock(b, clockwork.NewRealClock())
	for !h.EndpointReady() {
		h.poll(b.Context())
	}
	b.Run("gate", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			h.view.change(func(s *control.Snapshot) { s.ConfirmedAt = time.Now() })
			h.Execute(b.Context(), stockRequest(strconv.Itoa(i)), func(wire.Frame) error { return nil })
		}
	})
	b.Run("direct", func(b *testing.B) {
		for b.Loop() {
			resp, err := h.callClient.Get(h.ep.URL + "/stock")
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
	})
}
