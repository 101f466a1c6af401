package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const service = "drafts"

func record(id, address string, born int64) Record {
	return Record{ID: id, Service: service, Address: address, Zone: "z1", Slots: 4, Incarnation: born}
}

func acquire(t *testing.T, f *Fleet, ask Request) (*Pick, Availability) {
	t.Helper()
	ask.Service = service
	return f.Acquire(t.Context(), &ask)
}

// Guards against work for endpoints that leave, whose zone is taken out, or
// that are gone.
func TestLeavingEndpointsGetNoWork(t *testing.T) {
	is := is.New(t)
	f := New("z1", nil)
	r := record("a", "10.0.0.1:1", 1)
	f.Update(r)
	p, _ := acquire(t, f, Request{})
	is.True(p != nil)
	p.Done()
	f.SetEvacuated("z1", true)
	p, why := acquire(t, f, Request{})
	is.True(p == nil && why == Unavailable)
	f.SetEvacuated("z1", false)
	r.Draining = true
	f.Update(r)
	p, why = acquire(t, f, Request{})
	is.True(p == nil && why == Unavailable)
	r.Draining = false
	f.Update(r)
	f.Remove("a")
	p, why = acquire(t, f, Request{})
	is.True(p == nil && why == Unavailable)
}

// Guards against requests to an endpoint of before a restart, whose record is
// still in the store beside that of its successor at the same address.
func TestLastStartAtAnAddressWins(t *testing.T) {
	is := is.New(t)
	f := New("z1", nil)
	f.Update(record("new", "10.0.0.1:1", 2))
	f.Update(record("old", "10.0.0.1:1", 1))
	for range 10 {
		p, _ := acquire(t, f, Request{})
		is.Equal(p.Endpoint.ID, "new")
		p.Done()
	}
	f.Remove("new")
	p, _ := acquire(t, f, Request{})
	is.Equal(p.Endpoint.ID, "old")
}

// Load: all entries send at once, for seconds, to an endpoint that turns cold
// unnoticed; with few entries, and with more than the endpoint bears requests.
// Guards against a sum over the entries above what it bears in one second.
func TestEntriesShareTheColdLimit(t *testing.T) {
	for _, entries := range []int{1, 17, 44, 80, 300} {
		synctest.Test(t, func(t *testing.T) {
			const burst, seconds = 44.0, 30
			fleets := make([]*Fleet, entries)
			for i := range fleets {
				fleets[i] = New("z1", nil)
				fleets[i].SetEntries(entries)
				fleets[i].SetLimits(service, Limits{ColdPerSecond: 26, ColdBurst: burst})
				fleets[i].Update(record("a", "10.0.0.1:1", 1))
			}
			total := 0
			for second := range seconds { // all entries in step
				sent := 0
				for _, f := range fleets {
					for range 100 {
						if p, _ := acquire(t, f, Request{}); p != nil {
							sent++
							p.Done()
						}
					}
				}
				if float64(sent) > burst {
					t.Errorf("%d entries: %d requests in second %d, the limit is %v", entries, sent, second, burst)
				}
				total += sent
				time.Sleep(time.Second + time.Millisecond)
			}
			if float64(total)/seconds > burst || float64(total)/seconds < burst/4 {
				t.Errorf("%d entries: %d requests in %d s, the limit is %v a second", entries, total, seconds, burst)
			}
		})
	}
}

// Load: a service fails and every request is repeated. Guards against entries
// whose repeats together exceed the bound of the service.
func TestEntriesShareTheRepeatBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, each, ratio, slack = 17, 40, 0.2, 196.0
		repeats := 0
		for range entries {
			b := NewRetryBudget(ratio, slack, 10*time.Second)
			for range each {
				b.RecordRequest()
				if b.TakeRetry(entries) {
					repeats++
				}
			}
		}
		if limit := ratio*entries*each + slack; float64(repeats) > limit || float64(repeats) < limit/2 {
			t.Errorf("%d repeats, the bound is %v", repeats, limit)
		}
	})
}

// Load: more requests than slots. Guards against waiting requests that are
// served in the wrong order, or not at all once a slot is free.
func TestUrgentRequestsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New("z1", nil)
		f.Update(record("a", "10.0.0.1:1", 1))
		var held []*Pick
		for range 4 {
			p, _ := acquire(t, f, Request{})
			held = append(held, p)
		}
		order := make(chan int, 3)
		for _, priority := range []int{2, 0, 1} {
			go func() {
				p, _ := f.Acquire(context.Background(), &Request{Service: service, Priority: priority, MaxWait: time.Second})
				if p != nil {
					order <- priority
				}
			}()
			synctest.Wait()
		}
		is.Equal(f.Waiting(service), 3)
		for i := range 3 {
			held[i].Done()
			synctest.Wait()
			is.Equal(<-order, i)
		}
		_, why := acquire(t, f, Request{MaxWait: 100 * time.Millisecond})
		is.Equal(why, AllBusy)
	})
}

