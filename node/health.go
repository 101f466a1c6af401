package node

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// storeHealth records when calls to the store last failed, and when the store may have
// been away for so long that records of running processes have lapsed.
type storeHealth struct {
	log logr.Logger
	// outages counts changes from working to failing.
	outages *metrics.Counter
	// maxSilence is the longest time without a successful call in which no running process
	// can have lost its record.
	maxSilence time.Duration

	mu                       sync.Mutex
	lastFailure, lastSuccess time.Time
	// returned is the time of the first successful call after a failed one and more than
	// maxSilence.
	returned time.Time
	failing  bool
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
	now := time.Now()
	if h.failing {
		h.failing = false
		h.log.Info("Store regained.", "after_ms", now.Sub(h.lastFailure).Milliseconds())
		if now.Sub(h.lastSuccess) > h.maxSilence {
			h.returned = now
		}
	}
	h.lastSuccess = now
}

// mayBeAway reports whether the store may have been away for more than maxSilence.
// sinceResponse is the time since its last response to a call that isn't recorded here.
func (h *storeHealth) mayBeAway(sinceResponse time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing || min(sinceResponse, time.Since(h.lastSuccess)) > h.maxSilence
}

// reregistered reports whether running processes have had reregisterGrace to write their
// records again if the store was away. missing is when a record was found missing; calls
// that fail after it lengthen that time only if they belong to another outage.
func (h *storeHealth) reregistered(missing time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	over := func(since time.Time) bool { return time.Since(since) >= reregisterGrace }
	return !h.failing && over(h.returned) && (over(h.lastFailure) || over(missing))
}

// failedWithin reports whether the newest call failed or any call failed within
// the last d.
func (h *storeHealth) failedWithin(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing || time.Since(h.lastFailure) < d
}
