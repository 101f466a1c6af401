package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wasabinotch/wasabinotch/wire"
)

var start = time.Unix(1_000_000, 0)

func record(id string, incarnation, seq uint64, state wire.State) wire.Node {
	return wire.Node{ID: id, Role: wire.RoleAgent, Zone: "a", Incarnation: incarnation, Seq: seq, State: state}
}

// A record of a former process must not replace that of its successor, and a
// late heartbeat must not bring back a removed node.
func TestApplyOrder(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	is.Equal(table.Apply(record("x", 2, 5, wire.StateReady), "p", start), Changed)
	is.Equal(table.Apply(record("x", 1, 9, wire.StateLeaving), "p", start), Stale)
	// A heartbeat must not confirm content that it does not belong to.
	is.Equal(table.Apply(wire.Node{ID: "x", Incarnation: 2, Seq: 7, ContentSeq: 6}, "p", start), RecordNeeded)
	is.Equal(table.Apply(record("x", 2, 6, wire.StateReady), "p", start), Heartbeat)
	is.Equal(table.Apply(ToHeartbeat(record("x", 2, 7, "")), "p", start), Heartbeat)
	is.Equal(table.Apply(ToHeartbeat(record("x", 3, 1, "")), "p", start), RecordNeeded)
	is.Equal(table.Get("x").Node.State, wire.StateReady)
	is.Equal(len(table.Expire(start.Add(RemoveAfter), RemoveAfter)), 0)
	is.Equal(len(table.Expire(start.Add(RemoveAfter+1), RemoveAfter)), 1)
	is.Equal(table.Apply(record("x", 2, 7, wire.StateReady), "q", start), Stale)
	is.Equal(table.Apply(record("x", 2, 8, wire.StateReady), "q", start), Changed)
	// A node that was cut off comes back with its own word.
	table.Remove("x", start)
	is.Equal(table.Apply(record("x", 2, 8, wire.StateReady), "x", start), Changed)
}

// A clock that was set back must not produce an incarnation at or below one
// that is known.
func TestNewIncarnation(t *testing.T) {
	is := is.New(t)
	first := NewIncarnation(start, 0)
	is.True(NewIncarnation(start.Add(-time.Hour), first) > first)
	is.True(NewIncarnation(start.Add(time.Second), first) > first)
}

// Two tables that exchange deltas by cursor in any order of changes and
// exchanges hold the same records after a last exchange in each direction.
func TestDeltasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := map[string]*Table{"p": NewTable(), "q": NewTable()}
		cursors := map[string]uint64{}
		exchange := func(from, to string) (missing bool) {
			for _, n := range tables[from].UpdatesSince(cursors[from], to, time.Time{}) {
				if tables[to].Apply(n, from, start) == RecordNeeded {
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
			// The content changes with each third sequence, back and forth.
			n := record(id, incarnation, seq, wire.StateReady)
			n.ContentSeq = seq - seq%3
			if n.ContentSeq%2 == 0 {
				n.State = wire.StateLeaving
			}
			tables[side].Apply(n, "origin", start)
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
				t.Fatalf("tables differ on %s", r.Node.ID)
			}
		}
		if tables["p"].Len() != tables["q"].Len() {
			t.Fatal("tables differ in length")
		}
	})
}
