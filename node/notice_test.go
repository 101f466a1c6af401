package node

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/lab/platformsim"
	"github.com/wasabinotch/wasabinotch/settings"
)

// countingEndpoint is an endpoint that counts the requests to it and may say that it
// leaves, in its responses and in its engine report.
type countingEndpoint struct {
	addr     net.Addr
	leaving  atomic.Bool
	requests atomic.Int32
}

func startCountingEndpoint(t *testing.T, ip string) *countingEndpoint {
	t.Helper()
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	e := &countingEndpoint{addr: ln.Addr()}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Server-Leaving", "1")
		}
		if r.URL.Path == "/report" {
			fmt.Fprint(w, `{"born":7}`)
			return
		}
		e.requests.Add(1)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", "sig")
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return e
}

// record returns the endpoint's store record as of a run.
func (e *countingEndpoint) record(born int) []byte {
	return bytes.Replace(endpointRecord(e.addr, "ready"), []byte("{"), []byte(fmt.Sprintf(`{"born":%d,`, born)), 1)
}

// leavingKnownBound is the time from an endpoint's first response that says it leaves until
// all entries must know. The shortest drain_timeout_ms of the users' sites is four times
// as long.
const leavingKnownBound = 500 * time.Millisecond

// Guards against an entry that sends requests to an endpoint of which another entry, or
// the endpoint's agent, knows that it leaves: while the store is down, when the record is
// written again, and after a restart of the entry.
func TestLeavingEndpointIsKnownToAllEntries(t *testing.T) {
	for _, source := range []string{"response_to_another_entry", "agent"} {
		t.Run(source, func(t *testing.T) {
			is := is.New(t)
			sim, err := platformsim.Listen("127.0.0.1:0")
			is.NoErr(err)
			defer sim.Close()
			leaves, stays := startCountingEndpoint(t, "127.0.0.1"), startCountingEndpoint(t, "127.0.0.2")
			config := configWith(1, "k1")
			if source == "agent" {
				config = bytes.Replace(config, []byte(`{"name":"s"}`), []byte(`{"name":"s","engine":{"slots":4}}`), 1)
			}
			sim.Put("op/config", config)
			sim.Put("servers/i-1", leaves.record(7))
			sim.Put("servers/i-2", stays.record(7))
			a, b := startEntry(t, "a", sim.Addr()), startEntry(t, "b", sim.Addr())
			eventually(t, "both entries serve and know each other", func() bool {
				return a.sendOrder(t, "k1") == http.StatusOK && b.sendOrder(t, "k1") == http.StatusOK && len(a.resolve(t)) == 2 && len(b.resolve(t)) == 2
			})
			if source == "agent" {
				node := b.settings.PlatformNode
				node.ID, node.Service, node.EndpointAddr, node.MetricsAddr = "agent", "s", leaves.addr.String(), ""
				go NewAgent(settings.PlatformAgent{PlatformNode: node}, logr.Discard()).Run(t.Context())
				time.Sleep(subscribeInterval)
			}
			sim.SetDown(true)
			leaves.leaving.Store(true)
			if before := leaves.requests.Load(); source != "agent" {
				eventually(t, "an answer says that the endpoint leaves", func() bool { a.sendOrder(t, "k1"); return leaves.requests.Load() > before })
			}
			time.Sleep(leavingKnownBound)
			known := leaves.requests.Load()
			getsNone := func(e *testEntry) {
				t.Helper()
				for range 30 {
					is.Equal(e.sendOrder(t, "k1"), http.StatusOK)
				}
				is.Equal(leaves.requests.Load(), known)
			}
			getsNone(b)
			sim.SetDown(false)
			sim.Put("servers/i-1", leaves.record(7))
			time.Sleep(3 * settleTime)
			getsNone(b)
			getsNone(servingEntry(t, "c", sim))
			leaves.leaving.Store(false) // it has started again
			sim.Put("servers/i-1", leaves.record(8))
			eventually(t, "the endpoint gets requests again", func() bool { b.sendOrder(t, "k1"); return leaves.requests.Load() > known })
		})
	}
}

// Guards against an entry that tells the others of a leaving endpoint only when they ask.
func TestLeavingIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	defer conn.Close()
	sharer := func() *noticeSharer {
		return newNoticeSharer(fleet.New("z1", nil), func() []string { return []string{conn.LocalAddr().String()} }, metrics.NewSet(), logr.Discard())
	}
	sender, receiver := sharer(), sharer()
	go sender.run(t.Context(), conn)
	run := fleet.Run{ID: "i-1", Incarnation: 7}
	sender.tellLeaving(run)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
	buf := make([]byte, maxDatagramBytes)
	n, _, err := conn.ReadFrom(buf)
	is.NoErr(err)
	receiver.receive(buf[:n])
	is.Equal(receiver.fleet.Leaving(), []fleet.Run{run})
}

// Guards against an agent that calls its engine during the time for which the engine asked
// for no calls.
func TestAgentKeepsAPause(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	l := newLocalRank(t, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		w.Header().Set("Retry-After", "0.4")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	began := time.Now()
	for time.Since(began) < 300*time.Millisecond {
		_, err := l.Report(t.Context())
		is.True(err != nil)
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(calls.Load(), int32(1))
	time.Sleep(150 * time.Millisecond)
	_, err := l.Report(t.Context())
	is.True(err != nil)
	is.Equal(calls.Load(), int32(2))
}
