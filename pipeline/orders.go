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
	// orderRounds is how often the agents that may know an order's outcome
	// are asked.
	orderRounds = 3
	// orderPause is the time between two rounds. It covers a reset
	// connection; a lost agent is found by its silence.
	orderPause = 200 * time.Millisecond
	// maxHeirsAsked bounds the agents asked for the outcome of an order whose
	// agent is gone.
	maxHeirsAsked = 16
	// boundSilentAfter is the age of the bound agent's last report beyond
	// which it gets no new order.
	boundSilentAfter = 2 * time.Second

	remedyNewIdentity = "ask /v1/resolve for a new order_identity"
	remedySameKey     = "send the same order with the same key again to learn its outcome"
)

// routeOrder runs a call that may not be repeated. Only the agent incarnation
// to which its identity is bound may run it. That agent gives the first
// answer again to a repeated identity, so it may be asked again after a
// lost answer.
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
		f := p.askBound(c, next, bound)
		if f == nil || f.fate != fateClosed {
			return f
		}
		c.maybeRan = false // the only agent that could run it closed it
		tried = append(tried, bound.AgentID)
		if c.identity.Issued || len(tried) >= maxAttempts || !p.rebindable(c, f) || !p.mayRetry(c, f) {
			return f
		}
		moved, ok := p.rebind(c, bound, tried)
		if !ok {
			return f
		}
		bound = moved
	}
}

// rebindable reports whether another agent may be tried for a closed order.
// Unlike for other calls, the refusal may be the answer to an earlier attempt
// under the same key, so it says little about the present one.
func (p *Pipeline) rebindable(c *call, f *failure) bool {
	switch f.refusal.Kind {
	case api.KindBadRequest, api.KindTooLarge, api.KindIdentityRequired:
		return false
	}
	return c.ctx.Err() == nil && !c.cancelled.Load()
}

// bind binds the caller's own key to a chosen agent, or returns the agent to
// which an earlier attempt bound it.
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
		c.maybeRan = true // by an earlier attempt, whatever the caller states
	}
	p.decide(c, fmt.Sprintf("key bound to %s incarnation %d", got.AgentID, got.Incarnation))
	return got, nil
}

// rebind moves the caller's own key to another agent. It is called only after
// the agent of old stated that the order is closed and did not run.
func (p *Pipeline) rebind(c *call, old order.Binding, tried []string) (order.Binding, bool) {
	pick := p.pickEndpoint(c, tried)
	if pick == nil {
		return old, false
	}
	defer pick.Release()
	want := bindingOf(pick.Endpoint)
	got, err := p.Binder.Rebind(c.ctx, c.service.Name, c.identity, old, want)
	if err != nil {
		p.decide(c, "key not bound to another agent: "+err.Error())
		return old, false
	}
	if got != want {
		c.maybeRan = true // another entry bound it and may have sent it
	}
	p.decide(c, fmt.Sprintf("key bound from %s to %s after proof that it did not run", old.AgentID, got.AgentID))
	return got, true
}

func bindingOf(ep *control.Endpoint) order.Binding {
	return order.Binding{AgentID: ep.Node.ID, Incarnation: ep.Node.Incarnation}
}

// binderFailure is a failure of the journal. The order was not sent anywhere
// by this attempt, whatever became of the journal write.
func binderFailure(err error) *failure {
	var r *api.Refusal
	if errors.As(err, &r) {
		own := *r
		return &failure{refusal: &own, fate: fateOwn}
	}
	return own(api.KindStoreUnavailable, err.Error(), "retry later")
}

