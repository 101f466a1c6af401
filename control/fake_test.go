package control

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/store"
)

// memStore is an in-memory store. Tests use update to make it unavailable, delay its
// calls, lose the replies to writes or replace its values by older ones.
type memStore struct {
	store.Store // nil: only Delete is not implemented, and no test calls it
	mu          sync.Mutex
	values      map[string]store.KeyValue
	index       uint64        // revision of the last change, returned by Watch
	changed     chan struct{} // closed and replaced to make waiting Watch calls check the index again
	down        bool          // calls fail with store.ErrUnavailable
	lostReplies int           // number of upcoming writes that take effect but return store.ErrResultUnknown
	delay       time.Duration // of each call, and of each check of the values by Watch
	writes      int           // number of writes that took effect
}

func newMemStore() *memStore {
	return &memStore{values: make(map[string]store.KeyValue), index: 1, changed: make(chan struct{})}
}

// lock waits for delay and locks the store. On an error the store is not locked.
func (m *memStore) lock(ctx context.Context) error {
	m.mu.Lock()
	delay := m.delay
	m.mu.Unlock()
	select {
	case <-ctx.Done():
		return store.ErrUnavailable
	case <-time.After(delay):
	}
	m.mu.Lock()
	if m.down {
		m.mu.Unlock()
		return store.ErrUnavailable
	}
	return nil // with the lock held
}

func (m *memStore) Get(ctx context.Context, key string) (store.KeyValue, error) {
	if err := m.lock(ctx); err != nil {
		return store.KeyValue{}, err
	}
	defer m.mu.Unlock()
	kv := m.values[key]
	kv.Key = key
	return kv, nil
}

func (m *memStore) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) error {
	if err := m.lock(ctx); err != nil {
		return err
	}
	defer m.mu.Unlock()
	if m.values[key].Revision != revision {
		return store.ErrConflict
	}
	m.index++
	m.writes++
	m.values[key] = store.KeyValue{Key: key, Value: value, Revision: m.index}
	m.notifyWatchers()
	if m.lostReplies > 0 {
		m.lostReplies--
		return store.ErrResultUnknown
	}
	return nil
}

// notifyWatchers makes waiting Watch calls check the index again. The store must be
// locked.
func (m *memStore) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.KeyValue, uint64, error) {
	deadline := time.After(wait)
	for {
		if err := m.lock(ctx); err != nil {
			return nil, 0, err
		}
		index, changed := m.index, m.changed
		var out []store.KeyValue
		for k, kv := range m.values {
			if strings.HasPrefix(k, prefix) {
				out = append(out, kv)
			}
		}
		m.mu.Unlock()
		if index != after || after == 0 {
			return out, index, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, store.ErrUnavailable
		case <-deadline:
			return out, index, nil
		case <-changed:
		}
	}
}

// update runs f with the store locked, then makes waiting Watch calls check the index
// again.
func (m *memStore) update(f func(m *memStore)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m)
	m.notifyWatchers()
}

func (m *memStore) value(key string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[key].Value
}