// Load: reports are a quarter of a second old and 49 entries choose at once.
// Guards against all of them choosing the endpoint that looked idle.
func TestEntriesSpreadOverStaleReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, endpoints, perEntry = 49, 64, 3
		got := make(map[string]int)
		for range entries {
			f := New("z1", nil)
			f.SetEntries(entries)
			for i := range endpoints {
				id := fmt.Sprint("e", i)
				r := record(id, fmt.Sprintf("10.0.0.%d:1", i), 1)
				r.Slots = 10
				f.Update(r)
				f.RecordLoad(id, Load{Running: 4 + i%4})
			}
			for range perEntry {
				p, _ := acquire(t, f, Request{})
				got[p.Endpoint.ID]++
			}
		}
		most := 0
		for _, n := range got {
			most = max(most, n)
		}
		if mean := float64(entries*perEntry) / (endpoints / 4); float64(most) > 2.5*mean {
			t.Errorf("one endpoint got %d requests, those that looked idle %.1f on average", most, mean)
		}
	})
}

// Load: a rank group whose passes take as long as the longest pause that is on
// time. Guards against filling it to the last slot.
func TestSlowGroupsTakeFewer(t *testing.T) {
	is := is.New(t)
	f := New("z1", nil)
	f.SetLimits(service, Limits{TargetGap: 120 * time.Millisecond})
	r := record("a", "10.0.0.1:1", 1)
	r.Slots = 10
	f.Update(r)
	f.RecordLoad("a", Load{Running: 8, StepTime: 60 * time.Millisecond})
	p, _ := acquire(t, f, Request{})
	is.True(p != nil)
	p.Done()
	f.RecordLoad("a", Load{Running: 8, StepTime: 120 * time.Millisecond})
	_, why := acquire(t, f, Request{})
	is.Equal(why, AllBusy)
}

// Guards against requests that stay with a group that stands still, and against
// new ones for it.
func TestStandingGroupIsLeft(t *testing.T) {
	is := is.New(t)
	f := New("z1", nil)
	f.Update(record("a", "10.0.0.1:1", 1))
	p, _ := acquire(t, f, Request{})
	f.RecordLoad("a", Load{Stalled: true})
	select {
	case <-p.Stalled:
	default:
		t.Error("the request isn't told")
	}
	_, why := acquire(t, f, Request{})
	is.Equal(why, Unavailable)
	f.RecordLoad("a", Load{})
	q, _ := acquire(t, f, Request{})
	is.True(q != nil)
}

// Guards against an endpoint that fails much and answers fast, and so always
// looks idle.
func TestFailingEndpointIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New("z1", nil)
		f.Update(record("good", "10.0.0.1:1", 1))
		f.Update(record("grey", "10.0.0.2:1", 1))
		grey := 0
		for range 200 {
			p, _ := acquire(t, f, Request{})
			if p.Endpoint.ID == "grey" {
				grey++
				p.Failed()
			} else {
				p.Done()
			}
			time.Sleep(20 * time.Millisecond)
		}
		if grey > 40 {
			t.Errorf("%d of 200 requests went to the failing endpoint", grey)
		}
	})
}

func BenchmarkAcquire(b *testing.B) {
	f := New("z1", nil)
	for i := range 1200 {
		f.Update(record(fmt.Sprint("e", i), fmt.Sprintf("10.0.%d.%d:1", i/256, i%256), 1))
	}
	for b.Loop() {
		if p, _ := f.Acquire(context.Background(), &Request{Service: service}); p != nil {
			p.Done()
		}
	}
}

// Guards against an age of centuries in the log of a request whose endpoint
// never reported a load.
func TestAgeOfNoReport(t *testing.T) {
	is := is.New(t)
	f := New("z", nil)
	f.Update(Record{ID: "i-1", Service: "s", Address: "a:1", Zone: "z", Slots: 2})
	p, _ := f.Acquire(t.Context(), &Request{Service: "s"})
	is.Equal(p.ReportAge, NoReport)
	f.RecordLoad("i-1", Load{Running: 1})
	p, _ = f.Acquire(t.Context(), &Request{Service: "s"})
	is.True(p.ReportAge >= 0)
}

// Guards against bytes between zones that save nobody time: with equal loads
// most requests stay in the entry's zone, and a busier endpoint there is left.
func TestOwnZoneComesFirst(t *testing.T) {
	is := is.New(t)
	f := New("z1", nil)
	for i, zone := range []string{"z1", "z2", "z3"} {
		f.Update(Record{ID: zone, Service: "s", Address: fmt.Sprint("a:", i), Zone: zone, Slots: 10})
	}
	own := 0
	const requests = 100
	for range requests {
		p, _ := f.Acquire(t.Context(), &Request{Service: "s"})
		if p.Endpoint.Zone == "z1" {
			own++
		}
		p.Done()
	}
	is.Equal(own, requests)
	f.RecordLoad("z1", Load{Running: 5})
	p, _ := f.Acquire(t.Context(), &Request{Service: "s"})
	is.True(p.Endpoint.Zone != "z1")
}

// Load: more requests of one rank than slots, for as long as it lasts. Guards
// against a request that waits while later ones of its rank are served.
func TestEqualRequestsGoInTheirOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New("z1", nil)
		f.Update(Record{ID: "e", Service: "s", Address: "a:1", Zone: "z1", Slots: 1})
		p, _ := f.Acquire(t.Context(), &Request{Service: "s"})
		var mu sync.Mutex
		var served []int
		for i := range 10 {
			go func() {
				p, _ := f.Acquire(t.Context(), &Request{Service: "s", Priority: 1, MaxWait: time.Minute})
				mu.Lock()
				served = append(served, i)
				mu.Unlock()
				time.Sleep(time.Millisecond)
				p.Done()
			}()
			synctest.Wait()
		}
		p.Done()
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		is.Equal(served, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	})
}
