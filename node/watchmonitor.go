package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/store"
)

const (
	// staleWatchTimeout is how long nothing may arrive from the watch although another entry
	// has seen a newer change, beside listTimes times the longest silence in the last
	// listing. Changes that arrive in time differ by settleTime and the duration of two calls
	// between entries; a slow store must not be listed again for that.
	staleWatchTimeout = 400 * time.Millisecond
	listTimes         = 2
	// urgentReadInterval is the time in a listing after which the keys that can't wait for
	// its end are read by themselves, and the interval at which that is repeated. Changes in
	// force within two seconds leave time for it twice.
	urgentReadInterval = time.Second
)

// monitoredFeed is a store.ChangeFeed that ends a call for changes which should have
// returned. Its connection may be silent; calls that succeed on other connections don't
// show that, but a newer change that another entry has seen does.
type monitoredFeed struct {
	store.ChangeFeed
	log logr.Logger
	// stale counts the calls that were ended.
	stale *metrics.Counter
	// readUrgent, which may be nil, reads the keys that can't wait for the end of a long
	// listing. It is called during one.
	readUrgent func(ctx context.Context)

	mu           sync.Mutex
	lastResponse time.Time
	// lastArrival is when a part of a response last arrived.
	lastArrival time.Time
	// listTime is the longest silence of the store in the last listing.
	listTime time.Duration
	// position is the one up to which all changes are known, newest that of the newest
	// change. Revisions may increase without a change.
	position, newest store.Position
	// peerNewest is the position of the newest change that another entry has seen.
	peerNewest store.Position
	// behindSince is when position was first seen to be before peerNewest, zero if it
	// isn't.
	behindSince time.Time
	// endCall ends the call for changes in progress; nil without one.
	endCall context.CancelCauseFunc
}

// newMonitoredFeed returns feed with its age and faults as metrics of set.
func newMonitoredFeed(feed store.ChangeFeed, set *metrics.Set, log logr.Logger) *monitoredFeed {
	m := &monitoredFeed{ChangeFeed: feed, log: log, stale: set.NewCounter("wasabinotch_store_watch_stale_total"), lastResponse: time.Now()}
	set.NewGauge("wasabinotch_store_watch_age_seconds", func() float64 { return m.age().Seconds() })
	return m
}

// age returns the time since the last response.
func (m *monitoredFeed) age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.lastResponse)
}

// newestChange returns the position of the newest change seen.
func (m *monitoredFeed) newestChange() store.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest
}

// responded records a response that is complete up to a position.
func (m *monitoredFeed) responded(position, newest store.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastResponse = time.Now()
	m.position, m.newest = store.Later(m.position, position), store.Later(m.newest, newest)
	m.behindSince = time.Time{}
}

// List implements store.ChangeFeed.
func (m *monitoredFeed) List(ctx context.Context, prefix string) ([]store.KeyValue, store.Position, error) {
	var silence time.Duration
	last := time.Now()
	arrived := func() {
		m.recordArrival()
		silence = max(silence, time.Since(last))
		last = time.Now()
	}
	stop := m.repeatUrgent(ctx)
	kvs, at, err := m.ChangeFeed.List(store.WithProgress(ctx, arrived), prefix)
	stop()
	if err != nil {
		return nil, store.Position{}, err
	}
	arrived()
	m.mu.Lock()
	m.listTime = silence
	m.mu.Unlock()
	newest := store.Position{Era: at.Era}
	for _, kv := range kvs {
		newest.Revision = max(newest.Revision, kv.Revision)
	}
	m.responded(at, newest)
	return kvs, at, nil
}

// repeatUrgent calls readUrgent each urgentReadInterval until stop is called.
func (m *monitoredFeed) repeatUrgent(ctx context.Context) (stop func()) {
	if m.readUrgent == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(store.WithoutProgress(ctx))
	var reader sync.WaitGroup
	reader.Go(func() {
		ticker := time.NewTicker(urgentReadInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				m.readUrgent(ctx)
			}
		}
	})
	return func() {
		cancel()
		reader.Wait()
	}
}

