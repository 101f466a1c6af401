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

// maxValueBytes is the platform's limit on the size of a value.
const maxValueBytes = 1 << 20

const (
	kvPath      = "/v1/kv/"
	sessionPath = "/v1/session/"
)

// Server is the simulated key-value service.
type Server struct {
	server *simhttp.Server
	store  *kvStore
	// Token buckets that bound the throughput.
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	mu       sync.Mutex
	faults   Faults
	counters Counters
}

// Listen starts a key-value service on addr (IP:port).
func Listen(addr string) (*Server, error) {
	s := &Server{store: newKVStore(), readLimiter: rate.NewLimiter(rate.Inf, 1), writeLimiter: rate.NewLimiter(rate.Inf, 1)}
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
	s.server = h
	return s, nil
}

// Addr returns the IP:port of the service.
func (s *Server) Addr() string { return s.server.Addr() }

// Close stops the service.
func (s *Server) Close() {
	s.server.Close()
	s.store.wakeWatches()
}

// withFaults applies the delay, the throughput bounds and OutageError before it
// calls next.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.applyDelay()
		if s.limiter(r).Wait(r.Context()) != nil {
			return // the client has disconnected
		}
		if s.inErrorOutage() {
			s.writeOutageError(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// limiter returns the throughput bound that applies to a request.
func (s *Server) limiter(r *http.Request) *rate.Limiter {
	switch {
	case r.Method != http.MethodGet:
		return s.writeLimiter
	case r.URL.Query().Get("index") == "":
		return s.readLimiter
	}
	return rate.NewLimiter(rate.Inf, 1)
}

func (s *Server) writeOutageError(w http.ResponseWriter) {
	s.updateCounters(func(c *Counters) { c.OutageErrors++ })
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
	s.updateCounters(func(c *Counters) { c.Writes++ })
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
	ok, err := s.store.put(putRequest{key: key, value: value, flags: flags, cas: cas, acquire: q.Get("acquire"), release: q.Get("release")})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.respondToWrite(w, ok)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request, key string) {
	s.updateCounters(func(c *Counters) { c.Writes++ })
	cas, _, err := writeParameters(r)
	recurse := r.URL.Query().Has("recurse")
	if err != nil || key == "" && !recurse {
		http.Error(w, "missing key, or cas is not a number", http.StatusBadRequest)
		return
	}
	s.respondToWrite(w, s.store.remove(key, recurse, cas))
}

// respondToWrite responds to a write, or loses the response. Only writes that
// took effect can lose theirs.
func (s *Server) respondToWrite(w http.ResponseWriter, ok bool) {
	if ok && s.decideResponseLoss() {
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
	afterIndex, wait, err := watchParameters(r)
	if err != nil {
		http.Error(w, "index or wait is invalid", http.StatusBadRequest)
		return
	}
	v, connected := s.readOrWatch(r, key, q.Has("recurse") || q.Has("keys"), afterIndex, wait)
	switch {
	case s.inErrorOutage():
		s.writeOutageError(w)
		return
	case !connected:
		return // the client has disconnected
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
		_, _ = w.Write(pairs[0].Value) // fails only if the connection is closed
	default:
		simhttp.WriteJSON(w, http.StatusOK, pairs)
	}
}

// Consul's default and upper bound for the wait of a blocking query.
const (
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

func watchParameters(r *http.Request) (afterIndex uint64, wait time.Duration, err error) {
	q := r.URL.Query()
	wait = defaultWait
	if v := q.Get("index"); v != "" {
		if afterIndex, err = strconv.ParseUint(v, 10, 64); err != nil {
			return 0, 0, trace.Wrap(err)
		}
	}
	if v := q.Get("wait"); v != "" {
		if wait, err = time.ParseDuration(v); err != nil {
			return 0, 0, trace.Wrap(err)
		}
	}
	return afterIndex, min(wait, maxWait), nil
}

// readOrWatch reads at once if afterIndex is 0. Otherwise it waits until the
// key or prefix has changed past afterIndex, wait has passed, or OutageError
// is in force; it returns false if the client has disconnected.
func (s *Server) readOrWatch(r *http.Request, key string, recurse bool, afterIndex uint64, wait time.Duration) (readResult, bool) {
	if afterIndex == 0 {
		s.updateCounters(func(c *Counters) { c.Reads++ })
		return s.store.read(key, recurse), true
	}
	s.updateCounters(func(c *Counters) { c.Watches++; c.WaitingWatches++ })
	defer s.updateCounters(func(c *Counters) { c.WaitingWatches-- })
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		v := s.store.read(key, recurse)
		if v.lastChange > afterIndex || s.inErrorOutage() {
			return v, true
		}
		select {
		case <-v.changed:
		case <-timer.C:
			return s.store.read(key, recurse), true
		case <-r.Context().Done():
			return readResult{}, false
		}
	}
}
