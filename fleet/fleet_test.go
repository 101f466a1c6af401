package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/share"
)

const service = "drafts"

func record(id, address string, incarnation int64) Record {
	return Record{ID: id, Service: service, Address: address, Zone: "z1", Slots: 4, Incarnation: incarnation}
}

func acquire(t *testing.T, f *Fleet, request Request) (*Pick, Availability) {
	t.Helper()
	request.Service = service
	return f.Acquire(t.Context(), &request)
}

// Guards against requests to endpoints that drain, that are removed, or whose
// availability zone is out of service.
func TestDrainingOrRemovedEndpointsGetNoRequests(t *testing.T) {
	is := is.New(t)
	f := New("z1", nil)
	r := record("a", "10.0.0.1:1", 1)
	f.Update(r)
	p, _ := acquire(t, f, Request{})
	is.True(p != nil)
	p.EndSucceeded()
	f.SetZoneOutOfService("z1", true)
	p, availability := acquire(t, f, Request{})
	is.True(p == nil && availability == Unavailable)
	f.SetZoneOutOfService("z1", false)
	r.Draining = true
	f.Update(r)
	p, availability = acquire(t, f, Request{})
	is.True(p == nil && availability == Unavailable)
	r.Draining = false
	f.Update(r)
	f.Remove("a")
	p, availability = acquire(t, f, Request{})
	is.True(p == nil && availability == Unavailable)
}

// Guards against requests to an earlier incarnation of an endpoint, whose record is
// still in the store beside the record of a later one at the same address.
func TestLatestIncarnationAtAnAddressWins(t *testing.T) {
	is := is.New(t)
	f := New("z1", nil)
	f.Update(record("new", "10.0.0.1:1", 2))
	f.Update(record("old", "10.0.0.1:1", 1))
	for range 10 {
		p, _ := acquire(t, f, Request{})
		is.Equal(p.Endpoint.ID, "new")
		p.EndSucceeded()
	}
	f.Remove("new")
	p, _ := acquire(t, f, Request{})
	is.Equal(p.Endpoint.ID, "old")
}

// Guards against entries that together exceed the rate that an endpoint sustains. All
// send at the same time, for seconds, to an endpoint that may become cold before a
// report shows it; with few entries, and with more entries than allowed requests.
func TestEntriesShareTheColdLimit(t *testing.T) {
	for _, entries := range []int{1, 17, 44, 80, 300} {
		synctest.Test(t, func(t *testing.T) {
			const burst, seconds = 44.0, 30
			fleets := make([]*Fleet, entries)
			for i := range fleets {
				fleets[i] = New("z1", nil)
				fleets[i].SetEntries(entries, i)
				fleets[i].SetLimits(service, Limits{ColdPerSecond: 26, ColdBurst: burst})
				fleets[i].Update(record("a", "10.0.0.1:1", 1))
			}
			total := 0
			for second := range seconds { // all entries at the same time
				sent := 0
				for _, f := range fleets {
					for range 100 {
						if p, _ := acquire(t, f, Request{}); p != nil {
							sent++
							p.EndSucceeded()
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

// Guards against entries whose retries together exceed the bound of the service, when
// it fails and every request is retried.
func TestEntriesShareTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, each, ratio, slack = 17, 40, 0.2, 196.0
		retries := 0
		for range entries {
			b := NewRetryBudget(ratio, slack, 10*time.Second)
			for range each {
				b.RecordRequest()
				if b.TakeRetry(share.Part{Fraction: 1.0 / entries}) {
					retries++
				}
			}
		}
		if limit := ratio*entries*each + slack; float64(retries) > limit || float64(retries) < limit/2 {
			t.Errorf("%d retries, the bound is %v", retries, limit)
		}
	})
}

// Guards against waiting requests that are served in the wrong sequence, or not at all
// once a slot is free. More requests arrive than there are slots.
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
		served := make(chan int, 3)
		for _, priority := range []int{2, 0, 1} {
			go func() {
				p, _ := f.Acquire(context.Background(), &Request{Service: service, Priority: priority, MaxWait: time.Second})
				if p != nil {
					served <- priority
				}
			}()
			synctest.Wait()
		}
		is.Equal(f.Waiting(service), 3)
		for i := range 3 {
			held[i].EndSucceeded()
			synctest.Wait()
			is.Equal(<-served, i)
		}
		_, availability := acquire(t, f, Request{MaxWait: 100 * time.Millisecond})
		is.Equal(availability, AllBusy)
	})
}

// Guards against entries that all choose the endpoint that appears idle, when 49
// entries choose at the same time from reports that are a quarter of a second old.
func TestEntriesSpreadOverStaleReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, endpoints, perEntry = 49, 64, 3
		got := make(map[string]int)
		for entry := range entries {
			f := New("z1", nil)
			f.SetEntries(entries, entry)
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
			t.Errorf("one endpoint got %d requests, the least loaded ones %.1f on average", most, mean)
		}
	})
}

