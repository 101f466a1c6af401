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

// caller is one client process of an organisation. It keeps resolve answers
// for their validity.
type caller struct {
	org  Organisation
	zone string

	mu    sync.Mutex
	cache map[string]*cached // by service
}

type cached struct {
	entries []string
	epoch   uint64
	until   time.Time
}

func newID() string { return uuid.NewString() }

// entry returns the entry to use for a service, resolving if needed, and the
// order epoch.
func (g *Generator) entry(ctx context.Context, c *caller, service string) (string, uint64, *api.Refusal) {
	c.mu.Lock()
	known := c.cache[service]
	if known != nil && len(known.entries) > 0 && time.Now().Before(known.until) {
		defer c.mu.Unlock()
		return known.entries[0], known.epoch, nil
	}
	c.mu.Unlock()
	resolved, refusal := g.resolveAnywhere(ctx, c, service)
	if refusal != nil {
		return "", 0, refusal
	}
	return resolved.Entries[0].Address, resolved.OrderEpoch, nil
}

// resolveAnywhere asks the known entries in random order until one answers,
// and keeps the answer.
func (g *Generator) resolveAnywhere(ctx context.Context, c *caller, service string) (*api.ResolveResponse, *api.Refusal) {
	var refusal *api.Refusal
	for _, i := range rand.Perm(len(g.cfg.EntryAddrs)) {
		var resolved *api.ResolveResponse
		resolved, refusal = g.resolve(ctx, c, g.cfg.EntryAddrs[i], service)
		if refusal == nil {
			c.keep(service, resolved)
			return resolved, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	// A resolve request runs nothing, whatever became of it.
	refusal.Outcome = api.OutcomeNotRun
	return nil, refusal
}

func (c *caller) keep(service string, resolved *api.ResolveResponse) {
	k := &cached{
		epoch: resolved.OrderEpoch,
		until: time.Now().Add(time.Duration(resolved.ValidMS) * time.Millisecond),
	}
	for _, e := range resolved.Entries {
		k.entries = append(k.entries, e.Address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache[service] = k
}

// forget drops the kept answer for a service.
func (c *caller) forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cache, service)
}

// avoid drops an entry after a failed attempt, so that the next one is used,
// and takes over the entries that a refusal names.
func (c *caller) avoid(service, entry string, refusal *api.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.cache[service]
	if known == nil {
		return
	}
	next := &cached{epoch: known.epoch, until: known.until}
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

// Pauses before the next attempt.
const (
	minPause = 10 * time.Millisecond
	maxPause = time.Second
)

// pause waits as the refusal asks, or with jittered exponential back-off.
func pause(ctx context.Context, refusal *api.Refusal, attempt int) {
	d := time.Duration(refusal.RetryAfterMS) * time.Millisecond
	if d == 0 {
		d = minPause << min(attempt, 6)
		d = d/2 + rand.N(d)
	}
	select {
	case <-time.After(min(d, maxPause)):
	case <-ctx.Done():
	}
}
