package pipeline

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// maxOutcomeRounds is how many times the agents that may know an order's
	// outcome are asked.
	maxOutcomeRounds = 3
	// outcomeRoundInterval is the time between two rounds. It is long enough to
	// recover from a connection reset; an unreachable agent is detected by its
	// missing reports.
	outcomeRoundInterval = 200 * time.Millisecond
	// maxSuccessorsAsked bounds the number of agents asked for the outcome of
	// an order whose agent was removed.
	maxSuccessorsAsked = 16
	// maxBoundReportAge is the age of the bound agent's last report beyond
	// which it gets no new order.
	maxBoundReportAge = 2 * time.Second

	remedyNewIdentity = "ask /v1/resolve for a new order_identity"
	remedySameKey     = "send the same order with the same key again to learn its outcome"
)

// routeOrder runs an order. Only the agent incarnation to which its identity is
// bound may run it. For a repeated identity that agent sends its first response
// again, so the order may be sent to it again after a lost response.
func (p *Pipeline) routeOrder(c *call, next handler) *failure {
	bound := c.identity.Binding
	var tried []string
	if !c.identity.Issued {
		var f *failure
		if bound, f = p.bind(c); f != nil {
			return f
		}
	}
	for {
		f := p.sendToBound(c, next, bound)
		if f == nil || f.execution != executionRuledOut {
			return f
		}
		c.mayHaveRun = false // the only agent that may run the order will never run it
		tried = append(tried, bound.AgentID)
		if c.identity.Issued || len(tried) >= maxAttempts || !p.mayRebind(c, f) || !p.takeRetry(c, f) {
			return f
		}
		rebound, ok := p.rebind(c, bound, tried)
		if !ok {
			return f
		}
		bound = rebound
	}
}

// mayRebind reports whether another agent may be tried for a closed order, i.e.
// one that its agent has permanently refused without running it.
// Unlike for other calls, the refusal may repeat the response to an earlier
// attempt with the same key, so it says little about the current one.
func (p *Pipeline) mayRebind(c *call, f *failure) bool {
	switch f.refusal.Kind {
	case api.KindBadRequest, api.KindTooLarge, api.KindIdentityRequired:
		return false
	}
	return c.ctx.Err() == nil && !c.cancelRequested.Load()
}

// bind binds a key that the caller chose to a selected agent, or returns the
// agent to which an earlier attempt bound it.
func (p *Pipeline) bind(c *call) (order.Binding, *failure) {
	pick := p.pickEndpoint(c, nil)
	if pick == nil {
		return order.Binding{}, p.noEndpoint(c, nil)
	}
	defer pick.Release()
	want := bindingOf(pick.Endpoint)
	got, err := p.Binder.Bind(c.ctx, c.service.Name, c.identity, want)
	if err != nil {
		return order.Binding{}, binderFailure(err)
	}
	if got != want {
		c.mayHaveRun = true // in an earlier attempt, even if the caller states that there was none
	}
	p.recordDecision(c, fmt.Sprintf("Idempotency key is bound to agent %s, incarnation %d.", got.AgentID, got.Incarnation))
	return got, nil
}

// rebind moves a key that the caller chose to another agent. It is called only
// after the agent of old reported that the order is closed and did not run.
func (p *Pipeline) rebind(c *call, old order.Binding, tried []string) (order.Binding, bool) {
	pick := p.pickEndpoint(c, tried)
	if pick == nil {
		return old, false
	}
	defer pick.Release()
	want := bindingOf(pick.Endpoint)
	got, err := p.Binder.Rebind(c.ctx, c.service.Name, c.identity, old, want)
	if err != nil {
		p.recordDecision(c, "Idempotency key was not bound to another agent: "+err.Error())
		return old, false
	}
	if got != want {
		c.mayHaveRun = true // another entry bound the key and may have sent the order
	}
	p.recordDecision(c, fmt.Sprintf("Idempotency key moved from agent %s to %s; the first agent reported that the order did not run.", old.AgentID, got.AgentID))
	return got, true
}

func bindingOf(ep *control.Endpoint) order.Binding {
	return order.Binding{AgentID: ep.Node.ID, Incarnation: ep.Node.Incarnation}
}

// binderFailure returns the failure for an error of the order journal. This
// attempt has not sent the order to any agent, whether or not the journal write
// took effect.
func binderFailure(err error) *failure {
	var r *api.Refusal
	if errors.As(err, &r) {
		refusal := *r
		return &failure{refusal: &refusal, execution: executionNotStarted}
	}
	return notStarted(api.KindStoreUnavailable, err.Error(), "retry later")
}

