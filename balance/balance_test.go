package balance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/wire"
)

var now = time.Unix(1000, 0)

// fleet returns a view of n endpoints, spread over the zones in turn, each
// with a limit of 8 and 4 requests in flight.
func fleet(n int, zones ...string) *control.Snapshot {
	s := &control.Snapshot{Endpoints: map[string][]*control.Endpoint{}, AgentByID: map[string]*control.Endpoint{}}
	for i := range n {
		ep := &control.Endpoint{
			Node:     wire.Node{ID: fmt.Sprint("agent-", i), Service: "s", State: wire.StateReady, Zone: zones[i%len(zones)]},
			Load:     wire.Load{Seq: 1, Limit: 8, InFlight: 4},
			LastSeen: now,
		}
		s.Endpoints["s"] = append(s.Endpoints["s"], ep)
		s.AgentByID[ep.Node.ID] = ep
	}
	return s
}

// Guards against new work for endpoints that are out of service, leaving, no longer
// reporting or excluded, and against exceeding the limit, over random views and
// sequences.
func TestNeverChoosesUnusable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snap := fleet(rapid.IntRange(1, 60).Draw(t, "endpoints"), "a", "b", "c")
		snap.ZonesOut = map[string]bool{"c": rapid.Bool().Draw(t, "c out")}
		freeSlots := 0
		for _, ep := range snap.Endpoints["s"] {
			ep.Load.InFlight = rapid.IntRange(0, 9).Draw(t, "load")
			ep.LastSeen = now.Add(-rapid.SampledFrom([]time.Duration{0, time.Second, 3 * time.Second}).Draw(t, "age"))
			ep.Node.State = rapid.SampledFrom([]wire.State{wire.StateReady, wire.StateLeaving}).Draw(t, "state")
			if mayBeChosen(snap, ep) {
				freeSlots += max(0, ep.Load.Limit-ep.Load.InFlight)
			}
		}
		b := New("entry-1", "a")
		before := *snap // the subset is chosen before the zone is taken out of service
		before.ZonesOut = nil
		if pick := b.Choose(&before, Request{Service: "s", Now: now}); pick != nil {
			pick.Release()
		}
		placed := map[string]int{}
		for range rapid.IntRange(1, 80).Draw(t, "requests") {
			pick := b.Choose(snap, Request{Service: "s", Exclude: []string{"agent-0"}, Now: now})
			if pick == nil {
				if total(placed) < freeSlots && len(snap.AgentByID) <= subsetSize {
					t.Fatalf("refused with %d free slots, %d placed", freeSlots, total(placed))
				}
				return
			}
			ep := pick.Endpoint
			placed[ep.Node.ID]++
			if !mayBeChosen(snap, ep) || ep.Load.InFlight+placed[ep.Node.ID] > ep.Load.Limit {
				t.Fatalf("chose %+v", *ep)
			}
		}
	})
}

// mayBeChosen reports whether an endpoint may get new work in
// TestNeverChoosesUnusable, whose requests exclude agent-0.
func mayBeChosen(s *control.Snapshot, ep *control.Endpoint) bool {
	return !s.OutOfService(ep.Node) && ep.Node.State == wire.StateReady && now.Sub(ep.LastSeen) <= 2*time.Second && ep.Node.ID != "agent-0"
}

