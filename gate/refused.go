package gate

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// refusalRetention is how long a refused request stays refused. A refusal is
	// sent on the connection that carried the request, so only a replay by a
	// client or a middlebox can deliver the request again. Replays end with
	// their connection, far sooner than this.
	refusalRetention = 10 * time.Minute
	// maxRefusedRecords bounds the records, of about 60 bytes each. Beyond it,
	// refusals report an unknown outcome, since a duplicate could run.
	maxRefusedRecords = 200_000
)

// refusedSet records refused requests, so that late duplicates of them are not
// run. A record covers the refused attempt and all lower ones of the same entry,
// organisation and request ID; with a higher attempt, an entry that knows of the
// refusal sends the request again. It is not safe for concurrent use.
type refusedSet struct {
	clock   clockwork.Clock
	records map[uint64]refusedRecord
	byTime  []expiryItem // oldest first
}

type refusedRecord struct {
	attempt   int
	refusedAt time.Time
}

type expiryItem struct {
	key      uint64
	queuedAt time.Time
}

func newRefusedSet(clock clockwork.Clock) *refusedSet {
	return &refusedSet{clock: clock, records: make(map[uint64]refusedRecord)}
}

func requestKey(req *wire.ExecuteRequest) uint64 {
	return xxhash.Sum64String(req.EntryID + "\x00" + req.Organisation + "\x00" + req.RequestID)
}

// add records the refusal of the request; it returns false if the set is full.
func (c *refusedSet) add(req *wire.ExecuteRequest) bool {
	c.expire()
	key := requestKey(req)
	old, found := c.records[key]
	if !found && len(c.byTime) >= maxRefusedRecords {
		return false
	}
	now := c.clock.Now()
	c.records[key] = refusedRecord{attempt: max(old.attempt, req.Attempt), refusedAt: now}
	if !found {
		c.byTime = append(c.byTime, expiryItem{key: key, queuedAt: now})
	}
	return true
}

// contains reports whether this or a higher attempt of the request was refused.
func (c *refusedSet) contains(req *wire.ExecuteRequest) bool {
	r, found := c.records[requestKey(req)]
	return found && req.Attempt <= r.attempt
}

// expire removes records older than refusalRetention. A record that was renewed
// since its item was queued is queued again.
func (c *refusedSet) expire() {
	for len(c.byTime) > 0 && c.clock.Since(c.byTime[0].queuedAt) > refusalRetention {
		item := c.byTime[0]
		c.byTime = c.byTime[1:]
		r := c.records[item.key]
		if c.clock.Since(r.refusedAt) > refusalRetention {
			delete(c.records, item.key)
			continue
		}
		c.byTime = append(c.byTime, expiryItem{key: item.key, queuedAt: c.clock.Now()})
	}
}
