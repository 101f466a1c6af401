package gate

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// closedFor is how long a refused request stays closed. A refusal answers
	// the very connection that carried the request, so only a replay by a
	// client or a middlebox can bring it again; both end with their
	// connection, far sooner than this.
	closedFor = 10 * time.Minute
	// maxClosed bounds the records, at about 60 bytes each. Beyond it refusals are
	// reported as unknown, since the request cannot be closed.
	maxClosed = 200_000
)

// closedSet remembers refused requests. A record covers the refused attempt
// and all lower ones of the same entry, organisation and request ID; a higher
// attempt is a new dispatch by an entry that knows of the refusal.
// It is not safe for concurrent use.
type closedSet struct {
	clock   clockwork.Clock
	records map[uint64]closedRecord
	order   []closedItem // by time
}

type closedRecord struct {
	attempt int
	at      time.Time
}

type closedItem struct {
	key uint64
	at  time.Time
}

func newClosedSet(clock clockwork.Clock) *closedSet {
	return &closedSet{clock: clock, records: make(map[uint64]closedRecord)}
}

func closedKey(req *wire.ExecuteRequest) uint64 {
	return xxhash.Sum64String(req.EntryID + "\x00" + req.Organisation + "\x00" + req.RequestID)
}

// add closes the request; it returns false if there is no room.
func (c *closedSet) add(req *wire.ExecuteRequest) bool {
	c.expire()
	key := closedKey(req)
	old, found := c.records[key]
	if !found && len(c.order) >= maxClosed {
		return false
	}
	now := c.clock.Now()
	c.records[key] = closedRecord{attempt: max(old.attempt, req.Attempt), at: now}
	if !found {
		c.order = append(c.order, closedItem{key: key, at: now})
	}
	return true
}

// contains reports whether the request was refused before.
func (c *closedSet) contains(req *wire.ExecuteRequest) bool {
	r, found := c.records[closedKey(req)]
	return found && req.Attempt <= r.attempt
}

// expire drops records older than closedFor; a record renewed since its item
// was queued is queued again.
func (c *closedSet) expire() {
	for len(c.order) > 0 && c.clock.Since(c.order[0].at) > closedFor {
		item := c.order[0]
		c.order = c.order[1:]
		r := c.records[item.key]
		if c.clock.Since(r.at) > closedFor {
			delete(c.records, item.key)
			continue
		}
		c.order = append(c.order, closedItem{key: item.key, at: c.clock.Now()})
	}
}
