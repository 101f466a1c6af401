package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
	"github.com/wasabinotch/wasabinotch/rankgroup"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/wire"
)

const engineConfig = `{"version":1,"routes":[{"name":"r","host":"h.example","prefix":"/x/","kind":"streaming","timeout_ms":4000,"target_latency_ms":400,"service":"s","max_attempts":2}],
"services":[{"name":"s","engine":{"slots":4,"step_ms":5,"per_seq_ms":1,"read_per_s":60000,"usual":{"prompt":800,"answer":100}}}]}`

// Guards against an explanation that differs from what the entry does, that sends or claims
// something, or that is served where callers can ask for it.
func TestExplainPlacement(t *testing.T) {
	is := is.New(t)
	sim, err := platformsim.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer sim.Close()
	var calls atomic.Int32
	endpoint, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer endpoint.Close()
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) })}
	go server.Serve(endpoint)
	defer server.Close()
	sim.Put("op/config", []byte(engineConfig))
	put := func(id, address, zone, state string) {
		sim.Put("servers/"+id, []byte(fmt.Sprintf(`{"service":"s","address":%q,"zone":%q,"slots":4,"state":%q,"cold_remaining_ms":0}`, address, zone, state)))
	}
	put("near", endpoint.Addr().String(), "z1", "ready")
	put("far", "127.0.0.2:1", "z2", "ready")
	put("drains", "127.0.0.3:1", "z1", "draining")

	e := startEntry(t, "a", sim.Addr())
	peer := net.JoinHostPort("127.0.0.1", strconv.Itoa(e.settings.PeerPort))
	q := &wire.PlacementQuery{Host: "h.example", Path: "/x/1", PromptTokens: 6000, ResponseTokens: 100}
	var reply *wire.PlacementReply
	eventually(t, "the entry explains", func() bool {
		reply, err = AskPlacement(t.Context(), peer, q)
		return err == nil && len(reply.Endpoints) == 3
	})
	for range 20 { // claims would fill the slots
		reply, err = AskPlacement(t.Context(), peer, q)
		is.NoErr(err)
	}
	is.Equal(reply.Service, "s")
	is.Equal(reply.Route, "r")
	is.Equal(reply.Outcome, "goes to an endpoint below at once")
	is.Equal(reply.MemoryTokens, 6100)
	is.Equal(reply.Endpoints[0].ID, "near")
	is.Equal(reply.Endpoints[0].Chance, 1.0)
	is.Equal(reply.Endpoints[0].OwnRequests, 0)
	is.Equal(reply.Endpoints[1].ID, "far")
	is.Equal(reply.Endpoints[1].ZoneCost, 0.1)
	is.Equal(reply.Endpoints[2].State, "excluded: it drains")
	is.Equal(calls.Load(), int32(0))

	var table bytes.Buffer
	is.NoErr(WritePlacement(&table, reply))
	t.Log("\n" + table.String())
	is.True(strings.Contains(table.String(), "excluded: it drains"))
	_, err = AskPlacement(t.Context(), peer, &wire.PlacementQuery{Service: "other"})
	is.True(err != nil && strings.Contains(err.Error(), "no such service"))
	for _, public := range []string{e.settings.DirectoryAddr, e.settings.ReadyAddr, e.settings.MetricsAddr} {
		_, err = AskPlacement(t.Context(), public, q)
		is.True(err != nil)
	}
}

// startReportingAgent starts an agent whose engine returns the report, and streams a response
// to each request.
func startReportingAgent(t *testing.T, peerPort int, report string) (a *Agent, endpoint string) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/report" {
			fmt.Fprint(w, report)
			return
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", "sig")
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: x\n\n")
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	a = NewAgent(settings.PlatformAgent{PlatformNode: settings.PlatformNode{ID: "g", Zone: "z1", IP: "127.0.0.1", PeerPort: peerPort, EndpointAddr: listener.Addr().String(), Service: "s", StoreAddr: "127.0.0.1:1"}}, logr.Discard())
	go a.Run(t.Context())
	return a, listener.Addr().String()
}

// newSubscriber returns a socket for load reports.
func newSubscriber(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// sendSubscription sends a subscription to an agent.
func sendSubscription(t *testing.T, a *Agent, conn net.PacketConn, s wire.LoadSubscription) {
	t.Helper()
	is := is.New(t)
	to, err := net.ResolveUDPAddr("udp", a.peerAddr())
	is.NoErr(err)
	datagram, err := json.Marshal(s)
	is.NoErr(err)
	_, err = conn.WriteTo(datagram, to)
	is.NoErr(err)
}

// receiveReport returns the next load report, and false if none arrives within 200 ms.
func receiveReport(t *testing.T, conn net.PacketConn) (r wire.LoadReport, ok bool) {
	t.Helper()
	is := is.New(t)
	buf := make([]byte, maxDatagramBytes)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond)))
	n, _, err := conn.ReadFrom(buf)
	if err != nil {
		return r, false
	}
	is.NoErr(json.Unmarshal(buf[:n], &r))
	return r, true
}

