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

// Guards against two different bundles being accepted as the successor of the same
// one when two operators roll them out at once: exactly one succeeds, the other is
// refused as a conflict, and all nodes get the accepted bundle.
func TestOperatorRace(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.startEntries(3)
	c.rollOut(entries[0])
	c.waitFor(3*time.Second, "version 1", entries, hasBundleVersion(1))
	digest := entries[0].Snapshot().BundleDigest
	rivals := []*bundle.Signed{c.bundle(2, digest), c.bundle(2, digest)}
	rivals[1].Bundle.Services[0].WarmLimit = 9
	sig, err := rivals[1].Bundle.Sign("batinah", c.memberKey)
	is.NoErr(err)
	rivals[1].Signatures = []bundle.Signature{sig}
	var errs [2]error
	var wg sync.WaitGroup
	for i := range rivals {
		wg.Go(func() { _, errs[i] = entries[i].RollOutBundle(t.Context(), rivals[i]) })
	}
	wg.Wait()
	is.True((errs[0] == nil) != (errs[1] == nil)) // exactly one succeeds
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	is.Equal(kindOf(errs[1-winner]), api.KindConflict)
	want, err := rivals[winner].Bundle.Digest()
	is.NoErr(err)
	c.waitFor(3*time.Second, "winner", entries, func(s *Snapshot) bool { return s.BundleDigest == want })
}

// Guards against all zones being out of service after two operators take the last
// two zones out of service at once. The slow store makes the commands overlap.
func TestLastZoneRace(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.startEntries(2)
	c.rollOut(entries[0])
	c.waitFor(3*time.Second, "version 1", entries, hasBundleVersion(1))
	_, err := entries[0].ApplyIntent(t.Context(), c.intent("a", true, 1))
	is.NoErr(err)
	c.store.update(func(m *memStore) { m.delay = 200 * time.Millisecond })
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

// Guards against a store write that takes effect but whose reply is lost being
// reported as failed, or being made a second time.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.startEntries(3)
	c.store.update(func(m *memStore) { m.lostReplies = 1 })
	c.rollOut(entries[0])
	c.waitFor(3*time.Second, "version 1", entries, hasBundleVersion(1))
	c.store.update(func(m *memStore) { m.lostReplies = 1 })
	result, err := entries[1].ApplyIntent(t.Context(), c.intent("b", true, 1))
	is.NoErr(err)
	is.True(result.InStore)
	c.store.update(func(m *memStore) { is.Equal(m.writes, 2) })
	_, err = entries[2].ApplyIntent(t.Context(), c.intent("b", true, 1))
	is.NoErr(err) // a retried command succeeds
}

// Unsigned, invalid and superseded commands are refused with the right kind, and
// the last zone cannot be taken out of service.
func TestCommandKinds(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	e := c.startEntries(1)[0]
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
	c.rollOut(e)
	forged := c.intent("a", false, 1)
	forged.Out = true
	is.Equal(apply(forged), api.KindUnsigned)
	is.Equal(apply(c.intent("nowhere", true, 1)), api.KindBadRequest)
	is.Equal(apply(c.intent("a", true, 1)), api.Kind("<nil>"))
	is.Equal(apply(c.intent("b", true, 1)), api.Kind("<nil>"))
	is.Equal(apply(c.intent("c", true, 1)), api.KindLastZone)
	is.Equal(apply(c.intent("a", false, 1)), api.KindConflict) // at equal revisions, out of service takes precedence
	is.Equal(apply(c.intent("a", false, 2)), api.Kind("<nil>"))
	is.Equal(apply(c.intent("a", true, 1)), api.KindConflict)
	c.store.update(func(m *memStore) { m.down = true })
	is.Equal(apply(c.intent("b", false, 2)), api.KindStoreUnavailable)
	_, err = e.RollOutBundle(t.Context(), c.bundle(2, e.Snapshot().BundleDigest))
	is.Equal(kindOf(err), api.KindStoreUnavailable)
}

// While the store is unavailable, a zone can still be taken out of service: every
// node applies the intent, including one that starts then, views stay confirmed by
// the majority of zones, and the intent is written to the store afterwards.
func TestZoneOutWhileStoreDown(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.startEntries(6)
	for _, z := range []string{"a", "b", "c"} {
		c.startNode(wire.RoleAgent, z, 0)
	}
	c.waitForEntries(entries)
	c.rollOut(entries[0])
	c.waitFor(5*time.Second, "version 1", c.nodes, hasBundleVersion(1))
	c.store.update(func(m *memStore) { m.down = true })
	time.Sleep(MaxConfirmationAge + time.Second) // until the store's confirmations have expired
	start := time.Now()
	result, err := entries[4].ApplyIntent(t.Context(), c.intent("b", true, 1))
	is.NoErr(err)
	is.Equal(result.InStore, false)
	is.Equal(result.ConfirmedZones, []string{"a", "b", "c"})
	c.waitFor(2*time.Second, "zone out", c.nodes, zoneOutOfService("b"))
	t.Logf("zone out on %d nodes after %v with the store down", len(c.nodes), time.Since(start))
	for _, n := range c.nodes {
		is.True(isViewConfirmed(n.Snapshot())) // confirmed by the majority of zones
		is.True(!n.Snapshot().StoreOK)
	}
	late := c.startNode(wire.RoleEntry, "c", 0)
	c.waitFor(3*time.Second, "new node during the outage", []*node{late}, hasBundleVersion(1))
	c.waitFor(3*time.Second, "new node knows the intent", []*node{late}, zoneOutOfService("b"))
	c.store.update(func(m *memStore) { m.down = false })
	waitForStoredIntents(t, c, func(r bundle.Intents) bool { return r.Targets["zone/b"].Out })
	_, err = entries[0].ApplyIntent(t.Context(), c.intent("b", false, 2))
	is.NoErr(err)
	c.waitFor(2*time.Second, "zone in", c.nodes, func(s *Snapshot) bool { return !s.ZonesOut["b"] })
	for _, e := range entries[0].Snapshot().Endpoints["stock"] {
		is.Equal(e.Node.Zone == "b", !e.ReturnedAt.IsZero()) // only endpoints of the returned zone ramp up
	}
}

