package expertmap

import (
	"bytes"
	"encoding/gob"
	"math"
	"math/rand/v2"
	"net/rpc"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/wire"
)

// gobBytes returns the encoded size of a message without the gob type descriptions,
// which only the first message of a type on a connection carries.
func gobBytes(header, body any) int {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	first := 0
	for range 2 {
		first = b.Len()
		if enc.Encode(header) != nil || enc.Encode(body) != nil {
			panic("cannot encode")
		}
	}
	return b.Len() - first
}

// driftedMap returns the map after several plans under drifting loads. Its weights
// vary more, and its packed form is larger, than after one plan.
func driftedMap(t *testing.T, ranks, layers, experts, slots int) *Map {
	in := randomInput(ranks, layers, experts, slots, 1)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 4 {
		for _, row := range in.Loads {
			for e := range row {
				row[e] *= math.Exp(0.05 * rng.NormFloat64())
			}
		}
		res, err := Plan(in)
		if err != nil {
			t.Fatal(err)
		}
		in.Current = res.Map
	}
	return in.Current
}

// Guards against control traffic above 4 kB/s (4000 bytes/s) on a coordinating
// entry or an agent, at 256 ranks with a new map in every plan interval.
func TestControlTraffic(t *testing.T) {
	const ranks, layers, slots = 256, 60, 2
	is := is.New(t)
	m := driftedMap(t, ranks, layers, 256, slots)
	p, err := Pack(m)
	is.NoErr(err)
	loads := make([][]float64, layers)
	for l := range loads {
		loads[l] = []float64{12345.678 + float64(l), 4321.987 / float64(l+1)}
	}
	from := wire.Node{ID: "batinah-entry-12"}
	state := wire.MapReply{Held: []uint64{1200, 1201}, Active: 1200, Step: 9000000, StepMS: 48.123, Highest: 1201}
	report := state
	report.Loads, report.LoadsOf = PackLoads(loads), 1200
	addrs := make([]string, ranks-1)
	for r := range addrs {
		addrs[r] = "10.123.123.123:12345"
	}
	req := rpc.Request{ServiceMethod: "Agent.Map", Seq: 123456}
	resp := rpc.Response{ServiceMethod: "Agent.Map", Seq: 123456}
	pollRequestBytes := gobBytes(req, wire.MapArgs{Group: "batinah"})
	pollReplyBytes := gobBytes(resp, state)
	loadReplyBytes := gobBytes(resp, report)
	mapRequestBytes := gobBytes(req, wire.MapArgs{From: from, Group: "batinah", Number: 1201, Digest: p.Digest, Content: p.Bytes, Relay: addrs})
	// A plan interval has about 2 polls during the switch, one after
	// SettledPollInterval and one with loads. The relay list of the map request is
	// the longest one; it halves with each hop.
	const polls = 3
	coordinatorBytes := ranks*(polls*(pollRequestBytes+pollReplyBytes)+pollRequestBytes+loadReplyBytes) + coordinatorFanOut*mapRequestBytes
	agentBytes := polls*(pollRequestBytes+pollReplyBytes) + pollRequestBytes + loadReplyBytes + (1+agentFanOut)*mapRequestBytes
	seconds := DefaultPlanInterval.Seconds()
	t.Logf("bytes: poll request %d, poll reply %d, reply with loads %d, map request %d; bytes per second: coordinator %.0f, agent %.0f",
		pollRequestBytes, pollReplyBytes, loadReplyBytes, mapRequestBytes, float64(coordinatorBytes)/seconds, float64(agentBytes)/seconds)
	is.True(float64(coordinatorBytes)/seconds <= 4000)
	is.True(float64(agentBytes)/seconds <= 4000)
}
