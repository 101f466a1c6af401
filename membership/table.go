package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabinotch/wasabinotch/wire"
)

// RemoveAfter is the time without a heartbeat after which a node is removed.
const RemoveAfter = 30 * time.Second

// RemoveIndirectAfter is the removal time for agents that report only to other
// entries. Such a record is used only for orders bound to the agent; the agent
// is never selected for new requests.
const RemoveIndirectAfter = 180 * time.Second

// AgentHeartbeatInterval is the interval at which an agent increments its
// sequence number, so that entries to which it does not report keep its record.
const AgentHeartbeatInterval = 60 * time.Second

// Parameters of an entry's heartbeat interval. A heartbeat takes about 27 bytes
// in each exchange and every entry relays all heartbeats, so the interval grows
// with the number of entries to keep each entry within its byte budget.
const (
	minHeartbeatInterval      = time.Second
	maxHeartbeatInterval      = 8 * time.Second
	heartbeatIntervalPerEntry = 150 * time.Millisecond
)

// HeartbeatRelayTime is how long an entry relays a heartbeat after learning it.
// With two exchanges per second, a heartbeat reaches all entries within this
// time with high probability; relaying it longer would only repeat it.
const HeartbeatRelayTime = 2 * time.Second

// Record holds what is known about one node.
type Record struct {
	Node wire.Node
	// LastSeen is when the node's last heartbeat or direct contact was received.
	LastSeen time.Time

	contentCounter uint64 // table's update counter when the content last changed
	updateCounter  uint64 // table's update counter when the record last changed, heartbeats included
	source         string // ID of the node from which the record was learned
	learnedAt      time.Time
}

// Table holds the records of all nodes but the local one.
type Table struct {
	records map[string]*Record
	removed map[string]tombstone
	counter uint64 // incremented with each change; peers' cursors refer to it
}

// tombstone marks a removed record, so that a delayed heartbeat does not restore it.
type tombstone struct {
	incarnation, seq uint64
	removedAt        time.Time
}

// permits reports whether a record may be added again: it is newer than the
// removed one, or the node itself sent it under the same or a higher incarnation.
func (t tombstone) permits(n wire.Node, source string) bool {
	if source == n.ID {
		return n.Incarnation >= t.incarnation
	}
	return supersedes(n.Incarnation, n.Seq, t.incarnation, t.seq)
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[string]*Record), removed: make(map[string]tombstone)}
}

// Counter returns the update counter, which rises with each change.
func (t *Table) Counter() uint64 {
	return t.counter
}

func (t *Table) Len() int {
	return len(t.records)
}

// Get returns the record of the node id, or nil if there is none.
func (t *Table) Get(id string) *Record {
	return t.records[id]
}

// All returns the records sorted by node ID.
func (t *Table) All() []*Record {
	out := make([]*Record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Record) int { return strings.Compare(a.Node.ID, b.Node.ID) })
	return out
}

// ApplyResult is the result of merging a record into the table.
type ApplyResult int

// The results of Apply.
const (
	Stale         ApplyResult = iota // not newer than the known or removed record; ignored
	HeartbeatOnly                    // only the sequence number is newer
	Changed                          // the content changed
	RecordNeeded                     // heartbeat for unknown content; the full record is needed
)

// Apply merges a record or heartbeat learned from the node with the ID source.
func (t *Table) Apply(n wire.Node, source string, now time.Time) ApplyResult {
	old := t.records[n.ID]
	if old != nil && !supersedes(n.Incarnation, n.Seq, old.Node.Incarnation, old.Node.Seq) {
		return Stale
	}
	if tomb, found := t.removed[n.ID]; found && !tomb.permits(n, source) {
		return Stale
	}
	if IsHeartbeat(n) {
		if old == nil || !sameContent(old.Node, n) {
			return RecordNeeded
		}
		n = withHeartbeat(old.Node, n)
	}
	t.counter++
	r := &Record{Node: n, LastSeen: now, contentCounter: t.counter, updateCounter: t.counter, source: source, learnedAt: now}
	result := Changed
	if old != nil && sameContent(old.Node, n) {
		r.contentCounter = old.contentCounter
		result = HeartbeatOnly
	}
	t.records[n.ID] = r
	delete(t.removed, n.ID)
	return result
}

// withHeartbeat returns the record old updated with the sequence number and
// configuration versions of a heartbeat.
func withHeartbeat(old, heartbeat wire.Node) wire.Node {
	old.Seq = heartbeat.Seq
	old.IntentsRev = heartbeat.IntentsRev
	if old.BundleVersion != heartbeat.BundleVersion {
		old.BundleVersion, old.BundleDigest = heartbeat.BundleVersion, ""
	}
	return old
}

