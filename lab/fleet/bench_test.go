package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/wasabinotch/wasabinotch/lab/kvsim"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/store"
)

// BenchmarkBundle500 measures the verification of a bundle with 500 organisations
// and 16 zones, the size for which the system is designed.
func BenchmarkBundle500(b *testing.B) {
	keys, err := newSigningKeys()
	if err != nil {
		b.Fatal(err)
	}
	signed, err := keys.signedBundle(1, "", 500, 16)
	if err != nil {
		b.Fatal(err)
	}
	raw, err := signed.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := signed.Verify(keys.memberKeys(), 1); err != nil {
			b.Fatal(err)
		}
	}
	// Reported after the loop, since b.Loop resets metrics when it starts.
	b.ReportMetric(float64(len(raw)), "bytes")
}

// BenchmarkJournal measures store writes per order at fixed rates of orders at
// one entry. The keys are spread over all shards, as in production.
func BenchmarkJournal(b *testing.B) {
	for _, rate := range []int{10, 50, 100, 1000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) { benchmarkJournal(b, rate) })
	}
}

func benchmarkJournal(b *testing.B, rate int) {
	const length = 3 * time.Second
	server, err := kvsim.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	if err := server.SetFaults(kvsim.Faults{DelayMS: 2}); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := store.NewConsul(store.ConsulConfig{Addrs: []string{server.Addr()}, CallsPerSecond: 1e6, Burst: 1e6})
	j := order.NewJournal(client, order.JournalConfig{Clock: clockwork.NewRealClock(), Log: logr.Discard(),
		Services: func() []string { return []string{"desk"} }})
	go j.Run(ctx)
	for j.JournalEpoch("desk") == 0 {
		time.Sleep(time.Millisecond)
	}
	before := server.Counters()
	orders := 0
	for b.Loop() {
		var running sync.WaitGroup
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		for range int(length.Seconds()) * rate {
			<-ticker.C
			orders++
			key := fmt.Sprintf("e%d.order-%d", j.JournalEpoch("desk"), orders)
			running.Go(func() {
				id, err := order.ParseIdentity(key)
				if err == nil {
					id.Organisation = "north"
					_, err = j.Bind(ctx, "desk", id, order.Binding{AgentID: "a", Incarnation: 1})
				}
				if err != nil {
					b.Errorf("bind %s: %v", key, err)
				}
			})
		}
		running.Wait()
		ticker.Stop()
	}
	after := server.Counters()
	writes := float64(after.Writes - before.Writes)
	b.ReportMetric(float64(orders)/writes, "orders/write")
	b.ReportMetric(float64(after.Reads-before.Reads)/writes, "reads/write")
}
