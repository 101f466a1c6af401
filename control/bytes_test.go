package control

import (
	"bytes"
	"encoding/gob"
	"expvar"
	"fmt"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/membership"
	"github.com/wasabinotch/wasabinotch/wire"
)

// metricValue returns the value of an expvar integer.
func metricValue(name string) int64 {
	n, _ := strconv.ParseInt(expvar.Get(name).String(), 10, 64)
	return n
}

// okCount returns the count of successful calls in m, a metric that counts calls by
// result.
func okCount(m *expvar.Map) int64 {
	v, _ := m.Get("ok").(*expvar.Int)
	if v == nil {
		return 0
	}
	return v.Value()
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkControlBytes measures the control traffic of an idle fleet: the bytes
// that a node sends and receives, without TCP and IP headers. All nodes run in this
// process, so each byte that one sends is received by another, and the bytes sent
// are doubled.
func BenchmarkControlBytes(b *testing.B) {
	for _, size := range []struct{ entries, agents int }{{18, 0}, {18, 19}} {
		b.Run(fmt.Sprintf("%d+%d", size.entries, size.agents), func(b *testing.B) {
			c := newCluster(b)
			entries := c.startEntries(size.entries)
			c.waitForEntries(entries)
			for i := range size.agents {
				c.startNode(wire.RoleAgent, string(rune('a'+i%3)), 0)
			}
			c.rollOut(entries[0])
			c.waitFor(20*time.Second, "endpoints", entries, func(s *Snapshot) bool { return len(s.Endpoints["stock"]) == size.agents })
			time.Sleep(20 * time.Second) // until most pairs of entries have exchanged full records
			const window = 10 * time.Second
			exchanges, reports, sentBytes := okCount(metricExchanges), okCount(metricReports), metricValue("peer_bytes_out")
			cpu := cpuTime(b)
			time.Sleep(window)
			cpu = cpuTime(b) - cpu
			exchanges, reports = okCount(metricExchanges)-exchanges, okCount(metricReports)-reports
			sentBytes = metricValue("peer_bytes_out") - sentBytes
			nodes := float64(size.entries + size.agents)
			b.ReportMetric(2*float64(sentBytes)/nodes/window.Seconds(), "B/s/node")
			b.ReportMetric(float64(exchanges)/nodes/window.Seconds(), "exchanges/s/node")
			b.ReportMetric(float64(reports)/nodes/window.Seconds(), "reports/s/node")
			b.ReportMetric(100*cpu.Seconds()/nodes/window.Seconds(), "%core/node")
			b.Logf("%d exchanges, %d reports, %d bytes", exchanges, reports, sentBytes)
		})
	}
}

// BenchmarkRebuild measures publish, which builds a full snapshot, at the design
// size: with the bundle already indexed, as after a report, and with a new bundle of
// 500 organisations, which is indexed again.
func BenchmarkRebuild(b *testing.B) {
	for _, changed := range []bool{false, true} {
		b.Run(fmt.Sprintf("new bundle %v", changed), func(b *testing.B) {
			l := designSizeLoop()
			now := time.Now()
			l.publish(now)
			for b.Loop() {
				if changed {
					// The bundle counts as new if its address differs.
					next := *l.signedBundle
					l.signedBundle = &next
				}
				l.publish(now)
			}
		})
	}
}

// designSizeLoop returns the loop of an entry in a fleet of the design size. The IDs
// of agents also start with "batinah-entry-"; only the size of records matters.
func designSizeLoop() *Loop {
	const entries, agents, organisations = 350, 1200, 500
	l := New(Config{Self: wire.Node{ID: "self", Role: wire.RoleEntry, Zone: "a"}, Log: logr.Discard()})
	now := time.Now()
	for i := range entries + agents {
		n := wire.Node{ID: fmt.Sprint("batinah-entry-", i), VM: fmt.Sprint("batinah-vm-entry-", i), Role: wire.RoleEntry,
			Zone: "zone-a", HTTPAddr: "10.123.123.123:12345", RPCAddr: "10.123.123.123:12346",
			Incarnation: uint64(now.UnixNano()), Seq: 1000, ContentSeq: 2, State: wire.StateReady}
		if i >= entries {
			n.Role, n.Service = wire.RoleAgent, fmt.Sprint("model-", i%4)
		}
		l.table.Apply(n, n.ID, now)
	}
	l.signedBundle = &bundle.Signed{}
	for i := range organisations {
		name := fmt.Sprint("organisation-", i)
		l.signedBundle.Bundle.Organisations = append(l.signedBundle.Bundle.Organisations, bundle.Organisation{Name: name, KeyDigests: []string{name}})
	}
	return l
}

// BenchmarkExchangeBytes measures the encoded size per record of an exchange of
// all records at the design size: as full records, as after the start of an entry,
// and as heartbeats.
func BenchmarkExchangeBytes(b *testing.B) {
	l := designSizeLoop()
	var heartbeats []wire.Node
	records := l.table.UpdatesSince(0, "", time.Time{})
	for _, n := range records {
		heartbeats = append(heartbeats, membership.ToHeartbeat(n))
	}
	var raw bytes.Buffer
	for b.Loop() {
		raw.Reset()
		if err := gob.NewEncoder(&raw).Encode(wire.ExchangeReply{Updates: records}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(raw.Len())/float64(len(records)), "B/record")
	raw.Reset()
	if err := gob.NewEncoder(&raw).Encode(wire.ExchangeReply{Updates: heartbeats}); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(raw.Len())/float64(len(heartbeats)), "B/heartbeat")
}
