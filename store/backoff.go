package store

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Bounds of the delay between failed calls.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// Backoff draws growing delays with jitter, so that the nodes do not all call at
// once when the service recovers. The zero value is ready for use.
type Backoff struct {
	// Max is the base of the longest delay, which is up to 1.25 times as long; 0
	// means maxBackoff.
	Max      time.Duration
	failures int
}

// NextDelay records a failed call and returns the delay before the next one.
func (b *Backoff) NextDelay() time.Duration {
	limit := min(minBackoff<<min(b.failures, 4), cmp.Or(b.Max, maxBackoff))
	b.failures++
	return limit/4 + rand.N(limit)
}

// Reset records a successful call.
func (b *Backoff) Reset() {
	b.failures = 0
}

// Jitter returns a random delay up to limit.
func Jitter(limit time.Duration) time.Duration {
	return rand.N(limit)
}