// Guards against filling all slots of a rank group whose steps take as long as the
// target gap between events.
func TestSlowGroupsGetFewerRequests(t *testing.T) {
	is := is.New(t)
	f := New("z1", nil)
	f.SetLimits(service, Limits{TargetGap: 120 * time.Millisecond})
	r := record("a", "10.0.0.1:1", 1)
	r.Slots = 10
	f.Update(r)
	f.RecordLoad("a", Load{Running: 8, StepTime: 60 * time.Millisecond})
	p, _ := acquire(t, f, Request{})
	is.True(p != nil)
	p.EndSucceeded()
	f.RecordLoad("a", Load{Running: 8, StepTime: 120 * time.Millisecond})
	_, availability := acquire(t, f, Request{})
	is.Equal(availability, AllBusy)
}

// Guards against requests that stay at a stalled group, and against new ones sent to
// it.
func TestStalledGroupIsAvoided(t *testing.T) {
	is := is.New(t)
	f := New("z1", nil)
	f.Update(record("a", "10.0.0.1:1", 1))
	p, _ := acquire(t, f, Request{})
	f.RecordLoad("a", Load{Stalled: true})
	select {
	case <-p.Stalled:
	default:
		t.Error("the channel Stalled isn't closed")
	}
	_, availability := acquire(t, f, Request{})
	is.Equal(availability, Unavailable)
	f.RecordLoad("a", Load{})
	q, _ := acquire(t, f, Request{})
	is.True(q != nil)
}

// Guards against preferring an endpoint that fails many requests quickly and so always
// appears idle.
func TestFailingEndpointIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New("z1", nil)
		f.Update(record("good", "10.0.0.1:1", 1))
		f.Update(record("failing", "10.0.0.2:1", 1))
		failing := 0
		for range 200 {
			p, _ := acquire(t, f, Request{})
			if p.Endpoint.ID == "failing" {
				failing++
				p.EndFailed()
			} else {
				p.EndSucceeded()
			}
			time.Sleep(20 * time.Millisecond)
		}
		if failing > 40 {
			t.Errorf("%d of 200 requests went to the failing endpoint", failing)
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
			p.EndSucceeded()
		}
	}
}

// Guards against logging an age of centuries, the time since the zero time, for an
// endpoint that never reported its load.
func TestReportAgeWithoutReport(t *testing.T) {
	is := is.New(t)
	f := New("z", nil)
	f.Update(Record{ID: "i-1", Service: "s", Address: "a:1", Zone: "z", Slots: 2})
	p, _ := f.Acquire(t.Context(), &Request{Service: "s"})
	is.Equal(p.ReportAge, NoReport)
	f.RecordLoad("i-1", Load{Running: 1})
	p, _ = f.Acquire(t.Context(), &Request{Service: "s"})
	is.True(p.ReportAge >= 0)
}

// Guards against traffic between zones without a gain in latency: with equal loads
// requests stay in the entry's zone, and a busier endpoint there is avoided.
func TestEntryPrefersItsZone(t *testing.T) {
	is := is.New(t)
	f := New("z1", nil)
	for i, zone := range []string{"z1", "z2", "z3"} {
		f.Update(Record{ID: zone, Service: "s", Address: fmt.Sprint("a:", i), Zone: zone, Slots: 10})
	}
	sameZone := 0
	const requests = 100
	for range requests {
		p, _ := f.Acquire(t.Context(), &Request{Service: "s"})
		if p.Endpoint.Zone == "z1" {
			sameZone++
		}
		p.EndSucceeded()
	}
	is.Equal(sameZone, requests)
	f.RecordLoad("z1", Load{Running: 5})
	p, _ := f.Acquire(t.Context(), &Request{Service: "s"})
	is.True(p.Endpoint.Zone != "z1")
}

// Guards against a request that waits while later ones of the same priority are
// served, during sustained overload.
func TestEqualPriorityIsFirstInFirstOut(t *testing.T) {
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
				p.EndSucceeded()
			}()
			synctest.Wait()
		}
		p.EndSucceeded()
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		is.Equal(served, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	})
}

