package node

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/forward"
	"github.com/wasabinotch/wasabinotch/lab/platformsim"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/store"
	"github.com/wasabinotch/wasabinotch/wire"
)

// putMany writes keys that no entry follows, so that the store's revision rises.
func putMany(put func(key string, value []byte), n int) {
	for i := range n {
		put("other/"+strconv.Itoa(i), nil)
	}
}

// servingEntry starts an entry and waits until it serves orders with API key k1.
func servingEntry(t *testing.T, id string, sim *platformsim.Store) *testEntry {
	t.Helper()
	e := startEntry(t, id, sim.Addr())
	eventually(t, "the entry serves and is registered", func() bool { return e.sendOrder(t, "k1") == http.StatusOK && len(e.resolve(t)) > 0 })
	time.Sleep(2 * settleTime)
	return e
}

// Guards against an entry that ignores changes after a restore because the store's revisions have gone back.
func TestConfigAfterStoreRestoreIsInForce(t *testing.T) {
	sim, _ := storeWithEndpoint(t)
	a, b := servingEntry(t, "a", sim), servingEntry(t, "b", sim)
	inForce := func(key string) {
		t.Helper()
		within(t, applyBound, "the configuration is in force at both entries", func() bool {
			return a.sendOrder(t, key) == http.StatusOK && b.sendOrder(t, key) == http.StatusOK
		})
	}
	for restore := range 2 { // two in a row
		lost, next := 2+2*restore, 3+2*restore
		c := sim.Copy()
		putMany(sim.Put, 50)
		sim.Put("op/config", configWith(lost, "lost"))
		inForce("lost")
		sim.Restore(c, func(put func(string, []byte)) { put("op/config", configWith(lost, "lost")) })
		inForce("lost")
		sim.Put("op/config", configWith(next, "next"))
		inForce("next")
	}
}

// Guards against a watch that goes on in a restored store's new revisions and misses the ones before.
func TestRestorePastTheWatchedRevisionMissesNoChange(t *testing.T) {
	sim, _ := storeWithEndpoint(t)
	c := sim.Copy()
	a := servingEntry(t, "a", sim)
	putMany(sim.Put, 20)
	time.Sleep(2 * settleTime)
	sim.Restore(c, func(put func(string, []byte)) {
		put("op/config", configWith(2, "k2"))
		putMany(put, 60)
	})
	within(t, applyBound, "the configuration is in force", func() bool { return a.sendOrder(t, "k2") == http.StatusOK })
}

// Guards against an older configuration in a restored store that entries keep and pass on.
func TestOlderConfigInRestoredStoreChangesNothing(t *testing.T) {
	is := is.New(t)
	f := fleet.New("z1", nil)
	o := &operatorFollower{handler: forward.New(forward.Config{Fleet: f, Log: logr.Discard()}), fleet: f, log: logr.Discard()}
	config := func(version int) []byte { return []byte(fmt.Sprintf(`{"version":%d}`, version)) }
	o.Reset([]store.KeyValue{{Key: "op/config", Value: config(7), Revision: 90}}, store.Position{Era: 1, Revision: 90})
	o.Reset([]store.KeyValue{{Key: "op/config", Value: config(5), Revision: 50}}, store.Position{Era: 2, Revision: 60})
	is.Equal(string(o.snapshot().Config), string(config(7)))
}

// Guards against an entry that was cut off during a restore and takes the lower revisions of other entries for older ones.
func TestStateOfANewEraReplacesHigherRevisions(t *testing.T) {
	is := is.New(t)
	f := fleet.New("z1", nil)
	o := &operatorFollower{handler: forward.New(forward.Config{Fleet: f, Log: logr.Discard()}), fleet: f, log: logr.Discard()}
	config := func(version int) []byte { return []byte(fmt.Sprintf(`{"version":%d}`, version)) }
	o.adopt(wire.OperatorState{Era: 1, Revision: 90, Config: config(2)}, "listing")
	o.adopt(wire.OperatorState{Era: 2, Revision: 60, Config: config(3), ZonesOut: []string{"z1"}}, "entry b")
	is.Equal(o.handler.Config().Version, uint64(3))
	is.Equal(o.snapshot().ZonesOut, []string{"z1"})
	o.adopt(wire.OperatorState{Era: 1, Revision: 95, Config: config(2)}, "entry c") // of the former era
	is.Equal(o.snapshot().ZonesOut, []string{"z1"})
}

// Guards against an entry that starts after a restore and serves by the older configuration in the copy although another entry has the newer one.
func TestEntryStartedAfterRestoreGetsTheNewerConfig(t *testing.T) {
	sim, _ := storeWithEndpoint(t)
	a := servingEntry(t, "a", sim)
	c := sim.Copy()
	sim.Put("op/config", configWith(2, "k2"))
	eventually(t, "the newer configuration is in force", func() bool { return a.sendOrder(t, "k2") == http.StatusOK })
	time.Sleep(2 * settleTime)
	sim.Restore(c, nil)
	time.Sleep(2 * settleTime) // both entries list the keys at about the same revision
	b := startEntry(t, "b", sim.Addr())
	eventually(t, "the second entry serves", func() bool { return b.sendOrder(t, "k1") != 0 })
	within(t, applyBound, "the second entry has the newer configuration", func() bool { return b.sendOrder(t, "k2") == http.StatusOK })
}

