package pipeline

import (
	"fmt"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/balance"
)

// maxAttempts bounds the attempts of a call. For a stream, it bounds the
// attempts since the last progress.
const maxAttempts = 4

// choose selects the endpoint of each attempt.
func (p *Pipeline) choose(next handler) handler {
	return func(c *call) *failure {
		if c.isOrder {
			return p.routeOrder(c, next)
		}
		return p.routeIdempotent(c, next)
	}
}

// routeIdempotent runs an idempotent call. After a refusal or a failure it
// tries another endpoint; a stream resumes at its position.
func (p *Pipeline) routeIdempotent(c *call, next handler) *failure {
	var tried []string
	var last *failure
	for failures := 0; ; {
		if c.streamComplete() {
			return c.finishStream("length")
		}
		pick := p.pickEndpoint(c, tried)
		if pick == nil {
			return p.noEndpoint(c, last)
		}
		positionBefore := c.position()
		last = p.runAttempt(c, next, pick)
		if c.streamCancelled(last) {
			return c.finishStream(reasonCancelled)
		}
		if last == nil || !p.mayRetryElsewhere(c, last) {
			return last
		}
		failures++
		if c.position() > positionBefore {
			failures, tried = 1, nil // the excluded endpoints may be usable again
		}
		tried = append(tried, pick.Endpoint.Node.ID)
		if failures >= maxAttempts || !p.takeRetry(c, last) {
			return last
		}
	}
}

// pickEndpoint asks the balancer for an endpoint that is not in tried. It
// returns nil if there is none.
func (p *Pipeline) pickEndpoint(c *call, tried []string) *balance.Pick {
	return p.Balancer.Choose(p.View.Snapshot(), p.balanceRequest(c, tried))
}

func (p *Pipeline) balanceRequest(c *call, tried []string) balance.Request {
	req := balance.Request{
		Service:    c.service.Name,
		Exclude:    tried,
		QueueLimit: c.service.QueueLimit,
		Now:        p.Clock.Now(),
	}
	if c.prefix != "" {
		req.Prefix = c.organisation + "\x00" + c.prefix
	}
	return req
}

// runAttempt runs the rest of the filter chain against one endpoint.
func (p *Pipeline) runAttempt(c *call, next handler, pick *balance.Pick) *failure {
	defer pick.Release()
	c.attempt++
	c.pick = pick
	p.recordDecision(c, fmt.Sprintf("Selected agent %s in zone %s: %s.", pick.Endpoint.Node.ID, pick.Endpoint.Node.Zone, pick.Reason))
	f := next(c)
	if f == nil {
		return nil
	}
	if f.execution == executionUncertain || f.execution == executionReported {
		c.mayHaveRun = true
	}
	if endpointUnusable(c, f) {
		pick.RecordFailure(p.Clock.Now())
	}
	p.recordDecision(c, fmt.Sprintf("Attempt at agent %s failed: %s: %s.", pick.Endpoint.Node.ID, f.refusal.Kind, f.refusal.Message))
	return f
}

// endpointUnusable reports whether the failure means that the endpoint cannot
// accept any request at present.
func endpointUnusable(c *call, f *failure) bool {
	if c.ctx.Err() != nil {
		return false
	}
	switch f.refusal.Kind {
	case api.KindEndpointFailed, api.KindZoneOut, api.KindLeaving, api.KindNoBundle, api.KindNoEndpoint:
		return true
	}
	return f.refusal.Kind == api.KindUnconfirmedView && f.execution != executionNotStarted
}

// noEndpoint returns the failure of a call for which no endpoint can be chosen:
// that of the last attempt, if there was one.
func (p *Pipeline) noEndpoint(c *call, last *failure) *failure {
	if last != nil {
		return last
	}
	if p.Balancer.HasUsableEndpoint(p.View.Snapshot(), p.balanceRequest(c, nil)) {
		return notStarted(api.KindOverloaded, "all endpoints of the service are at their limit", "retry later")
	}
	return notStarted(api.KindNoEndpoint, "no endpoint of the service is ready", "retry later")
}

// mayRetryElsewhere reports whether the call may be retried at another
// endpoint.
func (p *Pipeline) mayRetryElsewhere(c *call, f *failure) bool {
	if c.ctx.Err() != nil || c.cancelRequested.Load() || c.responseStarted() || f.local {
		return false
	}
	if c.stream != nil && c.stream.textDropped {
		return false
	}
	return limitedToEndpoint(f)
}

// limitedToEndpoint reports whether a refusal applies to one endpoint only.
// This entry and each of its agents receive new bundles and confirm their views
// independently, so an agent may refuse for a reason that does not hold at
// other agents.
func limitedToEndpoint(f *failure) bool {
	switch f.refusal.Kind {
	case api.KindOverloaded, api.KindNoEndpoint, api.KindZoneOut, api.KindLeaving,
		api.KindNoBundle, api.KindEndpointFailed, api.KindInternal, api.KindCancelled:
		return true
	case api.KindUnconfirmedView, api.KindUnknownService:
		return f.execution != executionNotStarted
	}
	return false
}

// takeRetry takes one retry from the retry budget. It returns false if the
// budget is spent.
func (p *Pipeline) takeRetry(c *call, f *failure) bool {
	if !p.budget.TakeRetry() {
		p.recordDecision(c, "Not retried; the retry budget is spent.")
		return false
	}
	retries.Add(1)
	if c.position() > 0 {
		resumes.Add(1)
		p.recordDecision(c, fmt.Sprintf("Resuming the stream at position %d after %s.", c.position(), f.refusal.Kind))
	}
	return true
}

// streamComplete reports whether the caller has all tokens of a stream whose
// end frame was lost.
func (c *call) streamComplete() bool {
	return c.generateCall != nil && c.stream.position >= c.generateCall.MaxTokens
}

// streamCancelled reports whether a stream ended because its caller cancelled
// it and is still connected.
func (c *call) streamCancelled(f *failure) bool {
	return f != nil && c.generateCall != nil && c.cancelRequested.Load() && c.r.Context().Err() == nil
}

// finishStream ends a stream without an end frame from an agent.
func (c *call) finishStream(reason string) *failure {
	if err := c.stream.writeEnd(reason); err != nil {
		return c.relayFailure(err)
	}
	return nil
}
