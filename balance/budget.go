package balance

import "sync/atomic"

const (
	// tokensPerRequest is the number of tokens added by a request, so that 100 in
	// 1,000 requests may be retried. A larger fraction multiplies load during an
	// overload.
	tokensPerRequest = 100
	// retryBurst is the number of retries available after a period without retries.
	// It covers the streams that one entry has on one failing endpoint.
	retryBurst = 50
	// tokensPerRetry is the number of tokens that a retry takes.
	tokensPerRetry = 1000
)

// RetryBudget limits retries to a fraction of the requests plus a small burst. It is
// safe for concurrent use.
type RetryBudget struct {
	// tokens is the remaining budget, in thousandths of a retry.
	tokens atomic.Int64
}

// NewRetryBudget returns a budget that holds the full burst.
func NewRetryBudget() *RetryBudget {
	b := &RetryBudget{}
	b.tokens.Store(retryBurst * tokensPerRetry)
	return b
}

// RecordRequest adds the tokens of one first attempt.
func (b *RetryBudget) RecordRequest() {
	for {
		old := b.tokens.Load()
		next := min(old+tokensPerRequest, retryBurst*tokensPerRetry)
		if b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

// TakeRetry takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) TakeRetry() bool {
	for {
		old := b.tokens.Load()
		if old < tokensPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-tokensPerRetry) {
			return true
		}
	}
}