// SetVersions records the configuration versions that a node itself reported to
// have in force. It does not raise the update counter: the versions are not
// relayed, since every node gets them from the node itself.
func (t *Table) SetVersions(id string, bundleVersion uint64, digest string, intentsRev uint64) {
	r := t.records[id]
	if r == nil {
		return
	}
	next := *r
	next.Node.BundleVersion, next.Node.BundleDigest, next.Node.IntentsRev = bundleVersion, digest, intentsRev
	t.records[id] = &next
}

// MarkSeen updates the last-seen time of a node after direct contact with the
// given incarnation. It has no effect if the table has another incarnation.
func (t *Table) MarkSeen(id string, incarnation uint64, now time.Time) {
	r := t.records[id]
	if r == nil || r.Node.Incarnation != incarnation || !now.After(r.LastSeen) {
		return
	}
	next := *r
	next.LastSeen = now
	t.records[id] = &next
}

// Hash returns a hash over the content of the table and of self, the record of
// the local node. It does not cover heartbeat sequence numbers.
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

// BumpCounter increments the update counter for a change outside the table and
// returns it.
func (t *Table) BumpCounter() uint64 {
	t.counter++
	return t.counter
}

// UpdatesSince returns the records that changed after cursor, except the
// receiver's record and those learned from it. If only the sequence number
// changed, the record is reduced to a heartbeat, and left out if that was
// learned before learnedSince.
func (t *Table) UpdatesSince(cursor uint64, receiver string, learnedSince time.Time) []wire.Node {
	var out []wire.Node
	for _, r := range t.All() {
		if r.updateCounter <= cursor || r.source == receiver || r.Node.ID == receiver {
			continue
		}
		if r.contentCounter <= cursor {
			if !r.learnedAt.Before(learnedSince) {
				out = append(out, ToHeartbeat(r.Node))
			}
			continue
		}
		out = append(out, r.Node)
	}
	return out
}

// RecentHeartbeats returns the records learned at learnedSince or later as
// heartbeats, for a receiver that already has their content. It leaves out the
// receiver's record and those learned from it.
func (t *Table) RecentHeartbeats(receiver string, learnedSince time.Time) []wire.Node {
	var out []wire.Node
	for _, r := range t.All() {
		if !r.learnedAt.Before(learnedSince) && r.source != receiver && r.Node.ID != receiver {
			out = append(out, ToHeartbeat(r.Node))
		}
	}
	return out
}

// Expire removes and returns the nodes last seen more than RemoveAfter ago, or
// agentLimit ago for agents. It also drops tombstones older than twice
// RemoveIndirectAfter.
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
	for id, tomb := range t.removed {
		if now.Sub(tomb.removedAt) > 2*RemoveIndirectAfter {
			delete(t.removed, id)
		}
	}
	return out
}

// Remove deletes the record of the node id and leaves a tombstone.
func (t *Table) Remove(id string, now time.Time) {
	r := t.records[id]
	if r == nil {
		return
	}
	t.counter++
	delete(t.records, id)
	t.removed[id] = tombstone{incarnation: r.Node.Incarnation, seq: r.Node.Seq, removedAt: now}
}

// HeartbeatInterval returns the interval between an entry's heartbeats in a
// fleet with the given number of entries.
func HeartbeatInterval(entries int) time.Duration {
	interval := time.Duration(entries) * heartbeatIntervalPerEntry
	return min(max(interval, minHeartbeatInterval), maxHeartbeatInterval)
}

// ToHeartbeat reduces a record to a heartbeat: identity, sequence numbers and
// configuration versions.
func ToHeartbeat(n wire.Node) wire.Node {
	return wire.Node{ID: n.ID, Incarnation: n.Incarnation, Seq: n.Seq, ContentSeq: n.ContentSeq,
		BundleVersion: n.BundleVersion, IntentsRev: n.IntentsRev}
}

// IsHeartbeat reports whether a record is a heartbeat, which has no role.
func IsHeartbeat(n wire.Node) bool {
	return n.Role == ""
}

// supersedes reports whether an incarnation and sequence number are newer than
// the old ones.
func supersedes(incarnation, seq, oldIncarnation, oldSeq uint64) bool {
	if incarnation != oldIncarnation {
		return incarnation > oldIncarnation
	}
	return seq > oldSeq
}

// sameContent reports whether two records of a node have the same content,
// apart from the heartbeat sequence number.
func sameContent(a, b wire.Node) bool {
	return a.Incarnation == b.Incarnation && a.ContentSeq == b.ContentSeq
}
