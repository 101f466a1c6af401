package control

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/store"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Two operators who roll out different successors: one wins, the other gets a
// typed conflict, and no node ever holds the loser's bundle.
func TestOperatorRace(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.entries(3)
	c.roll(entries[0])
	c.waitFor(3*time.Second, "version 1", entries, version(1))
	digest := entries[0].Snapshot().BundleDigest
	rivals := []*bundle.Signed{c.bundle(2, digest), c.bundle(2, digest)}
	rivals[1].Bundle.Services[0].WarmLimit = 9
	sig, err := rivals[1].Bundle.Sign("batinah", c.member)
	is.NoErr(err)
	rivals[1].Signatures = []bundle.Signature{sig}
	var errs [2]error
	var wg sync.WaitGroup
	for i := range rivals {
		wg.Go(func() { _, errs[i] = entries[i].RollOutBundle(t.Context(), rivals[i]) })
	}
	wg.Wait()
	is.True((errs[0] == nil) != (errs[1] == nil)) // exactly one wins
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	is.Equal(kindOf(errs[1-winner]), api.KindConflict)
	want, err := rivals[winner].Bundle.Digest()
	is.NoErr(err)
	c.waitFor(3*time.Second, "winner", entries, func(s *Snapshot) bool { return s.BundleDigest == want })
}

// Two operators who take out the last two zones at once, with a slow store,
// must not both succeed.
func TestLastZoneRace(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.entries(2)
	c.roll(entries[0])
	c.waitFor(3*time.Second, "version 1", entries, version(1))
	_, err := entries[0].ApplyIntent(t.Context(), c.intent("a", true, 1))
	is.NoErr(err)
	c.store.set(func(m *memStore) { m.delay = 200 * time.Millisecond })
	var errs [2]error
	var wg sync.WaitGroup
	for i, zone := range []string{"b", "c"} {
		wg.Go(func() { _, errs[i] = entries[i].ApplyIntent(t.Context(), c.intent(zone, true, 2)) })
	}
	wg.Wait()
	is.True((errs[0] == nil) != (errs[1] == nil))
	for _, err := range errs {
		is.True(err == nil || kindOf(err) == api.KindLastZone)
	}
}

// Writes that take effect although their answers are lost are not reported as
// failed, and are not made twice.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.entries(3)
	c.store.set(func(m *memStore) { m.lose = 1 })
	c.roll(entries[0])
	c.waitFor(3*time.Second, "version 1", entries, version(1))
	c.store.set(func(m *memStore) { m.lose = 1 })
	result, err := entries[1].ApplyIntent(t.Context(), c.intent("b", true, 1))
	is.NoErr(err)
	is.True(result.InStore)
	c.store.set(func(m *memStore) { is.Equal(m.writes, 2) })
	_, err = entries[2].ApplyIntent(t.Context(), c.intent("b", true, 1))
	is.NoErr(err) // a repeated command succeeds
}

// Unsigned, malformed and late commands are refused with their kinds, and the
// last zone cannot be taken out.
func TestCommandKinds(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	e := c.entries(1)[0]
	apply := func(in bundle.Intent) api.Kind {
		_, err := e.ApplyIntent(t.Context(), in)
		return kindOf(err)
	}
	is.Equal(apply(c.intent("a", true, 1)), api.KindNoBundle)
	unsigned := c.bundle(1, "")
	unsigned.Signatures = nil
	_, err := e.RollOutBundle(t.Context(), unsigned)
	is.Equal(kindOf(err), api.KindUnsigned)
	_, err = e.RollOutBundle(t.Context(), c.bundle(2, c.bundle(1, "").Bundle.Operators[0].Public))
	is.Equal(kindOf(err), api.KindBadRequest)
	c.roll(e)
	forged := c.intent("a", false, 1)
	forged.Out = true
	is.Equal(apply(forged), api.KindUnsigned)
	is.Equal(apply(c.intent("nowhere", true, 1)), api.KindBadRequest)
	is.Equal(apply(c.intent("a", true, 1)), api.Kind("<nil>"))
	is.Equal(apply(c.intent("b", true, 1)), api.Kind("<nil>"))
	is.Equal(apply(c.intent("c", true, 1)), api.KindLastZone)
	is.Equal(apply(c.intent("a", false, 1)), api.KindConflict) // at equal revisions out wins
	is.Equal(apply(c.intent("a", false, 2)), api.Kind("<nil>"))
	is.Equal(apply(c.intent("a", true, 1)), api.KindConflict)
	c.store.set(func(m *memStore) { m.down = true })
	is.Equal(apply(c.intent("b", false, 2)), api.KindStoreUnavailable)
	_, err = e.RollOutBundle(t.Context(), c.bundle(2, e.Snapshot().BundleDigest))
	is.Equal(kindOf(err), api.KindStoreUnavailable)
}

