package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/wasabinotch/wasabinotch/wire"
)

// RemoveAfter is the time from a node's last heartbeat to its removal.
const RemoveAfter = 30 * time.Second

// Bounds of the heartbeat interval. A heartbeat costs about 40 bytes per
// exchange, and all heartbeats of the fleet pass each entry, so the interval
// grows with the fleet to keep an entry within its byte budget.
const (
	heartbeatMin     = time.Second
	heartbeatMax     = 8 * time.Second
	heartbeatPerNode = 25 * time.Millisecond
)

// Record is one node in the table.
type Record struct {
	Node    wire.Node
	HeardAt time.Time

	content uint64 // update counter at the last change of content
	beat    uint64 // update counter at the last change at all
	from    string // ID of the node from which it was learned
}

// Table holds the records of all other nodes.
type Table struct {
	records map[string]*Record
	removed map[string]tombstone
	counter uint64
}

// tombstone keeps a removed record from returning with an old heartbeat.
type tombstone struct {
	incarnation, seq uint64
	at               time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[string]*Record), removed: make(map[string]tombstone)}
}

// Counter returns the update counter.
func (t *Table) Counter() uint64 {
	return t.counter
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.records)
}

// Get returns the record of id, or nil.
func (t *Table) Get(id string) *Record {
	return t.records[id]
}

// All returns the records in the order of their IDs.
func (t *Table) All() []*Record {
	out := make([]*Record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Record) int { return strings.Compare(a.Node.ID, b.Node.ID) })
	return out
}

// Result is what became of an applied record.
type Result int

// The results of Apply.
const (
	Stale     Result = iota // older than what is known
	Heartbeat               // only the sequence is newer
	Changed                 // the content changed
	Missing                 // a heartbeat of an unknown incarnation; the whole record is needed
)

// Apply merges a record learned from the node named from.
func (t *Table) Apply(n wire.Node, from string, now time.Time) Result {
	old := t.records[n.ID]
	if old != nil && !later(n.Incarnation, n.Seq, old.Node.Incarnation, old.Node.Seq) {
		return Stale
	}
	if gone, found := t.removed[n.ID]; found && !later(n.Incarnation, n.Seq, gone.incarnation, gone.seq) {
		return Stale
	}
	if IsHeartbeat(n) {
		if old == nil || old.Node.Incarnation != n.Incarnation {
			return Missing
		}
		next := old.Node
		next.Seq = n.Seq
		n = next
	}
	t.counter++
	r := &Record{Node: n, HeardAt: now, content: t.counter, beat: t.counter, from: from}
	result := Changed
	if old != nil && sameContent(old.Node, n) {
		r.content = old.content
		result = Heartbeat
	}
	t.records[n.ID] = r
	delete(t.removed, n.ID)
	return result
}

// Heard records direct contact with an incarnation of a node.
func (t *Table) Heard(id string, incarnation uint64, now time.Time) {
	r := t.records[id]
	if r == nil || r.Node.Incarnation != incarnation || !now.After(r.HeardAt) {
		return
	}
	next := *r
	next.HeardAt = now
	t.records[id] = &next
}

// Since returns the records that changed after cursor, without those learned
// from the receiver. Records of which only the sequence changed are shortened
// to a heartbeat.
func (t *Table) Since(cursor uint64, receiver string) []wire.Node {
	var out []wire.Node
	for _, r := range t.All() {
		if r.beat <= cursor || r.from == receiver || r.Node.ID == receiver {
			continue
		}
		if r.content <= cursor {
			out = append(out, ToHeartbeat(r.Node))
			continue
		}
		out = append(out, r.Node)
	}
	return out
}

// Expire removes the records not heard of for RemoveAfter and returns them.
func (t *Table) Expire(now time.Time) []wire.Node {
	var out []wire.Node
	for id, r := range t.records {
		if now.Sub(r.HeardAt) <= RemoveAfter {
			continue
		}
		t.Remove(id, now)
		out = append(out, r.Node)
	}
	for id, gone := range t.removed {
		if now.Sub(gone.at) > 2*RemoveAfter {
			delete(t.removed, id)
		}
	}
	return out
}

// Remove deletes the record of id.
func (t *Table) Remove(id string, now time.Time) {
	r := t.records[id]
	if r == nil {
		return
	}
	t.counter++
	delete(t.records, id)
	t.removed[id] = tombstone{incarnation: r.Node.Incarnation, seq: r.Node.Seq, at: now}
}

// HeartbeatInterval returns the interval between heartbeats of one node in
// this fleet.
func (t *Table) HeartbeatInterval() time.Duration {
	interval := time.Duration(len(t.records)) * heartbeatPerNode
	return min(max(interval, heartbeatMin), heartbeatMax)
}

// ToHeartbeat returns the short form of a record.
func ToHeartbeat(n wire.Node) wire.Node {
	return wire.Node{ID: n.ID, Incarnation: n.Incarnation, Seq: n.Seq}
}

// IsHeartbeat reports whether a record is in its short form.
func IsHeartbeat(n wire.Node) bool {
	return n.Role == ""
}

func later(incarnation, seq, oldIncarnation, oldSeq uint64) bool {
	if incarnation != oldIncarnation {
		return incarnation > oldIncarnation
	}
	return seq > oldSeq
}

func sameContent(a, b wire.Node) bool {
	heirs := slices.Equal(a.Heirs, b.Heirs)
	return heirs && a.Incarnation == b.Incarnation && a.State == b.State && a.Role == b.Role &&
		a.VM == b.VM && a.Zone == b.Zone && a.HTTPAddr == b.HTTPAddr && a.RPCAddr == b.RPCAddr &&
		a.Service == b.Service && a.Group == b.Group && a.Rank == b.Rank &&
		a.BundleVersion == b.BundleVersion && a.BundleDigest == b.BundleDigest && a.IntentsRev == b.IntentsRev
}
