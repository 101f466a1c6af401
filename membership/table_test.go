package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wasabinotch/wasabinotch/wire"
)

var startTime = time.Unix(1_000_000, 0)

func agentRecord(id string, incarnation, seq uint64, state wire.State) wire.Node {
	return wire.Node{ID: id, Role: wire.RoleAgent, Zone: "a", Incarnation: incarnation, Seq: seq, State: state}
}

// Guards against a record of an earlier incarnation replacing a newer one, and
// against a delayed heartbeat restoring a removed node.
func TestApplyOrder(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	is.Equal(table.Apply(agentRecord("x", 2, 5, wire.StateReady), "p", startTime), Changed)
	is.Equal(table.Apply(agentRecord("x", 1, 9, wire.StateLeaving), "p", startTime), Stale)
	// A heartbeat must not refresh a record whose content differs.
	is.Equal(table.Apply(wire.Node{ID: "x", Incarnation: 2, Seq: 7, ContentSeq: 6}, "p", startTime), RecordNeeded)
	is.Equal(table.Apply(agentRecord("x", 2, 6, wire.StateReady), "p", startTime), HeartbeatOnly)
	is.Equal(table.Apply(ToHeartbeat(agentRecord("x", 2, 7, "")), "p", startTime), HeartbeatOnly)
	is.Equal(table.Apply(ToHeartbeat(agentRecord("x", 3, 1, "")), "p", startTime), RecordNeeded)
	is.Equal(table.Get("x").Node.State, wire.StateReady)
	is.Equal(len(table.Expire(startTime.Add(RemoveAfter), RemoveAfter)), 0)
	is.Equal(len(table.Expire(startTime.Add(RemoveAfter+1), RemoveAfter)), 1)
	is.Equal(table.Apply(agentRecord("x", 2, 7, wire.StateReady), "q", startTime), Stale)
	is.Equal(table.Apply(agentRecord("x", 2, 8, wire.StateReady), "q", startTime), Changed)
	// A node that was removed while unreachable is added again by its own record.
	table.Remove("x", startTime)
	is.Equal(table.Apply(agentRecord("x", 2, 8, wire.StateReady), "x", startTime), Changed)
}

// Guards against an incarnation that is not higher than a known one after the
// clock was set back.
func TestNewIncarnation(t *testing.T) {
	is := is.New(t)
	first := NewIncarnation(startTime, 0)
	is.True(NewIncarnation(startTime.Add(-time.Hour), first) > first)
	is.True(NewIncarnation(startTime.Add(time.Second), first) > first)
}

// Two tables that exchange updates by cursor hold the same records after a final
// exchange in each direction, whatever the order of changes and exchanges was.
func TestDeltasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := map[string]*Table{"p": NewTable(), "q": NewTable()}
		cursors := map[string]uint64{}
		exchange := func(from, to string) (missing bool) {
			for _, n := range tables[from].UpdatesSince(cursors[from], to, time.Time{}) {
				if tables[to].Apply(n, from, startTime) == RecordNeeded {
					missing = true
				}
			}
			cursors[from] = tables[from].Counter()
			if missing {
				cursors[from] = 0
			}
			return missing
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			side := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "side")
			if rapid.Bool().Draw(t, "exchange") {
				exchange(side, map[string]string{"p": "q", "q": "p"}[side])
				continue
			}
			id := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "id")
			incarnation := rapid.Uint64Range(1, 2).Draw(t, "incarnation")
			seq := rapid.Uint64Range(1, 20).Draw(t, "seq")
			// The content alternates with every third sequence number.
			n := agentRecord(id, incarnation, seq, wire.StateReady)
			n.ContentSeq = seq - seq%3
			if n.ContentSeq%2 == 0 {
				n.State = wire.StateLeaving
			}
			tables[side].Apply(n, "origin", startTime)
		}
		for range 2 {
			if exchange("p", "q") {
				exchange("p", "q")
			}
			if exchange("q", "p") {
				exchange("q", "p")
			}
		}
		for _, r := range tables["p"].All() {
			other := tables["q"].Get(r.Node.ID)
			if other == nil || other.Node.Seq != r.Node.Seq || other.Node.State != r.Node.State {
				t.Fatalf("tables differ in the record of %s", r.Node.ID)
			}
		}
		if tables["p"].Len() != tables["q"].Len() {
			t.Fatal("tables have different numbers of records")
		}
	})
}
