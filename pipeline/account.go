package pipeline

import (
	"expvar"
	"fmt"

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

// account counts the call and reports its failure to the caller.
func (p *Pipeline) account(next handler) handler {
	return func(c *call) *failure {
		requests.Add(1)
		inFlight.Add(1)
		defer inFlight.Add(-1)
		if c.snap.Bundle != nil {
			c.w.Header().Set(api.HeaderBundle, fmt.Sprintf("%d %s", c.snap.Bundle.Version, c.snap.BundleDigest))
		}
		if p.draining.Load() {
			c.w.Header().Set("Connection", "close")
		}
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
