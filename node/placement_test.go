package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
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
	is.True(strings.Contains(table.String(), "excluded: it drains"))
	_, err = AskPlacement(t.Context(), peer, &wire.PlacementQuery{Service: "other"})
	is.True(err != nil && strings.Contains(err.Error(), "no such service"))
	for _, public := range []string{e.settings.DirectoryAddr, e.settings.ReadyAddr, e.settings.MetricsAddr} {
		_, err = AskPlacement(t.Context(), public, q)
		is.True(err != nil)
	}
}

// Guards against memory that the engine reports and entries never learn, and against a
// larger datagram in each report.
func TestAgentReportsTheEnginesMemory(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	report := `{"born":1,"active":3,"queued":0,"kv_used":50000,"kv_total":90000}`
	endpoint, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer endpoint.Close()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprint(w, report)
	})}
	go server.Serve(endpoint)
	defer server.Close()
	a := NewAgent(settings.PlatformAgent{PlatformNode: settings.PlatformNode{ID: "g", Zone: "z1", IP: "127.0.0.1", PeerPort: freePorts(t, 4), EndpointAddr: endpoint.Addr().String(), Service: "s", StoreAddr: "127.0.0.1:1"}}, logr.Discard())
	go a.Run(t.Context())
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	defer conn.Close()
	to, err := net.ResolveUDPAddr("udp", a.peerAddr())
	is.NoErr(err)
	total, named, reports := 0, 0, 0
	subscription, err := json.Marshal(wire.LoadSubscription{Entry: "e", Endpoint: "i"})
	is.NoErr(err)
	buf := make([]byte, maxDatagramBytes)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
		_, _ = conn.WriteTo(subscription, to)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond)))
		n, _, err := conn.ReadFrom(buf)
		if err != nil {
			continue
		}
		var r wire.LoadReport
		is.NoErr(json.Unmarshal(buf[:n], &r))
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
