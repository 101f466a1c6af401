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
	// outages counts outages.
	outages *metrics.Counter

	mu          sync.Mutex
	lastFailure time.Time
	failing     bool
}

// recordFailure records a failed call.
func (h *storeHealth) recordFailure(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastFailure = time.Now()
	if !h.failing {
		h.failing = true
		h.outages.Inc()
		h.log.Info("Store lost.", "cause", err.Error())
	}
}

// recordSuccess records an answer of the store.
func (h *storeHealth) recordSuccess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failing {
		h.failing = false
		h.log.Info("Store regained.", "after_ms", time.Since(h.lastFailure).Milliseconds())
	}
}

// failedWithin reports whether a call failed within the last d.
func (h *storeHealth) failedWithin(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing || time.Since(h.lastFailure) < d
}
