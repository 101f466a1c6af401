package fleet

import (
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/share"
)

// RetryBudget bounds the retries that this entry sends to one service. The bound is
// this entry's share of a bound for all entries together: a fraction of the requests in
// the window, plus this entry's part of a fixed number.
type RetryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu       sync.Mutex
	requests []time.Time
	retries  []time.Time
}

// NewRetryBudget returns a budget that allows all entries together ratio retries per
// request plus slack further ones within window.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window}
}

// budgetMargin keeps the sum over the entries below the bound when requests of one
// window are retried in the next.
const budgetMargin = 0.7

// RecordRequest counts a caller's request.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.requests = append(dropBefore(b.requests, now.Add(-b.window)), now)
}

// TakeRetry consumes one retry and reports whether one was available. part is this entry's
// part of the fixed number of retries.
func (b *RetryBudget) TakeRetry(part share.Part) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.requests = dropBefore(b.requests, now.Add(-b.window))
	b.retries = dropBefore(b.retries, now.Add(-b.window))
	allowed := budgetMargin*b.ratio*float64(len(b.requests)) + b.slack*part.Use(b.window, now)
	if float64(len(b.retries)+1) > allowed {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// dropBefore returns the times from the first one that isn't before the given time.
func dropBefore(times []time.Time, before time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(before) {
		i++
	}
	return times[i:]
}
