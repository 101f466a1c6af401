package node

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/store"
)

const (
	// removedMemory is how long it is remembered that a key was removed. Copies from
	// which the store is restored are seconds old.
	removedMemory = time.Minute
	// restoreSlack is added to the time after which a record without an owner expires,
	// since the watch reports the removal later.
	restoreSlack = time.Second
	// heartbeatsToExpiry is the number of heartbeats after which the store removes the
	// record of a silent endpoint.
	heartbeatsToExpiry = 3
)

// outdatedKeys holds back what a listing contradicts after the store was restored from a
// copy: for some time, the copy may hold records of processes that have ended, and lack
// what their owners are about to write again. A change that the watch delivers is newer
// than the copy and takes effect at once. The zero value holds nothing back.
type outdatedKeys struct {
	// window is the time from the first listing after a restore in which listings may be
	// outdated.
	window time.Duration

	mu  sync.Mutex
	era uint64
	// until is the end of the current window.
	until time.Time
	// pending holds, by key, what is to be done at the end of the window.
	pending map[string]func()
}

// listed records a listing, or a state of another entry, as of a position, and reports
// whether it may be outdated. What earlier ones held back is discarded.
func (o *outdatedKeys) listed(at store.Position) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.pending)
	if at.Era > o.era {
		if o.era != 0 {
			o.until = time.Now().Add(o.window)
		}
		o.era = at.Era
	}
	return time.Now().Before(o.until)
}

// holdBack has apply called at the end of the window, unless the key is written before.
func (o *outdatedKeys) holdBack(key string, apply func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending == nil {
		o.pending = make(map[string]func())
	}
	o.pending[key] = apply
}

// heldBackKeys returns the keys for which something is held back.
func (o *outdatedKeys) heldBackKeys() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.pending))
}

// changed discards what is held back for a key, since a change of it has arrived. It
// waits for an apply in progress.
func (o *outdatedKeys) changed(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pending, key)
}

// applyDue does what is held back once the window has ended.
func (o *outdatedKeys) applyDue() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Now().Before(o.until) {
		return
	}
	for _, apply := range o.pending {
		apply()
	}
	clear(o.pending)
}

// removedKeys remembers for removedMemory which keys were removed. The zero value is
// ready to use.
type removedKeys struct {
	mu   sync.Mutex
	keys map[string]removedKey
}

type removedKey struct {
	at time.Time
	// incarnation is that of the endpoint whose record was removed, 0 for other keys.
	incarnation int64
}

func (r *removedKeys) add(key string, incarnation int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keys == nil {
		r.keys = make(map[string]removedKey)
	}
	maps.DeleteFunc(r.keys, func(_ string, k removedKey) bool { return time.Since(k.at) > removedMemory })
	r.keys[key] = removedKey{at: time.Now(), incarnation: incarnation}
}

// has reports whether a key was removed as of the given incarnation or a later one.
func (r *removedKeys) has(key string, incarnation int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.keys[key]
	return ok && k.incarnation >= incarnation && time.Since(k.at) <= removedMemory
}
