package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/forward"
	"github.com/wasabinotch/wasabinotch/lab/platformsim"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Guards against two coordinators that both go on, and against a group without one.
func TestLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l leadership
		_, ok := l.claim("g", 0, false)
		is.True(!ok) // another may call first
		time.Sleep(initialTakeoverTimeout)
		term, ok := l.claim("g", 0, false)
		is.True(ok && l.leading(term))
		_, ok = l.admit(&wire.RankArgs{Group: "g", Term: term, Rank: 1})
		is.True(!ok) // of equal terms the lower rank leads
		_, ok = l.admit(&wire.RankArgs{Group: "other", Term: 99, Rank: 1})
		is.True(ok && l.leading(term)) // terms of other groups mean nothing
		_, ok = l.admit(&wire.RankArgs{Group: "g", Term: term + 1, Rank: 3})
		is.True(ok && !l.leading(term))
		_, ok = l.admit(&wire.RankArgs{Group: "g", Term: term, Rank: 0})
		is.True(!ok) // a coordinator that was frozen is turned away
		time.Sleep(takeoverTimeout - time.Millisecond)
		_, ok = l.claim("g", 0, false)
		is.True(!ok)
		time.Sleep(time.Millisecond)
		_, ok = l.claim("g", 0, true)
		is.True(!ok) // its own rank holds a pass it can't account for
		_, ok = l.claim("g", 0, false)
		is.True(ok)
	})
}

// Guards against endpoints that are dropped because their entries lapsed while
// the store was away, and against dead ones that stay.
func TestLapsedEntriesGetTimeToReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		health := &storeHealth{log: logr.Discard(), outages: new(metrics.Counter)}
		removed := make(map[string]bool)
		l := newDeferredRemovals(health, func(key string) { removed[key] = true })
		time.Sleep(time.Minute)
		l.keyDeleted("calm")
		is.True(removed["calm"])
		health.recordFailure(io.ErrUnexpectedEOF)
		l.keyDeleted("lapsed")
		l.keyDeleted("back")
		time.Sleep(time.Minute)
		l.removeDue()
		is.True(!removed["lapsed"]) // the store is still away
		health.recordFailure(io.ErrUnexpectedEOF)
		health.recordSuccess()
		l.keyWritten("back")
		l.removeDue()
		is.True(!removed["lapsed"])
		time.Sleep(reregisterGrace)
		l.removeDue()
		is.True(removed["lapsed"] && !removed["back"])
	})
}

// Guards against a peer, or a late answer, that takes the operator's state back.
func TestOperatorStateNeverGoesBack(t *testing.T) {
	is := is.New(t)
	f := fleet.New("z1", nil)
	h := forward.New(forward.Config{Fleet: f, Log: logr.Discard()})
	o := &operatorFollower{handler: h, fleet: f, log: logr.Discard()}
	config := func(v int) []byte { return []byte(fmt.Sprintf(`{"version":%d}`, v)) }
	o.adopt(wire.OperatorState{Revision: 20, Config: config(2), ZonesOut: []string{"z1"}})
	o.adopt(wire.OperatorState{Revision: 10, Config: config(1)})
	is.Equal(h.Config().Version, uint64(2))
	is.Equal(o.snapshot().ZonesOut, []string{"z1"})
	o.adopt(wire.OperatorState{Revision: 30})
	is.Equal(h.Config().Version, uint64(2)) // a state without one doesn't take it away
	is.Equal(len(o.snapshot().ZonesOut), 0)
}

// nextPort is the first port that no test has taken.
var nextPort = 21000

