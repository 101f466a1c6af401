package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/store"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Timing of calls to the store.
const (
	// watchDuration is how long one watch waits for a change. It must be well
	// below MaxConfirmationAge, since the store confirms the view only when a
	// watch returns.
	watchDuration = time.Second
	// watchersPerZone is the number of entries in each zone that watch the store.
	watchersPerZone = 2
	// directReadAge is the age of the store's last confirmation from which an
	// entry that does not watch the store reads it directly, after a random delay
	// of up to directReadJitter.
	directReadAge    = 1500 * time.Millisecond
	directReadJitter = time.Second
	// watcherCheckInterval is how often an entry that does not watch the store
	// checks whether it has become a watcher.
	watcherCheckInterval = 200 * time.Millisecond
	// writeBackJitter is the maximum random delay before lost content is written
	// back, so that the nodes do not all write at the same time.
	writeBackJitter = 300 * time.Millisecond
)

// storeState is the state of the loop's calls to the store.
type storeState struct {
	watching       atomic.Bool // read by the watch goroutine
	nextDirectRead time.Time
	reading        bool
	writing        bool
	failing        bool
	// storedBundle and storedIntents are store.KeyBundle and store.KeyIntents with
	// their values, as of the last read. watched reports whether that read was a
	// watch, not a direct read.
	storedBundle, storedIntents store.KeyValue
	watched                     bool
	backoff                     store.Backoff
}

// storeRead is the result of one watch or read.
type storeRead struct {
	currentAt                   time.Time // the result reflects the store at this time or later
	direct                      bool      // read by an entry that does not watch the store
	storedBundle, storedIntents store.KeyValue
	storedVersion               uint64
	storedMalformed             bool
	candidate                   *candidate
	intents                     *bundle.Intents
	err                         error
}

// chooseWatchers returns the IDs of the entries that watch the store,
// watchersPerZone in each zone.
func chooseWatchers(entries []wire.Node) map[string]bool {
	count := make(map[string]int)
	chosen := make(map[string]bool)
	for _, n := range sortByRendezvousHash("watch", entries) {
		if count[n.Zone] < watchersPerZone {
			count[n.Zone]++
			chosen[n.ID] = true
		}
	}
	return chosen
}

// watches reports whether the entry n is one of those that watch the store.
func (l *Loop) watches(n wire.Node) bool {
	l.entryList()
	return l.reports.watchers[n.ID]
}

// storeTick starts a direct read if this entry does not watch the store and the
// store's last confirmation is missing or at least directReadAge old.
func (l *Loop) storeTick(now time.Time) {
	watching := l.watches(l.self)
	l.storeSync.watching.Store(watching)
	age := l.confirmation.storeAge(now)
	if watching || (age >= 0 && age < directReadAge.Milliseconds()) {
		l.storeSync.nextDirectRead = time.Time{}
		return
	}
	if l.storeSync.nextDirectRead.IsZero() {
		l.storeSync.nextDirectRead = now.Add(rand.N(directReadJitter))
	}
	if l.storeSync.reading || now.Before(l.storeSync.nextDirectRead) {
		return
	}
	l.storeSync.reading = true
	l.spawn(func(ctx context.Context) {
		r, _ := l.readStore(ctx, 0, 0)
		r.direct = true
		l.send(r)
	})
}

// watchStore watches the configuration in the store while this entry is a watcher.
// It backs off after errors.
func (l *Loop) watchStore(ctx context.Context) {
	var backoff store.Backoff
	index := uint64(0)
	for ctx.Err() == nil {
		if !l.storeSync.watching.Load() {
			l.sleep(ctx, watcherCheckInterval)
			continue
		}
		r, next := l.readStore(ctx, index, watchDuration)
		index = next
		l.send(r)
		if r.err != nil {
			index = 0
			l.sleep(ctx, backoff.NextDelay())
			continue
		}
		backoff.Reset()
	}
}

