package node

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/lab/platformsim"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/share"
	"github.com/wasabinotch/wasabinotch/store"
)

// Guards against entries that use the same turns at an endpoint with a rate limit since they number themselves differently.
func TestEntriesTakeDifferentTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		keys := []string{"entries/a", "entries/b", "entries/c"}
		var fleets []*fleet.Fleet
		for _, self := range keys {
			f := fleet.New("z1", nil)
			f.Update(fleet.Record{ID: "i-1", Service: "s", Address: "10.0.0.1:1", Zone: "z1", Slots: 4})
			f.RecordRateLimit("i-1", fleet.RateLimit{PerSecond: 1, Named: true})
			follower := newEntryFollower(f, share.Member{ID: self, Weight: 1}, settings.Bounds{GracePeriodS: 8, RetryWindowS: 10}, &storeHealth{}, logr.Discard())
			for _, key := range keys {
				follower.Apply(store.Event{KeyValue: store.KeyValue{Key: key, Value: []byte(`{"callers":"10.0.0.2:1","peer":"10.0.0.2:2"}`)}})
			}
			is.Equal(f.Entries(), len(keys))
			fleets = append(fleets, f)
		}
		sent := 0
		for i := range 240 {
			time.Sleep(50 * time.Millisecond)
			now := 0
			for _, f := range fleets {
				if p, _ := f.Acquire(t.Context(), &fleet.Request{Service: "s"}); p != nil {
					p.EndSucceeded()
					now++
				}
			}
			if i < 40 {
				continue // turns that were open at the start
			}
			is.True(now <= 1) // at the same time
			sent += now
		}
		is.True(sent >= 6) // of 9 turns in 10 s
	})
}

// limitedEndpoint starts an endpoint that names the value of limit as its rate limit
// unless it is empty, in its responses and in its engine report.
func limitedEndpoint(t *testing.T, limit *atomic.Value) net.Addr {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if value := limit.Load().(string); value != "" {
			w.Header().Set("Server-Limit", value)
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", "sig")
		if r.URL.Path == "/report" {
			fmt.Fprint(w, "{}")
		}
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return ln.Addr()
}

// rateLimited returns the number of endpoints that name a rate limit as far as the entry knows.
func (e *testEntry) rateLimited(t *testing.T) string {
	t.Helper()
	_, page := get(t, "http://"+e.settings.MetricsAddr+pathMetrics)
	_, value, _ := strings.Cut(page, "wasabinotch_endpoints_rate_limited ")
	value, _, _ = strings.Cut(value, "\n")
	return value
}

// limitKnownBound is the time from an endpoint's naming a limit until it must be in
// force: half a second for entries that have had it in a response.
const limitKnownBound = 500 * time.Millisecond

// Guards against entries that learn a rate limit, or its end, only from responses of their own, which come seldom then.
func TestRateLimitIsKnownToAllEntries(t *testing.T) {
	for _, source := range []string{"response_to_another_entry", "agent"} {
		t.Run(source, func(t *testing.T) {
			sim, err := platformsim.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer sim.Close()
			var limit atomic.Value
			limit.Store("")
			endpoint := limitedEndpoint(t, &limit)
			config := configWith(1, "k1")
			if source == "agent" {
				config = bytes.Replace(config, []byte(`{"name":"s"}`), []byte(`{"name":"s","engine":{"slots":4}}`), 1)
			}
			sim.Put("op/config", config)
			sim.Put("servers/i-1", endpointRecord(endpoint, "ready"))
			a, b := startEntry(t, "a", sim.Addr()), startEntry(t, "b", sim.Addr())
			eventually(t, "both entries serve and know each other", func() bool {
				return a.sendOrder(t, "k1") == http.StatusOK && b.sendOrder(t, "k1") == http.StatusOK && len(a.resolve(t)) == 2 && len(b.resolve(t)) == 2
			})
			if source == "agent" {
				node := b.settings.PlatformNode
				node.ID, node.Service, node.EndpointAddr, node.MetricsAddr = "agent", "s", endpoint.String(), ""
				go NewAgent(settings.PlatformAgent{PlatformNode: node}, logr.Discard()).Run(t.Context())
				time.Sleep(subscribeInterval)
			}
			send := func() {
				if source == "response_to_another_entry" {
					eventually(t, "an order is served", func() bool { return a.sendOrder(t, "k1") == http.StatusOK })
				}
			}
			for _, change := range []struct{ limit, limited string }{{"50", "1"}, {"", "0"}} {
				limit.Store(change.limit)
				send()
				within(t, limitKnownBound, "the other entry knows that "+change.limited+" endpoints name a limit", func() bool { return b.rateLimited(t) == change.limited })
			}
		})
	}
}
