package forward

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst bound the log lines about requests; more
	// would take a noticeable part of a small VM's processor.
	linesPerSecond = 100
	lineBurst      = 200
	// histogramMax is the longest time that is told apart, in milliseconds.
	histogramMax = 60_000
)

// Stats counts what callers got. It is safe for concurrent use.
type Stats struct {
	lines *rate.Limiter

	mu       sync.Mutex
	outcomes map[string]int64
	dropped  int64
	first    *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
}

// NewStats returns empty statistics.
func NewStats() *Stats {
	return &Stats{
		lines:    rate.NewLimiter(linesPerSecond, lineBurst),
		outcomes: make(map[string]int64),
		first:    hdrhistogram.New(1, histogramMax, 1),
		total:    hdrhistogram.New(1, histogramMax, 1),
	}
}

func (s *Stats) firstByte(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	observe(s.first, time.Since(x.arrived))
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Milliseconds(), histogramMax)) // in range by the line above
}

// Snapshot returns counters and latency quantiles for the metrics page.
func (s *Stats) Snapshot() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcomes := make(map[string]int64, len(s.outcomes))
	for k, v := range s.outcomes {
		outcomes[k] = v
	}
	return map[string]any{
		"outcomes": outcomes, "log_lines_dropped": s.dropped,
		"first_byte_ms": quantiles(s.first), "total_ms": quantiles(s.total),
	}
}

func quantiles(h *hdrhistogram.Histogram) map[string]int64 {
	return map[string]int64{
		"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p90": h.ValueAtQuantile(90),
		"p99": h.ValueAtQuantile(99), "max": h.Max(),
	}
}

// finish counts a request and logs its decisions, unless lines come too fast.
func (x *exchange) finish() {
	s := x.h.cfg.Stats
	outcome := x.relay.outcome
	if outcome == "" {
		outcome = "broken"
		if x.callerLeft() {
			outcome = "cancelled"
		}
	}
	s.mu.Lock()
	s.outcomes[outcome]++
	observe(s.total, time.Since(x.arrived))
	log := s.lines.Allow()
	if !log {
		s.dropped++
	}
	s.mu.Unlock()
	if !log {
		return
	}
	args := []any{"request", x.id, "outcome", outcome, "status", x.relay.status, "ms", time.Since(x.arrived).Milliseconds(),
		"endpoint", x.endpoint, "load", x.load, "load_age_ms", x.age.Milliseconds(), "waited_ms", x.waited.Milliseconds(),
		"attempts", x.attempts, "events", x.relay.events, "may_have_run", x.mayHaveRun}
	if x.route != nil {
		args = append(args, "route", x.route.Name, "service", x.service, "config", x.cfg.Version)
	}
	if x.organisation != nil {
		args = append(args, "organisation", x.organisation.Name)
	}
	if x.cause != nil {
		args = append(args, "cause", x.cause.Error())
	}
	x.h.cfg.Log.Info("Request ended.", args...)
}
