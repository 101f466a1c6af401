package forward

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wasabinotch/wasabinotch/fleet"
)

// latencyBuckets are the upper bounds of the latency histograms in seconds:
// finer around the target latencies of 0.1 to 1 s, and up to the longest
// timeouts.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .15, .2, .3, .4, .6, .8, 1.2, 2, 4, 8, 16, 60}

// Stats holds the metrics of requests and attempts. It is safe for concurrent
// use.
type Stats struct {
	set         *metrics.Set
	firstByte   *metrics.PrometheusHistogram
	requestTime *metrics.PrometheusHistogram
	queueTime   *metrics.PrometheusHistogram
}

// NewStats returns a Stats whose metrics are registered in set.
func NewStats(set *metrics.Set) *Stats {
	return &Stats{
		set:         set,
		firstByte:   set.NewPrometheusHistogramExt("wasabinotch_first_byte_seconds", latencyBuckets),
		requestTime: set.NewPrometheusHistogramExt("wasabinotch_request_seconds", latencyBuckets),
		queueTime:   set.NewPrometheusHistogramExt("wasabinotch_queued_seconds", latencyBuckets),
	}
}

func (s *Stats) observeFirstByte(x *exchange) { s.firstByte.Update(time.Since(x.arrived).Seconds()) }

// countAttempt counts an attempt at an endpoint by its verdict.
func (s *Stats) countAttempt(v verdict) {
	s.set.GetOrCreateCounter(`wasabinotch_attempts_total{verdict="` + v.String() + `"}`).Inc()
}

// countAdmission counts what came of the search for an endpoint.
func (s *Stats) countAdmission(a fleet.Availability) {
	s.set.GetOrCreateCounter(`wasabinotch_admission_total{outcome="` + a.String() + `"}`).Inc()
}

// finish counts a request and logs its outcome and how it was handled.
func (x *exchange) finish() {
	outcome := x.response.outcome
	if outcome == "" {
		outcome = "broken"
		if x.callerDisconnected() {
			outcome = "cancelled"
		}
	}
	s, duration := x.handler.cfg.Stats, time.Since(x.arrived)
	s.set.GetOrCreateCounter(`wasabinotch_requests_total{outcome="` + outcome + `"}`).Inc()
	s.requestTime.Update(duration.Seconds())
	s.queueTime.Update(x.waited.Seconds())
	args := []any{"request", x.requestID, "outcome", outcome, "status", x.response.status, "ms", duration.Milliseconds(),
		"endpoint", x.lastEndpoint, "load", x.lastLoad, "load_age_ms", x.lastLoadAge.Milliseconds(), "waited_ms", x.waited.Milliseconds(),
		"attempts", x.attempts, "events", x.response.eventCount, "may_have_run", x.mayHaveRun}
	if x.route != nil {
		args = append(args, "route", x.route.Name, "rank", x.rank(), "service", x.service, "config", x.config.Version)
	}
	if x.lastStepTime > 0 {
		args = append(args, "step_ms", x.lastStepTime.Milliseconds())
	}
	if s := &x.lastScore; s.Reading >= notableReading || s.Held > 0 {
		args = append(args, "reading_cost", round(s.Reading), "held_gain", round(s.Held))
	}
	if x.lastRateLimit.Named {
		args = append(args, "rate_limit", x.lastRateLimit.PerSecond)
	}
	if x.organisation != nil {
		args = append(args, "organisation", x.organisation.Name)
	}
	if x.cause != nil {
		args = append(args, "cause", x.cause.Error())
	}
	x.handler.cfg.Log.Info("Request ended.", args...)
}

// notableReading is the reading cost from which it is logged: a tenth of the target latency.
const notableReading = 0.1

// round rounds a cost to three digits, so that it takes little room in the log.
func round(cost float64) float64 { return math.Round(cost*1000) / 1000 }
