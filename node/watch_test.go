package node

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
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
