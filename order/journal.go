package order

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/store"
)

const (
	// epochLength is the time after which an entry advances the epoch it sees.
	// Only the size of segments depends on it, not safety.
	epochLength = time.Hour
	// refreshEvery is the interval of reading the epochs.
	refreshEvery = 10 * time.Second
	// firstLook is the interval of looking for the services before there is a
	// bundle; it costs no call.
	firstLook = 250 * time.Millisecond
	// firstRead is the least interval of reading while an epoch was never read;
	// as much again is added at random, so that entries do not call together.
	firstRead = time.Second
)

// JournalConfig configures a Journal.
type JournalConfig struct {
	Clock clockwork.Clock
	Log   logr.Logger
	// Services lists the services with non-idempotent paths in the bundle in force.
	Services func() []string
	// BatchesPerSecond and Burst bound the batches begun, each of a read and a
	// write. Half of the store client's call budget keeps a batch from waiting
	// for the budget between its read and its write, where the writes of other
	// entries make it conflict. 0 for no bound.
	BatchesPerSecond float64
	Burst            int
}

// Journal binds callers' own keys to agent incarnations in the store. It
// implements Binder.
//
// A binding is created by compare-and-swap of its segment, so that all entries
// agree on one. Segments are removed only by sealing them, also by
// compare-and-swap, once the epoch is two behind; a key of a sealed segment
// can never be bound again, however old an entry's view of the epoch is.
type Journal struct {
	store store.Store
	cfg   JournalConfig

	mu      sync.Mutex
	epochs  map[string]epochView
	writers map[string]*writer // by segment key
	full    map[string]bool    // services whose epoch should advance
	wake    chan struct{}
	pace    *rate.Limiter // of batches
}

// epochView is an entry's view of a service's epoch.
type epochView struct {
	record epochRecord
	since  time.Time // when this entry first saw the epoch
}

var _ Binder = (*Journal)(nil)

// NewJournal returns a journal over s. Run keeps its epochs current.
func NewJournal(s store.Store, cfg JournalConfig) *Journal {
	pace := rate.NewLimiter(rate.Inf, 0)
	if cfg.BatchesPerSecond > 0 {
		pace = rate.NewLimiter(rate.Limit(cfg.BatchesPerSecond), max(cfg.Burst, 1))
	}
	return &Journal{
		pace:    pace,
		store:   s,
		cfg:     cfg,
		epochs:  make(map[string]epochView),
		writers: make(map[string]*writer),
		full:    make(map[string]bool),
		wake:    make(chan struct{}, 1),
	}
}

// JournalEpoch implements Binder. It returns 0 before the epoch was read.
func (j *Journal) JournalEpoch(service string) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.epochs[service].record.Epoch
}

// Bind implements Binder.
func (j *Journal) Bind(ctx context.Context, service string, id Identity, want Binding) (Binding, error) {
	return j.do(ctx, service, &operation{id: id, want: want, done: make(chan struct{})})
}

// Rebind implements Binder. If the binding is no longer old, the current one
// is returned unchanged.
func (j *Journal) Rebind(ctx context.Context, service string, id Identity, old, want Binding) (Binding, error) {
	return j.do(ctx, service, &operation{id: id, want: want, old: &old, done: make(chan struct{})})
}

func (j *Journal) do(ctx context.Context, service string, op *operation) (Binding, error) {
	if r := j.checkEpoch(ctx, service, op.id); r != nil {
		return Binding{}, r
	}
	j.writer(segmentKey(service, op.id.JournalEpoch, shardOf(op.id))).add(op)
	select {
	case <-op.done:
	case <-ctx.Done():
		return Binding{}, unavailable(ctx.Err())
	}
	if op.refusal != nil {
		r := *op.refusal
		return Binding{}, &r
	}
	if op.result == (Binding{}) {
		return Binding{}, api.Unknown(api.KindConflict, "the key has no binding to replace", "bind the key first")
	}
	return op.result, nil
}

// checkEpoch refuses keys whose epoch is closed, or not open yet, in this
// entry's view. A view that is too old is caught by the sealed segment.
func (j *Journal) checkEpoch(ctx context.Context, service string, id Identity) *api.Refusal {
	if id.Issued || id.JournalEpoch == 0 {
		return api.NotRun(api.KindBadRequest, "the key is not a caller's own key", "send e<epoch>.<key>")
	}
	if id.JournalEpoch > j.JournalEpoch(service) {
		if err := j.RefreshEpoch(ctx, service); err != nil {
			return unavailable(err)
		}
	}
	epoch := j.JournalEpoch(service)
	if id.JournalEpoch > epoch {
		message := fmt.Sprintf("journal epoch %d of the key is not open; the current one is %d", id.JournalEpoch, epoch)
		return api.NotRun(api.KindBadRequest, message, "ask /v1/resolve for the current order_epoch")
	}
	if id.JournalEpoch <= sealedEpoch(epoch) {
		return epochClosed()
	}
	return nil
}

func (j *Journal) writer(key string) *writer {
	j.mu.Lock()
	defer j.mu.Unlock()
	w := j.writers[key]
	if w == nil {
		w = &writer{journal: j, key: key}
		j.writers[key] = w
	}
	return w
}

// segmentFull asks for a new epoch of the segment's service.
func (j *Journal) segmentFull(key string) {
	service, _, _ := strings.Cut(strings.TrimPrefix(key, store.PrefixOrders), "/")
	j.mu.Lock()
	j.full[service] = true
	j.mu.Unlock()
	j.cfg.Log.Info("journal segment is full", "segment", key)
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// setEpoch takes over a record that was read from the store. Records only
// move forward.
func (j *Journal) setEpoch(service string, r epochRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	v, found := j.epochs[service]
	if r.Epoch < v.record.Epoch || (r.Epoch == v.record.Epoch && r.SealedTo < v.record.SealedTo) {
		return
	}
	if !found || r.Epoch > v.record.Epoch {
		v.since = j.cfg.Clock.Now()
		delete(j.full, service)
	}
	v.record = r
	j.epochs[service] = v
	j.dropWriters(service, sealedEpoch(r.Epoch))
}

// dropWriters forgets the writers of closed epochs.
func (j *Journal) dropWriters(service string, closed uint64) {
	prefix := store.PrefixOrders + service + "/"
	for key := range j.writers {
		var epoch uint64
		var shard int
		rest, found := strings.CutPrefix(key, prefix)
		if !found {
			continue
		}
		if _, err := fmt.Sscanf(rest, "%d/%d", &epoch, &shard); err == nil && epoch <= closed {
			delete(j.writers, key)
		}
	}
}

// Run reads and advances the epochs until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	for {
		timer := j.cfg.Clock.NewTimer(j.refresh(ctx))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.Chan():
		case <-j.wake:
			timer.Stop()
		}
	}
}

// refresh maintains the epochs of all services and returns the time to wait
// before the next round: a short one while an epoch was never read, since
// callers cannot use their own keys without it.
func (j *Journal) refresh(ctx context.Context) time.Duration {
	services := j.cfg.Services()
	next := refreshEvery
	if len(services) == 0 {
		next = firstLook
	}
	for _, service := range services {
		if err := j.maintain(ctx, service); err != nil && !errors.Is(err, context.Canceled) {
			j.cfg.Log.Info("journal epoch was not read", "service", service, "reason", err.Error())
		}
		if j.JournalEpoch(service) == 0 {
			next = firstRead + rand.N(firstRead)
		}
	}
	return next
}
