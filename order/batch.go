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
	// collectFor is how long the operations of a following write are collected.
	collectFor = 5 * time.Millisecond
	// maxBatch bounds the operations of one write, so that a segment is nearly
	// full before a batch of new keys is refused as a whole.
	maxBatch = 32
	// maxTries bounds the compare-and-swap writes of one batch under conflicts.
	maxTries = 20
	// batchTimeout bounds the store calls of one batch.
	batchTimeout = 3 * time.Second
)

// operation is one Bind or Rebind waiting for its batch.
type operation struct {
	id   Identity
	want Binding
	old  *Binding // set for Rebind
	done chan struct{}

	// Set before done is closed.
	result  Binding
	refusal *api.Refusal
}

// apply performs the operation on the segment; it reports whether the segment
// changed and whether the operation was possible. A full segment takes no new keys.
func (op *operation) apply(s *segment, full bool) (changed, possible bool) {
	current, found := s.Bindings[op.id.ScopedKey()]
	switch {
	case !found && op.old != nil:
		op.result = Binding{} // nothing to replace
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

func (op *operation) end(r *api.Refusal) {
	op.refusal = r
	close(op.done)
}

// writer batches the operations of one segment: while one write is in flight,
// the next operations are collected.
type writer struct {
	journal *Journal
	key     string

	mu      sync.Mutex
	busy    bool
	pending []*operation
}

func (w *writer) add(op *operation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, op)
	if !w.busy {
		w.busy = true
		go w.run()
	}
}

func (w *writer) take() []*operation {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.pending), maxBatch)
	ops := w.pending[:n:n]
	w.pending = w.pending[n:]
	w.busy = len(ops) > 0
	return ops
}

func (w *writer) run() {
	for {
		if w.waiting() > 0 {
			// Operations that come during the wait join the batch.
			_ = w.journal.pace.Wait(context.Background()) // the context does not end
		}
		ops := w.take()
		if len(ops) == 0 {
			return
		}
		collected := w.journal.cfg.Clock.After(collectFor)
		w.flush(ops)
		if n := w.waiting(); n > 0 && n < maxBatch {
			<-collected
		}
	}
}

func (w *writer) waiting() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}

// flush writes one batch. After a conflict or an unknown result the segment is
// read again and the operations are applied anew: an operation that has taken
// effect finds its own binding.
func (w *writer) flush(ops []*operation) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	for i := range maxTries {
		if i > 0 && w.journal.pace.Wait(ctx) != nil {
			endAll(ops, unavailable(store.ErrCallBudget))
			return
		}
		retry, err := w.try(ctx, ops)
		if err != nil {
			endAll(ops, unavailable(err))
			return
		}
		if !retry {
			return
		}
	}
	endAll(ops, unavailable(store.ErrConflict))
}

// try reads the segment, applies the operations and writes it. If retry is
// true, nothing has been answered.
func (w *writer) try(ctx context.Context, ops []*operation) (retry bool, err error) {
	entry, err := w.journal.store.Get(ctx, w.key)
	if err != nil {
		return false, err
	}
	seg, err := decodeSegment(entry)
	if err != nil {
		return false, err
	}
	if seg.Sealed {
		endAll(ops, epochClosed())
		return false, nil
	}
	value, refused, err := applyAll(entry, seg, ops)
	if err != nil {
		return false, err
	}
	if value != nil {
		err = w.journal.store.CompareAndSwap(ctx, w.key, value, entry.Revision)
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrResultUnknown) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	if len(refused) > 0 {
		w.journal.segmentFull(w.key)
	}
	for _, op := range ops {
		if refused[op] {
			op.end(epochFull())
		} else {
			op.end(nil)
		}
	}
	return false, nil
}

// applyAll applies the operations to the segment read as entry. It returns the
// new value, nil if nothing changed, and the operations refused because their
// keys would make the segment too large.
func applyAll(entry store.KeyValue, seg *segment, ops []*operation) (value []byte, refused map[*operation]bool, err error) {
	value, refused, err = applyTo(seg, ops, false)
	if err != nil || len(value) <= maxSegmentBytes {
		return value, refused, err
	}
	if seg, err = decodeSegment(entry); err != nil {
		return nil, nil, err
	}
	return applyTo(seg, ops, true)
}

func applyTo(seg *segment, ops []*operation, full bool) ([]byte, map[*operation]bool, error) {
	changed, refused := false, make(map[*operation]bool)
	for _, op := range ops {
		c, possible := op.apply(seg, full)
		changed = changed || c
		if !possible {
			refused[op] = true
		}
	}
	if !changed {
		return nil, refused, nil
	}
	value, err := json.Marshal(seg)
	return value, refused, err
}

func endAll(ops []*operation, r *api.Refusal) {
	for _, op := range ops {
		op.end(r)
	}
}

func unavailable(err error) *api.Refusal {
	const retryAfterMS = 1000
	r := api.NotRun(api.KindStoreUnavailable, "the order's key cannot be bound: "+err.Error(), "retry later, or use an order_identity from /v1/resolve, which needs no store")
	r.RetryAfterMS = retryAfterMS
	return r
}

func epochClosed() *api.Refusal {
	return api.Unknown(api.KindIdentityClosed, "the journal epoch of the key is closed",
		"check with the service whether the order took effect; ask /v1/resolve for the current order_epoch for a new order")
}

func epochFull() *api.Refusal {
	const retryAfterMS = 1000
	r := api.NotRun(api.KindStoreUnavailable, "the journal segment of the key is full", "ask /v1/resolve for the new order_epoch and prefix the key with it")
	r.RetryAfterMS = retryAfterMS
	return r
}