// readStore reads the configuration from the store, waiting up to wait for a
// change after index. It returns the index of the state read.
func (l *Loop) readStore(ctx context.Context, index uint64, wait time.Duration) (storeRead, uint64) {
	start := l.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+2*time.Second)
	defer cancel()
	kvs, next, err := l.cfg.Store.Watch(ctx, store.PrefixConfig, index, wait)
	r := storeRead{currentAt: start, err: err}
	if err != nil {
		return r, 0
	}
	// A watch that returned without a change after the full wait reflects the
	// store at the end of the wait, not at the start of the call.
	if index != 0 && next == index && l.clock.Now().Sub(start) >= wait {
		r.currentAt = start.Add(wait)
	}
	for _, kv := range kvs {
		switch kv.Key {
		case store.KeyBundle:
			r.storedBundle = kv
			r.candidate = l.checkBundle(kv.Value, "store")
			r.storedVersion, r.storedMalformed = bundleVersion(kv.Value)
		case store.KeyIntents:
			r.storedIntents = kv
			r.intents = l.checkIntents(kv.Value, "store")
		}
	}
	return r, next
}

// bundleVersion returns the version of an encoded bundle, without verifying it.
func bundleVersion(raw []byte) (version uint64, malformed bool) {
	s, err := bundle.Decode(raw)
	if err != nil {
		return 0, true
	}
	return s.Bundle.Version, false
}

// apply merges the configuration read from the store and starts to write back what
// the store lacks.
func (r storeRead) apply(l *Loop) {
	now := l.clock.Now()
	if r.direct {
		l.storeSync.reading = false
		l.storeSync.nextDirectRead = now.Add(l.storeSync.backoff.NextDelay())
	}
	if r.err != nil {
		l.storeReadFailed(r.err)
		return
	}
	metricStoreReads.Add("ok", 1)
	l.storeSync.backoff.Reset()
	l.storeSync.storedBundle, l.storeSync.storedIntents, l.storeSync.watched = r.storedBundle, r.storedIntents, !r.direct
	if l.storeSync.failing {
		l.storeSync.failing = false
		l.log.Info("The store responds again.")
	}
	l.applyBundle(r.candidate, "store")
	l.mergeIntents(r.intents, "store")
	l.confirmation.byStore(r.currentAt)
	l.refreshConfirmed(now)
	l.writeBack(r)
}

func (l *Loop) storeReadFailed(err error) {
	metricStoreReads.Add("failed", 1)
	if !l.storeSync.failing && !errors.Is(err, store.ErrCallBudget) {
		l.storeSync.failing = true
		l.log.Info("The store does not respond; the nodes keep the configuration in force.", "reason", err.Error())
	}
}

// writeBack writes accepted configuration to the store that the store has lost or
// does not have yet. It never overwrites a bundle of the same or a higher version,
// even one that this node cannot verify: other nodes may trust members that are
// missing from this node's settings.
func (l *Loop) writeBack(r storeRead) {
	if l.storeSync.writing || l.signedBundle == nil {
		return
	}
	var writes []storeWrite
	if r.storedMalformed || r.storedVersion < l.signedBundle.Bundle.Version {
		l.log.Info("The store has an older bundle; writing back the one in force.", "store", r.storedVersion, "in_force", l.signedBundle.Bundle.Version)
		writes = append(writes, storeWrite{store.KeyBundle, l.bundleRaw, r.storedBundle.Revision})
	}
	if value := l.missingIntents(r); value != nil {
		l.log.Info("The store lacks intents; writing them back.", "revision", l.intents.Revision)
		writes = append(writes, storeWrite{store.KeyIntents, value, r.storedIntents.Revision})
	}
	if len(writes) == 0 {
		return
	}
	l.storeSync.writing = true
	l.spawn(func(ctx context.Context) {
		l.sleep(ctx, rand.N(writeBackJitter))
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		for _, w := range writes {
			// Errors are ignored: the next read shows whether content is still
			// missing.
			_ = l.cfg.Store.CompareAndSwap(ctx, w.key, w.value, w.revision)
		}
		l.send(writeBackDone{})
	})
}

// storeWrite is one compare-and-swap of a key in the store.
type storeWrite struct {
	key      string
	value    []byte
	revision uint64
}

type writeBackDone struct{}

func (writeBackDone) apply(l *Loop) {
	l.storeSync.writing = false
}

// missingIntents returns the encoded intents record to write if the store lacks an
// intent, else nil.
func (l *Loop) missingIntents(r storeRead) []byte {
	var stored bundle.Intents
	if r.intents != nil {
		stored = *r.intents
	}
	merged := bundle.Merge(stored, l.intents)
	if len(merged.Targets) == 0 || merged.SameTargets(stored) {
		return nil
	}
	merged.Revision = max(stored.Revision+1, l.intents.Revision)
	raw, err := merged.Encode()
	if err != nil {
		l.log.Error(err, "Intents not encoded; not written to the store.")
		return nil
	}
	return raw
}
