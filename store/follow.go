package store

import (
	"context"
	"errors"
	"time"

	"github.com/wasabinotch/wasabinotch/pause"
)

// ErrCompacted means that the history after a revision is gone; list the keys again.
var ErrCompacted = errors.New("store: compacted: the history is gone; list the keys again")

// ErrNoLease means that a lease has ended; grant a new one.
var ErrNoLease = errors.New("store: no such lease: it has ended; grant a new one and write its keys again")

// Event is one change of a key.
type Event struct {
	KeyValue
	Deleted bool
}

// ChangeFeed is a store whose changes can be followed one by one.
type ChangeFeed interface {
	// List returns the entries below prefix and a revision at or before that of
	// the oldest of them.
	List(ctx context.Context, prefix string) (entries []KeyValue, revision uint64, err error)
	// Changes returns the changes below prefix after a revision as soon as there
	// is one, or none when wait has passed, and the revision to go on from.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (events []Event, revision uint64, err error)
}

// Leaser grants leases, with which keys end.
type Leaser interface {
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew returns ErrNoLease if the lease has ended.
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
	// Put writes a key that ends with the lease.
	Put(ctx context.Context, key string, value []byte, lease uint64) error
}

// ChangeHandler takes what Follow reads. Its methods are called one at a time.
type ChangeHandler interface {
	// Reset replaces all that is known as of a revision.
	Reset(entries []KeyValue, revision uint64)
	Apply(e Event)
	// StoreLost is called when the store stops answering, Regained before the Reset
	// after that.
	StoreLost(err error)
	StoreRegained(outage time.Duration)
}

const (
	// watchWait is the longest time of one waiting call; longer ones save
	// calls, and keep-alive probes find silent connections meanwhile.
	watchWait = 25 * time.Second
	// listTimeout bounds a listing.
	listTimeout = 1500 * time.Millisecond
	// followRetryMax bounds the delay between calls to a store that fails; a
	// change must be seen within about a second of the store's return.
	followRetryMax = 500 * time.Millisecond
)

// Follow keeps f up to date with the keys below prefix until ctx ends. After a
// change it waits for settle, so that changes in a row come with one call.
func Follow(ctx context.Context, log ChangeFeed, prefix string, settle time.Duration, f ChangeHandler) {
	var lostAt time.Time
	backoff := Backoff{Max: followRetryMax}
	fail := func(err error) {
		if lostAt.IsZero() && ctx.Err() == nil {
			lostAt = time.Now()
			f.StoreLost(err)
		}
		pause.For(ctx, backoff.NextDelay())
	}
	for ctx.Err() == nil {
		lctx, cancel := context.WithTimeout(ctx, listTimeout)
		entries, revision, err := log.List(lctx, prefix)
		cancel()
		if err != nil {
			fail(err)
			continue
		}
		backoff.Reset()
		if !lostAt.IsZero() {
			f.StoreRegained(time.Since(lostAt))
			lostAt = time.Time{}
		}
		f.Reset(entries, revision)
		for ctx.Err() == nil {
			events, next, err := log.Changes(ctx, prefix, revision, watchWait)
			if err != nil {
				if !errors.Is(err, ErrCompacted) {
					fail(err)
				}
				break
			}
			for _, e := range events {
				f.Apply(e)
			}
			revision = max(revision, next)
			if len(events) > 0 {
				pause.For(ctx, settle)
			}
		}
	}
}
