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
	// staleWatchTimeout is how long the watch may return nothing although another entry
	// has seen a newer change, beside listTimes times the duration of the last listing.
	// Changes that arrive in time differ by settleTime and the duration of two calls
	// between entries; a slow store must not be listed again for that.
	staleWatchTimeout = 400 * time.Millisecond
	listTimes         = 2
)

// monitoredFeed is a store.ChangeFeed that ends a call for changes which should have
// returned. Its connection may be silent; calls that succeed on other connections don't
// show that, but a newer change that another entry has seen does.
type monitoredFeed struct {
	store.ChangeFeed
	log logr.Logger
	// stale counts the calls that were ended.
	stale *metrics.Counter

	mu           sync.Mutex
	lastResponse time.Time
	// listTime is the duration of the last listing.
	listTime time.Duration
	// revision is the one up to which all changes are known, newest that of the newest
	// change. Revisions may increase without a change.
	revision, newest uint64
	// peerNewest is the revision of the newest change that another entry has seen.
	peerNewest uint64
	// behindSince is when revision was first seen to be less than peerNewest, zero if
	// it isn't.
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

// newestChange returns the revision of the newest change seen.
func (m *monitoredFeed) newestChange() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest
}

// knownRevision returns the revision up to which all changes are known.
func (m *monitoredFeed) knownRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// responded records a response that is complete up to a revision.
func (m *monitoredFeed) responded(revision, newest uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastResponse = time.Now()
	m.revision, m.newest = max(m.revision, revision), max(m.newest, newest)
	m.behindSince = time.Time{}
}

// List implements store.ChangeFeed.
func (m *monitoredFeed) List(ctx context.Context, prefix string) ([]store.KeyValue, uint64, error) {
	began := time.Now()
	kvs, revision, err := m.ChangeFeed.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	m.listTime = time.Since(began)
	m.mu.Unlock()
	newest := uint64(0)
	for _, kv := range kvs {
		newest = max(newest, kv.Revision)
	}
	m.responded(revision, newest)
	return kvs, revision, nil
}

// Changes implements store.ChangeFeed. It returns store.ErrWatchStale if the call was
// ended.
func (m *monitoredFeed) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	m.setEndCall(cancel)
	events, revision, err := m.ChangeFeed.Changes(ctx, prefix, after, wait)
	m.setEndCall(nil)
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, store.ErrWatchStale) {
			err = cause
		}
		return nil, 0, err
	}
	newest := uint64(0)
	for _, e := range events {
		newest = max(newest, e.Revision)
	}
	m.responded(revision, newest)
	return events, revision, nil
}

func (m *monitoredFeed) setEndCall(end context.CancelCauseFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endCall = end
}

// recordPeer records the newest change that another entry has seen, and ends the call
// for changes if it has returned nothing for too long since a newer one.
func (m *monitoredFeed) recordPeer(newest uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerNewest = max(m.peerNewest, newest)
	switch {
	case m.revision >= m.peerNewest:
		m.behindSince = time.Time{}
	case m.behindSince.IsZero():
		m.behindSince = time.Now()
	case time.Since(m.behindSince) >= staleWatchTimeout+listTimes*m.listTime:
		m.end("another entry has seen a newer change")
	}
}

// connectionLost ends the call for changes after another connection to the store gave
// no response: connections often fall silent together.
func (m *monitoredFeed) connectionLost() {
	m.mu.Lock()
	defer m.mu.Unlock()
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
		"revision", m.revision, "newest_elsewhere", m.peerNewest, "cause", reason)
}

// watchMonitor logs when the watch of the store is lost and regained, and records
// both in a storeHealth. It is the part of store.ChangeHandler that doesn't depend on
// keys.
type watchMonitor struct {
	health *storeHealth
	feed   *monitoredFeed
	log    logr.Logger
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