// sendToBound sends the order to the agent to which it is bound. If an earlier
// attempt may have run it, that agent and then its successors are asked until
// one knows the outcome.
func (p *Pipeline) sendToBound(c *call, next handler, b order.Binding) *failure {
	c.expectIncarnation = b.Incarnation
	var last *failure
	for round := range maxOutcomeRounds {
		if round > 0 && (!p.waitForNextRound(c) || !p.takeRetry(c, last)) {
			return last
		}
		targets, f := p.orderTargets(c, b)
		if f != nil {
			return moreInformative(last, f)
		}
		for _, ep := range targets {
			f := p.runAttempt(c, next, p.Balancer.Assign(ep, targetReason(ep, b)))
			if f == nil || settlesOrder(c, f, ep, b) {
				return f
			}
			last = moreInformative(last, f)
			if !c.mayHaveRun && c.firstAttempt {
				return last // nothing was sent, so there is no outcome to ask for
			}
		}
	}
	return last
}

// moreInformative returns the failure to report. A failure after bytes were
// sent says more than a later one before anything was sent.
func moreInformative(last, f *failure) *failure {
	if last != nil && f.execution == executionNotStarted {
		return last
	}
	return f
}

// settlesOrder reports whether the failure settles the order. If a successor
// does not know the order, the next one is asked.
func settlesOrder(c *call, f *failure, ep *control.Endpoint, b order.Binding) bool {
	if c.ctx.Err() != nil || c.responseStarted() || f.execution == executionRuledOut {
		return true
	}
	return f.execution == executionReported && bindingOf(ep) == b
}

func targetReason(ep *control.Endpoint, b order.Binding) string {
	if bindingOf(ep) == b {
		return "the order is bound to it"
	}
	return "holds the order outcomes of " + b.AgentID
}

// orderTargets returns the agents to ask: the bound incarnation, then its
// successors, which respond from the outcomes handed over to them and run
// nothing. Once the record of the bound incarnation is removed, any agent of
// the service may be a successor.
func (p *Pipeline) orderTargets(c *call, b order.Binding) ([]*control.Endpoint, *failure) {
	snap := p.View.Snapshot()
	ep := snap.AgentByID[b.AgentID]
	if ep == nil || ep.Node.Incarnation != b.Incarnation {
		return p.possibleSuccessors(c, snap)
	}
	if ep.Node.Service != c.service.Name {
		return nil, notStarted(api.KindBadRequest, "the order identity belongs to another service", remedyNewIdentity)
	}
	if c.firstAttempt && !c.mayHaveRun {
		return []*control.Endpoint{ep}, p.checkBoundAgent(snap, ep)
	}
	list := []*control.Endpoint{ep}
	for _, id := range ep.Node.Heirs {
		if successor := snap.AgentByID[id]; successor != nil && successor.Node.Service == c.service.Name {
			list = append(list, successor)
		}
	}
	return list, nil
}

// possibleSuccessors returns ready agents of the service in random order. It
// refuses a new order, since none of them may run it.
func (p *Pipeline) possibleSuccessors(c *call, snap *control.Snapshot) ([]*control.Endpoint, *failure) {
	removed := notStarted(api.KindIdentityClosed, "the agent of this order is gone", p.closedOrderRemedy(c))
	if c.firstAttempt && !c.mayHaveRun {
		return nil, removed
	}
	list := slices.Clone(snap.Endpoints[c.service.Name])
	if len(list) == 0 {
		return nil, removed
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxSuccessorsAsked)], nil
}

// checkBoundAgent returns a failure if the bound agent may not get a new order.
func (p *Pipeline) checkBoundAgent(snap *control.Snapshot, ep *control.Endpoint) *failure {
	switch {
	case snap.OutOfService(ep.Node):
		return notStarted(api.KindZoneOut, "the zone or VM of the order's agent is taken out", remedyNewIdentity)
	case ep.Node.State != wire.StateReady:
		return notStarted(api.KindLeaving, "the order's agent is leaving", remedyNewIdentity)
	case p.Clock.Since(ep.LastSeen) > maxBoundReportAge:
		return notStarted(api.KindNoEndpoint, "the order's agent is silent", remedyNewIdentity)
	}
	return nil
}

func (p *Pipeline) closedOrderRemedy(c *call) string {
	if c.firstAttempt && !c.mayHaveRun {
		return remedyNewIdentity
	}
	return remedySameKey
}

// waitForNextRound waits for outcomeRoundInterval. It returns false if the call
// ends first.
func (p *Pipeline) waitForNextRound(c *call) bool {
	select {
	case <-c.ctx.Done():
		return false
	case <-p.Clock.After(outcomeRoundInterval):
		return true
	}
}