func (m *monitoredFeed) recordArrival() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastArrival = time.Now()
}

// Changes implements store.ChangeFeed. It returns store.ErrWatchStale if the call was
// ended.
func (m *monitoredFeed) Changes(ctx context.Context, prefix string, after store.Position, wait time.Duration) ([]store.Event, store.Position, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	m.setEndCall(cancel)
	events, at, err := m.ChangeFeed.Changes(store.WithProgress(ctx, m.recordArrival), prefix, after, wait)
	m.setEndCall(nil)
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, store.ErrWatchStale) {
			err = cause
		}
		return nil, store.Position{}, err
	}
	newest := store.Position{}
	for _, e := range events {
		newest = store.Later(newest, e.Position())
	}
	m.responded(at, newest)
	return events, at, nil
}

func (m *monitoredFeed) setEndCall(end context.CancelCauseFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endCall = end
}

// recordPeer records the newest change that another entry has seen, and ends the call
// for changes if nothing has arrived for too long since a newer one.
func (m *monitoredFeed) recordPeer(newest store.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerNewest = store.Later(m.peerNewest, newest)
	switch {
	case !m.position.Before(m.peerNewest):
		m.behindSince = time.Time{}
	case m.behindSince.IsZero():
		m.behindSince = time.Now()
	case time.Since(later(m.behindSince, m.lastArrival)) >= staleWatchTimeout+listTimes*m.listTime:
		m.end("another entry has seen a newer change")
	}
}

// later returns the later one of two times.
func later(t, other time.Time) time.Time {
	if t.Before(other) {
		return other
	}
	return t
}

// connectionLost ends the call for changes after another connection to the store gave
// no response: connections often fall silent together. A response that is arriving may be
// what delays the other connection.
func (m *monitoredFeed) connectionLost() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.lastArrival) < staleWatchTimeout {
		return
	}
	m.end("another connection to the store gave no response")
}

// end ends the call for changes in progress. The caller holds mu.
func (m *monitoredFeed) end(reason string) {
	if m.endCall == nil {
		return
	}
	m.endCall(store.ErrWatchStale)
	m.endCall, m.behindSince = nil, time.Time{}
	m.stale.Inc()
	m.log.Info("Watch stale; keys are listed again.", "silent_ms", time.Since(m.lastResponse).Milliseconds(),
		"era", m.position.Era, "revision", m.position.Revision, "era_elsewhere", m.peerNewest.Era, "newest_elsewhere", m.peerNewest.Revision, "cause", reason)
}

// watchMonitor logs when the watch of the store is lost and regained, and records
// both in a storeHealth. It is the part of store.ChangeHandler that doesn't depend on
// keys.
type watchMonitor struct {
	health *storeHealth
	feed   *monitoredFeed
	// cuts counts the watches that failed while the store answered other calls.
	cuts *metrics.Counter
	log  logr.Logger
}

// WatchFailed implements store.ChangeHandler. A failed watch is no outage if the store has
// answered another call so lately that no running process can have lost its record.
func (m watchMonitor) WatchFailed(err error) bool {
	silent := m.feed.age()
	if m.health.mayBeAway(silent) {
		return true
	}
	m.cuts.Inc()
	m.log.Info("Watch cut; the store answers other calls.", "silent_ms", silent.Milliseconds(), "cause", err.Error())
	return false
}

// StoreLost implements store.ChangeHandler.
func (m watchMonitor) StoreLost(err error) {
	m.log.Info("Watch lost.", "silent_ms", m.feed.age().Milliseconds(), "cause", err.Error())
	m.health.recordFailure(err)
}

// StoreRegained implements store.ChangeHandler.
func (m watchMonitor) StoreRegained(outage time.Duration) {
	m.log.Info("Watch regained.", "after_ms", outage.Milliseconds())
	m.health.recordSuccess()
}