// Guards against memory that the engine reports and entries never learn, and against a
// larger datagram in each report.
func TestAgentReportsTheEnginesMemory(t *testing.T) {
	is := is.New(t)
	conn := newSubscriber(t)
	a, _ := startReportingAgent(t, freePorts(t, 4), `{"born":1,"active":3,"queued":0,"kv_used":50000,"kv_total":90000}`)
	total, named, reports := 0, 0, 0
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
		sendSubscription(t, a, conn, wire.LoadSubscription{Entry: "e", Endpoint: "i"})
		r, ok := receiveReport(t, conn)
		if !ok {
			continue
		}
		is.Equal(r.MemoryUsed, 50000*wire.MemoryUnits/90000)
		reports++
		if r.MemoryTotal > 0 {
			named++
			total = r.MemoryTotal
		}
	}
	is.Equal(total, 90000)
	is.True(named < reports)
	share := memoryShare(&wire.LoadReport{Running: 3, MemoryUsed: 50000 * wire.MemoryUnits / 90000})
	is.True(share >= 50000.0/90000 && share < 50000.0/90000+2.0/wire.MemoryUnits)
	is.Equal(memoryShare(&wire.LoadReport{}), 0.0)
	is.Equal(memoryUnits(rankgroup.Report{MemoryUsed: 5}), 0)
}

// Guards against long prompts of which the other entries never learn, and against a backlog
// that remains after they have been read or that one datagram makes endless.
func TestAgentReportsLongPrompts(t *testing.T) {
	conn := newSubscriber(t)
	a, _ := startReportingAgent(t, freePorts(t, 4), `{"born":1,"active":3,"queued":0}`)
	subscribe := wire.LoadSubscription{Entry: "e", Endpoint: "i"}
	eventually(t, "the agent reports", func() bool {
		sendSubscription(t, a, conn, subscribe)
		r, ok := receiveReport(t, conn)
		return ok && r.ReadingMS == 0
	})
	long := subscribe
	long.ReadingMS = 700
	sendSubscription(t, a, conn, long)
	eventually(t, "the agent reports the long prompt", func() bool {
		r, ok := receiveReport(t, conn)
		return ok && r.ReadingMS > 0 && r.ReadingMS <= 700
	})
	eventually(t, "the prompt has been read", func() bool {
		r, ok := receiveReport(t, conn)
		return ok && r.ReadingMS == 0
	})
	long.ReadingMS = 1 << 62
	sendSubscription(t, a, conn, long)
	eventually(t, "the backlog is bounded", func() bool {
		r, ok := receiveReport(t, conn)
		return ok && r.ReadingMS > 0 && r.ReadingMS <= 10_000
	})
}

// Guards against an entry that doesn't tell the agent of a long prompt, or that tells it of
// each prompt.
func TestEntryTellsLongPrompts(t *testing.T) {
	is := is.New(t)
	sim, err := platformsim.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer sim.Close()
	sim.Put("op/config", []byte(engineConfig))
	e := startEntry(t, "a", sim.Addr())
	_, endpoint := startReportingAgent(t, e.settings.PeerPort, `{"born":1,"active":0,"queued":0}`)
	sim.Put("servers/i-1", []byte(fmt.Sprintf(`{"service":"s","address":%q,"zone":"z1","slots":4,"state":"ready","cold_remaining_ms":0}`, endpoint)))
	send := func(usage string) int {
		r, err := http.NewRequest(http.MethodPost, "http://"+e.settings.CallersAddr+"/x/1", strings.NewReader("b"))
		is.NoErr(err)
		r.Host = "h.example"
		r.Header.Set("Request-Id", "id")
		r.Header.Set("Token-Usage", usage)
		resp, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	told := func(n int) bool {
		_, page := get(t, "http://"+e.settings.MetricsAddr+pathMetrics)
		return strings.Contains(page, fmt.Sprintf("wasabinotch_long_prompts_told_total %d\n", n))
	}
	eventually(t, "a short prompt is served and the agent reports", func() bool {
		x, err := AskPlacement(t.Context(), net.JoinHostPort("127.0.0.1", strconv.Itoa(e.settings.PeerPort)), &wire.PlacementQuery{Service: "s"})
		return err == nil && len(x.Endpoints) == 1 && x.Endpoints[0].ReportAgeMS >= 0 && x.Endpoints[0].ReportAgeMS < 300 && send("2880,100") == http.StatusOK
	})
	is.True(told(0))
	is.Equal(send("18000,100"), http.StatusOK)
	eventually(t, "the agent is told", func() bool { return told(1) })
	reading := func() float64 {
		x, err := AskPlacement(t.Context(), net.JoinHostPort("127.0.0.1", strconv.Itoa(e.settings.PeerPort)), &wire.PlacementQuery{Service: "s", TargetMS: 400})
		is.NoErr(err)
		return x.Endpoints[0].Reading
	}
	is.True(reading() > 0)
	eventually(t, "the prompt has been read, after 300 ms", func() bool { return reading() == 0 })
}
