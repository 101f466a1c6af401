package rankgroup

import (
	"context"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/store"
)

// memStore is an in-memory store with faults.
type memStore struct {
	mu            sync.Mutex
	entries       map[string]store.KeyValue
	revision      uint64
	down          bool
	repliesToLose int // replies to writes; every second write whose reply is lost is not executed
	writes        int
}

func newMemStore() *memStore {
	return &memStore{entries: make(map[string]store.KeyValue)}
}

func (s *memStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// loseReplies makes the next n writes return store.ErrResultUnknown.
func (s *memStore) loseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repliesToLose = n
}

// Get implements store.Store.
func (s *memStore) Get(_ context.Context, key string) (store.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.KeyValue{}, store.ErrUnavailable
	}
	return s.entries[key], nil
}

// CompareAndSwap implements store.Store.
func (s *memStore) CompareAndSwap(_ context.Context, key string, value []byte, revision uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.ErrUnavailable
	}
	if s.repliesToLose > 0 {
		s.repliesToLose--
		if s.repliesToLose%2 == 1 {
			return store.ErrResultUnknown
		}
		_ = s.swap(key, value, revision) // the coordinator does not get the result
		return store.ErrResultUnknown
	}
	return s.swap(key, value, revision)
}

func (s *memStore) swap(key string, value []byte, revision uint64) error {
	if s.entries[key].Revision != revision {
		return store.ErrConflict
	}
	s.revision++
	s.writes++
	s.entries[key] = store.KeyValue{Key: key, Value: value, Revision: s.revision}
	return nil
}

// Delete implements store.Store.
func (s *memStore) Delete(_ context.Context, key string, revision uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != revision {
		return store.ErrConflict
	}
	delete(s.entries, key)
	return nil
}

// Watch implements store.Store; coordinators do not use it.
func (s *memStore) Watch(context.Context, string, uint64, time.Duration) ([]store.KeyValue, uint64, error) {
	return nil, 0, store.ErrUnavailable
}
