package node

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
	"github.com/wasabinotch/wasabinotch/settings"
)

// arrivalsEndpoint starts an endpoint that records when its requests arrive.
func arrivalsEndpoint(t *testing.T) (addr net.Addr, arrivals func() []time.Time) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var times []time.Time
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		times = append(times, time.Now())
		mu.Unlock()
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", "sig")
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return ln.Addr(), func() []time.Time {
		mu.Lock()
		defer mu.Unlock()
		return times
	}
}

// Guards against orders to an endpoint whose record was removed more than applyBound before, because the
// store cut the waiting watch although it served all other calls.
func TestCutWatchesDeferNoRemoval(t *testing.T) {
	for _, c := range []struct {
		name string
		// cuts are the times of the cuts, since the removal.
		cuts []time.Duration
	}{
		{"none", nil},
		{"once before", []time.Duration{-200 * time.Millisecond}},
		{"before and after", []time.Duration{-200 * time.Millisecond, 0, 900 * time.Millisecond, 1100 * time.Millisecond}},
		{"series", []time.Duration{-500 * time.Millisecond, 0, 400 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond, 1600 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim, err := platformsim.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(sim.Close)
			sim.Put("op/config", configWith(1, "k1"))
			stays, _ := arrivalsEndpoint(t)
			leaves, arrivals := arrivalsEndpoint(t)
			sim.Put("servers/i-stays", endpointRecord(stays, "ready"))
			sim.Put("servers/i-leaves", endpointRecord(leaves, "ready"))
			e := startEntry(t, "a", sim.Addr())
			eventually(t, "both endpoints get orders", func() bool { return e.sendOrder(t, "k1") == http.StatusOK && len(arrivals()) > 0 })
			eventually(t, "the entry is registered", func() bool { return len(e.resolve(t)) == 1 })
			time.Sleep(2 * settleTime)

			removed := time.Now().Add(time.Second)
			var changes sync.WaitGroup
			for _, cut := range c.cuts {
				changes.Go(func() {
					time.Sleep(time.Until(removed.Add(cut)))
					sim.CutWatches()
				})
			}
			changes.Go(func() {
				time.Sleep(time.Until(removed))
				sim.Remove("servers/i-leaves")
			})
			for time.Since(removed) < 2*applyBound {
				if status := e.sendOrder(t, "k1"); status != http.StatusOK {
					t.Errorf("status %d, %v after the removal", status, time.Since(removed))
				}
				time.Sleep(10 * time.Millisecond)
			}
			changes.Wait()
			all := arrivals()
			if last := all[len(all)-1].Sub(removed); last > applyBound {
				t.Errorf("an order arrived %v after the removal of the endpoint's record", last)
			}
		})
	}
}

// testHealth returns a storeHealth of a store that has just answered.
func testHealth() *storeHealth {
	h := &storeHealth{log: logr.Discard(), outages: new(metrics.Counter), maxSilence: 1200 * time.Millisecond}
	h.recordSuccess()
	return h
}

// Guards against taking a cut watch for an outage of the store, and an outage for a cut watch.
func TestFailedWatchIsAnOutageOnlyAfterSilence(t *testing.T) {
	for _, c := range []struct {
		name             string
		renewed, watched time.Duration // time since the last response
		failing, outage  bool
	}{
		{"both answer", 0, 0, false, false},
		{"renewed within the interval", 900 * time.Millisecond, time.Minute, false, false},
		{"a change was read", time.Minute, time.Second, false, false},
		{"silence", 1300 * time.Millisecond, time.Minute, false, true},
		{"renewals fail", 0, 0, true, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			m := watchMonitor{health: testHealth(), feed: newMonitoredFeed(nil, metrics.NewSet(), logr.Discard()), cuts: new(metrics.Counter), log: logr.Discard()}
			time.Sleep(time.Hour)
			now := time.Now()
			m.health.lastSuccess, m.feed.lastResponse = now.Add(-c.renewed), now.Add(-c.watched)
			if c.failing {
				m.health.recordFailure(io.ErrUnexpectedEOF)
			}
			is.Equal(m.WatchFailed(io.EOF), c.outage) // c.name
			is.Equal(m.cuts.Get() == 0, c.outage)
		})
	}
}

// Guards against failed calls that defer a removal again and again, and against an outage after which
// running processes get no time to write their records.
func TestFailedCallsDeferARemovalOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		// outage is the time without an answer from 1 s after the deletion on.
		outage, removed time.Duration
	}{
		{"single failures", 0, reregisterGrace},
		{"outage", 2 * time.Second, 3*time.Second + reregisterGrace},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			health := testHealth()
			fail := func(away time.Duration) {
				health.recordFailure(io.ErrUnexpectedEOF)
				time.Sleep(away)
				health.recordSuccess()
			}
			fail(0)
			began, removed := time.Now(), time.Duration(0)
			d := newDeferredRemovals(health, func(string) { removed = time.Since(began) }, logr.Discard())
			d.keyDeleted("gone")
			for time.Since(began) < time.Minute && removed == 0 {
				time.Sleep(expiryInterval)
				away := time.Duration(0)
				if time.Since(began) == time.Second {
					away = c.outage
				}
				fail(away) // each call fails once
				d.removePending()
			}
			is.Equal(removed, c.removed) // c.name
		})
	}
}

// Guards against renewals that are too rare to show, between two heartbeats, that the store answers.
func TestRenewalsAreMoreFrequentThanHeartbeats(t *testing.T) {
	for heartbeatMS, interval := range map[float64]time.Duration{0: renewInterval, 400: 300 * time.Millisecond, 5000: renewInterval} {
		s := settings.PlatformEntry{PlatformNode: settings.PlatformNode{ID: "a", Bounds: settings.Bounds{HeartbeatMS: heartbeatMS}}}
		is.New(t).Equal(NewEntry(s, logr.Discard()).registration().interval, interval)
	}
}
