package kvsim

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// Pair is one key as Consul's KV protocol shows it; Value is encoded in base64.
type Pair struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// kvStore holds the keys, the sessions and the raft-like index.
type kvStore struct {
	mu            sync.Mutex
	index         uint64
	pairs         map[string]*Pair
	tombstones    map[string]uint64 // deleted key: index of the deletion
	sessions      map[string]*session
	lockDelayEnds map[string]time.Time // key: end of its lock delay
	changed       chan struct{}        // closed at each change
}

func newTable() *kvStore {
	return &kvStore{
		index:         1,
		pairs:         make(map[string]*Pair),
		tombstones:    make(map[string]uint64),
		sessions:      make(map[string]*session),
		lockDelayEnds: make(map[string]time.Time),
		changed:       make(chan struct{}),
	}
}

// signalChange wakes every waiting watch. The caller holds mu.
func (t *kvStore) signalChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// wakeWatches makes waiting watches look at the faults again.
func (t *kvStore) wakeWatches() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.signalChange()
}

// readResult is the result of a read.
type readResult struct {
	pairs []Pair
	// index is the index to report; lastChange is the index of the last change below
	// the key or prefix, 0 if there was none.
	index, lastChange uint64
	changed           <-chan struct{}
}

func (t *kvStore) read(key string, recurse bool) readResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := readResult{changed: t.changed}
	if recurse {
		t.readPrefix(key, &v)
	} else {
		t.readKey(key, &v)
	}
	v.index = v.lastChange
	if v.lastChange == 0 {
		v.index = t.index
	}
	return v
}

func (t *kvStore) readKey(key string, v *readResult) {
	v.lastChange = t.tombstones[key]
	if p := t.pairs[key]; p != nil {
		v.pairs = []Pair{*p}
		v.lastChange = p.ModifyIndex
	}
}

func (t *kvStore) readPrefix(prefix string, v *readResult) {
	for k, p := range t.pairs {
		if strings.HasPrefix(k, prefix) {
			v.pairs = append(v.pairs, *p)
			v.lastChange = max(v.lastChange, p.ModifyIndex)
		}
	}
	for k, index := range t.tombstones {
		if strings.HasPrefix(k, prefix) {
			v.lastChange = max(v.lastChange, index)
		}
	}
	sort.Slice(v.pairs, func(i, j int) bool { return v.pairs[i].Key < v.pairs[j].Key })
}

// putRequest is one PUT.
type putRequest struct {
	key              string
	value            []byte
	flags            uint64
	cas              *uint64
	acquire, release string
}

// put applies w and reports whether it took effect. A missing session is an error.
func (t *kvStore) put(w putRequest) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.pairs[w.key]
	if w.cas != nil && *w.cas != modifyIndex(old) {
		return false, nil
	}
	next := Pair{Key: w.key, Flags: w.flags, Value: w.value}
	if old != nil {
		next.LockIndex, next.CreateIndex, next.Session = old.LockIndex, old.CreateIndex, old.Session
	}
	ok, err := t.applyLock(w, &next)
	if !ok || err != nil {
		return false, err
	}
	t.index++
	next.ModifyIndex = t.index
	if old == nil {
		next.CreateIndex = t.index
	}
	t.pairs[w.key] = &next
	delete(t.tombstones, w.key)
	t.signalChange()
	return true, nil
}

func modifyIndex(p *Pair) uint64 {
	if p == nil {
		return 0
	}
	return p.ModifyIndex
}

// remove deletes a key or prefix. A cas of 0 deletes nothing, as in Consul.
func (t *kvStore) remove(key string, recurse bool, cas *uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cas != nil && (*cas == 0 || *cas != modifyIndex(t.pairs[key])) {
		return false
	}
	var keys []string
	for k := range t.pairs {
		if k == key || recurse && strings.HasPrefix(k, key) {
			keys = append(keys, k)
		}
	}
	t.deleteKeys(keys)
	return true
}

// deleteKeys removes keys under one new index. The caller holds mu.
func (t *kvStore) deleteKeys(keys []string) {
	if len(keys) == 0 {
		return
	}
	t.index++
	for _, k := range keys {
		delete(t.pairs, k)
		t.tombstones[k] = t.index
	}
	t.signalChange()
}
