// Package platformsim simulates the users' platform for tests: its store (items
// with revisions, a watch, transactions and leases over HTTP), its endpoints, and
// its groups of model engines. Endpoints and groups can be made to fail.
package platformsim

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/simhttp"
)

const (
	// pageSize is the number of items in one page of a list. It is small so that
	// tests cover paging.
	pageSize = 5
	// pageBytes is the size in bytes of the values after which a page ends.
	pageBytes = 1 << 20
)

// headerEra is the header of all responses with the store's era.
const headerEra = "Store-Era"

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is a simulated store.
type Store struct {
	http *simhttp.Server

	mu             sync.Mutex
	era            uint64
	revision       uint64
	items          map[string]item
	history        []item
	oldestRevision uint64 // oldest revision that a watch can still get
	leases         map[uint64]*lease
	changed        chan struct{}
	down           bool
	calls          int
	listings       int
	// listingDelay is the time before a page with a key below listingDelayPrefix.
	listingDelay       time.Duration
	listingDelayPrefix string
	// silenced holds the client addresses of the connections that get no more
	// responses.
	silenced map[string]bool
	// cut holds the client addresses whose running watch ends without a response.
	cut map[string]bool
	// watching holds the client addresses of the running watches.
	watching map[string]bool
	// connected holds the client addresses that made a call.
	connected map[string]bool
}

// Listen starts a store on addr (IP:port).
func Listen(addr string) (*Store, error) {
	s := &Store{era: 1, revision: 10, items: make(map[string]item), leases: make(map[uint64]*lease), changed: make(chan struct{}),
		silenced: make(map[string]bool), cut: make(map[string]bool), watching: make(map[string]bool), connected: make(map[string]bool)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.renew)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.revoke)
	h, err := simhttp.Listen(addr, s.withAvailability(mux))
	if err != nil {
		return nil, err
	}
	s.http = h
	return s, nil
}

// Addr returns the IP:port of the store.
func (s *Store) Addr() string { return s.http.Addr() }

// Close stops the store.
func (s *Store) Close() { s.http.Close() }

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetDown makes the store fail all calls with status 503, or serve again.
// Running watches end with status 503 when it goes down.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

// SilenceWatch makes the connection of one running watch silent: it stays open,
// but gets no more responses. New connections work. It reports whether a watch was
// running.
func (s *Store) SilenceWatch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for client := range s.watching {
		s.silenced[client] = true
		s.notifyWatchers()
		return true
	}
	return false
}

// CutWatches closes the connections of all running watches. Other connections work.
func (s *Store) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.Copy(s.cut, s.watching)
	s.notifyWatchers()
}

// SilenceConnections makes all open connections silent.
func (s *Store) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.Copy(s.silenced, s.connected)
	s.notifyWatchers()
}

// Listings returns the number of listings so far.
func (s *Store) Listings() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listings
}

// DelayListings delays each page of a listing that has a key below prefix.
func (s *Store) DelayListings(prefix string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listingDelayPrefix, s.listingDelay = prefix, d
}

// Has reports whether the store has a key.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

// Put writes an item without a lease, as an operator or an endpoint does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(item{Key: key, Value: value})
}

// Remove deletes an item; it does nothing if there is none.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Compact discards the history; a watch from an older revision gets status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldestRevision = nil, s.revision+1
	s.revision++
	s.notifyWatchers()
}

// Copy is a copy of a store's contents.
type Copy struct {
	revision, oldestRevision uint64
	items                    map[string]item
	history                  []item
	leases                   map[uint64]lease
}

// Copy returns a copy of the store's contents.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{revision: s.revision, oldestRevision: s.oldestRevision, items: maps.Clone(s.items), history: slices.Clone(s.history), leases: make(map[uint64]lease)}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Drop removes a key from the copy.
func (c *Copy) Drop(key string) { delete(c.items, key) }

// Restore replaces the contents by a copy and begins a new era: what was written since
// is lost, and its revisions are given out again. Leases of the copy run for their whole
// time again. write, which may be nil, is called before any caller is served.
func (s *Store) Restore(c *Copy, write func(put func(key string, value []byte))) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.oldestRevision, s.items, s.history = c.revision, c.oldestRevision, maps.Clone(c.items), slices.Clone(c.history)
	s.leases = make(map[uint64]*lease)
	for id, l := range c.leases {
		s.leases[id] = &lease{ttl: l.ttl, expiresAt: time.Now().Add(l.ttl)}
	}
	if write != nil {
		write(func(key string, value []byte) { s.put(item{Key: key, Value: value}) })
	}
	s.notifyWatchers()
}