func total(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// Guards against all entries sending their next requests to the one endpoint that a
// delayed report shows as idle.
func TestNoHerd(t *testing.T) {
	is := is.New(t)
	snap := fleet(4, "a")
	snap.Endpoints["s"][3].Load.InFlight = 0
	snap.Entries = make([]control.Entry, 16)
	herdRequests := 0
	for i := range 100 {
		b := New(fmt.Sprint("entry-", i), "a")
		for range 4 {
			if b.Choose(snap, Request{Service: "s", Now: now}).Endpoint.Node.ID == "agent-3" {
				herdRequests++
			}
		}
	}
	is.True(herdRequests < 160) // of 400 choices; about 200 without the estimate of the other entries' choices (herdLoad), 127 to 144 with it
}

// Guards against full load for a zone as soon as it returns to service.
func TestRampUp(t *testing.T) {
	is := is.New(t)
	snap := fleet(6, "a", "b")
	for i, ep := range snap.Endpoints["s"] {
		ep.Load.InFlight = 0
		if i%2 == 0 {
			ep.ReturnedAt = now.Add(-rampUpTime / 4)
		}
	}
	b := New("entry-1", "a")
	placed := map[string]int{}
	for pick := b.Choose(snap, Request{Service: "s", Now: now}); pick != nil; pick = b.Choose(snap, Request{Service: "s", Now: now}) {
		placed[pick.Endpoint.Node.Zone]++
	}
	is.Equal(placed, map[string]int{"a": 3 * 2, "b": 3 * 8})
}

// Guards against an entry's zone being filled up, and against the use of other zones
// although the entry's zone has capacity.
func TestSameZoneWhileItHasCapacity(t *testing.T) {
	is := is.New(t)
	snap := fleet(6, "a", "b")
	b := New("entry-1", "a")
	placed := map[string]int{}
	for i := range 24 {
		placed[b.Choose(snap, Request{Service: "s", Now: now}).Endpoint.Node.Zone]++
		is.True(i >= 6 || placed["b"] == 0) // three endpoints of zone a go from 4 in flight to 6, maxZoneUtilisation of 8
	}
	is.Equal(placed, map[string]int{"a": 12, "b": 12})
}

// Guards against a popular prefix that overloads its endpoint, against a preferred
// endpoint that differs between entries, and against affinity for prefixes that do
// not recur.
func TestPrefixAffinity(t *testing.T) {
	is := is.New(t)
	snap := fleet(100, "a", "b", "c")
	placed := map[string]int{}
	for i := range 5 {
		b := New(fmt.Sprint("entry-", i), "a")
		for range 4 {
			pick := b.Choose(snap, Request{Service: "s", Prefix: "preamble", Now: now})
			if len(pick.Reason) > 13 && pick.Reason[:13] == "prompt prefix" {
				placed[pick.Endpoint.Node.ID]++
			}
		}
	}
	is.Equal(len(placed), 1)     // one endpoint for all entries
	is.Equal(total(placed), 5*2) // each entry adds 2 to the 4 in flight: the bound is 1.25 * (400+1)/100 = 5.01, rounded up to 6
}

// Guards against requests sent to a failed endpoint before the view shows the
// failure, and against its permanent exclusion.
func TestFailedUntilNextReport(t *testing.T) {
	is := is.New(t)
	snap := fleet(1, "a")
	b := New("entry-1", "a")
	pick := b.Choose(snap, Request{Service: "s", Now: now})
	pick.RecordFailure(now.Add(time.Millisecond))
	pick.Release()
	is.Equal(b.Choose(snap, Request{Service: "s", Now: now}), nil)
	snap.AgentByID["agent-0"].LastSeen = now.Add(time.Second)
	is.True(b.Choose(snap, Request{Service: "s", Now: now.Add(time.Second)}) != nil)
}

// The target is at most 5 µs among 1,200 endpoints, independent of fleet size.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{16, 120, 1200, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			snap := fleet(n, "a", "b", "c", "d")
			balancer := New("entry-1", "a")
			b.ReportAllocs()
			for b.Loop() {
				balancer.Choose(snap, Request{Service: "s", Prefix: "preamble", Now: now}).Release()
			}
		})
	}
}

// Measures building the pool of a service, which includes its subset. It happens at
// most once per maxPoolAge and service while the number of endpoints stays the same.
func BenchmarkBuild(b *testing.B) {
	snap := fleet(1200, "a", "b", "c", "d")
	balancer := New("entry-1", "a")
	for b.Loop() {
		balancer.build(snap, "s", now, nil)
	}
}