// Guards against requests to a zone whose evacuation the store lost, and to an endpoint that drains, until both are written again.
func TestRestoreBringsNothingBackIntoService(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(sim *platformsim.Store, endpoint net.Addr)
	}{
		{"evacuated_zone", func(sim *platformsim.Store, _ net.Addr) { sim.Put("op/evacuate/z1", []byte("{}")) }},
		{"draining_endpoint", func(sim *platformsim.Store, endpoint net.Addr) {
			sim.Put("servers/i-1", endpointRecord(endpoint, "draining"))
		}},
		{"endpoint_that_left", func(sim *platformsim.Store, _ net.Addr) { sim.Remove("servers/i-1") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim, endpoint := storeWithEndpoint(t)
			a := servingEntry(t, "a", sim)
			copied := sim.Copy()
			c.change(sim, endpoint)
			eventually(t, "the endpoint gets no requests", func() bool { return a.sendOrder(t, "k1") == http.StatusServiceUnavailable })
			sim.Restore(copied, nil)
			for end := time.Now().Add(rewriteTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if status := a.sendOrder(t, "k1"); status != http.StatusServiceUnavailable {
					t.Fatalf("status %d before the operator and the endpoints had written again", status)
				}
			}
		})
	}
}

// Guards against a zone that returns to service although a second listing shows that its evacuation was written again.
func TestSecondListingAfterRestoreReplacesTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleet.New("z1", nil)
		o := &operatorFollower{handler: forward.New(forward.Config{Fleet: f, Log: logr.Discard()}), fleet: f, outdated: outdatedKeys{window: reregisterGrace}, log: logr.Discard()}
		evacuated := []store.KeyValue{{Key: "op/evacuate/z1"}}
		o.Reset(evacuated, store.Position{Era: 1, Revision: 90})
		o.Reset(nil, store.Position{Era: 2, Revision: 60})
		is.Equal(o.snapshot().ZonesOut, []string{"z1"}) // held back
		o.Reset(evacuated, store.Position{Era: 2, Revision: 62})
		time.Sleep(reregisterGrace)
		o.applyHeldBack()
		is.Equal(o.snapshot().ZonesOut, []string{"z1"})
	})
}

// Guards against a held-back change that is lost because another change is applied at the same moment.
func TestHeldBackChangeAndAnotherOneBothCount(t *testing.T) {
	is := is.New(t)
	for range 300 {
		f := fleet.New("z1", nil)
		o := &operatorFollower{handler: forward.New(forward.Config{Fleet: f, Log: logr.Discard()}), fleet: f, outdated: outdatedKeys{window: time.Millisecond}, log: logr.Discard()}
		o.Reset([]store.KeyValue{{Key: "op/evacuate/z1"}}, store.Position{Era: 1, Revision: 90})
		o.Reset(nil, store.Position{Era: 2, Revision: 60})
		time.Sleep(time.Millisecond)
		var other sync.WaitGroup
		other.Go(o.applyHeldBack)
		o.Apply(store.Event{KeyValue: store.KeyValue{Key: "op/evacuate/z2", Revision: 61}, Era: 2})
		other.Wait()
		is.Equal(o.snapshot().ZonesOut, []string{"z2"})
	}
}

// Guards against a zone that is taken out of service again because the store lost the end of its evacuation.
func TestRestoreTakesNoZoneOutAgain(t *testing.T) {
	sim, _ := storeWithEndpoint(t)
	a := servingEntry(t, "a", sim)
	sim.Put("op/evacuate/z1", []byte("{}"))
	eventually(t, "the zone gets no requests", func() bool { return a.sendOrder(t, "k1") == http.StatusServiceUnavailable })
	c := sim.Copy()
	sim.Remove("op/evacuate/z1")
	eventually(t, "the zone gets requests again", func() bool { return a.sendOrder(t, "k1") == http.StatusOK })
	sim.Restore(c, nil)
	for end := time.Now().Add(rewriteTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status := a.sendOrder(t, "k1"); status != http.StatusOK {
			t.Fatalf("status %d before the operator had written again", status)
		}
	}
	eventually(t, "the zone is out of service as the store says", func() bool { return a.sendOrder(t, "k1") == http.StatusServiceUnavailable })
}

// rewriteTime is the time within which, after a restore, the users' operator and
// endpoints write again what was lost.
const rewriteTime = 1800 * time.Millisecond

// Guards against a zone that stays out of service, or an endpoint that stays unused, because a restore undid the change for good.
func TestRestoredStateCountsAfterAWhile(t *testing.T) {
	sim, _ := storeWithEndpoint(t)
	a := servingEntry(t, "a", sim)
	c := sim.Copy()
	sim.Put("op/evacuate/z1", []byte("{}"))
	eventually(t, "the zone gets no requests", func() bool { return a.sendOrder(t, "k1") == http.StatusServiceUnavailable })
	sim.Restore(c, nil)
	eventually(t, "the zone gets requests again", func() bool { return a.sendOrder(t, "k1") == http.StatusOK })
}

