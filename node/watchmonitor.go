package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/store"
)

// monitoredFeed is a store.ChangeFeed that records when it last responded.
type monitoredFeed struct {
	store.ChangeFeed
	lastResponse atomic.Pointer[time.Time]
}

// newMonitoredFeed returns feed with its age as a metric of set.
func newMonitoredFeed(feed store.ChangeFeed, set *metrics.Set) *monitoredFeed {
	m := &monitoredFeed{ChangeFeed: feed}
	m.responded()
	set.NewGauge("wasabinotch_store_watch_age_seconds", func() float64 { return m.age().Seconds() })
	return m
}

func (m *monitoredFeed) responded() {
	now := time.Now()
	m.lastResponse.Store(&now)
}

// age returns the time since the last response.
func (m *monitoredFeed) age() time.Duration { return time.Since(*m.lastResponse.Load()) }

// List implements store.ChangeFeed.
func (m *monitoredFeed) List(ctx context.Context, prefix string) ([]store.KeyValue, uint64, error) {
	kvs, revision, err := m.ChangeFeed.List(ctx, prefix)
	if err == nil {
		m.responded()
	}
	return kvs, revision, err
}

// Changes implements store.ChangeFeed.
func (m *monitoredFeed) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	events, revision, err := m.ChangeFeed.Changes(ctx, prefix, after, wait)
	if err == nil {
		m.responded()
	}
	return events, revision, err
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
