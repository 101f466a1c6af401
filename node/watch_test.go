package node

import (
	"context"
	"errors"
	"fmt"
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
	"github.com/wasabinotch/wasabinotch/pause"
	"github.com/wasabinotch/wasabinotch/store"
)

// applyBound is the time within which the users' platform requires that a
// configuration is in force and that a draining endpoint gets no more requests.
const applyBound = 2 * time.Second

// within fails the test unless the condition holds before the bound has passed.
func within(t *testing.T, bound time.Duration, condition string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("%s: not within %v", condition, bound)
}

// endpointRecord returns the store record of an endpoint of service s.
func endpointRecord(addr net.Addr, state string) []byte {
	return []byte(fmt.Sprintf(`{"service":"s","address":%q,"zone":"z1","slots":4,"state":%q,"cold_remaining_ms":0}`, addr, state))
}

// storeWithEndpoint starts a simulated store that holds a configuration with API
// key k1 and the record of one endpoint.
func storeWithEndpoint(t *testing.T) (*platformsim.Store, net.Addr) {
	t.Helper()
	sim, err := platformsim.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sim.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", "sig")
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	sim.Put("op/config", configWith(1, "k1"))
	sim.Put("servers/i-1", endpointRecord(ln.Addr(), "ready"))
	return sim, ln.Addr()
}

// Guards against an entry that misses changes because the connection of its watch fell silent.
func TestSilentWatchMissesNoChange(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(sim *platformsim.Store, endpoint net.Addr)
		seen   func(e *testEntry) bool
	}{
		{"configuration",
			func(sim *platformsim.Store, _ net.Addr) { sim.Put("op/config", configWith(2, "k2")) },
			func(e *testEntry) bool { return e.sendOrder(t, "k2") == http.StatusOK }},
		{"draining_endpoint",
			func(sim *platformsim.Store, endpoint net.Addr) {
				sim.Put("servers/i-1", endpointRecord(endpoint, "draining"))
			},
			func(e *testEntry) bool { return e.sendOrder(t, "k1") == http.StatusServiceUnavailable }},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim, endpoint := storeWithEndpoint(t)
			a, b := startEntry(t, "a", sim.Addr()), startEntry(t, "b", sim.Addr())
			eventually(t, "both entries serve", func() bool {
				return a.sendOrder(t, "k1") == http.StatusOK && b.sendOrder(t, "k1") == http.StatusOK
			})
			eventually(t, "both entries know each other", func() bool { return len(a.resolve(t)) == 2 && len(b.resolve(t)) == 2 })
			time.Sleep(2 * settleTime)
			eventually(t, "one watch is silent", sim.SilenceWatch)
			c.change(sim, endpoint)
			within(t, applyBound, "the change is in force at both entries", func() bool { return c.seen(a) && c.seen(b) })
		})
	}
}

// slowFeed is a store whose listings take a time and whose watch returns nothing.
type slowFeed struct{ listTime time.Duration }

func (f slowFeed) List(context.Context, string) ([]store.KeyValue, store.Position, error) {
	time.Sleep(f.listTime)
	return nil, store.Position{Revision: 10}, nil
}

func (f slowFeed) Changes(ctx context.Context, _ string, _ store.Position, wait time.Duration) ([]store.Event, store.Position, error) {
	pause.For(ctx, wait)
	return nil, store.Position{Revision: 10}, context.Cause(ctx)
}

// Guards against listing the keys of a slow store again and again because its changes arrive late.
func TestWatchOfASlowStoreGetsMoreTime(t *testing.T) {
	for _, c := range []struct{ listTime, ended time.Duration }{
		{0, staleWatchTimeout},
		{time.Second, staleWatchTimeout + listTimes*time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			m := newMonitoredFeed(slowFeed{c.listTime}, metrics.NewSet(), logr.Discard())
			_, _, err := m.List(t.Context(), "")
			is.NoErr(err)
			began := time.Now()
			var peer sync.WaitGroup
			defer peer.Wait()
			peer.Go(func() {
				for time.Since(began) <= c.ended {
					m.recordPeer(store.Position{Revision: 11})
					time.Sleep(10 * time.Millisecond)
				}
			})
			_, _, err = m.Changes(t.Context(), "", store.Position{Revision: 10}, time.Minute)
			is.True(errors.Is(err, store.ErrWatchStale))
			is.Equal(time.Since(began), c.ended)
		})
	}
}

// Guards against an entry that waits on silent connections one after the other.
func TestSilentConnectionsMissNoChange(t *testing.T) {
	is := is.New(t)
	sim, _ := storeWithEndpoint(t)
	a := startEntry(t, "a", sim.Addr())
	eventually(t, "an order is served", func() bool { return a.sendOrder(t, "k1") == http.StatusOK })
	eventually(t, "the entry is registered", func() bool { return len(a.resolve(t)) == 1 })
	time.Sleep(2 * settleTime)
	sim.SilenceConnections()
	time.Sleep(reconnectBound)
	sim.Put("op/config", configWith(2, "k2"))
	within(t, applyBound, "the change is in force after all connections fell silent", func() bool { return a.sendOrder(t, "k2") == http.StatusOK })
	is.Equal(a.sendOrder(t, "k1"), http.StatusUnauthorized)
}

// reconnectBound is the time that the users' platform allows an entry to recover
// from the loss of its connections before its bounds apply again.
const reconnectBound = 3 * time.Second
