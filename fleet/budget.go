package fleet

import (
	"sync"
	"time"
)

// RetryBudget bounds the repeats that this entry sends to one service. The bound is
// this entry's part of one that holds for all entries together: a share of the
// requests of the window, and a fixed number that the entries split.
type RetryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu       sync.Mutex
	requests []time.Time
	repeats  []time.Time
}

// NewRetryBudget returns a budget of ratio repeats a request and slack more, over a
// window, for all entries together.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window}
}

// budgetMargin keeps the entries' sum below the bound when requests of one
// window are repeated in the next, or when entries join.
const budgetMargin = 0.7

// RecordRequest records a request of a caller.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.requests = append(trim(b.requests, now.Add(-b.window)), now)
}

// TakeRetry takes one repeat and reports whether there was one left. entries is
// the number of entries that share the bound.
func (b *RetryBudget) TakeRetry(entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.requests = trim(b.requests, now.Add(-b.window))
	b.repeats = trim(b.repeats, now.Add(-b.window))
	allowed := budgetMargin * (b.ratio*float64(len(b.requests)) + b.slack/float64(max(1, entries)))
	if float64(len(b.repeats)+1) > allowed {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

func trim(times []time.Time, before time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(before) {
		i++
	}
	return times[i:]
}
