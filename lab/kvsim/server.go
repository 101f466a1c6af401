package kvsim

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"github.com/wasabinotch/wasabinotch/lab/simhttp"
)

// maxValueBytes is the platform's limit on a value.
const maxValueBytes = 1 << 20

const (
	kvPath      = "/v1/kv/"
	sessionPath = "/v1/session/"
)

// Server is the key-value service.
type Server struct {
	http  *simhttp.Server
	table *table
	// reads and writes bound the throughput.
	reads  *rate.Limiter
	writes *rate.Limiter

	mu       sync.Mutex
	faults   Faults
	counters Counters
}

// Listen starts a key-value service on addr (IP:port).
func Listen(addr string) (*Server, error) {
	s := &Server{table: newTable(), reads: rate.NewLimiter(rate.Inf, 1), writes: rate.NewLimiter(rate.Inf, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc(kvPath, s.serveKV)
	mux.HandleFunc("PUT "+sessionPath+"create", s.createSession)
	mux.HandleFunc("PUT "+sessionPath+"renew/{id}", s.renewSession)
	mux.HandleFunc("PUT "+sessionPath+"destroy/{id}", s.destroySession)
	mux.HandleFunc("GET "+sessionPath+"info/{id}", s.sessionInfo)
	h, err := simhttp.Listen(addr, s.withFaults(mux))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.http = h
	return s, nil
}

// Addr returns the IP:port of the service.
func (s *Server) Addr() string { return s.http.Addr() }

// Close stops the service.
func (s *Server) Close() {
	s.http.Close()
	s.table.wake()
}

func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.delay()
		if s.limiter(r).Wait(r.Context()) != nil {
			return // the caller is gone
		}
		if s.failing() {
			s.fail(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// limiter returns the bound that applies to a request.
func (s *Server) limiter(r *http.Request) *rate.Limiter {
	switch {
	case r.Method != http.MethodGet:
		return s.writes
	case r.URL.Query().Get("index") == "":
		return s.reads
	}
	return rate.NewLimiter(rate.Inf, 1)
}

func (s *Server) fail(w http.ResponseWriter) {
	s.count(func(c *Counters) { c.OutageErrors++ })
	http.Error(w, "No cluster leader", http.StatusInternalServerError)
}

func (s *Server) serveKV(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, kvPath)
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, key)
	case http.MethodPut:
		s.put(w, r, key)
	case http.MethodDelete:
		s.remove(w, r, key)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, key string) {
	s.count(func(c *Counters) { c.Writes++ })
	cas, flags, err := writeParameters(r)
	if err != nil || key == "" {
		http.Error(w, "missing key, or cas or flags is not a number", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "value exceeds 1 MB or was cut off", http.StatusRequestEntityTooLarge)
		return
	}
	q := r.URL.Query()
	ok, err := s.table.put(write{key: key, value: value, flags: flags, cas: cas, acquire: q.Get("acquire"), release: q.Get("release")})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.answerWrite(w, ok)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request, key string) {
	s.count(func(c *Counters) { c.Writes++ })
	cas, _, err := writeParameters(r)
	recurse := r.URL.Query().Has("recurse")
	if err != nil || key == "" && !recurse {
		http.Error(w, "missing key, or cas is not a number", http.StatusBadRequest)
		return
	}
	s.answerWrite(w, s.table.remove(key, recurse, cas))
}

// answerWrite answers a write, or loses the answer. Only writes that took
// effect lose theirs.
func (s *Server) answerWrite(w http.ResponseWriter, ok bool) {
	if ok && s.loseAnswer() {
		simhttp.AbortConnection(w)
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, ok)
}

func writeParameters(r *http.Request) (cas *uint64, flags uint64, err error) {
	q := r.URL.Query()
	if q.Has("cas") {
		n, err := strconv.ParseUint(q.Get("cas"), 10, 64)
		if err != nil {
			return nil, 0, trace.Wrap(err)
		}
		cas = &n
	}
	if q.Has("flags") {
		if flags, err = strconv.ParseUint(q.Get("flags"), 10, 64); err != nil {
			return nil, 0, trace.Wrap(err)
		}
	}
	return cas, flags, nil
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, key string) {
	q := r.URL.Query()
	after, wait, err := watchParameters(r)
	if err != nil {
		http.Error(w, "index or wait is invalid", http.StatusBadRequest)
		return
	}
	v, alive := s.readOrWatch(r, key, q.Has("recurse") || q.Has("keys"), after, wait)
	switch {
	case s.failing():
		s.fail(w)
		return
	case !alive:
		return // the caller is gone
	}
	h := w.Header()
	h.Set("X-Consul-Index", strconv.FormatUint(v.index, 10))
	h.Set("X-Consul-KnownLeader", "true")
	h.Set("X-Consul-LastContact", "0")
	writePairs(w, q.Has("keys"), q.Has("raw"), v.pairs)
}

func writePairs(w http.ResponseWriter, keys, raw bool, pairs []Pair) {
	switch {
	case len(pairs) == 0:
		w.WriteHeader(http.StatusNotFound)
	case keys:
		names := make([]string, len(pairs))
		for i, p := range pairs {
			names[i] = p.Key
		}
		simhttp.WriteJSON(w, http.StatusOK, names)
	case raw:
		_, _ = w.Write(pairs[0].Value) // the connection is gone if this fails
	default:
		simhttp.WriteJSON(w, http.StatusOK, pairs)
	}
}

// Consul's bounds on the wait of a blocking query.
const (
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

func watchParameters(r *http.Request) (after uint64, wait time.Duration, err error) {
	q := r.URL.Query()
	wait = defaultWait
	if v := q.Get("index"); v != "" {
		if after, err = strconv.ParseUint(v, 10, 64); err != nil {
			return 0, 0, trace.Wrap(err)
		}
	}
	if v := q.Get("wait"); v != "" {
		if wait, err = time.ParseDuration(v); err != nil {
			return 0, 0, trace.Wrap(err)
		}
	}
	return after, min(wait, maxWait), nil
}

// readOrWatch reads at once if after is 0, and otherwise waits until the key
// or prefix has changed past after.
func (s *Server) readOrWatch(r *http.Request, key string, recurse bool, after uint64, wait time.Duration) (view, bool) {
	if after == 0 {
		s.count(func(c *Counters) { c.Reads++ })
		return s.table.read(key, recurse), true
	}
	s.count(func(c *Counters) { c.Watches++; c.WaitingWatches++ })
	defer s.count(func(c *Counters) { c.WaitingWatches-- })
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		v := s.table.read(key, recurse)
		if v.own > after || s.failing() {
			return v, true
		}
		select {
		case <-v.changed:
		case <-timer.C:
			return s.table.read(key, recurse), true
		case <-r.Context().Done():
			return view{}, false
		}
	}
}
