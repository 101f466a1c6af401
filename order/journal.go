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
	// journalEpochLength is the age at which an entry advances the epoch in its
	// view. Only the size of segments depends on it, not safety.
	journalEpochLength = time.Hour
	// refreshInterval is the interval between reads of the epochs.
	refreshInterval = 10 * time.Second
	// noServicesInterval is the interval at which the list of services is checked
	// while it is empty, as before the first bundle. A check makes no store call.
	noServicesInterval = 250 * time.Millisecond
	// firstReadInterval is the minimum interval between reads while an epoch has
	// never been read. A random time of up to the same length is added, so that
	// entries do not call the store simultaneously.
	firstReadInterval = time.Second
)

// JournalConfig configures a Journal.
type JournalConfig struct {
	Clock clockwork.Clock
	Log   logr.Logger
	// Services lists the services with non-idempotent paths in the bundle in force.
	Services func() []string
	// BatchesPerSecond and Burst limit the batches that are begun; each makes a read
	// and a write. With half of the store client's call budget, a batch does not
	// wait for the budget between its read and its write, where writes of other
	// entries would make it conflict. 0 means no limit.
	BatchesPerSecond float64
	Burst            int
}

// Journal binds keys chosen by callers to agent incarnations in the store. It
// implements Binder. It is not an append-only log: a segment is one value in the store,
// which holds the bindings of one shard of a service's keys in one epoch.
//
// A binding is created by compare-and-swap of its segment, so that all entries agree
// on one. The bindings of a segment are removed only by sealing it, also by
// compare-and-swap, once its epoch is two behind. A key of a sealed segment can never
// be bound again, however old an entry's view of the epoch is.
type Journal struct {
	store store.Store
	cfg   JournalConfig

	mu             sync.Mutex
	epochs         map[string]epochView
	segmentWriters map[string]*segmentWriter // by segment key
	fullServices   map[string]bool           // services whose epoch has to be advanced
	wake           chan struct{}             // starts the next round of Run at once
	batchLimiter   *rate.Limiter
}

// epochView is this entry's view of a service's epoch.
type epochView struct {
	record      epochRecord
	firstSeenAt time.Time // when this entry first read the epoch
}

var _ Binder = (*Journal)(nil)

// NewJournal returns a journal kept in s. Run keeps its epochs current.
func NewJournal(s store.Store, cfg JournalConfig) *Journal {
	limiter := rate.NewLimiter(rate.Inf, 0)
	if cfg.BatchesPerSecond > 0 {
		limiter = rate.NewLimiter(rate.Limit(cfg.BatchesPerSecond), max(cfg.Burst, 1))
	}
	return &Journal{
		batchLimiter:   limiter,
		store:          s,
		cfg:            cfg,
		epochs:         make(map[string]epochView),
		segmentWriters: make(map[string]*segmentWriter),
		fullServices:   make(map[string]bool),
		wake:           make(chan struct{}, 1),
	}
}

// JournalEpoch implements Binder. It returns 0 until the epoch has been read.
func (j *Journal) JournalEpoch(service string) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.epochs[service].record.Epoch
}

// Bind implements Binder.
func (j *Journal) Bind(ctx context.Context, service string, id Identity, want Binding) (Binding, error) {
	return j.submit(ctx, service, &operation{id: id, want: want, done: make(chan struct{})})
}

// Rebind implements Binder. If the binding is no longer old, the current one
// is returned unchanged.
func (j *Journal) Rebind(ctx context.Context, service string, id Identity, old, want Binding) (Binding, error) {
	return j.submit(ctx, service, &operation{id: id, want: want, old: &old, done: make(chan struct{})})
}

