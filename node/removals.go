package node

import (
	"sync"
	"time"
)

// reregisterGrace is the time after an outage of the store in which live processes
// write entries again that ended with their leases meanwhile. It is a little
// below two seconds, after which a missing entry counts as gone.
const reregisterGrace = 1900 * time.Millisecond

// deferredRemovals holds back the removal of keys that may have lapsed because the store
// was away. It is used from one goroutine, but for the timer.
type deferredRemovals struct {
	health *storeHealth
	remove func(key string)

	mu      sync.Mutex
	pending map[string]time.Time
}

func newDeferredRemovals(health *storeHealth, remove func(key string)) *deferredRemovals {
	return &deferredRemovals{health: health, remove: remove, pending: make(map[string]time.Time)}
}

// keyDeleted removes a key now, or later if the store was away a moment ago.
func (l *deferredRemovals) keyDeleted(key string) {
	if !l.health.failedWithin(reregisterGrace) {
		l.remove(key)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.pending[key]; !ok {
		l.pending[key] = time.Now()
	}
}

// keyWritten forgets that a key was gone.
func (l *deferredRemovals) keyWritten(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, key)
}

// removeDue removes the keys whose grace is over. While the store is away nothing
// is removed.
func (l *deferredRemovals) removeDue() {
	if l.health.failedWithin(reregisterGrace) {
		return
	}
	l.mu.Lock()
	due := make([]string, 0, len(l.pending))
	for key := range l.pending {
		due = append(due, key)
	}
	clear(l.pending)
	l.mu.Unlock()
	for _, key := range due {
		l.remove(key)
	}
}
