package pipeline

import (
	"expvar"
	"fmt"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
)

// Metrics of the request path.
var (
	requests      = expvar.NewInt("pipeline_requests")
	inFlight      = expvar.NewInt("pipeline_in_flight")
	refusals      = expvar.NewMap("pipeline_refusals")
	outcomes      = expvar.NewMap("pipeline_outcomes")
	retries       = expvar.NewInt("pipeline_retries")
	resumes       = expvar.NewInt("pipeline_resumes")
	droppedFrames = expvar.NewInt("pipeline_dropped_frames")
)

// retryAfter is the wait requested from callers by this entry's refusals: about
// two load reports until a slot is free, and one liveness timeout until a view
// is current.
var retryAfter = map[api.Kind]time.Duration{
	api.KindOverloaded:       500 * time.Millisecond,
	api.KindNoEndpoint:       2 * time.Second,
	api.KindUnconfirmedView:  2 * time.Second,
	api.KindNoBundle:         2 * time.Second,
	api.KindStoreUnavailable: 2 * time.Second,
}

// account counts the call and reports its failure to the caller.
func (p *Pipeline) account(next handler) handler {
	return func(c *call) *failure {
		requests.Add(1)
		inFlight.Add(1)
		defer inFlight.Add(-1)
		f := next(c)
		elapsed := p.Clock.Since(c.started)
		if f == nil {
			outcomes.Add("answered", 1)
			p.recordDecision(c, fmt.Sprintf("Response completed in %s.", elapsed))
			return nil
		}
		r := *f.refusal // copied, so that the agent's refusal stays unchanged
		r.Outcome = c.outcome(f)
		r.RequestID = c.id
		if r.RetryAfterMS == 0 && f.execution == executionNotStarted {
			r.RetryAfterMS = retryAfter[r.Kind].Milliseconds()
		}
		refusals.Add(string(r.Kind), 1)
		outcomes.Add(string(r.Outcome), 1)
		p.recordDecision(c, fmt.Sprintf("Refused after %s: %s, %s: %s.", elapsed, r.Kind, r.Outcome, r.Message))
		c.reportFailure(&r)
		return f
	}
}

// reportFailure sends the failure to the caller, within the response if that
// has started.
func (c *call) reportFailure(r *api.Refusal) {
	c.extendWriteDeadline()
	switch {
	case c.stream != nil && c.stream.headerSent:
		c.stream.writeError(r)
	case c.responseStarted():
		c.plainResponse.abort(r)
	default:
		r.WriteHTTP(c.w)
	}
}
