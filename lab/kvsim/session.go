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
	id        string
	name      string
	ttl       time.Duration // 0 for no expiry
	lockDelay time.Duration
	deletes   bool // delete the held keys at the end instead of releasing them
	created   uint64
	timer     *time.Timer
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
	i := sessionInfo{ID: s.id, Name: s.name, LockDelay: s.lockDelay, Behavior: "release", CreateIndex: s.created}
	if s.ttl > 0 {
		i.TTL = s.ttl.String()
	}
	if s.deletes {
		i.Behavior = "delete"
	}
	return i
}

func (t *table) createSession(s *session) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.index++
	s.id, s.created = uuid.NewString(), t.index
	t.sessions[s.id] = s
	if s.ttl > 0 {
		s.timer = time.AfterFunc(s.ttl, func() { t.endSession(s.id) })
	}
	return s.id
}

func (t *table) renewSession(id string) (sessionInfo, bool) {
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

func (t *table) sessionInfo(id string) (sessionInfo, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[id]
	if s == nil {
		return sessionInfo{}, false
	}
	return s.info(), true
}

// endSession invalidates a session and releases or deletes the keys it holds.
func (t *table) endSession(id string) {
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
	t.releaseAll(s)
}

func (t *table) releaseAll(s *session) {
	var doomed []string
	for k, p := range t.pairs {
		if p.Session != s.id {
			continue
		}
		t.delayed[k] = time.Now().Add(s.lockDelay)
		if s.deletes {
			doomed = append(doomed, k)
			continue
		}
		t.index++
		next := *p
		next.Session, next.ModifyIndex = "", t.index
		t.pairs[k] = &next
	}
	t.bury(doomed)
	t.notify()
}

// lock applies acquire and release to next and reports whether the write may proceed.
func (t *table) lock(w write, next *Pair) (bool, error) {
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

func (t *table) acquire(id string, next *Pair) (bool, error) {
	if t.sessions[id] == nil {
		return false, trace.NotFound("invalid session %q; create one with PUT /v1/session/create", id)
	}
	if next.Session == id {
		return true, nil
	}
	if next.Session != "" || time.Now().Before(t.delayed[next.Key]) {
		return false, nil
	}
	next.Session = id
	next.LockIndex++
	return true, nil
}
