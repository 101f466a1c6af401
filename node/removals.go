package node

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// reregisterGrace is the time that running processes get after a store outage to
// rewrite records whose leases expired meanwhile. It is a little below two
// seconds, after which an endpoint or entry without a record must count as
// removed.
const reregisterGrace = 1900 * time.Millisecond

// deferredRemovals defers the removal of keys that may have expired only because
// the store was unavailable. Its methods run in one goroutine, except removePending,
// which a ticker's goroutine calls.
type deferredRemovals struct {
	health *storeHealth
	remove func(key string)
	log    logr.Logger

	mu sync.Mutex
	// pending holds the deferred keys and when each was found missing.
	pending map[string]time.Time
}

// newDeferredRemovals returns deferredRemovals that call remove for each key to be
// removed.
func newDeferredRemovals(health *storeHealth, remove func(key string), log logr.Logger) *deferredRemovals {
	return &deferredRemovals{health: health, remove: remove, log: log, pending: make(map[string]time.Time)}
}

// keyDeleted removes a key that is no longer in the store, or defers the removal
// if the store is failing or has failed in the last reregisterGrace.
func (d *deferredRemovals) keyDeleted(key string) {
	now := time.Now()
	if d.health.reregistered(now) {
		d.remove(key)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.pending[key]; !ok {
		d.pending[key] = now
		d.log.Info("Removal deferred; the store may have been away.", "key", key)
	}
}

// keyWritten cancels the deferred removal of a key that is in the store again. It waits
// for a removal in progress, so that the caller can add the key again afterwards.
func (d *deferredRemovals) keyWritten(key string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, key)
}

// removePending removes the deferred keys whose owners have had reregisterGrace to write
// them again.
func (d *deferredRemovals) removePending() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, missing := range d.pending {
		if d.health.reregistered(missing) {
			d.remove(key)
			delete(d.pending, key)
		}
	}
}
