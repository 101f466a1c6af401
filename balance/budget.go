package balance

import "sync/atomic"

const (
	// retryPermille is the share of requests that may be retried, in
	// thousandths. A larger share multiplies load during an overload.
	retryPermille = 100
	// retryBurst is the number of retries available after a quiet period. It
	// covers the streams that one entry has on one failing endpoint.
	retryBurst = 50
	milli      = 1000
)

// RetryBudget limits retries to a share of the traffic plus a small burst. It is
// safe for concurrent use.
type RetryBudget struct {
	// tokens is in thousandths of a retry.
	tokens atomic.Int64
}

// NewRetryBudget returns a budget that holds the full burst.
func NewRetryBudget() *RetryBudget {
	b := &RetryBudget{}
	b.tokens.Store(retryBurst * milli)
	return b
}

// RecordRequest records one first attempt.
func (b *RetryBudget) RecordRequest() {
	for {
		old := b.tokens.Load()
		next := min(old+retryPermille, retryBurst*milli)
		if b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

// TakeRetry takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) TakeRetry() bool {
	for {
		old := b.tokens.Load()
		if old < milli {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-milli) {
			return true
		}
	}
}