func (j *Journal) submit(ctx context.Context, service string, op *operation) (Binding, error) {
	if r := j.checkEpoch(ctx, service, op.id); r != nil {
		return Binding{}, r
	}
	j.writer(segmentKey(service, op.id.JournalEpoch, shardOf(op.id))).add(op)
	select {
	case <-op.done:
	case <-ctx.Done():
		return Binding{}, unavailableRefusal(ctx.Err())
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

// checkEpoch refuses keys whose epoch is closed, or not open yet, in this entry's
// view. A key that passes because the view is outdated is refused by its sealed
// segment.
func (j *Journal) checkEpoch(ctx context.Context, service string, id Identity) *api.Refusal {
	if id.Issued || id.JournalEpoch == 0 {
		return api.NotRun(api.KindBadRequest, "the key is not a caller's own key", "send e<epoch>.<key>")
	}
	if id.JournalEpoch > j.JournalEpoch(service) {
		if err := j.RefreshEpoch(ctx, service); err != nil {
			return unavailableRefusal(err)
		}
	}
	epoch := j.JournalEpoch(service)
	if id.JournalEpoch > epoch {
		message := fmt.Sprintf("journal epoch %d of the key is not open; the current one is %d", id.JournalEpoch, epoch)
		return api.NotRun(api.KindBadRequest, message, "ask /v1/resolve for the current order_epoch")
	}
	if id.JournalEpoch <= highestClosedEpoch(epoch) {
		return closedJournalEpochRefusal()
	}
	return nil
}

func (j *Journal) writer(key string) *segmentWriter {
	j.mu.Lock()
	defer j.mu.Unlock()
	w := j.segmentWriters[key]
	if w == nil {
		w = &segmentWriter{journal: j, key: key}
		j.segmentWriters[key] = w
	}
	return w
}

// reportFullSegment requests a new epoch for the segment's service.
func (j *Journal) reportFullSegment(key string) {
	service, _, _ := strings.Cut(strings.TrimPrefix(key, store.PrefixOrders), "/")
	j.mu.Lock()
	j.fullServices[service] = true
	j.mu.Unlock()
	j.cfg.Log.Info("Journal segment is full.", "segment", key)
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// setEpoch updates this entry's view with a record that was read or written. Older
// records are ignored.
func (j *Journal) setEpoch(service string, r epochRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	v, found := j.epochs[service]
	if r.Epoch < v.record.Epoch || (r.Epoch == v.record.Epoch && r.SealedTo < v.record.SealedTo) {
		return
	}
	if !found || r.Epoch > v.record.Epoch {
		v.firstSeenAt = j.cfg.Clock.Now()
		delete(j.fullServices, service)
	}
	v.record = r
	j.epochs[service] = v
	j.removeWriters(service, highestClosedEpoch(r.Epoch))
}

// removeWriters removes the writers of closed epochs. The caller holds j.mu.
func (j *Journal) removeWriters(service string, highestClosed uint64) {
	prefix := store.PrefixOrders + service + "/"
	for key := range j.segmentWriters {
		var epoch uint64
		var shard int
		rest, found := strings.CutPrefix(key, prefix)
		if !found {
			continue
		}
		if _, err := fmt.Sscanf(rest, "%d/%d", &epoch, &shard); err == nil && epoch <= highestClosed {
			delete(j.segmentWriters, key)
		}
	}
}

// Run maintains the epochs of all services until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	for {
		timer := j.cfg.Clock.NewTimer(j.maintainAll(ctx))
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

// maintainAll maintains the epochs of all services and returns the delay before the
// next round. The delay is short while an epoch has never been read, since callers
// cannot use keys of their choice without it.
func (j *Journal) maintainAll(ctx context.Context) time.Duration {
	services := j.cfg.Services()
	next := refreshInterval
	if len(services) == 0 {
		next = noServicesInterval
	}
	for _, service := range services {
		if err := j.maintainEpoch(ctx, service); err != nil && !errors.Is(err, context.Canceled) {
			j.cfg.Log.Info("Journal epoch not maintained.", "service", service, "reason", err.Error())
		}
		if j.JournalEpoch(service) == 0 {
			next = firstReadInterval + rand.N(firstReadInterval)
		}
	}
	return next
}