// A zone is taken out while the store is down; every node applies it, views
// stay confirmed by the majority of zones, and the store gets the intent once
// it is back.
func TestZoneOutWhileStoreDown(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.entries(6)
	for _, z := range []string{"a", "b", "c"} {
		c.start(wire.RoleAgent, z, 0)
	}
	c.known(entries)
	c.roll(entries[0])
	c.waitFor(5*time.Second, "version 1", c.nodes, version(1))
	c.store.set(func(m *memStore) { m.down = true })
	time.Sleep(MaxConfirmationAge + time.Second) // the store's confirmations expire
	start := time.Now()
	result, err := entries[4].ApplyIntent(t.Context(), c.intent("b", true, 1))
	is.NoErr(err)
	is.Equal(result.InStore, false)
	is.Equal(result.ConfirmedZones, []string{"a", "b", "c"})
	c.waitFor(2*time.Second, "zone out", c.nodes, zoneOut("b"))
	t.Logf("zone out on %d loops after %v with the store down", len(c.nodes), time.Since(start))
	for _, n := range c.nodes {
		is.True(confirmed(n.Snapshot())) // confirmed by the majority of zones
		is.True(!n.Snapshot().StoreOK)
	}
	late := c.start(wire.RoleEntry, "c", 0)
	c.waitFor(3*time.Second, "new node during the outage", []*node{late}, version(1))
	c.waitFor(3*time.Second, "new node knows the intent", []*node{late}, zoneOut("b"))
	c.store.set(func(m *memStore) { m.down = false })
	waitStored(t, c, func(r bundle.Intents) bool { return r.Targets["zone/b"].Out })
	_, err = entries[0].ApplyIntent(t.Context(), c.intent("b", false, 2))
	is.NoErr(err)
	c.waitFor(2*time.Second, "zone in", c.nodes, func(s *Snapshot) bool { return !s.ZonesOut["b"] })
	for _, e := range entries[0].Snapshot().Endpoints["stock"] {
		is.Equal(e.Node.Zone == "b", !e.ReturnedAt.IsZero()) // only the returned zone ramps up
	}
}

func waitStored(t *testing.T, c *cluster, ok func(r bundle.Intents) bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		r, err := bundle.DecodeIntents(c.store.value(store.KeyIntents))
		if err == nil && ok(r) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the store did not get the intents")
		}
	}
}

// A node that hears neither the store nor a majority of zones stops being
// confirmed within MaxConfirmationAge, and an agent likewise.
func TestCutOffNode(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.entries(3)
	agent := c.start(wire.RoleAgent, "a", 0)
	c.known(entries)
	c.roll(entries[0])
	c.waitFor(5*time.Second, "confirmed", c.nodes, confirmed)
	entries[1].stop()
	entries[2].stop()
	c.store.set(func(m *memStore) { m.down = true })
	start := time.Now()
	for _, n := range []*node{entries[0], agent} {
		for confirmed(n.Snapshot()) && time.Since(start) < 10*time.Second {
			time.Sleep(time.Millisecond)
		}
		t.Logf("%s unconfirmed after %v", n.Snapshot().Self.ID, time.Since(start))
		is.True(time.Since(start) < MaxConfirmationAge+100*time.Millisecond)
	}
	c.store.set(func(m *memStore) { m.down = false })
	c.waitFor(6*time.Second, "confirmed again", []*node{entries[0], agent}, confirmed)
}

// A store that comes back with an older bundle, or with nothing, does not make
// any node revert, and gets the bundle in force back.
func TestStoreReturnsOlderState(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.entries(3)
	c.roll(entries[0])
	c.waitFor(3*time.Second, "version 1", entries, version(1))
	old := c.store.value(store.KeyBundle)
	c.roll(entries[0])
	_, err := entries[0].ApplyIntent(t.Context(), c.intent("a", true, 1))
	is.NoErr(err)
	c.waitFor(3*time.Second, "version 2", entries, version(2))
	newest := c.store.value(store.KeyBundle)
	for _, lost := range [][]byte{old, nil, []byte("{}")} {
		c.store.set(func(m *memStore) {
			clear(m.entries)
			m.index++
			if lost != nil {
				m.entries[store.KeyBundle] = store.Entry{Key: store.KeyBundle, Value: lost, Revision: m.index}
			}
		})
		// Different nodes may write back the two keys.
		waitStored(t, c, func(r bundle.Intents) bool {
			return r.Targets["zone/a"].Out && bytes.Equal(c.store.value(store.KeyBundle), newest)
		})
		for _, n := range entries {
			is.Equal(n.Snapshot().Self.BundleVersion, uint64(2))
		}
	}
}

// A node that restarts under the same ID with its clock set back is not hidden
// by the record of its former process.
func TestRestartWithEarlierClock(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.entries(3)
	self := wire.Node{ID: "desk-1", Role: wire.RoleAgent, Zone: "a", VM: "vm-desk-1", Service: "stock"}
	first := c.startAs(self)
	c.known(entries)
	c.roll(entries[0])
	find := func(incarnation uint64) func(s *Snapshot) bool {
		return func(s *Snapshot) bool {
			e := s.AgentByID["desk-1"]
			return e != nil && e.Node.Incarnation == incarnation && e.Node.State == wire.StateReady
		}
	}
	before := first.Snapshot().Self.Incarnation
	c.waitFor(5*time.Second, "first process", entries, find(before))
	first.stop()
	self.Incarnation = before - uint64(time.Hour)
	second := c.startAs(self)
	c.waitFor(5*time.Second, "new incarnation", []*node{second}, func(s *Snapshot) bool { return s.Self.Incarnation > before })
	c.waitFor(5*time.Second, "second process", entries, func(s *Snapshot) bool { return find(second.Snapshot().Self.Incarnation)(s) })
	is.True(second.Snapshot().Self.Incarnation != before)
}

// A leaving agent is no longer listed as an endpoint, but stays known for the
// orders bound to it.
func TestLeavingAgent(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.entries(3)
	agent := c.start(wire.RoleAgent, "b", 0)
	c.known(entries)
	c.roll(entries[0])
	c.waitFor(5*time.Second, "endpoint", entries, func(s *Snapshot) bool { return len(s.Endpoints["stock"]) == 1 })
	agent.SetSuccessors([]string{"desk-2"})
	agent.SetState(wire.StateLeaving)
	c.waitFor(time.Second, "leaving", entries, func(s *Snapshot) bool { return len(s.Endpoints["stock"]) == 0 })
	for _, n := range entries {
		e := n.Snapshot().AgentByID["agent-b-3"]
		is.True(e != nil)
		is.Equal(e.Node.Heirs, []string{"desk-2"})
	}
}
