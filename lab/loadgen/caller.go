package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/wasabinotch/wasabinotch/api"
)

// resolveTimeout bounds one resolve request.
const resolveTimeout = 2 * time.Second

// caller simulates one client process of an organisation. It caches resolve
// responses until they expire.
type caller struct {
	org  Organisation
	zone string

	mu    sync.Mutex
	cache map[string]*cachedResolve // by service
}

// cachedResolve is the content of one resolve response.
type cachedResolve struct {
	entries    []string
	orderEpoch uint64
	expires    time.Time
}

func newID() string { return uuid.NewString() }

// chooseEntry returns the address of the entry to use for a service and the order
// epoch, from the cache or from a new resolve request.
func (g *Generator) chooseEntry(ctx context.Context, c *caller, service string) (string, uint64, *api.Refusal) {
	c.mu.Lock()
	known := c.cache[service]
	if known != nil && len(known.entries) > 0 && time.Now().Before(known.expires) {
		defer c.mu.Unlock()
		return known.entries[0], known.orderEpoch, nil
	}
	c.mu.Unlock()
	resolved, refusal := g.resolveAtAnyEntry(ctx, c, service)
	if refusal != nil {
		return "", 0, refusal
	}
	return resolved.Entries[0].Address, resolved.OrderEpoch, nil
}

// resolveAtAnyEntry sends resolve requests to the configured entries in random
// order until one succeeds, and caches the response.
func (g *Generator) resolveAtAnyEntry(ctx context.Context, c *caller, service string) (*api.ResolveResponse, *api.Refusal) {
	var refusal *api.Refusal
	for _, i := range rand.Perm(len(g.cfg.EntryAddrs)) {
		var resolved *api.ResolveResponse
		resolved, refusal = g.resolve(ctx, c, g.cfg.EntryAddrs[i], service)
		if refusal == nil {
			c.cacheResolve(service, resolved)
			return resolved, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	// A resolve request has no effect at an endpoint, so that its failure never
	// leaves an outcome unknown.
	refusal.Outcome = api.OutcomeNotRun
	return nil, refusal
}

func (c *caller) cacheResolve(service string, resolved *api.ResolveResponse) {
	k := &cachedResolve{
		orderEpoch: resolved.OrderEpoch,
		expires:    time.Now().Add(time.Duration(resolved.ValidMS) * time.Millisecond),
	}
	for _, e := range resolved.Entries {
		k.entries = append(k.entries, e.Address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache[service] = k
}

func (c *caller) dropCached(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cache, service)
}

// removeEntry removes an entry from the cached list after a failed attempt, so
// that the next attempt uses another one. The entries that the refusal names
// replace the list.
func (c *caller) removeEntry(service, entry string, refusal *api.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.cache[service]
	if known == nil {
		return
	}
	next := &cachedResolve{orderEpoch: known.orderEpoch, expires: known.expires}
	for _, e := range refusal.Entries {
		if e.Address != entry {
			next.entries = append(next.entries, e.Address)
		}
	}
	if len(next.entries) == 0 {
		for _, e := range known.entries {
			if e != entry {
				next.entries = append(next.entries, e)
			}
		}
	}
	c.cache[service] = next
}

// Bounds of the delay before the next attempt.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
)

// backOff waits before the next attempt: for the refusal's RetryAfterMS, or, if
// it is 0, for a jittered exponential delay. maxBackoff bounds both.
func backOff(ctx context.Context, refusal *api.Refusal, attempt int) {
	d := time.Duration(refusal.RetryAfterMS) * time.Millisecond
	if d == 0 {
		d = minBackoff << min(attempt, 6)
		d = d/2 + rand.N(d)
	}
	select {
	case <-time.After(min(d, maxBackoff)):
	case <-ctx.Done():
	}
}
