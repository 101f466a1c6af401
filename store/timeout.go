package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// ErrStalled ends a read of which nothing has arrived for too long.
var ErrStalled = errors.New("store: stalled: nothing more arrived; the connection may be dead, read again on another one")

// ErrReadTooLong ends a read that has taken too long although it progressed.
var ErrReadTooLong = errors.New("store: the read took too long; remove large keys that don't belong to the system, or widen the link to the store")

// ReadTimeouts bounds a read whose size isn't known: other writers may leave large values
// among those of the system. A silent connection and a narrow link differ only in whether
// more arrives, so each arrival restarts the timeout.
type ReadTimeouts struct {
	// First is the longest time until the first arrival, Stall the longest time between two.
	First, Stall time.Duration
	// Total is the longest time after the first arrival.
	Total time.Duration
}

// progressKey is the key of the function that records progress in the context of a read.
type progressKey struct{}

// WithProgress returns a context whose reads call f each time something arrives.
func WithProgress(ctx context.Context, f func()) context.Context {
	outer, _ := ctx.Value(progressKey{}).(func())
	return context.WithValue(ctx, progressKey{}, func() {
		f()
		if outer != nil {
			outer()
		}
	})
}

// WithoutProgress returns a context whose reads don't count as progress of the read that ctx
// belongs to.
func WithoutProgress(ctx context.Context) context.Context {
	return context.WithValue(ctx, progressKey{}, nil)
}

// RecordProgress is called by implementations of Store and ChangeFeed when a part of a
// response arrives; ctx is the context of the call.
func RecordProgress(ctx context.Context) {
	if f, ok := ctx.Value(progressKey{}).(func()); ok {
		f()
	}
}

// ProgressReader returns a reader that records the progress of a call when bytes arrive
// from r.
func ProgressReader(ctx context.Context, r io.Reader) io.Reader { return progressReader{r, ctx} }

type progressReader struct {
	io.Reader
	ctx context.Context
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		RecordProgress(r.ctx)
	}
	return n, err
}

// Start returns a context that ends with ErrStalled or ErrReadTooLong as its cause. The
// caller calls cancel when the read ends.
func (t ReadTimeouts) Start(ctx context.Context) (_ context.Context, cancel context.CancelFunc) {
	ctx, end := context.WithCancelCause(ctx)
	r := &timedRead{timeouts: t}
	r.stall = time.AfterFunc(t.First, func() { end(fmt.Errorf("%w (after %v)", ErrStalled, r.limit())) })
	return WithProgress(ctx, func() { r.progress(end) }), func() {
		r.stop()
		end(nil)
	}
}

// timedRead holds the timers of a read.
type timedRead struct {
	timeouts ReadTimeouts

	mu sync.Mutex
	// stall ends the read unless progress restarts it. total is nil before the first
	// arrival.
	stall, total *time.Timer
	stopped      bool
}

func (r *timedRead) progress(end context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	if r.total == nil {
		r.total = time.AfterFunc(r.timeouts.Total, func() { end(fmt.Errorf("%w (%v)", ErrReadTooLong, r.timeouts.Total)) })
	}
	r.stall.Reset(r.timeouts.Stall)
}

// limit returns the timeout in effect.
func (r *timedRead) limit() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.total == nil {
		return r.timeouts.First
	}
	return r.timeouts.Stall
}

func (r *timedRead) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.stall.Stop()
	if r.total != nil {
		r.total.Stop()
	}
}