// newReportingFleet returns a fleet with endpoints whose agents have just reported.
func newReportingFleet(ids ...string) *Fleet {
	f := New("z1", nil)
	for _, id := range ids {
		f.Update(record(id, id, 1))
		f.RecordLoad(id, Load{Slots: 4})
	}
	return f
}

// countChosen returns the number of endpoints that 100 requests in sequence get.
func countChosen(t *testing.T, f *Fleet) int {
	t.Helper()
	chosen := make(map[string]bool)
	for range 100 {
		p, _ := acquire(t, f, Request{})
		chosen[p.Endpoint.ID] = true
		p.EndSucceeded()
	}
	return len(chosen)
}

// Guards against choosing a frozen endpoint until its last load report expires.
func TestEndpointWhoseReportsStopIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newReportingFleet("a", "b", "c")
		time.Sleep(reportSilence)
		time.Sleep(time.Millisecond)
		f.RecordLoad("b", Load{Slots: 4, Running: 3})
		f.RecordLoad("c", Load{Slots: 4, Running: 3})
		for range 20 {
			p, _ := acquire(t, f, Request{})
			is.True(p.Endpoint.ID != "a")
			p.EndSucceeded()
		}
		for range 2 {
			_, _ = acquire(t, f, Request{}) // fills the others
		}
		p, _ := acquire(t, f, Request{})
		is.True(p == nil) // the others are only busy
		f.Remove("b")
		f.Remove("c")
		p, _ = acquire(t, f, Request{})
		is.Equal(p.Endpoint.ID, "a")
	})
}

// Guards against avoiding endpoints because this entry gets no reports at all.
func TestEntryWithoutReportsAvoidsNoEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newReportingFleet("a", "b", "c")
		time.Sleep(2 * reportSilence)
		f.RecordLoad("c", Load{Slots: 4})
		is.Equal(countChosen(t, f), 3)
	})
}

// Guards against avoiding an endpoint that gets no requests and so reports no load in responses.
func TestEndpointWithoutAgentIsNotTakenForSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New("z1", nil)
		for _, id := range []string{"a", "b", "c"} {
			f.Update(record(id, id, 1))
		}
		var picks []*Pick
		for range 3 {
			p, _ := acquire(t, f, Request{})
			picks = append(picks, p)
			p.RecordLoad(Load{Slots: 4, Running: 1})
		}
		time.Sleep(2 * reportSilence)
		for _, p := range picks[:2] {
			p.RecordLoad(Load{Slots: 4, Running: 1})
		}
		for _, p := range picks {
			p.EndSucceeded()
		}
		is.Equal(countChosen(t, f), 3)
	})
}

// Guards against many idle entries that all send at once when load returns, to an endpoint that may be cold.
func TestIdleEntriesSendNoBurstBeyondTheColdLimit(t *testing.T) {
	for _, entries := range []int{80, 300} {
		synctest.Test(t, func(t *testing.T) {
			const burst = 44
			fleets := make([]*Fleet, entries)
			for i := range fleets {
				fleets[i] = New("z1", nil)
				fleets[i].SetEntries(entries, i)
				fleets[i].SetLimits(service, Limits{ColdPerSecond: 26, ColdBurst: burst})
				fleets[i].Update(record("a", "10.0.0.1:1", 1))
			}
			sendAll(t, fleets, 2*time.Second)
			time.Sleep(10 * time.Minute)
			if most := mostWithin(sendAll(t, fleets, 5*time.Second), time.Second); most > burst {
				t.Errorf("%d entries: %d requests within a second, the limit is %d", entries, most, burst)
			}
		})
	}
}

// Guards against a data race between a request that reads its endpoint's identity and an update of the endpoint's
// record. Only the race detector sees it.
func TestUpdateDoesNotWriteWhatRequestsRead(t *testing.T) {
	is := is.New(t)
	f := New("z1", nil)
	r := Record{ID: "e", Service: "s", Address: "127.0.0.1:1", Zone: "z1", Slots: 4, Incarnation: 1}
	f.Update(r)
	pick, _ := f.Acquire(t.Context(), &Request{Service: "s"})
	var request sync.WaitGroup
	request.Go(func() {
		is.Equal(pick.Endpoint.ID+pick.Endpoint.Address+pick.Endpoint.Service, "e127.0.0.1:1s")
		is.Equal(pick.Endpoint.Incarnation, int64(1))
	})
	r.Draining = true
	is.True(f.Update(r))
	request.Wait()
	is.True(f.Records()[0].Draining)
}