// freePorts returns the first of n consecutive free ports.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for nextPort < 32000 {
		port := nextPort
		nextPort += n
		free := true
		for i := range n {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+i))
			if err != nil {
				free = false
				break
			}
			ln.Close()
		}
		if free {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

type testEntry struct {
	settings settings.PlatformEntry
	stop     func()
	done     chan error
}

func startEntry(t *testing.T, id, storeAddr string) *testEntry {
	t.Helper()
	port := freePorts(t, 8)
	addr := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", port+i) }
	e := &testEntry{done: make(chan error, 1), settings: settings.PlatformEntry{PlatformNode: settings.PlatformNode{
		ID: id, Zone: "z1", IP: "127.0.0.1", CallersAddr: addr(0), ReadyAddr: addr(1), DirectoryAddr: addr(2), PeerPort: port + 4, MetricsAddr: addr(3), StoreAddr: storeAddr,
		Bounds: settings.Bounds{GracePeriodS: 4, RetryRatio: 0.2, RetrySlack: 100, RetryWindowS: 10, ColdBurstFactor: 1.5, ColdBurstSlack: 5, DirectoryTTLS: 5},
	}}}
	if err := e.settings.Validate(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	entry := NewEntry(e.settings, logr.Discard())
	go func() { e.done <- entry.Run(ctx) }()
	t.Cleanup(cancel)
	return e
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("%s: not within 10 s", what)
}

func (e *testEntry) order(t *testing.T, key string) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+e.settings.CallersAddr+"/x/1", strings.NewReader("b"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Request-Id", "id")
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (e *testEntry) directory(t *testing.T) []string {
	t.Helper()
	_, body := get(t, "http://"+e.settings.DirectoryAddr+platform.PathDirectory+"?name=h.example")
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.Unmarshal([]byte(body), &answer) != nil {
		return nil
	}
	return answer.Addresses
}

func configWith(version int, key string) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","prefix":"/x/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":500,"service":"s","max_attempts":2}],"services":[{"name":"s"}],"tenants":[{"name":"o","api_keys":[%q]}]}`, version, key))
}

// The whole path on loopback: configuration and endpoints from the store, the
// directory, an order; then changes while the store is away, and a stop with a
// request under way.
func TestEntryServesAndDrains(t *testing.T) {
	is := is.New(t)
	sim, err := platformsim.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer sim.Close()
	release := make(chan struct{})
	endpoint, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer endpoint.Close()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Slow") != "" {
			<-release
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", "sig")
	})}
	go server.Serve(endpoint)
	defer server.Close()
	sim.Put("op/config", configWith(1, "k1"))
	sim.Put("servers/i-1", []byte(fmt.Sprintf(`{"service":"s","address":%q,"zone":"z1","slots":4,"state":"ready","cold_remaining_ms":0}`, endpoint.Addr())))

	a, b := startEntry(t, "a", sim.Addr()), startEntry(t, "b", sim.Addr())
	eventually(t, "an order is served", func() bool { return a.order(t, "k1") == http.StatusOK })
	is.Equal(a.order(t, "other"), http.StatusUnauthorized)
	eventually(t, "both entries are named", func() bool { return len(a.directory(t)) == 2 && len(b.directory(t)) == 2 })
	status, _ := get(t, "http://"+a.settings.ReadyAddr+platform.PathReady)
	is.Equal(status, http.StatusOK)

	_, page := get(t, "http://"+a.settings.MetricsAddr+pathMetrics)
	is.True(strings.Contains(page, `wasabinotch_requests_total{outcome="answered"}`))
	is.True(strings.Contains(page, `wasabinotch_first_byte_seconds_bucket{le="+Inf"}`))

	sim.Put("op/config", configWith(2, "k2"))
	eventually(t, "a new key is taken", func() bool { return a.order(t, "k2") == http.StatusOK })
	is.Equal(a.order(t, "k1"), http.StatusUnauthorized)
	sim.Put("op/evacuate/z1", []byte(`{}`))
	eventually(t, "a zone taken out gets no work", func() bool { return a.order(t, "k2") == http.StatusServiceUnavailable })
	sim.Remove("op/evacuate/z1")
	eventually(t, "the zone is back", func() bool { return a.order(t, "k2") == http.StatusOK })

	sim.SetDown(true)
	time.Sleep(200 * time.Millisecond)
	is.Equal(a.order(t, "k2"), http.StatusOK) // an outage of the store stops nothing
	sim.SetDown(false)
	sim.Put("servers/i-1", []byte(`torn`))
	eventually(t, "a foreign record names no endpoint", func() bool { return a.order(t, "k2") == http.StatusServiceUnavailable })
	sim.Put("servers/i-1", []byte(fmt.Sprintf(`{"service":"s","address":%q,"zone":"z1","slots":4,"state":"ready","cold_remaining_ms":0}`, endpoint.Addr())))
	eventually(t, "the endpoint is back", func() bool { return a.order(t, "k2") == http.StatusOK })

	slow := make(chan int, 1)
	go func() {
		r, _ := http.NewRequest(http.MethodPost, "http://"+a.settings.CallersAddr+"/x/1", nil)
		r.Host = "h.example"
		r.Header = http.Header{"Request-Id": {"slow"}, "Authorization": {"Bearer k2"}, "Slow": {"1"}}
		resp, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			slow <- 0
			return
		}
		resp.Body.Close()
		slow <- resp.StatusCode
	}()
	time.Sleep(reregisterGrace + 200*time.Millisecond) // removals wait after an outage
	a.stop()
	eventually(t, "a leaving entry isn't named", func() bool { return len(b.directory(t)) == 1 })
	status, _ = get(t, "http://"+a.settings.ReadyAddr+platform.PathReady)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(a.order(t, "k2"), http.StatusOK) // callers that keep the address are served
	close(release)
	is.Equal(<-slow, http.StatusOK) // no request is cut
	is.NoErr(<-a.done)
}

// Guards against an agent's address that doesn't follow from its endpoint's.
func TestAgentAddress(t *testing.T) {
	is := is.New(t)
	got, err := agentAddr("10.0.0.1:8080", 7340)
	is.NoErr(err)
	is.Equal(got, netip.MustParseAddrPort("10.0.0.1:7342"))
	_, err = agentAddr("nonsense", 7340)
	is.True(err != nil)
}
