package placement

import (
	"hash/fnv"
	"time"
)

// DefaultReuseWeight is the weight of the reading that a held beginning saves.
const DefaultReuseWeight = 1.0

// Reuse configures how the beginnings of prompts that endpoints hold are taken into account.
type Reuse struct {
	// Weight multiplies the reading time that a held beginning saves; 0 switches this off.
	Weight float64
	// Retention is how long engines hold a prompt after its request.
	Retention time.Duration
}

// maxBeginnings bounds the beginnings that are kept for one endpoint, about as many as its
// running requests have.
const maxBeginnings = 256

// Beginning is the beginning of a prompt up to the end of one of its parts.
type Beginning struct {
	// Key identifies the parts and their order.
	Key uint64
	// Tokens is the length up to the end of the part.
	Tokens int
}

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Beginnings returns the beginnings of a prompt that may be worth knowing, the shortest one
// first: nil if reading all of them again takes less than is ever counted. The last part
// belongs to the request or its session, so it is read again only if prompts are retained.
func (e *Engine) Beginnings(parts []Part, target time.Duration, r Reuse) []Beginning {
	if r.Retention <= 0 && len(parts) > 0 {
		parts = parts[:len(parts)-1]
	}
	tokens := 0
	for _, p := range parts {
		tokens += p.Tokens
	}
	if r.Weight <= 0 || e.readingCost(tokens, target) < minSaving {
		return nil
	}
	all := make([]Beginning, len(parts))
	h := fnv.New64a()
	tokens = 0
	for i, p := range parts {
		_, _ = h.Write([]byte(p.ID)) // never fails
		_, _ = h.Write([]byte{0})
		tokens += p.Tokens
		all[i] = Beginning{Key: h.Sum64(), Tokens: tokens}
	}
	return all
}

// Beginnings are the beginnings of prompts that an endpoint holds, as far as one entry knows
// from what it sent there. An engine holds a prompt while a request with it runs, and for the
// given retention afterwards, unless later prompts have taken its memory.
type Beginnings struct {
	byKey map[uint64]*heldBeginning
	// sent is the number of tokens that were sent to the endpoint.
	sent int
}

type heldBeginning struct {
	// running is the number of requests with the beginning that have not ended.
	running int
	// endedAt is when the last one ended, sentAt the value of sent then.
	endedAt time.Time
	sentAt  int
}

// Begin records that a request with the beginnings was sent. It returns those that it
// recorded, for End.
func (b *Beginnings) Begin(all []Beginning, tokens int) []Beginning {
	b.sent += tokens
	for i, x := range all {
		h := b.byKey[x.Key]
		if h == nil {
			if len(b.byKey) >= maxBeginnings && !b.evict() {
				return all[:i] // shorter beginnings are more likely to be shared
			}
			if b.byKey == nil {
				b.byKey = make(map[uint64]*heldBeginning)
			}
			h = &heldBeginning{}
			b.byKey[x.Key] = h
		}
		h.running++
	}
	return all
}

// evict drops the beginning whose last request ended first, and reports whether there was
// one.
func (b *Beginnings) evict() bool {
	var oldest uint64
	found := false
	for key, h := range b.byKey {
		if h.running == 0 && (!found || h.endedAt.Before(b.byKey[oldest].endedAt)) {
			oldest, found = key, true
		}
	}
	delete(b.byKey, oldest)
	return found
}

// End records that a request has ended for which Begin returned the beginnings.
func (b *Beginnings) End(all []Beginning, retention time.Duration, now time.Time) {
	for _, x := range all {
		h := b.byKey[x.Key]
		if h.running--; h.running > 0 {
			continue
		}
		if retention <= 0 {
			delete(b.byKey, x.Key)
			continue
		}
		h.endedAt, h.sentAt = now, b.sent
	}
}

// Held returns the length of the longest of a prompt's beginnings that the endpoint still
// holds. free is the number of tokens that its memory has left: more than that, sent since a
// request with a beginning ended, has replaced the beginning.
func (b *Beginnings) Held(all []Beginning, retention time.Duration, free int, now time.Time) int {
	held := 0
	for _, x := range all {
		h := b.byKey[x.Key]
		if h == nil || h.running == 0 && (now.Sub(h.endedAt) > retention || b.sent-h.sentAt > free) {
			break
		}
		held = x.Tokens
	}
	return held
}
