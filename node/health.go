package node

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// storeHealth remembers when the store last failed a call.
type storeHealth struct {
	log logr.Logger
	// lost counts outages.
	lost *metrics.Counter

	mu      sync.Mutex
	failed  time.Time
	failing bool
}

// fail records a failed call.
func (h *storeHealth) fail(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = time.Now()
	if !h.failing {
		h.failing = true
		h.lost.Inc()
		h.log.Info("Store lost.", "cause", err.Error())
	}
}

// ok records an answer of the store.
func (h *storeHealth) ok() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failing {
		h.failing = false
		h.log.Info("Store regained.", "after_ms", time.Since(h.failed).Milliseconds())
	}
}

// unstable reports whether a call failed within the last d.
func (h *storeHealth) unstable(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing || time.Since(h.failed) < d
}
