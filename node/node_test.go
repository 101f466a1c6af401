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
	"sync"
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
	"github.com/wasabinotch/wasabinotch/store"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Guards against two agents that both keep coordinating a group, and against a
// group that no agent coordinates.
func TestLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l leadership
		_, ok := l.claim(rankState{group: "g"})
		is.True(!ok) // another coordinator may send a request first
		time.Sleep(initialTakeoverTimeout)
		term, ok := l.claim(rankState{group: "g"})
		is.True(ok && l.leading(term))
		_, ok = l.admit(&wire.RankArgs{Group: "g", Term: term, Rank: 1})
		is.True(!ok) // of equal terms, the lower rank leads
		_, ok = l.admit(&wire.RankArgs{Group: "other", Term: 99, Rank: 1})
		is.True(ok && l.leading(term)) // terms of other groups don't count
		_, ok = l.admit(&wire.RankArgs{Group: "g", Term: term + 1, Rank: 3})
		is.True(ok && !l.leading(term))
		_, ok = l.admit(&wire.RankArgs{Group: "g", Term: term, Rank: 0})
		is.True(!ok) // a coordinator that was frozen is rejected
		time.Sleep(takeoverTimeout - time.Millisecond)
		_, ok = l.claim(rankState{group: "g"})
		is.True(!ok)
		time.Sleep(time.Millisecond)
		_, ok = l.claim(rankState{group: "g", holdsStep: true})
		is.True(!ok) // its rank holds a step it can't account for
		_, ok = l.claim(rankState{group: "g"})
		is.True(ok)
	})
}

// Guards against removing running endpoints whose leases expired during a store
// outage, and against keeping endpoints that have exited.
func TestRemovalsAreDeferredAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		health := &storeHealth{log: logr.Discard(), outages: new(metrics.Counter)}
		removed := make(map[string]bool)
		d := newDeferredRemovals(health, func(key string) { removed[key] = true }, logr.Discard())
		time.Sleep(time.Minute)
		d.keyDeleted("no-outage")
		is.True(removed["no-outage"])
		health.recordFailure(io.ErrUnexpectedEOF)
		d.keyDeleted("expired")
		d.keyDeleted("rewritten")
		time.Sleep(time.Minute)
		d.removePending()
		is.True(!removed["expired"]) // the store is still unavailable
		health.recordFailure(io.ErrUnexpectedEOF)
		health.recordSuccess()
		d.keyWritten("rewritten")
		d.removePending()
		is.True(!removed["expired"])
		time.Sleep(reregisterGrace)
		d.removePending()
		is.True(removed["expired"] && !removed["rewritten"])
	})
}

// Guards against a deferred removal that takes away an endpoint whose key was written while it ran.
func TestKeyWrittenDuringDeferredRemovalStays(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	present := map[string]bool{"a": true, "b": true}
	set := func(key string, to bool) {
		mu.Lock()
		defer mu.Unlock()
		present[key] = to
	}
	health := &storeHealth{log: logr.Discard(), outages: new(metrics.Counter)}
	removing := make(chan struct{}, 2)
	d := newDeferredRemovals(health, func(key string) {
		removing <- struct{}{}
		time.Sleep(50 * time.Millisecond)
		set(key, false)
	}, logr.Discard())
	health.recordFailure(io.ErrUnexpectedEOF)
	d.keyDeleted("a")
	d.keyDeleted("b")
	health.recordSuccess()
	time.Sleep(reregisterGrace + 10*time.Millisecond)
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.removePending()
	}()
	<-removing
	for _, key := range []string{"a", "b"} {
		d.keyWritten(key)
		set(key, true)
	}
	<-done
	is.True(present["a"] && present["b"])
}

// Guards against a peer or a delayed store response that replaces the operator's
// state by an older one.
func TestOlderOperatorStateIsIgnored(t *testing.T) {
	is := is.New(t)
	f := fleet.New("z1", nil)
	h := forward.New(forward.Config{Fleet: f, Log: logr.Discard()})
	o := &operatorFollower{handler: h, fleet: f, log: logr.Discard()}
	config := func(v int) []byte { return []byte(fmt.Sprintf(`{"version":%d}`, v)) }
	o.adopt(wire.OperatorState{Revision: 20, Config: config(2), ZonesOut: []string{"z1"}}, "watch")
	o.adopt(wire.OperatorState{Revision: 10, Config: config(1)}, "watch")
	is.Equal(h.Config().Version, uint64(2))
	is.Equal(o.snapshot().ZonesOut, []string{"z1"})
	o.adopt(wire.OperatorState{Revision: 30}, "watch")
	is.Equal(h.Config().Version, uint64(2)) // a state without a configuration keeps the one in force
	is.Equal(len(o.snapshot().ZonesOut), 0)
}

// Guards against a late change from the watch that replaces the newer state of another entry, which is then served on.
func TestLateWatchEventKeepsNewerState(t *testing.T) {
	is := is.New(t)
	f := fleet.New("z1", nil)
	o := &operatorFollower{handler: forward.New(forward.Config{Fleet: f, Log: logr.Discard()}), fleet: f, log: logr.Discard()}
	newer := wire.OperatorState{Revision: 20, Config: []byte(`{"version":2}`)}
	o.adopt(newer, "entry b")
	late := func(key, value string) store.Event {
		return store.Event{KeyValue: store.KeyValue{Key: key, Value: []byte(value), Revision: 15}}
	}
	o.Apply(late("op/config", `{"version":1}`))
	o.Apply(late("op/evacuate/z1", `{}`))
	is.Equal(o.snapshot(), newer)
}

