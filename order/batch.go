package order

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/store"
)

const (
	// batchCollectTime is how long operations are collected for the next write,
	// counted from the start of the current one. A full batch is not delayed.
	batchCollectTime = 5 * time.Millisecond
	// maxBatchOperations bounds the operations of one write. If the new keys of a
	// batch would make the segment too large, all of them are refused, also those that
	// would fit; with small batches the segment is nearly full by then.
	maxBatchOperations = 32
	// maxAttempts bounds the compare-and-swap attempts, under conflicts, to write one
	// batch, create one epoch record or seal one segment.
	maxAttempts = 20
	// batchTimeout bounds the store calls of one batch.
	batchTimeout = 3 * time.Second
)

// operation is one call of Bind or Rebind that waits for its batch. It binds the key of
// an order to the agent incarnation that alone may run the order.
type operation struct {
	id   Identity // the order's key
	want Binding
	old  *Binding // the binding that Rebind replaces; nil for Bind
	done chan struct{}

	// Set before done is closed.
	result  Binding
	refusal *api.Refusal
}

// apply performs the operation on the segment and sets result to the key's binding
// afterwards: want if the operation took effect, else the current binding, or an empty
// one for a Rebind of a key without a binding. It reports whether the segment changed.
// fits is false if the operation needs a new key and full is set, since a full segment
// accepts none; result then has no meaning.
func (op *operation) apply(s *segment, full bool) (changed, fits bool) {
	current, found := s.Bindings[op.id.ScopedKey()]
	switch {
	case !found && op.old != nil:
		op.result = Binding{} // Rebind of a key without a binding
		return false, true
	case found && (op.old == nil || current != *op.old):
		op.result = current
		return false, true
	case !found && full:
		return false, false
	}
	s.Bindings[op.id.ScopedKey()] = op.want
	op.result = op.want
	return true, true
}

func (op *operation) finish(r *api.Refusal) {
	op.refusal = r
	close(op.done)
}

// segmentWriter batches the operations of one segment: operations that arrive while
// a write is in flight are collected for the next one. A segment is one value in
// the store, which each write replaces as a whole by compare-and-swap.
type segmentWriter struct {
	journal *Journal
	key     string

	mu      sync.Mutex
	running bool
	pending []*operation
}

func (w *segmentWriter) add(op *operation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, op)
	if !w.running {
		w.running = true
		go w.run()
	}
}

// takeBatch removes the next batch from the pending operations. If there are none, it
// marks the writer as not running, and run must return.
func (w *segmentWriter) takeBatch() []*operation {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.pending), maxBatchOperations)
	ops := w.pending[:n:n]
	w.pending = w.pending[n:]
	w.running = len(ops) > 0
	return ops
}

func (w *segmentWriter) run() {
	for {
		if w.pendingCount() > 0 {
			// Operations that arrive during the wait join the batch.
			_ = w.journal.batchLimiter.Wait(context.Background()) // no error: the context is never cancelled
		}
		ops := w.takeBatch()
		if len(ops) == 0 {
			return
		}
		collected := w.journal.cfg.Clock.After(batchCollectTime)
		w.flush(ops)
		if n := w.pendingCount(); n > 0 && n < maxBatchOperations {
			<-collected
		}
	}
}

func (w *segmentWriter) pendingCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}

// flush writes one batch. After a conflict or an unknown result it reads the segment
// again and reapplies the operations; one that has already taken effect finds its
// binding there.
func (w *segmentWriter) flush(ops []*operation) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	for i := range maxAttempts {
		if i > 0 && w.journal.batchLimiter.Wait(ctx) != nil {
			finishAll(ops, unavailableRefusal(store.ErrCallBudget))
			return
		}
		retry, err := w.tryWrite(ctx, ops)
		if err != nil {
			finishAll(ops, unavailableRefusal(err))
			return
		}
		if !retry {
			return
		}
	}
	finishAll(ops, unavailableRefusal(store.ErrConflict))
}

// tryWrite reads the segment, applies the operations and writes the result. It finishes
// all operations, or none if retry is true or err is not nil.
func (w *segmentWriter) tryWrite(ctx context.Context, ops []*operation) (retry bool, err error) {
	kv, err := w.journal.store.Get(ctx, w.key)
	if err != nil {
		return false, err
	}
	seg, err := decodeSegment(kv)
	if err != nil {
		return false, err
	}
	if seg.Sealed {
		finishAll(ops, closedJournalEpochRefusal())
		return false, nil
	}
	value, refused, err := applyWithinSizeLimit(kv, seg, ops)
	if err != nil {
		return false, err
	}
	if value != nil {
		err = w.journal.store.CompareAndSwap(ctx, w.key, value, kv.Revision)
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrResultUnknown) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	if len(refused) > 0 {
		w.journal.reportFullSegment(w.key)
	}
	for _, op := range ops {
		if refused[op] {
			op.finish(fullSegmentRefusal())
		} else {
			op.finish(nil)
		}
	}
	return false, nil
}

// applyWithinSizeLimit applies the operations to seg, which was decoded from kv. It
// returns the new value, nil if nothing changed, and the operations that are refused
// because their keys would make the segment too large. In that case it applies the
// operations again to the old segment, without new keys.
func applyWithinSizeLimit(kv store.KeyValue, seg *segment, ops []*operation) (value []byte, refused map[*operation]bool, err error) {
	value, refused, err = applyAndEncode(seg, ops, false)
	if err != nil || len(value) <= maxSegmentBytes {
		return value, refused, err
	}
	if seg, err = decodeSegment(kv); err != nil {
		return nil, nil, err
	}
	return applyAndEncode(seg, ops, true)
}

// applyAndEncode applies the operations to seg and returns its encoded value, nil if
// nothing changed, and the operations that are refused since full is set.
func applyAndEncode(seg *segment, ops []*operation, full bool) ([]byte, map[*operation]bool, error) {
	changed, refused := false, make(map[*operation]bool)
	for _, op := range ops {
		c, fits := op.apply(seg, full)
		changed = changed || c
		if !fits {
			refused[op] = true
		}
	}
	if !changed {
		return nil, refused, nil
	}
	value, err := json.Marshal(seg)
	return value, refused, err
}

func finishAll(ops []*operation, r *api.Refusal) {
	for _, op := range ops {
		op.finish(r)
	}
}

func unavailableRefusal(err error) *api.Refusal {
	const retryAfterMS = 1000
	r := api.NotRun(api.KindStoreUnavailable, "the order's key cannot be bound: "+err.Error(), "retry later, or use an order_identity from /v1/resolve, which needs no store")
	r.RetryAfterMS = retryAfterMS
	return r
}

// closedJournalEpochRefusal returns the refusal of keys of a closed epoch, one that is
// at least two behind the current one. The segments of closed epochs are sealed.
func closedJournalEpochRefusal() *api.Refusal {
	return api.Unknown(api.KindIdentityClosed, "the journal epoch of the key is closed",
		"check with the service whether the order took effect; ask /v1/resolve for the current order_epoch for a new order")
}

func fullSegmentRefusal() *api.Refusal {
	const retryAfterMS = 1000
	r := api.NotRun(api.KindStoreUnavailable, "the journal segment of the key is full", "ask /v1/resolve for the new order_epoch and prefix the key with it")
	r.RetryAfterMS = retryAfterMS
	return r
}
