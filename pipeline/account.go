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

// retryAfter is the wait asked of callers after this entry's own refusals:
// about two load reports for a free place, a liveness time for a view.
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
		took := p.Clock.Since(c.started)
		if f == nil {
			outcomes.Add("answered", 1)
			p.decide(c, fmt.Sprintf("answered in %s", took))
			return nil
		}
		r := *f.refusal // the agent's refusal is not ours to change
		r.Outcome = c.outcome(f)
		r.RequestID = c.id
		if r.RetryAfterMS == 0 && f.fate == fateOwn {
			r.RetryAfterMS = retryAfter[r.Kind].Milliseconds()
		}
		refusals.Add(string(r.Kind), 1)
		outcomes.Add(string(r.Outcome), 1)
		p.decide(c, fmt.Sprintf("refused after %s: %s, %s: %s", took, r.Kind, r.Outcome, r.Message))
		c.report(&r)
		return f
	}
}

// report tells the caller about the failure, inside its answer if that has begun.
func (c *call) report(r *api.Refusal) {
	c.extendWrite()
	switch {
	case c.stream != nil && c.stream.begun:
		c.stream.fail(r)
	case c.answerBegun():
		c.reply.fail(r)
	default:
		r.WriteHTTP(c.w)
	}
}
