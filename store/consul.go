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
)

// Limits of the client.
const (
	// DefaultCallsPerSecond and DefaultBurst are the call budget of one node.
	DefaultCallsPerSecond = 2
	DefaultBurst          = 5
	// callTimeout bounds one call, besides the wait of a watch.
	callTimeout = 2 * time.Second
	// maxAnswerBytes bounds an answer: two values of 1 MB in base64.
	maxAnswerBytes = 4 << 20
)

var calls = expvar.NewMap("store_calls") // by result

// Consul is a Store on Consul's KV HTTP API. It is safe for concurrent use.
type Consul struct {
	addrs   []string
	current atomic.Int64 // index of the address that answered last
	limiter *rate.Limiter
	http    *http.Client
	seen    seenPrefixes
}

// ConsulConfig configures a Consul client.
type ConsulConfig struct {
	// Addrs are the addresses (IP:port) of the service.
	Addrs []string
	// CallsPerSecond and Burst are the call budget. A waiting watch counts as one.
	CallsPerSecond float64
	Burst          int
	// Dial opens connections; nil for the default.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// NewConsul returns a client of the service.
func NewConsul(cfg ConsulConfig) *Consul {
	transport := &http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	return &Consul{
		addrs:   cfg.Addrs,
		limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.Burst),
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// pair is one entry of a Consul KV answer; encoding/json decodes the base64.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// answer is a whole HTTP answer.
type answer struct {
	status int
	index  uint64
	body   []byte
}

// Get implements Store.
func (c *Consul) Get(ctx context.Context, key string) (KeyValue, error) {
	a, err := c.call(ctx, http.MethodGet, key, nil, nil, 0)
	if err != nil {
		return KeyValue{}, err
	}
	entries, err := a.entries()
	if err != nil || len(entries) == 0 {
		return KeyValue{Key: key}, err
	}
	return entries[0], nil
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

// Watch implements Store. An index that goes backwards is returned as 0, as
// Consul's documentation asks, so that the next call returns at once.
//
// A waiting query asks for the names of the keys only, and the values are read
// when the index has changed: an answer without a change would otherwise carry
// the whole configuration, 131 KB for 500 organisations, each second.
func (c *Consul) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]KeyValue, uint64, error) {
	if known, found := c.seen.get(prefix, after); found {
		query := url.Values{
			"keys":  {"true"},
			"index": {strconv.FormatUint(after, 10)},
			"wait":  {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
		}
		a, err := c.call(ctx, http.MethodGet, prefix, query, nil, wait+wait/16) // Consul adds up to wait/16
		if err != nil {
			return nil, after, err
		}
		if a.index == after {
			return known, after, nil
		}
	}
	a, err := c.call(ctx, http.MethodGet, prefix, url.Values{"recurse": {"true"}}, nil, 0)
	if err != nil {
		return nil, after, err
	}
	entries, err := a.entries()
	if err != nil {
		return nil, after, err
	}
	if a.index < after {
		return entries, 0, nil
	}
	c.seen.set(prefix, a.index, entries)
	return entries, a.index, nil
}

// seenPrefixes keeps the values of the last read of each watched prefix.
type seenPrefixes struct {
	mu       sync.Mutex
	prefixes map[string]seenPrefix
}

type seenPrefix struct {
	index   uint64
	entries []KeyValue
}

// get returns the values as of index, if they are known.
func (s *seenPrefixes) get(prefix string, index uint64) ([]KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, found := s.prefixes[prefix]
	if !found || index == 0 || p.index != index {
		return nil, false
	}
	return slices.Clone(p.entries), true
}

func (s *seenPrefixes) set(prefix string, index uint64, entries []KeyValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prefixes == nil {
		s.prefixes = make(map[string]seenPrefix)
	}
	s.prefixes[prefix] = seenPrefix{index: index, entries: slices.Clone(entries)}
}

func (c *Consul) write(ctx context.Context, method, key string, query url.Values, value []byte) error {
	a, err := c.call(ctx, method, key, query, value, 0)
	if err != nil {
		return err
	}
	switch string(bytes.TrimSpace(a.body)) {
	case "true":
		return nil
	case "false":
		return ErrConflict
	}
	return fmt.Errorf("%w: answer %.40q", ErrResultUnknown, a.body)
}

// call makes one call within the budget. Only a call for which no connection
// was obtained, or a read, is repeated at the next address.
func (c *Consul) call(ctx context.Context, method, key string, query url.Values, body []byte, wait time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		calls.Add("budget", 1)
		return answer{}, ErrCallBudget
	}
	var err error
	first := int(c.current.Load())
	for i := range c.addrs {
		n := (first + i) % len(c.addrs)
		var a answer
		var sent bool
		a, sent, err = c.try(ctx, c.addrs[n], method, key, query, body)
		if err == nil {
			c.current.Store(int64(n))
			calls.Add("ok", 1)
			return a, nil
		}
		if sent && method != http.MethodGet {
			calls.Add("unknown", 1)
			return answer{}, fmt.Errorf("%w: %v", ErrResultUnknown, err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	c.current.Store(int64((first + 1) % len(c.addrs)))
	calls.Add("unavailable", 1)
	return answer{}, fmt.Errorf("%w: %v", ErrUnavailable, err)
}

// try makes one HTTP call; sent is false if it certainly had no effect.
func (c *Consul) try(ctx context.Context, addr, method, key string, query url.Values, body []byte) (a answer, sent bool, err error) {
	tracer := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	target := url.URL{Scheme: "http", Host: addr, Path: "/v1/kv/" + key, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, tracer), method, target.String(), bytes.NewReader(body))
	if err != nil {
		return answer{}, false, trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, sent, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, true, err
	}
	index, _ := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	a = answer{status: resp.StatusCode, index: index, body: data}
	switch {
	case a.status == http.StatusOK, a.status == http.StatusNotFound && method == http.MethodGet:
		return a, true, nil
	case a.status >= 400 && a.status < 500:
		return answer{}, false, fmt.Errorf("refused with status %d: %.80s", a.status, data)
	}
	// A 5xx may follow a write that is committed later.
	return answer{}, true, fmt.Errorf("failed with status %d: %.80s", a.status, data)
}

func (a answer) entries() ([]KeyValue, error) {
	if a.status == http.StatusNotFound {
		return nil, nil
	}
	var pairs []pair
	if err := json.Unmarshal(a.body, &pairs); err != nil {
		return nil, fmt.Errorf("%w: answer is not a KV list: %v", ErrUnavailable, err)
	}
	entries := make([]KeyValue, len(pairs))
	for i, p := range pairs {
		entries[i] = KeyValue{Key: p.Key, Value: p.Value, Revision: p.ModifyIndex}
	}
	return entries, nil
}