// askBound sends the order to its agent. If an earlier attempt may have run
// it, the agent and then its heirs are asked until one knows the outcome.
func (p *Pipeline) askBound(c *call, next handler, b order.Binding) *failure {
	c.expect = b.Incarnation
	var last *failure
	for round := range orderRounds {
		if round > 0 && (!p.pause(c) || !p.mayRetry(c, last)) {
			return last
		}
		targets, f := p.targets(c, b)
		if f != nil {
			return newer(last, f)
		}
		for _, ep := range targets {
			f := p.runAttempt(c, next, p.Balancer.Assign(ep, holdReason(ep, b)))
			if f == nil || final(c, f, ep, b) {
				return f
			}
			last = newer(last, f)
			if !c.maybeRan && c.firstAttempt {
				return last // nothing was sent, so there is no outcome to ask for
			}
		}
	}
	return last
}

// newer returns the failure to report: one after bytes were sent says more
// than a later one before anything was sent.
func newer(last, f *failure) *failure {
	if last != nil && f.fate == fateOwn {
		return last
	}
	return f
}

// final reports whether the failure settles the order. An heir that does not
// know the order leaves it to the next one.
func final(c *call, f *failure, ep *control.Endpoint, b order.Binding) bool {
	if c.ctx.Err() != nil || c.answerBegun() || f.fate == fateClosed {
		return true
	}
	return f.fate == fateStated && bindingOf(ep) == b
}

func holdReason(ep *control.Endpoint, b order.Binding) string {
	if bindingOf(ep) == b {
		return "the order is bound to it"
	}
	return "holds the order outcomes of " + b.AgentID
}

// targets returns the agents to ask: the bound incarnation, then its heirs,
// which answer from handed-over outcomes and run nothing. Once the record of
// the bound incarnation is gone, any agent of the service may be an heir.
func (p *Pipeline) targets(c *call, b order.Binding) ([]*control.Endpoint, *failure) {
	snap := p.View.Snapshot()
	ep := snap.AgentByID[b.AgentID]
	if ep == nil || ep.Node.Incarnation != b.Incarnation {
		return p.possibleHeirs(c, snap)
	}
	if ep.Node.Service != c.service.Name {
		return nil, own(api.KindBadRequest, "the order identity belongs to another service", remedyNewIdentity)
	}
	if c.firstAttempt && !c.maybeRan {
		return []*control.Endpoint{ep}, p.mayGetOrder(snap, ep)
	}
	list := []*control.Endpoint{ep}
	for _, id := range ep.Node.Heirs {
		if heir := snap.AgentByID[id]; heir != nil && heir.Node.Service == c.service.Name {
			list = append(list, heir)
		}
	}
	return list, nil
}

// possibleHeirs returns live agents of the service. A new order is not sent:
// none of them may run it.
func (p *Pipeline) possibleHeirs(c *call, snap *control.Snapshot) ([]*control.Endpoint, *failure) {
	gone := own(api.KindIdentityClosed, "the agent of this order is gone", p.remedy(c))
	if c.firstAttempt && !c.maybeRan {
		return nil, gone
	}
	list := slices.Clone(snap.Endpoints[c.service.Name])
	if len(list) == 0 {
		return nil, gone
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxHeirsAsked)], nil
}

// mayGetOrder checks whether the bound agent may get a new order.
func (p *Pipeline) mayGetOrder(snap *control.Snapshot, ep *control.Endpoint) *failure {
	switch {
	case snap.OutOfService(ep.Node):
		return own(api.KindZoneOut, "the zone or VM of the order's agent is taken out", remedyNewIdentity)
	case ep.Node.State != wire.StateReady:
		return own(api.KindLeaving, "the order's agent is leaving", remedyNewIdentity)
	case p.Clock.Since(ep.LastSeen) > boundSilentAfter:
		return own(api.KindNoEndpoint, "the order's agent is silent", remedyNewIdentity)
	}
	return nil
}

func (p *Pipeline) remedy(c *call) string {
	if c.firstAttempt && !c.maybeRan {
		return remedyNewIdentity
	}
	return remedySameKey
}

// pause waits before the next round and reports whether time is left.
func (p *Pipeline) pause(c *call) bool {
	select {
	case <-c.ctx.Done():
		return false
	case <-p.Clock.After(orderPause):
		return true
	}
}
