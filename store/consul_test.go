package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeKV serves Consul's KV API from memory.
type fakeKV struct {
	mu    sync.Mutex
	index uint64
	pairs map[string]pair
	calls int
	// dropConn closes the connection after a write was applied; status replaces the
	// response.
	dropConn bool
	status   int
}

func newFakeKV(t *testing.T) (*fakeKV, string) {
	f := &fakeKV{index: 5, pairs: make(map[string]pair)}
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return f, strings.TrimPrefix(s.URL, "http://")
}

func (f *fakeKV) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.status != 0 {
		w.WriteHeader(f.status)
		return
	}
	key := strings.TrimPrefix(r.URL.Path, "/v1/kv/")
	if r.Method == http.MethodGet {
		f.get(w, r, key)
		return
	}
	cas, _ := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if f.pairs[key].ModifyIndex != cas {
		_, _ = fmt.Fprint(w, "false")
		return
	}
	f.index++
	if r.Method == http.MethodDelete {
		delete(f.pairs, key)
	} else {
		body, _ := io.ReadAll(r.Body)
		f.pairs[key] = pair{Key: key, Value: body, ModifyIndex: f.index}
	}
	if f.dropConn {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprint(w, "true")
}

func (f *fakeKV) get(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	if after, _ := strconv.ParseUint(query.Get("index"), 10, 64); after > 0 && after == f.index {
		wait, _ := time.ParseDuration(query.Get("wait"))
		f.mu.Unlock()
		time.Sleep(wait)
		f.mu.Lock()
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(f.index, 10))
	var found []pair
	for k, p := range f.pairs {
		if k == key || query.Has("recurse") && strings.HasPrefix(k, key) {
			found = append(found, p)
		}
	}
	if len(found) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(found)
}

func (f *fakeKV) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// Guards against a write to a changed key that overwrites it instead of returning a
// conflict.
func TestReadAndWrite(t *testing.T) {
	is := is.New(t)
	_, addr := newFakeKV(t)
	c, ctx := NewConsul(ConsulConfig{Addrs: []string{addr}, CallsPerSecond: 100, Burst: 100}), context.Background()
	kv, err := c.Get(ctx, "p/a")
	is.NoErr(err)
	is.Equal(kv.Revision, uint64(0))
	is.NoErr(c.CompareAndSwap(ctx, "p/a", []byte("one\x00"), 0))
	is.True(errors.Is(c.CompareAndSwap(ctx, "p/a", []byte("two"), 0), ErrConflict))
	kv, err = c.Get(ctx, "p/a")
	is.NoErr(err)
	is.Equal(kv.Value, []byte("one\x00"))
	kvs, index, err := c.Watch(ctx, "p/", 0, time.Second)
	is.NoErr(err)
	is.Equal(len(kvs), 1)
	is.Equal(index, uint64(6))
	is.True(errors.Is(c.Delete(ctx, "p/a", kv.Revision+1), ErrConflict))
	is.True(c.Delete(ctx, "p/a", 0) != nil) // Consul would delete unconditionally
	is.NoErr(c.Delete(ctx, "p/a", kv.Revision))
}

// Guards against a write that is reported as without effect, or sent to the next
// address, although only its response was lost.
func TestErrorClasses(t *testing.T) {
	is := is.New(t)
	f, addr := newFakeKV(t)
	closedServer := httptest.NewServer(http.NotFoundHandler())
	closedAddr := strings.TrimPrefix(closedServer.URL, "http://")
	closedServer.Close()
	ctx := context.Background()
	c := NewConsul(ConsulConfig{Addrs: []string{closedAddr, addr}, CallsPerSecond: 100, Burst: 100})
	is.NoErr(c.CompareAndSwap(ctx, "a", []byte("1"), 0)) // second address after no connection
	f.update(func() { f.dropConn = true })
	twoAddrs := NewConsul(ConsulConfig{Addrs: []string{addr, addr}, CallsPerSecond: 100, Burst: 100})
	err := twoAddrs.CompareAndSwap(ctx, "b", []byte("1"), 0)
	is.True(errors.Is(err, ErrResultUnknown) && !errors.Is(err, ErrUnavailable))
	f.update(func() { is.Equal(f.calls, 2) }) // not sent twice
	f.update(func() { f.status = http.StatusInternalServerError })
	is.True(errors.Is(twoAddrs.CompareAndSwap(ctx, "c", nil, 0), ErrResultUnknown))
	f.update(func() { f.status = http.StatusRequestEntityTooLarge })
	is.True(errors.Is(twoAddrs.CompareAndSwap(ctx, "c", nil, 0), ErrUnavailable))
	unreachable := NewConsul(ConsulConfig{Addrs: []string{closedAddr}, CallsPerSecond: 100, Burst: 100})
	is.True(errors.Is(unreachable.CompareAndSwap(ctx, "c", nil, 0), ErrUnavailable))
	_, err = unreachable.Get(ctx, "c")
	is.True(errors.Is(err, ErrUnavailable))
}

// Guards against a client that misses all changes after the store has lost its state
// and returns a lower index, because the client continues to wait for the old index.
func TestIndexGoesBackwards(t *testing.T) {
	is := is.New(t)
	f, addr := newFakeKV(t)
	c, ctx := NewConsul(ConsulConfig{Addrs: []string{addr}, CallsPerSecond: 100, Burst: 100}), context.Background()
	_, index, err := c.Watch(ctx, "p/", 0, time.Second)
	is.NoErr(err)
	is.Equal(index, uint64(5))
	f.update(func() { f.index = 2 })
	_, index, err = c.Watch(ctx, "p/", index, time.Second)
	is.NoErr(err)
	is.Equal(index, uint64(0))
}

// Guards against a node that exceeds its call budget; a waiting watch counts as one
// call.
func TestBudget(t *testing.T) {
	is := is.New(t)
	f, addr := newFakeKV(t)
	c := NewConsul(ConsulConfig{Addrs: []string{addr}, CallsPerSecond: 0.01, Burst: 3})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, index, err := c.Watch(ctx, "p/", 0, time.Second)
	is.NoErr(err)
	_, _, err = c.Watch(ctx, "p/", index, 100*time.Millisecond)
	is.NoErr(err)
	_, err = c.Get(ctx, "a")
	is.NoErr(err)
	_, err = c.Get(ctx, "a")
	is.True(errors.Is(err, ErrCallBudget))
	f.update(func() { is.Equal(f.calls, 3) })
}

// Guards against nodes that fail at the same moment of an outage and, with equal
// delays, all call again at the same moment.
func TestBackoffSpreads(t *testing.T) {
	is := is.New(t)
	seen := make(map[time.Duration]bool)
	for range 100 {
		var b Backoff
		for range 10 {
			b.NextDelay()
		}
		d := b.NextDelay()
		is.True(d >= maxBackoff/4 && d < maxBackoff*5/4)
		seen[d] = true
	}
	is.True(len(seen) > 90)
}
