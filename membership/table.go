package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabinotch/wasabinotch/wire"
)

// RemoveAfter is the time from a node's last heartbeat to its removal.
const RemoveAfter = 30 * time.Second

// RemoveIndirectAfter is the same for an agent that reports to other entries
// only. Such records serve orders bound to the agent and are never chosen.
const RemoveIndirectAfter = 180 * time.Second

// AgentHeartbeatInterval is the interval at which an agent raises its sequence, for the
// entries to which it does not report.
const AgentHeartbeatInterval = 60 * time.Second

// Bounds of an entry's heartbeat interval. A heartbeat costs about 27 bytes in
// each exchange, and all heartbeats pass each entry, so the interval grows with
// the number of entries to keep them within their byte budget.
const (
	heartbeatMin      = time.Second
	heartbeatMax      = 8 * time.Second
	heartbeatPerEntry = 150 * time.Millisecond
)

// HeartbeatRelayTime is the time for which a heartbeat is passed on. With two
// exchanges per second all entries hear of it within this time, with a high
// probability, and later exchanges would only repeat it.
const HeartbeatRelayTime = 2 * time.Second

// Record is one node in the table.
type Record struct {
	Node     wire.Node
	LastSeen time.Time

	content uint64 // update counter at the last change of content
	beat    uint64 // update counter at the last change at all
	from    string // ID of the node from which it was learned
	learned time.Time
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

// allows reports whether a record may return: it is later than the removed one,
// or the node itself sent it.
func (g tombstone) allows(n wire.Node, from string) bool {
	if from == n.ID {
		return n.Incarnation >= g.incarnation
	}
	return later(n.Incarnation, n.Seq, g.incarnation, g.seq)
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

// ApplyResult is what became of an applied record.
type ApplyResult int

// The results of Apply.
const (
	Stale        ApplyResult = iota // older than what is known
	Heartbeat                       // only the sequence is newer
	Changed                         // the content changed
	RecordNeeded                    // a heartbeat of unknown content; the whole record is needed
)

// Apply merges a record learned from the node named from.
func (t *Table) Apply(n wire.Node, from string, now time.Time) ApplyResult {
	old := t.records[n.ID]
	if old != nil && !later(n.Incarnation, n.Seq, old.Node.Incarnation, old.Node.Seq) {
		return Stale
	}
	if gone, found := t.removed[n.ID]; found && !gone.allows(n, from) {
		return Stale
	}
	if IsHeartbeat(n) {
		if old == nil || !sameContent(old.Node, n) {
			return RecordNeeded
		}
		n = withHeartbeat(old.Node, n)
	}
	t.counter++
	r := &Record{Node: n, LastSeen: now, content: t.counter, beat: t.counter, from: from, learned: now}
	result := Changed
	if old != nil && sameContent(old.Node, n) {
		r.content = old.content
		result = Heartbeat
	}
	t.records[n.ID] = r
	delete(t.removed, n.ID)
	return result
}

// withHeartbeat returns the record with the sequence and versions of a heartbeat.
func withHeartbeat(old, beat wire.Node) wire.Node {
	old.Seq = beat.Seq
	old.IntentsRev = beat.IntentsRev
	if old.BundleVersion != beat.BundleVersion {
		old.BundleVersion, old.BundleDigest = beat.BundleVersion, ""
	}
	return old
}

// SetVersions records the versions that a node has in force, as heard from it.
// Each node hears this itself, so it is not passed on.
func (t *Table) SetVersions(id string, bundleVersion uint64, digest string, intentsRev uint64) {
	r := t.records[id]
	if r == nil {
		return
	}
	next := *r
	next.Node.BundleVersion, next.Node.BundleDigest, next.Node.IntentsRev = bundleVersion, digest, intentsRev
	t.records[id] = &next
}

// MarkSeen records direct contact with an incarnation of a node.
func (t *Table) MarkSeen(id string, incarnation uint64, now time.Time) {
	r := t.records[id]
	if r == nil || r.Node.Incarnation != incarnation || !now.After(r.LastSeen) {
		return
	}
	next := *r
	next.LastSeen = now
	t.records[id] = &next
}

// Hash identifies the content of the table together with the record of its
// owner. Sequences of heartbeats do not count.
func (t *Table) Hash(self wire.Node) uint64 {
	sum := contentHash(self)
	for _, r := range t.records {
		sum ^= contentHash(r.Node)
	}
	return sum
}

func contentHash(n wire.Node) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(n.Incarnation)
	_, _ = d.WriteString(n.ID)
	var seq [8]byte
	binary.LittleEndian.PutUint64(seq[:], n.ContentSeq)
	_, _ = d.Write(seq[:])
	return d.Sum64()
}

// BumpCounter raises the update counter for a change outside the table.
func (t *Table) BumpCounter() uint64 {
	t.counter++
	return t.counter
}

// UpdatesSince returns the records that changed after cursor, without those learned
// from the receiver. Records of which only the sequence changed are shortened
// to a heartbeat, and left out if it was learned before hot.
func (t *Table) UpdatesSince(cursor uint64, receiver string, hot time.Time) []wire.Node {
	var out []wire.Node
	for _, r := range t.All() {
		if r.beat <= cursor || r.from == receiver || r.Node.ID == receiver {
			continue
		}
		if r.content <= cursor {
			if !r.learned.Before(hot) {
				out = append(out, ToHeartbeat(r.Node))
			}
			continue
		}
		out = append(out, r.Node)
	}
	return out
}

// RecentHeartbeats returns what was learned after hot as heartbeats, for a receiver
// that has the content.
func (t *Table) RecentHeartbeats(receiver string, hot time.Time) []wire.Node {
	var out []wire.Node
	for _, r := range t.All() {
		if !r.learned.Before(hot) && r.from != receiver && r.Node.ID != receiver {
			out = append(out, ToHeartbeat(r.Node))
		}
	}
	return out
}

// Expire removes the records not heard of for RemoveAfter, or agents for
// agentLimit, and returns them.
func (t *Table) Expire(now time.Time, agentLimit time.Duration) []wire.Node {
	var out []wire.Node
	for id, r := range t.records {
		limit := RemoveAfter
		if r.Node.Role == wire.RoleAgent {
			limit = agentLimit
		}
		if now.Sub(r.LastSeen) <= limit {
			continue
		}
		t.Remove(id, now)
		out = append(out, r.Node)
	}
	for id, gone := range t.removed {
		if now.Sub(gone.at) > 2*RemoveIndirectAfter {
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

// HeartbeatInterval returns the interval between heartbeats of one of so many
// entries.
func HeartbeatInterval(entries int) time.Duration {
	interval := time.Duration(entries) * heartbeatPerEntry
	return min(max(interval, heartbeatMin), heartbeatMax)
}

// ToHeartbeat returns the short form of a record.
func ToHeartbeat(n wire.Node) wire.Node {
	return wire.Node{ID: n.ID, Incarnation: n.Incarnation, Seq: n.Seq, ContentSeq: n.ContentSeq,
		BundleVersion: n.BundleVersion, IntentsRev: n.IntentsRev}
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
	return a.Incarnation == b.Incarnation && a.ContentSeq == b.ContentSeq
}
