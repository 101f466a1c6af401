package node

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/store"
)

// recordTracker applies the changes of records that processes keep in the store, such as
// those of endpoints and entries. It defers changes that may not last: removals after an
// outage of the store, and what contradicts newer knowledge after a restore.
type recordTracker struct {
	write    func(kv store.KeyValue)
	removals *deferredRemovals
	outdated outdatedKeys
	// departed remembers the records that were removed, by store key.
	departed removedKeys
	ignored  *ignoredRecords
	log      logr.Logger
}

// newRecordTracker returns a tracker of records that the store removes within expiry
// once their process has ended. write and remove apply a change.
func newRecordTracker(health *storeHealth, expiry time.Duration, write func(kv store.KeyValue), remove func(key string), log logr.Logger) recordTracker {
	return recordTracker{write: write, removals: newDeferredRemovals(health, remove, log), outdated: outdatedKeys{window: expiry + restoreSlack}, ignored: &ignoredRecords{log: log}, log: log}
}

// applyListing applies the keys of a listing, and reports the known keys that the listing
// lacks as deleted. contradicts reports whether a key contradicts newer knowledge.
func (r *recordTracker) applyListing(kvs []store.KeyValue, at store.Position, known []string, contradicts func(kv store.KeyValue) bool) {
	outdated := r.outdated.listed(at)
	listed := make(map[string]bool, len(kvs))
	for _, kv := range kvs {
		listed[kv.Key] = true
		if outdated && contradicts(kv) {
			r.log.Info("Record held back; it may be from before the store was restored.", "key", kv.Key, "era", at.Era, "revision", kv.Revision)
			r.outdated.holdBack(kv.Key, func() { r.put(kv) })
			continue
		}
		r.put(kv)
	}
	for _, key := range known {
		if !listed[key] {
			r.removals.keyDeleted(key)
		}
	}
}

// Apply implements prefixFollower.
func (r *recordTracker) Apply(e store.Event) {
	r.outdated.changed(e.Key)
	if e.Deleted {
		r.removals.keyDeleted(e.Key)
		return
	}
	r.put(e.KeyValue)
}

func (r *recordTracker) put(kv store.KeyValue) {
	r.removals.keyWritten(kv.Key)
	r.write(kv)
}

// ignoredRecords logs once for each key that its record is ignored, however often the
// record is written or listed.
type ignoredRecords struct {
	log logr.Logger

	mu   sync.Mutex
	keys map[string]bool
}

// maxIgnoredRecords bounds the keys that are remembered; beyond it they are logged again.
const maxIgnoredRecords = 1024

// add logs that the record of a key is ignored.
func (i *ignoredRecords) add(key string, cause error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.keys[key] {
		return
	}
	if i.keys == nil || len(i.keys) >= maxIgnoredRecords {
		i.keys = make(map[string]bool)
	}
	i.keys[key] = true
	i.log.Info("Record ignored.", "key", key, "cause", cause.Error())
}

// valid records that the key has a valid record.
func (i *ignoredRecords) valid(key string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.keys, key)
}
