package store

import (
	"context"
	"errors"
	"time"

	"github.com/wasabinotch/wasabinotch/pause"
)

// ErrCompacted means that the history after a revision has been removed; list the
// keys again.
var ErrCompacted = errors.New("store: compacted: the history has been removed; list the keys again")

// ErrWatchStale means that a call for changes was ended because the store has changes
// that it should have returned; list the keys again.
var ErrWatchStale = errors.New("store: the watch is stale: it has missed changes; list the keys again")

// ErrRestored means that the store was restored from an older copy; list the keys again.
var ErrRestored = errors.New("store: restored: it was restored from an older copy; list the keys again")

// ErrNoLease means that a lease has ended, or can't be relied on since the store was
// restored; grant a new one.
var ErrNoLease = errors.New("store: no such lease: it has ended; grant a new one and write its keys again")

// Position is a point in the history of a store. A store that is restored from a copy
// begins a new era, in which it gives out revisions of the former one again.
type Position struct {
	Era, Revision uint64
}

// Before reports whether p is earlier than other.
func (p Position) Before(other Position) bool {
	return p.Era < other.Era || p.Era == other.Era && p.Revision < other.Revision
}

// Later returns the later one of two positions.
func Later(p, other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}

// Event is one change of a key.
type Event struct {
	KeyValue
	// Era is the era in which the key was changed, or listed.
	Era     uint64
	Deleted bool
}

// Position returns the position of the change.
func (e Event) Position() Position { return Position{Era: e.Era, Revision: e.Revision} }

// ChangeFeed is a store whose changes can be read one by one. Its methods call
// RecordProgress when a part of a response arrives.
type ChangeFeed interface {
	// List returns the keys below prefix with their values, and a position. Each
	// value was read at that position or later, in the same era.
	List(ctx context.Context, prefix string) (kvs []KeyValue, at Position, err error)
	// Changes returns the changes below prefix after a position, or none if there is
	// no change within wait, and the position to pass to the next call. It returns
	// ErrRestored if the store has begun another era.
	Changes(ctx context.Context, prefix string, after Position, wait time.Duration) (events []Event, at Position, err error)
}

// Lease identifies a lease. A store that is restored from a copy may grant the ID again.
type Lease struct {
	ID, Era uint64
}

// Leaser grants leases. The store deletes the keys of a lease when the lease ends.
type Leaser interface {
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew returns ErrNoLease if the lease has ended, or if the store has begun another
	// era since it was granted: the lease may then be another's, and its keys lost.
	Renew(ctx context.Context, lease Lease) error
	Revoke(ctx context.Context, lease Lease) error
	// Put writes a key that is deleted when the lease ends.
	Put(ctx context.Context, key string, value []byte, lease Lease) error
}

// ChangeHandler receives what Follow reads. Its methods are called one at a time.
type ChangeHandler interface {
	// Reset replaces all known keys and values by those as of a position.
	Reset(kvs []KeyValue, at Position)
	// Apply handles a change; it is of the same era as the last Reset.
	Apply(e Event)
	// WatchFailed is called when a call for changes fails. It reports whether the failure
	// begins an outage; a watch may also be cut while the store answers all other calls.
	WatchFailed(err error) (outage bool)
	// StoreLost is called at the first failed call of an outage, StoreRegained
	// before the first Reset after the outage. A restore counts as an outage even if
	// no call failed.
	StoreLost(err error)
	StoreRegained(outage time.Duration)
}

const (
	// changesWait bounds one waiting call. Long waits save calls; meanwhile TCP
	// keep-alive probes detect broken connections.
	changesWait = 25 * time.Second
	// ReadStallTimeout is the longest time without an arrival in a response of the store.
	ReadStallTimeout = 1500 * time.Millisecond
	// MaxReadTime bounds a response that still progresses. In this time the narrowest link
	// of a deployment, 6 Mbit/s, carries 16 values of 1 MiB in base64.
	MaxReadTime = 30 * time.Second
	// maxFollowDelay bounds the delay between calls to a failing store; a change
	// must be seen within about a second of the store's recovery.
	maxFollowDelay = 500 * time.Millisecond
)

// listTimeouts bounds a listing with all its pages.
var listTimeouts = ReadTimeouts{First: ReadStallTimeout, Stall: ReadStallTimeout, Total: MaxReadTime}

// Follow keeps handler up to date with the keys below prefix until ctx ends. After a
// change it waits for the duration settle, so that one call returns several
// successive changes.
func Follow(ctx context.Context, feed ChangeFeed, prefix string, settle time.Duration, handler ChangeHandler) {
	var lostAt time.Time
	var at Position
	backoff := Backoff{Max: maxFollowDelay}
	lost := func(err error) {
		if lostAt.IsZero() && ctx.Err() == nil {
			lostAt = time.Now()
			handler.StoreLost(err)
		}
	}
	for ctx.Err() == nil {
		lctx, cancel := listTimeouts.Start(ctx)
		kvs, listedAt, err := feed.List(lctx, prefix)
		cancel()
		if err != nil {
			lost(err)
			pause.For(ctx, backoff.NextDelay())
			continue
		}
		backoff.Reset()
		if restored := at.Era != 0 && listedAt.Era != at.Era; restored {
			lost(ErrRestored)
		}
		at = listedAt
		if !lostAt.IsZero() {
			handler.StoreRegained(time.Since(lostAt))
			lostAt = time.Time{}
		}
		handler.Reset(kvs, at)
		for ctx.Err() == nil {
			events, next, err := feed.Changes(ctx, prefix, at, changesWait)
			if err != nil {
				if !errors.Is(err, ErrCompacted) && !errors.Is(err, ErrWatchStale) && !errors.Is(err, ErrRestored) {
					if ctx.Err() == nil && handler.WatchFailed(err) {
						lost(err)
					}
					pause.For(ctx, backoff.NextDelay())
				}
				break
			}
			for _, e := range events {
				handler.Apply(e)
			}
			at = Later(at, next)
			if len(events) > 0 {
				pause.For(ctx, settle)
			}
		}
	}
}
