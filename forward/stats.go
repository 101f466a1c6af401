package forward

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// secondsBuckets are the upper bounds of the latency histograms in seconds:
// finer around the target latencies of 0.1 to 1 s, and up to the longest
// timeouts.
var secondsBuckets = []float64{.005, .01, .025, .05, .1, .15, .2, .3, .4, .6, .8, 1.2, 2, 4, 8, 16, 60}

// Stats counts what callers got. It is safe for concurrent use.
type Stats struct {
	set    *metrics.Set
	first  *metrics.PrometheusHistogram
	total  *metrics.PrometheusHistogram
	queued *metrics.PrometheusHistogram
}

// NewStats returns empty statistics, which set shows.
func NewStats(set *metrics.Set) *Stats {
	return &Stats{
		set:    set,
		first:  set.NewPrometheusHistogramExt("wasabinotch_first_byte_seconds", secondsBuckets),
		total:  set.NewPrometheusHistogramExt("wasabinotch_request_seconds", secondsBuckets),
		queued: set.NewPrometheusHistogramExt("wasabinotch_queued_seconds", secondsBuckets),
	}
}

func (s *Stats) firstByte(x *exchange) { s.first.Update(time.Since(x.arrived).Seconds()) }

// attempt counts an attempt at an endpoint by what it meant for the request.
func (s *Stats) attempt(v verdict) {
	s.set.GetOrCreateCounter(`wasabinotch_attempts_total{verdict="` + v.String() + `"}`).Inc()
}

// finish counts a request and logs its decisions.
func (x *exchange) finish() {
	outcome := x.relay.outcome
	if outcome == "" {
		outcome = "broken"
		if x.callerLeft() {
			outcome = "cancelled"
		}
	}
	s, took := x.h.cfg.Stats, time.Since(x.arrived)
	s.set.GetOrCreateCounter(`wasabinotch_requests_total{outcome="` + outcome + `"}`).Inc()
	s.total.Update(took.Seconds())
	s.queued.Update(x.waited.Seconds())
	args := []any{"request", x.id, "outcome", outcome, "status", x.relay.status, "ms", took.Milliseconds(),
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
