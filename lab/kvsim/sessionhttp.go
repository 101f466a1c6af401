package kvsim

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/lab/simhttp"
)

// Consul's bounds on the TTL of a session.
const (
	minTTL = 10 * time.Second
	maxTTL = 24 * time.Hour
)

// sessionRequest is the body of PUT /v1/session/create.
type sessionRequest struct {
	Name      string
	TTL       string
	LockDelay string
	Behavior  string
}

func (q sessionRequest) newSession() (*session, error) {
	s := &session{name: q.Name, lockDelay: defaultLockDelay, deletesKeys: q.Behavior == "delete"}
	if q.LockDelay != "" {
		d, err := time.ParseDuration(q.LockDelay)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		s.lockDelay = d
	}
	if q.TTL == "" {
		return s, nil
	}
	ttl, err := time.ParseDuration(q.TTL)
	if err != nil || ttl < minTTL || ttl > maxTTL {
		return nil, trace.BadParameter("invalid session TTL %q; use 10s to 24h", q.TTL)
	}
	s.ttl = ttl
	return s, nil
}

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	s.updateCounters(func(c *Counters) { c.Writes++ })
	var q sessionRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil && !errors.Is(err, io.EOF) {
		http.Error(w, "request decode failed: "+err.Error(), http.StatusBadRequest)
		return
	}
	created, err := q.newSession()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := s.store.createSession(created)
	if s.decideResponseLoss() {
		simhttp.AbortConnection(w)
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, map[string]string{"ID": id})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	s.updateCounters(func(c *Counters) { c.Writes++ })
	info, ok := s.store.renewSession(r.PathValue("id"))
	if !ok {
		http.Error(w, "session not found", http.StatusNotFound)
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, []sessionInfo{info})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.updateCounters(func(c *Counters) { c.Writes++ })
	s.store.endSession(r.PathValue("id"))
	s.respondToWrite(w, true)
}

func (s *Server) sessionInfo(w http.ResponseWriter, r *http.Request) {
	s.updateCounters(func(c *Counters) { c.Reads++ })
	infos := []sessionInfo{}
	if info, ok := s.store.sessionInfo(r.PathValue("id")); ok {
		infos = append(infos, info)
	}
	simhttp.WriteJSON(w, http.StatusOK, infos)
}
