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
	// watchWait is the wait of one watch. It must leave room within
	// MaxConfirmationAge, since the store confirms the view when a watch returns.
	watchWait = time.Second
	// watchersPerZone is the number of entries in each zone that watch the store.
	watchersPerZone = 2
	// readAfter is the age of the last confirmation from which an entry that
	// does not watch reads the store itself, after a delay of up to readJitter.
	readAfter  = 1500 * time.Millisecond
	readJitter = time.Second
	// idlePoll is how often an entry that does not watch checks whether it should.
	idlePoll = 200 * time.Millisecond
	// writeJitter spreads the nodes that write lost content back to the store.
	writeJitter = 300 * time.Millisecond
)

// storeState is the loop's state of its calls to the store.
type storeState struct {
	watching atomic.Bool // read by the watch goroutine
	nextRead time.Time
	reading  bool
	writing  bool
	failing  bool
	// head and record are the entries of the last watch; seen tells that there
	// was one since this entry became a watcher.
	head, record store.Entry
	seen         bool
	backoff      store.Backoff
}

// storeRead is the result of one watch or read.
type storeRead struct {
	at            time.Time // the store's state is at least as new as this
	direct        bool      // a read of an entry that does not watch
	head, record  store.Entry
	headVersion   uint64
	headMalformed bool
	candidate     *candidate
	intents       *bundle.Intents
	err           error
}

// chooseWatchers returns the IDs of the entries that watch the store, some in
// each zone.
func chooseWatchers(entries []wire.Node) map[string]bool {
	count := make(map[string]int)
	chosen := make(map[string]bool)
	for _, n := range ranked("watch", entries) {
		if count[n.Zone] < watchersPerZone {
			count[n.Zone]++
			chosen[n.ID] = true
		}
	}
	return chosen
}

// watches reports whether an entry is one of its zone's watchers.
func (l *Loop) watches(n wire.Node) bool {
	l.entryList()
	return l.reports.watchers[n.ID]
}

// storeTick starts a read if the view is not confirmed in time.
func (l *Loop) storeTick(now time.Time) {
	watching := l.watches(l.self)
	l.stores.watching.Store(watching)
	age := l.confirm.storeAge(now)
	if watching || (age >= 0 && age < readAfter.Milliseconds()) {
		l.stores.nextRead = time.Time{}
		return
	}
	if l.stores.nextRead.IsZero() {
		l.stores.nextRead = now.Add(rand.N(readJitter))
	}
	if l.stores.reading || now.Before(l.stores.nextRead) {
		return
	}
	l.stores.reading = true
	l.spawn(func(ctx context.Context) {
		r, _ := l.readStore(ctx, 0, 0)
		r.direct = true
		l.send(r)
	})
}

// watchStore watches the configuration while this entry is a watcher.
func (l *Loop) watchStore(ctx context.Context) {
	var backoff store.Backoff
	index := uint64(0)
	for ctx.Err() == nil {
		if !l.stores.watching.Load() {
			l.sleep(ctx, idlePoll)
			continue
		}
		r, next := l.readStore(ctx, index, watchWait)
		index = next
		l.send(r)
		if r.err != nil {
			index = 0
			l.sleep(ctx, backoff.Fail())
			continue
		}
		backoff.Reset()
	}
}

// readStore reads the configuration, waiting for a change after index.
func (l *Loop) readStore(ctx context.Context, index uint64, wait time.Duration) (storeRead, uint64) {
	start := l.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+2*time.Second)
	defer cancel()
	entries, next, err := l.cfg.Store.Watch(ctx, store.PrefixConfig, index, wait)
	r := storeRead{at: start, err: err}
	if err != nil {
		return r, 0
	}
	// A watch that returned without a change had waited its full time, so its
	// state is that much newer than the start of the call.
	if index != 0 && next == index && l.clock.Now().Sub(start) >= wait {
		r.at = start.Add(wait)
	}
	for _, e := range entries {
		switch e.Key {
		case store.KeyBundle:
			r.head = e
			r.candidate = l.checkBundle(e.Value, "store")
			r.headVersion, r.headMalformed = versionOf(e.Value)
		case store.KeyIntents:
			r.record = e
			r.intents = l.checkIntents(e.Value, "store")
		}
	}
	return r, next
}

func versionOf(raw []byte) (version uint64, malformed bool) {
	s, err := bundle.Decode(raw)
	if err != nil {
		return 0, true
	}
	return s.Bundle.Version, false
}

// apply merges the store's state and starts writing back what the store lacks.
func (r storeRead) apply(l *Loop) {
	now := l.clock.Now()
	if r.direct {
		l.stores.reading = false
		l.stores.nextRead = now.Add(l.stores.backoff.Fail())
	}
	if r.err != nil {
		l.storeFailed(r.err)
		return
	}
	metricStoreReads.Add("ok", 1)
	l.stores.backoff.Reset()
	l.stores.head, l.stores.record, l.stores.seen = r.head, r.record, !r.direct
	if l.stores.failing {
		l.stores.failing = false
		l.log.Info("store answers again")
	}
	l.applyBundle(r.candidate, "store")
	l.mergeIntents(r.intents, "store")
	l.confirm.byStore(r.at)
	l.refreshConfirmed(now)
	l.writeBack(r)
}

func (l *Loop) storeFailed(err error) {
	metricStoreReads.Add("failed", 1)
	if !l.stores.failing && !errors.Is(err, store.ErrBudget) {
		l.stores.failing = true
		l.log.Info("store does not answer; the nodes keep the configuration", "reason", err.Error())
	}
}

// writeBack restores accepted content that the store lost or does not have
// yet. A head of the same or a higher version is never overwritten: other nodes
// may trust members that this node's settings do not name.
func (l *Loop) writeBack(r storeRead) {
	if l.stores.writing || l.signed == nil {
		return
	}
	var writes []write
	if r.headMalformed || r.headVersion < l.signed.Bundle.Version {
		l.log.Info("store has an older bundle; writing back the one in force", "store", r.headVersion, "in_force", l.signed.Bundle.Version)
		writes = append(writes, write{store.KeyBundle, l.signedRaw, r.head.Revision})
	}
	if value := l.missingIntents(r); value != nil {
		l.log.Info("store lacks intents; writing them back", "revision", l.intents.Revision)
		writes = append(writes, write{store.KeyIntents, value, r.record.Revision})
	}
	if len(writes) == 0 {
		return
	}
	l.stores.writing = true
	l.spawn(func(ctx context.Context) {
		l.sleep(ctx, rand.N(writeJitter))
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		for _, w := range writes {
			// Conflicts and unknown results show in the next read.
			_ = l.cfg.Store.CompareAndSwap(ctx, w.key, w.value, w.revision)
		}
		l.send(writeDone{})
	})
}

type write struct {
	key      string
	value    []byte
	revision uint64
}

type writeDone struct{}

func (writeDone) apply(l *Loop) {
	l.stores.writing = false
}

// missingIntents returns the record to write if the store lacks an intent.
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
		l.log.Error(err, "cannot encode intents")
		return nil
	}
	return raw
}
