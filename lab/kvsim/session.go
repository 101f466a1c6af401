package kvsim

import (
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

// defaultLockDelay is Consul's delay before a lock of an invalidated session
// can be acquired again.
const defaultLockDelay = 15 * time.Second

// session is one Consul session: a lease that can hold keys as locks.
type session struct {
	id          string
	name        string
	ttl         time.Duration // 0 for no expiry
	lockDelay   time.Duration
	deletesKeys bool // delete the held keys when the session ends instead of releasing them
	createIndex uint64
	timer       *time.Timer
}

// sessionInfo is a session in the JSON form of Consul's protocol.
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

func (st *kvStore) createSession(s *session) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.index++
	s.id, s.createIndex = uuid.NewString(), st.index
	st.sessions[s.id] = s
	if s.ttl > 0 {
		s.timer = time.AfterFunc(s.ttl, func() { st.endSession(s.id) })
	}
	return s.id
}

func (st *kvStore) renewSession(id string) (sessionInfo, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	s := st.sessions[id]
	if s == nil {
		return sessionInfo{}, false
	}
	if s.timer != nil {
		s.timer.Reset(s.ttl)
	}
	return s.info(), true
}

func (st *kvStore) sessionInfo(id string) (sessionInfo, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	s := st.sessions[id]
	if s == nil {
		return sessionInfo{}, false
	}
	return s.info(), true
}

// endSession invalidates a session, and releases or deletes the keys that it
// holds.
func (st *kvStore) endSession(id string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	s := st.sessions[id]
	if s == nil {
		return
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	delete(st.sessions, id)
	st.releaseKeys(s)
}

func (st *kvStore) releaseKeys(s *session) {
	var keysToDelete []string
	for k, p := range st.pairs {
		if p.Session != s.id {
			continue
		}
		st.lockDelayEnds[k] = time.Now().Add(s.lockDelay)
		if s.deletesKeys {
			keysToDelete = append(keysToDelete, k)
			continue
		}
		st.index++
		next := *p
		next.Session, next.ModifyIndex = "", st.index
		st.pairs[k] = &next
	}
	st.deleteKeys(keysToDelete)
	st.signalChange()
}

// applyLock applies the acquire and release parameters to next, and reports
// whether the write may proceed.
func (st *kvStore) applyLock(req putRequest, next *Pair) (bool, error) {
	switch {
	case req.acquire != "":
		return st.acquire(req.acquire, next)
	case req.release != "":
		if next.Session != req.release {
			return false, nil
		}
		next.Session = ""
	}
	return true, nil
}

func (st *kvStore) acquire(id string, next *Pair) (bool, error) {
	if st.sessions[id] == nil {
		return false, trace.NotFound("invalid session %q; create one with PUT /v1/session/create", id)
	}
	if next.Session == id {
		return true, nil
	}
	if next.Session != "" || time.Now().Before(st.lockDelayEnds[next.Key]) {
		return false, nil
	}
	next.Session = id
	next.LockIndex++
	return true, nil
}
