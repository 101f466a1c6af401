package pipeline

import (
	"fmt"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/balance"
)

// maxAttempts bounds the attempts of a call, or of a stream since its last
// progress.
const maxAttempts = 4

// choose selects the endpoint of each attempt.
func (p *Pipeline) choose(next handler) handler {
	return func(c *call) *failure {
		if c.order {
			return p.routeOrder(c, next)
		}
		return p.routeFree(c, next)
	}
}

// routeFree runs a call that may be repeated: another endpoint is tried
// after a refusal or a failure, and a stream is resumed where it stopped.
func (p *Pipeline) routeFree(c *call, next handler) *failure {
	var tried []string
	var last *failure
	for failures := 0; ; {
		if c.streamComplete() {
			return c.finish("length")
		}
		pick := p.pickEndpoint(c, tried)
		if pick == nil {
			return p.noEndpoint(c, last)
		}
		reached := c.position()
		last = p.runAttempt(c, next, pick)
		if c.streamCancelled(last) {
			return c.finish(reasonCancelled)
		}
		if last == nil || !p.repeatable(c, last) {
			return last
		}
		failures++
		if c.position() > reached {
			failures, tried = 1, nil // the others may have come back meanwhile
		}
		tried = append(tried, pick.Endpoint.Node.ID)
		if failures >= maxAttempts || !p.mayRetry(c, last) {
			return last
		}
	}
}

// pickEndpoint asks the balancer for an endpoint that was not tried yet.
func (p *Pipeline) pickEndpoint(c *call, tried []string) *balance.Pick {
	return p.Balancer.Choose(p.View.Snapshot(), p.choice(c, tried))
}

func (p *Pipeline) choice(c *call, tried []string) balance.Request {
	rq := balance.Request{
		Service:    c.service.Name,
		Exclude:    tried,
		QueueLimit: c.service.QueueLimit,
		Now:        p.Clock.Now(),
	}
	if c.prefix != "" {
		rq.Prefix = c.organisation + "\x00" + c.prefix
	}
	return rq
}

// runAttempt runs the rest of the chain against one endpoint.
func (p *Pipeline) runAttempt(c *call, next handler, pick *balance.Pick) *failure {
	defer pick.Release()
	c.attempt++
	c.pick = pick
	p.decide(c, fmt.Sprintf("to %s in zone %s: %s", pick.Endpoint.Node.ID, pick.Endpoint.Node.Zone, pick.Reason))
	f := next(c)
	if f == nil {
		return nil
	}
	if f.fate == fateUncertain || f.fate == fateStated {
		c.maybeRan = true
	}
	if endpointUnfit(c, f) {
		pick.RecordFailure(p.Clock.Now())
	}
	p.decide(c, fmt.Sprintf("no answer from %s: %s: %s", pick.Endpoint.Node.ID, f.refusal.Kind, f.refusal.Message))
	return f
}

// endpointUnfit reports whether the failure says that the endpoint can take
// no request at all at present.
func endpointUnfit(c *call, f *failure) bool {
	if c.ctx.Err() != nil {
		return false
	}
	switch f.refusal.Kind {
	case api.KindEndpointFailed, api.KindZoneOut, api.KindLeaving, api.KindNoBundle, api.KindNoEndpoint:
		return true
	}
	return f.refusal.Kind == api.KindUnconfirmedView && f.fate != fateOwn
}

// noEndpoint is the failure when no endpoint can be chosen.
func (p *Pipeline) noEndpoint(c *call, last *failure) *failure {
	if last != nil {
		return last
	}
	if p.Balancer.HasUsableEndpoint(p.View.Snapshot(), p.choice(c, nil)) {
		return own(api.KindOverloaded, "all endpoints of the service are at their limit", "retry later")
	}
	return own(api.KindNoEndpoint, "no endpoint of the service is ready", "retry later")
}

// repeatable reports whether another endpoint may be tried.
func (p *Pipeline) repeatable(c *call, f *failure) bool {
	if c.ctx.Err() != nil || c.cancelled.Load() || c.answerBegun() {
		return false
	}
	return elsewhere(f)
}

// elsewhere reports whether a refusal concerns one endpoint only. This entry
// and its agents learn of a new bundle and confirm their views on their own.
func elsewhere(f *failure) bool {
	switch f.refusal.Kind {
	case api.KindOverloaded, api.KindNoEndpoint, api.KindZoneOut, api.KindLeaving,
		api.KindNoBundle, api.KindEndpointFailed, api.KindInternal, api.KindCancelled:
		return true
	case api.KindUnconfirmedView, api.KindUnknownService:
		return f.fate != fateOwn
	}
	return false
}

// mayRetry takes one retry from the budget.
func (p *Pipeline) mayRetry(c *call, f *failure) bool {
	if !p.budget.TakeRetry() {
		p.decide(c, "not tried elsewhere: the retry budget is spent")
		return false
	}
	retries.Add(1)
	if c.position() > 0 {
		resumes.Add(1)
		p.decide(c, fmt.Sprintf("resuming at position %d after %s", c.position(), f.refusal.Kind))
	}
	return true
}

// streamComplete reports whether the caller has all tokens of a stream whose
// end frame was lost.
func (c *call) streamComplete() bool {
	return c.generate != nil && c.stream.position >= c.generate.MaxTokens
}

// streamCancelled reports whether a stream ends because its caller asked for it.
func (c *call) streamCancelled(f *failure) bool {
	return f != nil && c.generate != nil && c.cancelled.Load() && c.r.Context().Err() == nil
}

// finish ends a stream from this side.
func (c *call) finish(reason string) *failure {
	if err := c.stream.end(reason); err != nil {
		return c.relayFailure(err)
	}
	return nil
}