// RestoreRewritten is Restore after which the keys below the given prefixes are as they
// were before: their owners write at once what the copy lacks.
func (s *Store) RestoreRewritten(c *Copy, prefixes ...string) {
	owned := func(key string) bool {
		return slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
	}
	s.mu.Lock()
	before := maps.Clone(s.items)
	s.mu.Unlock()
	s.Restore(c, func(put func(key string, value []byte)) {
		for key, i := range before {
			if restored, ok := s.items[key]; owned(key) && (!ok || !bytes.Equal(restored.Value, i.Value)) {
				put(key, i.Value)
			}
		}
		for key := range maps.Clone(s.items) {
			if _, ok := before[key]; owned(key) && !ok {
				s.remove(key)
			}
		}
	})
}

func (s *Store) put(i item) {
	s.revision++
	i.Revision = s.revision
	s.items[i.Key] = i
	s.history = append(s.history, i)
	s.notifyWatchers()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases whose TTL has passed and deletes their items.
func (s *Store) expireLeases() {
	for id, l := range s.leases {
		if time.Now().After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// withAvailability counts each call, ends expired leases, and responds with status
// 503 while the store is down.
func (s *Store) withAvailability(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		s.expireLeases()
		s.connected[r.RemoteAddr] = true
		down, silenced := s.down, s.silenced[r.RemoteAddr]
		s.mu.Unlock()
		if silenced {
			s.awaitDisconnect(r)
			return
		}
		w.Header().Set(headerEra, strconv.FormatUint(s.currentEra(), 10))
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// awaitDisconnect waits until the client disconnects.
func (s *Store) awaitDisconnect(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client disconnected
}

// page is a page of a listing.
type page struct {
	Items    []item `json:"items"`
	More     bool   `json:"has_more"`
	Revision uint64 `json:"at_revision"`
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	page, delay := s.listPage(r)
	time.Sleep(delay)
	reply(w, page)
}

// listPage returns a page and the time after which it is sent.
func (s *Store) listPage(r *http.Request) (p page, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listings++
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	p = page{Items: []item{}, More: len(keys) > pageSize, Revision: s.revision}
	size := 0
	for _, key := range keys[:min(pageSize, len(keys))] {
		if size += len(s.items[key].Value); size > pageBytes && len(p.Items) > 0 {
			p.More = true
			break
		}
		p.Items = append(p.Items, s.items[key])
	}
	if slices.ContainsFunc(p.Items, func(i item) bool { return strings.HasPrefix(i.Key, s.listingDelayPrefix) }) {
		delay = s.listingDelay
	}
	return p, delay
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := time.After(time.Duration(wait) * time.Millisecond)
	s.setWatching(r.RemoteAddr, true)
	defer s.setWatching(r.RemoteAddr, false)
	for {
		s.mu.Lock()
		silenced, cut := s.silenced[r.RemoteAddr], s.cut[r.RemoteAddr]
		delete(s.cut, r.RemoteAddr)
		events, revision, changed, down := s.eventsSince(prefix, after), s.revision, s.changed, s.down
		compacted := after+1 < s.oldestRevision || after > s.revision
		w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
		s.mu.Unlock()
		switch {
		case silenced:
			s.awaitDisconnect(r)
		case cut:
			panic(http.ErrAbortHandler)
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			reply(w, map[string]any{"events": events, "at_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-limit:
			reply(w, map[string]any{"events": []item{}, "at_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) setWatching(client string, watching bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if watching {
		s.watching[client] = true
	} else {
		delete(s.watching, client)
	}
}

func (s *Store) eventsSince(prefix string, after uint64) []item {
	var events []item
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range txn.Puts {
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range txn.Puts {
		s.put(i)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	reply(w, map[string]uint64{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(request.TTL) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	reply(w, map[string]any{"lease": s.revision, "ttl_ms": request.TTL})
}

func (s *Store) findLease(w http.ResponseWriter, r *http.Request) (uint64, *lease) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil || s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return 0, nil
	}
	return id, s.leases[id]
}

func (s *Store) renew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, l := s.findLease(w, r); l != nil {
		l.expiresAt = time.Now().Add(l.ttl)
		reply(w, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
	}
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, l := s.findLease(w, r); l != nil {
		s.endLease(id)
	}
}