// nextPort is the first port that freePorts has not tried.
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
	return startEntryWith(t, id, storeAddr, nil)
}

// startEntryWith starts an entry with changed bounds; change may be nil.
func startEntryWith(t *testing.T, id, storeAddr string, change func(*settings.Bounds)) *testEntry {
	t.Helper()
	port := freePorts(t, 8)
	addr := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", port+i) }
	e := &testEntry{done: make(chan error, 1), settings: settings.PlatformEntry{PlatformNode: settings.PlatformNode{
		ID: id, Zone: "z1", IP: "127.0.0.1", CallersAddr: addr(0), ReadyAddr: addr(1), DirectoryAddr: addr(2), PeerPort: port + 4, MetricsAddr: addr(3), StoreAddr: storeAddr,
		Bounds: settings.Bounds{GracePeriodS: 4, RetryRatio: 0.2, RetrySlack: 100, RetryWindowS: 10, ColdBurstFactor: 1.5, ColdBurstSlack: 5, DirectoryTTLS: 5},
	}}}
	if change != nil {
		change(&e.settings.Bounds)
	}
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

func eventually(t *testing.T, condition string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("%s: not within 10 s", condition)
}

func (e *testEntry) sendOrder(t *testing.T, apiKey string) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+e.settings.CallersAddr+"/x/1", strings.NewReader("b"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Request-Id", "id")
	r.Header.Set("Authorization", "Bearer "+apiKey)
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

func (e *testEntry) resolve(t *testing.T) []string {
	t.Helper()
	_, body := get(t, "http://"+e.settings.DirectoryAddr+platform.PathDirectory+"?name=h.example")
	var response struct {
		Addresses []string `json:"addresses"`
	}
	if json.Unmarshal([]byte(body), &response) != nil {
		return nil
	}
	return response.Addresses
}

func configWith(version int, key string) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","prefix":"/x/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":500,"service":"s","max_attempts":2}],"services":[{"name":"s"}],"tenants":[{"name":"o","api_keys":[%q]}]}`, version, key))
}

// Guards against faults between the parts of an entry: configuration, endpoints
// and directory come from a simulated store, orders run against an HTTP endpoint.
// Covers changes by the operator, a store outage, a malformed endpoint record, and
// a drain with a request in progress.
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
	eventually(t, "an order is served", func() bool { return a.sendOrder(t, "k1") == http.StatusOK })
	is.Equal(a.sendOrder(t, "other"), http.StatusUnauthorized)
	eventually(t, "the directory lists both entries", func() bool { return len(a.resolve(t)) == 2 && len(b.resolve(t)) == 2 })
	status, _ := get(t, "http://"+a.settings.ReadyAddr+platform.PathReady)
	is.Equal(status, http.StatusOK)

	_, page := get(t, "http://"+a.settings.MetricsAddr+pathMetrics)
	is.True(strings.Contains(page, `wasabinotch_requests_total{outcome="answered"}`))
	is.True(strings.Contains(page, `wasabinotch_first_byte_seconds_bucket{le="+Inf"}`))

	sim.Put("op/config", configWith(2, "k2"))
	eventually(t, "the new API key is accepted", func() bool { return a.sendOrder(t, "k2") == http.StatusOK })
	is.Equal(a.sendOrder(t, "k1"), http.StatusUnauthorized)
	sim.Put("op/evacuate/z1", []byte(`{}`))
	eventually(t, "a zone out of service gets no requests", func() bool { return a.sendOrder(t, "k2") == http.StatusServiceUnavailable })
	sim.Remove("op/evacuate/z1")
	eventually(t, "the zone is back in service", func() bool { return a.sendOrder(t, "k2") == http.StatusOK })

	sim.SetDown(true)
	time.Sleep(200 * time.Millisecond)
	is.Equal(a.sendOrder(t, "k2"), http.StatusOK) // requests are served during a store outage
	sim.SetDown(false)
	sim.Put("servers/i-1", []byte(`malformed`))
	eventually(t, "a malformed record names no endpoint", func() bool { return a.sendOrder(t, "k2") == http.StatusServiceUnavailable })
	sim.Put("servers/i-1", []byte(fmt.Sprintf(`{"service":"s","address":%q,"zone":"z1","slots":4,"state":"ready","cold_remaining_ms":0}`, endpoint.Addr())))
	eventually(t, "the endpoint is used again", func() bool { return a.sendOrder(t, "k2") == http.StatusOK })

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
	time.Sleep(reregisterGrace + 200*time.Millisecond) // removals are deferred after an outage
	a.stop()
	eventually(t, "the directory omits a draining entry", func() bool { return len(b.resolve(t)) == 1 })
	status, _ = get(t, "http://"+a.settings.ReadyAddr+platform.PathReady)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(a.sendOrder(t, "k2"), http.StatusOK) // callers that still use the address are served
	close(release)
	is.Equal(<-slow, http.StatusOK) // no request is aborted
	is.NoErr(<-a.done)
}

// Guards against deriving an agent's address incorrectly from its endpoint's.
func TestAgentAddress(t *testing.T) {
	is := is.New(t)
	got, err := agentAddr("10.0.0.1:8080", 7340)
	is.NoErr(err)
	is.Equal(got, netip.MustParseAddrPort("10.0.0.1:7342"))
	_, err = agentAddr("invalid", 7340)
	is.True(err != nil)
}
