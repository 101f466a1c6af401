package node

import (
	"sync"
	"time"
)

// reregisterGrace is the time that running processes get after a store outage to
// rewrite records whose leases expired meanwhile. It is a little below two
// seconds, after which an endpoint or entry without a record must count as
// removed.
const reregisterGrace = 1900 * time.Millisecond

// deferredRemovals defers the removal of keys that may have expired only because
// the store was unavailable. Its methods run in one goroutine, except removeDue,
// which a timer calls.
type deferredRemovals struct {
	health *storeHealth
	remove func(key string)

	mu      sync.Mutex
	pending map[string]time.Time
}

// newDeferredRemovals returns deferredRemovals that call remove for each key to
// remove.
func newDeferredRemovals(health *storeHealth, remove func(key string)) *deferredRemovals {
	return &deferredRemovals{health: health, remove: remove, pending: make(map[string]time.Time)}
}

// keyDeleted removes a key that is no longer in the store, or defers the removal
// if the store failed within reregisterGrace.
func (d *deferredRemovals) keyDeleted(key string) {
	if !d.health.failedWithin(reregisterGrace) {
		d.remove(key)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.pending[key]; !ok {
		d.pending[key] = time.Now()
	}
}

// keyWritten cancels the deferred removal of a key that is in the store again.
func (d *deferredRemovals) keyWritten(key string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, key)
}

// removeDue removes the deferred keys, unless the store failed within
// reregisterGrace.
func (d *deferredRemovals) removeDue() {
	if d.health.failedWithin(reregisterGrace) {
		return
	}
	d.mu.Lock()
	due := make([]string, 0, len(d.pending))
	for key := range d.pending {
		due = append(due, key)
	}
	clear(d.pending)
	d.mu.Unlock()
	for _, key := range due {
		d.remove(key)
	}
}
