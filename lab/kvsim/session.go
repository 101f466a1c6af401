package kvsim

import (
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

// defaultLockDelay is Consul's delay before a lock of an invalidated session
// can be taken again.
const defaultLockDelay = 15 * time.Second

// session is one lease.
type session struct {
	id          string
	name        string
	ttl         time.Duration // 0 for no expiry
	lockDelay   time.Duration
	deletesKeys bool // delete the held keys at the end instead of releasing them
	createIndex uint64
	timer       *time.Timer
}

// sessionInfo is a session as Consul's protocol shows it.
type sessionInfo struct {
	ID          string
	Name        string
	TTL         string
	LockDelay   time.Duration
	Behavior    string
	CreateIndex uint64
}

func (s *session) info() sessionInfo {
	i := sessionInfo{ID: s.id, Name: s.name, LockDelay: s.lockDelay, Behavior: "release", CreateIndex: s.createIndex}
	if s.ttl > 0 {
		i.TTL = s.ttl.String()
	}
	if s.deletesKeys {
		i.Behavior = "delete"
	}
	return i
}

func (t *kvStore) createSession(s *session) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.index++
	s.id, s.createIndex = uuid.NewString(), t.index
	t.sessions[s.id] = s
	if s.ttl > 0 {
		s.timer = time.AfterFunc(s.ttl, func() { t.endSession(s.id) })
	}
	return s.id
}

func (t *kvStore) renewSession(id string) (sessionInfo, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[id]
	if s == nil {
		return sessionInfo{}, false
	}
	if s.timer != nil {
		s.timer.Reset(s.ttl)
	}
	return s.info(), true
}

func (t *kvStore) sessionInfo(id string) (sessionInfo, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[id]
	if s == nil {
		return sessionInfo{}, false
	}
	return s.info(), true
}

// endSession invalidates a session and releases or deletes the keys it holds.
func (t *kvStore) endSession(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[id]
	if s == nil {
		return
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	delete(t.sessions, id)
	t.releaseKeys(s)
}

func (t *kvStore) releaseKeys(s *session) {
	var keysToDelete []string
	for k, p := range t.pairs {
		if p.Session != s.id {
			continue
		}
		t.lockDelayEnds[k] = time.Now().Add(s.lockDelay)
		if s.deletesKeys {
			keysToDelete = append(keysToDelete, k)
			continue
		}
		t.index++
		next := *p
		next.Session, next.ModifyIndex = "", t.index
		t.pairs[k] = &next
	}
	t.deleteKeys(keysToDelete)
	t.signalChange()
}

// applyLock applies acquire and release to next and reports whether the write may proceed.
func (t *kvStore) applyLock(w putRequest, next *Pair) (bool, error) {
	switch {
	case w.acquire != "":
		return t.acquire(w.acquire, next)
	case w.release != "":
		if next.Session != w.release {
			return false, nil
		}
		next.Session = ""
	}
	return true, nil
}

func (t *kvStore) acquire(id string, next *Pair) (bool, error) {
	if t.sessions[id] == nil {
		return false, trace.NotFound("invalid session %q; create one with PUT /v1/session/create", id)
	}
	if next.Session == id {
		return true, nil
	}
	if next.Session != "" || time.Now().Before(t.lockDelayEnds[next.Key]) {
		return false, nil
	}
	next.Session = id
	next.LockIndex++
	return true, nil
}
