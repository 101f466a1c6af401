package kvsim

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// Pair is one key in the JSON form of Consul's KV protocol; Value is encoded
// in base64.
type Pair struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// kvStore holds the keys, the sessions and the index, which, like Consul's
// Raft index, grows with each change.
type kvStore struct {
	mu            sync.Mutex
	index         uint64
	pairs         map[string]*Pair
	tombstones    map[string]uint64 // deleted key: index of the deletion
	sessions      map[string]*session
	lockDelayEnds map[string]time.Time // key: end of its lock delay
	changed       chan struct{}        // closed and replaced at each change, to wake blocking queries
}

func newKVStore() *kvStore {
	return &kvStore{
		index:         1,
		pairs:         make(map[string]*Pair),
		tombstones:    make(map[string]uint64),
		sessions:      make(map[string]*session),
		lockDelayEnds: make(map[string]time.Time),
		changed:       make(chan struct{}),
	}
}

// signalChange wakes all watches (Consul's blocking queries), which then read their key
// or prefix again. The caller holds mu.
func (st *kvStore) signalChange() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// wakeWatches wakes all watches after the faults have changed or the server has closed.
// They end if OutageError is now in force or their connection is closed; others go on
// waiting.
func (st *kvStore) wakeWatches() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.signalChange()
}

// readResult is the state of a key or prefix.
type readResult struct {
	pairs []Pair
	// index is the value of the X-Consul-Index header: lastChange, or the index of the
	// store if lastChange is 0. lastChange is the index of the last change of the key
	// or below the prefix, 0 if there was none.
	index, lastChange uint64
	changed           <-chan struct{}
}

func (st *kvStore) read(key string, recurse bool) readResult {
	st.mu.Lock()
	defer st.mu.Unlock()
	v := readResult{changed: st.changed}
	if recurse {
		st.readPrefix(key, &v)
	} else {
		st.readKey(key, &v)
	}
	v.index = v.lastChange
	if v.lastChange == 0 {
		v.index = st.index
	}
	return v
}

func (st *kvStore) readKey(key string, v *readResult) {
	v.lastChange = st.tombstones[key]
	if p := st.pairs[key]; p != nil {
		v.pairs = []Pair{*p}
		v.lastChange = p.ModifyIndex
	}
}

func (st *kvStore) readPrefix(prefix string, v *readResult) {
	for k, p := range st.pairs {
		if strings.HasPrefix(k, prefix) {
			v.pairs = append(v.pairs, *p)
			v.lastChange = max(v.lastChange, p.ModifyIndex)
		}
	}
	for k, index := range st.tombstones {
		if strings.HasPrefix(k, prefix) {
			v.lastChange = max(v.lastChange, index)
		}
	}
	sort.Slice(v.pairs, func(i, j int) bool { return v.pairs[i].Key < v.pairs[j].Key })
}

// putRequest holds the parameters of a PUT request for a key.
type putRequest struct {
	key              string
	value            []byte
	flags            uint64
	cas              *uint64 // required ModifyIndex, 0 for a new key; nil for any
	acquire, release string  // ID of the session that acquires or releases the lock; "" for none
}

// put applies a write and reports whether it took effect. An unknown session
// is an error.
func (st *kvStore) put(req putRequest) (bool, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	old := st.pairs[req.key]
	if req.cas != nil && *req.cas != modifyIndex(old) {
		return false, nil
	}
	next := Pair{Key: req.key, Flags: req.flags, Value: req.value}
	if old != nil {
		next.LockIndex, next.CreateIndex, next.Session = old.LockIndex, old.CreateIndex, old.Session
	}
	ok, err := st.applyLock(req, &next)
	if !ok || err != nil {
		return false, err
	}
	st.index++
	next.ModifyIndex = st.index
	if old == nil {
		next.CreateIndex = st.index
	}
	st.pairs[req.key] = &next
	delete(st.tombstones, req.key)
	st.signalChange()
	return true, nil
}

func modifyIndex(p *Pair) uint64 {
	if p == nil {
		return 0
	}
	return p.ModifyIndex
}

// remove deletes a key or prefix. It returns false if cas is set and is not the
// ModifyIndex of the key; deleting a missing key succeeds. A cas of 0 deletes nothing,
// as in Consul.
func (st *kvStore) remove(key string, recurse bool, cas *uint64) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if cas != nil && (*cas == 0 || *cas != modifyIndex(st.pairs[key])) {
		return false
	}
	var keys []string
	for k := range st.pairs {
		if k == key || recurse && strings.HasPrefix(k, key) {
			keys = append(keys, k)
		}
	}
	st.deleteKeys(keys)
	return true
}

// deleteKeys deletes keys under one new index. The caller holds mu.
func (st *kvStore) deleteKeys(keys []string) {
	if len(keys) == 0 {
		return
	}
	st.index++
	for _, k := range keys {
		delete(st.pairs, k)
		st.tombstones[k] = st.index
	}
	st.signalChange()
}