// Guards against an endpoint that all entries avoid until its next report, because
// an old load sample shows it as full, while the others are overloaded.
func TestOldSampleIsReplacedByTheMean(t *testing.T) {
	is := is.New(t)
	snap := fleet(3, "a")
	for _, ep := range snap.Endpoints["s"] {
		ep.LastSeen = now.Add(-250 * time.Millisecond)
		ep.Load.InFlight = 2
	}
	snap.Endpoints["s"][0].Load.InFlight = 8 // of 8
	for _, holdTime := range []time.Duration{40 * time.Millisecond, time.Minute} {
		b := New("entry-1", "a")
		for range minHoldSamples {
			for _, ep := range snap.Endpoints["s"] {
				pick := b.Assign(ep, "sample")
				pick.startedAt = time.Now().Add(-holdTime)
				pick.responded.Store(true)
				pick.Release()
				b.Assign(ep, "no response").Release() // must not count as a holding time of 0
			}
		}
		placed := map[string]int{}
		for range 12 { // the two others have capacity for 6 each
			placed[b.Choose(snap, Request{Service: "s", Now: now}).Endpoint.Node.ID]++
		}
		// The sample is 250 ms old: outdated if requests end after 40 ms, valid if they take 1 min.
		is.Equal(placed["agent-0"] > 0, holdTime < time.Second)
	}
}

// Guards against callers that get slow responses of cold engines after a zone has
// returned to service, and against engines that are never warmed up or not used when
// all others are full.
func TestWarmingZoneGetsFewRequests(t *testing.T) {
	is := is.New(t)
	snap := fleet(6, "a", "b")
	snap.Services = map[string]*bundle.Service{"s": {Name: "s", WarmLimit: 8}}
	for _, ep := range snap.Endpoints["s"] {
		if ep.Node.Zone == "b" {
			ep.ReturnedAt, ep.Load.Limit, ep.Load.InFlight = now.Add(-rampUpTime), 2, 0
		}
	}
	b := New("entry-1", "b")
	choose := func() *Pick { return b.Choose(snap, Request{Service: "s", Now: now}) }
	toWarming := 0
	const choices = 20000
	for range choices {
		pick := choose()
		if pick.Endpoint.Node.Zone == "b" {
			toWarming++
		}
		pick.Release()
	}
	is.True(toWarming > choices/warmingChoiceInterval/2 && toWarming < choices/warmingChoiceInterval*2)
	placed := map[string]int{}
	for pick := choose(); pick != nil; pick = choose() {
		placed[pick.Endpoint.Node.Zone]++
	}
	is.Equal(placed, map[string]int{"a": 3 * 4, "b": 3 * 2})
}

// Guards against a zone that gets no work for as long as the limits of its endpoints are
// raised after its return, and then its whole part at once; and against entries of the
// zone that fill such endpoints.
func TestReturnedZoneGetsWorkOfItsEntriesAtOnce(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		is := is.New(t)
		snap := fleet(6, "a", "b")
		for _, ep := range snap.Endpoints["s"] {
			ep.Load.InFlight = 0
			if ep.Node.Zone == "b" {
				ep.ReturnedAt = now.Add(-rampUpTime / 2)
			}
		}
		b := New("entry-1", zone)
		preferred := map[string]int{} // by endpoint
		for range 6 {
			if pick := b.Choose(snap, Request{Service: "s", Now: now}); strings.HasPrefix(pick.Reason, "own zone") {
				is.Equal(pick.Endpoint.Node.Zone, zone)
				preferred[pick.Endpoint.Node.ID]++
			}
		}
		if zone == "a" {
			is.Equal(total(preferred), 6)
			continue
		}
		is.Equal(preferred, map[string]int{"agent-1": 1, "agent-3": 1, "agent-5": 1})
	}
}