// waitForStoredIntents waits until the intents record in the store satisfies ok.
func waitForStoredIntents(t *testing.T, c *cluster, ok func(r bundle.Intents) bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		r, err := bundle.DecodeIntents(c.store.value(store.KeyIntents))
		if err == nil && ok(r) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the expected intents were not written to the store")
		}
	}
}

// Guards against an entry or agent that reaches neither the store nor entries of
// more than half of the zones, but keeps its view confirmed for longer than
// MaxConfirmationAge.
func TestCutOffNode(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.startEntries(3)
	agent := c.startNode(wire.RoleAgent, "a", 0)
	c.waitForEntries(entries)
	c.rollOut(entries[0])
	c.waitFor(5*time.Second, "confirmed", c.nodes, isViewConfirmed)
	entries[1].stop()
	entries[2].stop()
	c.store.update(func(m *memStore) { m.down = true })
	start := time.Now()
	for _, n := range []*node{entries[0], agent} {
		for isViewConfirmed(n.Snapshot()) && time.Since(start) < 10*time.Second {
			time.Sleep(time.Millisecond)
		}
		t.Logf("%s unconfirmed after %v", n.Snapshot().Self.ID, time.Since(start))
		is.True(time.Since(start) < MaxConfirmationAge+100*time.Millisecond)
	}
	c.store.update(func(m *memStore) { m.down = false })
	c.waitFor(6*time.Second, "confirmed again", []*node{entries[0], agent}, isViewConfirmed)
}

// Guards against nodes that revert to an older bundle after the store lost data:
// whether it has an older bundle, none or a malformed one, nodes keep the bundle in
// force and write it and the intents back.
func TestStoreReturnsOlderState(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.startEntries(3)
	c.rollOut(entries[0])
	c.waitFor(3*time.Second, "version 1", entries, hasBundleVersion(1))
	old := c.store.value(store.KeyBundle)
	c.rollOut(entries[0])
	_, err := entries[0].ApplyIntent(t.Context(), c.intent("a", true, 1))
	is.NoErr(err)
	c.waitFor(3*time.Second, "version 2", entries, hasBundleVersion(2))
	newest := c.store.value(store.KeyBundle)
	for _, remaining := range [][]byte{old, nil, []byte("{}")} {
		c.store.update(func(m *memStore) {
			clear(m.values)
			m.index++
			if remaining != nil {
				m.values[store.KeyBundle] = store.KeyValue{Key: store.KeyBundle, Value: remaining, Revision: m.index}
			}
		})
		// The two keys may be written back by different nodes, at different times.
		waitForStoredIntents(t, c, func(r bundle.Intents) bool {
			return r.Targets["zone/a"].Out && bytes.Equal(c.store.value(store.KeyBundle), newest)
		})
		for _, n := range entries {
			is.Equal(n.Snapshot().Self.BundleVersion, uint64(2))
		}
	}
}

// Guards against the record of an earlier process masking that of a node that
// restarts with the same ID after its clock was set back.
func TestRestartWithEarlierClock(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.startEntries(3)
	self := wire.Node{ID: "desk-1", Role: wire.RoleAgent, Zone: "a", VM: "vm-desk-1", Service: "stock"}
	first := c.startNodeAs(self)
	c.waitForEntries(entries)
	c.rollOut(entries[0])
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
	second := c.startNodeAs(self)
	c.waitFor(5*time.Second, "new incarnation", []*node{second}, func(s *Snapshot) bool { return s.Self.Incarnation > before })
	c.waitFor(5*time.Second, "second process", entries, func(s *Snapshot) bool { return find(second.Snapshot().Self.Incarnation)(s) })
	is.True(second.Snapshot().Self.Incarnation != before)
}

// A leaving agent is no longer listed as an endpoint, but its record, with the
// successors for its order outcomes, stays for the orders bound to it.
func TestLeavingAgent(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.startEntries(3)
	agent := c.startNode(wire.RoleAgent, "b", 0)
	c.waitForEntries(entries)
	c.rollOut(entries[0])
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