// Guards against an entry whose record is lost although its lease, or another one with the same ID, can be renewed.
func TestEntryRegistersAgainAfterStoreRestore(t *testing.T) {
	sim, _ := storeWithEndpoint(t)
	a, b := servingEntry(t, "a", sim), servingEntry(t, "b", sim)
	both := func() bool { return len(a.resolve(t)) == 2 && len(b.resolve(t)) == 2 }
	eventually(t, "both entries know each other", both)
	c := sim.Copy()
	c.Drop(platform.PrefixEntries + "b") // its lease stays
	sim.Restore(c, nil)
	within(t, 2*time.Second, "the record is written again", func() bool { return sim.Has(platform.PrefixEntries + "b") })
	eventually(t, "both entries know each other again", both)
}

// Guards against a directory that names an entry which stopped, because a restore brought its record back.
func TestRestoreBringsNoStoppedEntryBack(t *testing.T) {
	sim, _ := storeWithEndpoint(t)
	a, b := servingEntry(t, "a", sim), servingEntry(t, "b", sim)
	eventually(t, "both entries know each other", func() bool { return len(a.resolve(t)) == 2 && len(b.resolve(t)) == 2 })
	c := sim.Copy()
	b.stop()
	eventually(t, "the directory doesn't list the stopped entry", func() bool { return len(a.resolve(t)) == 1 })
	sim.Restore(c, nil)
	for end := time.Now().Add(2 * entryLeaseTTL); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if addresses := a.resolve(t); slices.Contains(addresses, b.settings.CallersAddr) {
			t.Fatalf("the directory lists %v", addresses)
		}
	}
}

// Guards against entries that take their watches for stale because other entries remember revisions that were lost.
func TestRestoreEndsNoWatchAgainAndAgain(t *testing.T) {
	sim, _ := storeWithEndpoint(t)
	servingEntry(t, "a", sim)
	c := sim.Copy()
	putMany(sim.Put, 50)
	time.Sleep(2 * settleTime)
	sim.Restore(c, nil)
	servingEntry(t, "b", sim)
	time.Sleep(4 * time.Second)
	before := sim.Listings()
	time.Sleep(3 * time.Second)
	if n := sim.Listings() - before; n > 0 {
		t.Errorf("%d listings in 3 s in which nothing changed", n)
	}
}

// newTestOperator returns an operatorFollower that knows nothing yet.
func newTestOperator() *operatorFollower {
	f := fleet.New("z1", nil)
	return &operatorFollower{handler: forward.New(forward.Config{Fleet: f, Log: logr.Discard()}), fleet: f, outdated: outdatedKeys{window: reregisterGrace}, log: logr.Discard()}
}

// Guards against entries that keep a zone out of service for good after a restore, since each adopts the state of
// another one that still holds the zone's return back.
func TestHeldBackReturnOutlivesStatesOfOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var entries []*operatorFollower
		for range 3 {
			entries = append(entries, newTestOperator())
		}
		zones := func() (all [][]string) {
			for _, e := range entries {
				all = append(all, e.snapshot().ZonesOut)
			}
			return all
		}
		out := [][]string{{"z1"}, {"z1"}, {"z1"}}
		for i, e := range entries {
			e.Reset([]store.KeyValue{{Key: "op/evacuate/z1"}}, store.Position{Era: 1, Revision: 90})
			e.Reset(nil, store.Position{Era: 2, Revision: 60 + uint64(i)}) // the copy lacks the evacuation
			time.Sleep(reregisterGrace / 4)
		}
		is.Equal(zones(), out)
		poll := func() {
			for i, e := range entries {
				e.adoptState(entries[(i+1)%len(entries)].storedState(), "another entry")
				e.applyHeldBack()
			}
		}
		poll()
		is.Equal(zones(), out) // the windows haven't ended
		for range 4 {
			time.Sleep(reregisterGrace / 2)
			poll()
		}
		for _, z := range zones() {
			is.Equal(len(z), 0)
		}
	})
}

// Guards against an entry that returns a zone to service although another one knows that its evacuation was
// written again.
func TestStateOfAnotherEntryEndsAHeldBackReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var entries []*operatorFollower
		for range 2 {
			e := newTestOperator()
			e.Reset([]store.KeyValue{{Key: "op/evacuate/z1"}}, store.Position{Era: 1, Revision: 90})
			e.Reset(nil, store.Position{Era: 2, Revision: 60})
			entries = append(entries, e)
		}
		entries[1].Apply(store.Event{KeyValue: store.KeyValue{Key: "op/evacuate/z1", Revision: 61}, Era: 2})
		entries[0].adoptState(entries[1].storedState(), "another entry") // its own watch is late
		time.Sleep(reregisterGrace)
		entries[0].applyHeldBack()
		is.Equal(entries[0].snapshot().ZonesOut, []string{"z1"})
	})
}
