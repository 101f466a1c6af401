package node

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// storeHealth records when calls to the store last failed.
type storeHealth struct {
	log logr.Logger
	// outages counts changes from working to failing.
	outages *metrics.Counter

	mu          sync.Mutex
	lastFailure time.Time
	failing     bool
}

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

func (h *storeHealth) recordSuccess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failing {
		h.failing = false
		h.log.Info("Store regained.", "after_ms", time.Since(h.lastFailure).Milliseconds())
	}
}

// failedWithin reports whether the newest call failed or any call failed within
// the last d.
func (h *storeHealth) failedWithin(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing || time.Since(h.lastFailure) < d
}
