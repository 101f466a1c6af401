package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// benchmarkFleet returns a fleet with as many endpoints as a large group has ranks, and a
// request with a prompt.
func benchmarkFleet(running int) (*Fleet, *Request) {
	f := New("z1", nil)
	f.SetEntries(69, 3)
	f.SetLimits(service, benchmarkLimits)
	for i := range 63 {
		id := fmt.Sprint("e", i)
		r := record(id, id, 1)
		r.Slots = 10
		f.Update(r)
	}
	benchmarkReports(f, running)
	return f, &Request{Service: service, Work: Work{PromptTokens: 714, ResponseTokens: 138, MaxResponseTokens: 200, Parts: []PromptPart{{ID: "b", Tokens: 40}, {ID: "o", Tokens: 674}}}}
}

func benchmarkReports(f *Fleet, running int) {
	for i := range 63 {
		f.RecordLoad(fmt.Sprint("e", i), benchmarkLoad(running))
	}
}

func BenchmarkAcquireWithReports(b *testing.B) {
	f, r := benchmarkFleet(4)
	n := 0
	for b.Loop() {
		if n++; n%4096 == 0 {
			benchmarkReports(f, 4)
		}
		r.Aim = time.Now().Add(400 * time.Millisecond)
		if p, _ := f.Acquire(context.Background(), r); p != nil {
			p.EndSucceeded()
		}
	}
}

func BenchmarkAcquireWhileAllAreBusy(b *testing.B) {
	f, r := benchmarkFleet(10)
	n := 0
	for b.Loop() {
		if n++; n%4096 == 0 {
			benchmarkReports(f, 10)
		}
		r.Aim = time.Now().Add(400 * time.Millisecond)
		_, _ = f.Acquire(context.Background(), r)
	}
}

var benchmarkLimits = Limits{MaxConnections: 1059, TargetGap: 120 * time.Millisecond, Engine: testEngine}

func benchmarkLoad(running int) Load {
	return Load{Running: running, MemoryTotal: 310_000, MemoryShare: 0.0625}
}
