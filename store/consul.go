package store

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"github.com/wasabinotch/wasabinotch/httpguard"
)

// Limits of the client.
const (
	// DefaultCallsPerSecond and DefaultBurst are the call budget of one node.
	DefaultCallsPerSecond = 2
	DefaultBurst          = 5
	// callTimeout bounds one call, besides the wait of a watch.
	callTimeout = 2 * time.Second
	// maxResponseBytes bounds a response: two values of 1 MB in base64.
	maxResponseBytes = 4 << 20
)

var callCounts = expvar.NewMap("store_calls") // by result

// Consul is a Store on Consul's KV HTTP API. It is safe for concurrent use.
type Consul struct {
	addrs         []string
	preferredAddr atomic.Int64 // index of the address that responded last
	limiter       *rate.Limiter
	http          *http.Client
	lastReads     prefixReads
}

// ConsulConfig configures a Consul client.
type ConsulConfig struct {
	// Addrs are the addresses (IP:port) of the service.
	Addrs []string
	// CallsPerSecond and Burst are the call budget. A call that waits for a change
	// counts as one.
	CallsPerSecond float64
	Burst          int
	// Dial opens connections; nil for the default.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// NewConsul returns a client of the service.
func NewConsul(cfg ConsulConfig) *Consul {
	transport := httpguard.NewTransport(&http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute})
	return &Consul{
		addrs:   cfg.Addrs,
		limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.Burst),
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// pair is one element of a Consul KV response; encoding/json decodes the base64 of
// Value.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// response is a complete HTTP response.
type response struct {
	status int
	index  uint64
	body   []byte
}

// Get implements Store.
func (c *Consul) Get(ctx context.Context, key string) (KeyValue, error) {
	resp, err := c.call(ctx, http.MethodGet, key, nil, nil, 0)
	if err != nil {
		return KeyValue{}, err
	}
	kvs, err := resp.keyValues()
	if err != nil || len(kvs) == 0 {
		return KeyValue{Key: key}, err
	}
	return kvs[0], nil
}

// CompareAndSwap implements Store.
func (c *Consul) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) error {
	query := url.Values{"cas": {strconv.FormatUint(revision, 10)}}
	return c.write(ctx, http.MethodPut, key, query, value)
}

// Delete implements Store.
func (c *Consul) Delete(ctx context.Context, key string, revision uint64) error {
	if revision == 0 {
		// Consul deletes unconditionally when the index is 0.
		return trace.BadParameter("store: delete of %q at revision 0; give the revision that was read", key)
	}
	query := url.Values{"cas": {strconv.FormatUint(revision, 10)}}
	return c.write(ctx, http.MethodDelete, key, query, nil)
}

// Watch implements Store. If the index goes backwards, it returns 0 so that the next
// call returns at once, as Consul's documentation requires.
//
// A waiting query requests only the names of the keys, and the values are read when
// the index has changed. Otherwise a response without a change would transfer the
// whole configuration, 131 KB for 500 organisations, each second.
func (c *Consul) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]KeyValue, uint64, error) {
	if known, found := c.lastReads.get(prefix, after); found {
		query := url.Values{
			"keys":  {"true"},
			"index": {strconv.FormatUint(after, 10)},
			"wait":  {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
		}
		resp, err := c.call(ctx, http.MethodGet, prefix, query, nil, wait+wait/16) // Consul adds up to wait/16
		if err != nil {
			return nil, after, err
		}
		if resp.index == after {
			return known, after, nil
		}
	}
	resp, err := c.call(ctx, http.MethodGet, prefix, url.Values{"recurse": {"true"}}, nil, 0)
	if err != nil {
		return nil, after, err
	}
	kvs, err := resp.keyValues()
	if err != nil {
		return nil, after, err
	}
	if resp.index < after {
		return kvs, 0, nil
	}
	c.lastReads.set(prefix, resp.index, kvs)
	return kvs, resp.index, nil
}

// prefixReads holds the result of the last read of each watched prefix.
type prefixReads struct {
	mu       sync.Mutex
	byPrefix map[string]prefixRead
}

type prefixRead struct {
	index uint64
	kvs   []KeyValue
}

// get returns the values as of index, if they are known.
func (s *prefixReads) get(prefix string, index uint64) ([]KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, found := s.byPrefix[prefix]
	if !found || index == 0 || p.index != index {
		return nil, false
	}
	return slices.Clone(p.kvs), true
}

func (s *prefixReads) set(prefix string, index uint64, kvs []KeyValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byPrefix == nil {
		s.byPrefix = make(map[string]prefixRead)
	}
	s.byPrefix[prefix] = prefixRead{index: index, kvs: slices.Clone(kvs)}
}

func (c *Consul) write(ctx context.Context, method, key string, query url.Values, value []byte) error {
	resp, err := c.call(ctx, method, key, query, value, 0)
	if err != nil {
		return err
	}
	switch string(bytes.TrimSpace(resp.body)) {
	case "true":
		return nil
	case "false":
		return ErrConflict
	}
	return fmt.Errorf("%w: answer %.40q", ErrResultUnknown, resp.body)
}

// call makes one call within the budget. It retries at the next address only if the
// call is a read or no connection was obtained.
func (c *Consul) call(ctx context.Context, method, key string, query url.Values, body []byte, wait time.Duration) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		callCounts.Add("budget", 1)
		return response{}, ErrCallBudget
	}
	var err error
	first := int(c.preferredAddr.Load())
	for i := range c.addrs {
		n := (first + i) % len(c.addrs)
		var resp response
		var sent bool
		resp, sent, err = c.tryAddr(ctx, c.addrs[n], method, key, query, body)
		if err == nil {
			c.preferredAddr.Store(int64(n))
			callCounts.Add("ok", 1)
			return resp, nil
		}
		if sent && method != http.MethodGet {
			callCounts.Add("unknown", 1)
			return response{}, fmt.Errorf("%w: %v", ErrResultUnknown, err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	c.preferredAddr.Store(int64((first + 1) % len(c.addrs)))
	callCounts.Add("unavailable", 1)
	return response{}, fmt.Errorf("%w: %v", ErrUnavailable, err)
}

// tryAddr makes one HTTP call; sent is false if the call certainly had no effect.
func (c *Consul) tryAddr(ctx context.Context, addr, method, key string, query url.Values, body []byte) (result response, sent bool, err error) {
	tracer := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	target := url.URL{Scheme: "http", Host: addr, Path: "/v1/kv/" + key, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, tracer), method, target.String(), bytes.NewReader(body))
	if err != nil {
		return response{}, false, trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, sent, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, true, err
	}
	index, _ := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	result = response{status: resp.StatusCode, index: index, body: data}
	switch {
	case result.status == http.StatusOK, result.status == http.StatusNotFound && method == http.MethodGet:
		return result, true, nil
	case result.status >= 400 && result.status < 500:
		return response{}, false, fmt.Errorf("refused with status %d: %.80s", result.status, data)
	}
	// A 5xx may follow a write that is committed later.
	return response{}, true, fmt.Errorf("failed with status %d: %.80s", result.status, data)
}

func (r response) keyValues() ([]KeyValue, error) {
	if r.status == http.StatusNotFound {
		return nil, nil
	}
	var pairs []pair
	if err := json.Unmarshal(r.body, &pairs); err != nil {
		return nil, fmt.Errorf("%w: answer is not a KV list: %v", ErrUnavailable, err)
	}
	kvs := make([]KeyValue, len(pairs))
	for i, p := range pairs {
		kvs[i] = KeyValue{Key: p.Key, Value: p.Value, Revision: p.ModifyIndex}
	}
	return kvs, nil
}
