package order

import (
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// inheritedFor is how long outcomes of other agents are kept; after it
	// the identities' epochs would be closed at their own agent as well.
	inheritedFor = (OpenAgentEpochs + 1) * AgentEpochLength
	// maxInheritedBytes bounds the outcomes kept for other agents.
	maxInheritedBytes = 12 << 20
)

type inheritedKey struct {
	scoped      string
	incarnation uint64
}

type inheritedOutcome struct {
	outcome wire.OrderOutcome
	at      time.Time
	bytes   int
}

// Outcomes returns the outcomes to hand over at a planned stop: those of this
// incarnation's ended orders and those inherited from others.
func (t *Table) Outcomes() []wire.OrderOutcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]wire.OrderOutcome, 0, len(t.orders)+len(t.inherited))
	for _, o := range t.orders {
		out = append(out, o.outcome())
	}
	for _, h := range t.inherited {
		out = append(out, h.outcome)
	}
	return out
}

// outcome describes the order; one that has not ended is unknown to others.
func (o *Order) outcome() wire.OrderOutcome {
	w := wire.OrderOutcome{
		Identity:     o.id.Raw,
		Organisation: o.id.Organisation,
		Incarnation:  o.incarnation,
		Fingerprint:  o.fingerprint,
		Closed:       o.state == StateRefused,
		Unknown:      o.state == StateUnknown || o.busy(),
	}
	if o.state != StateDone {
		return w
	}
	w.Oversize = o.oversize
	if o.answer != nil && !o.oversize {
		w.Status, w.Header, w.Body = o.answer.Status, o.answer.Header, o.answer.Body
	}
	return w
}

// ImportOutcomes stores outcomes of another agent and returns how many of them are
// held. It stores none beyond its memory bound, so that the sender can pick
// another heir.
func (t *Table) ImportOutcomes(outcomes []wire.OrderOutcome) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pruneInherited()
	stored := 0
	for _, w := range outcomes {
		if t.inherit(w) {
			stored++
		}
	}
	return stored
}

func (t *Table) inherit(w wire.OrderOutcome) bool {
	id := Identity{Raw: w.Identity, Organisation: w.Organisation}
	key := inheritedKey{scoped: id.ScopedKey(), incarnation: w.Incarnation}
	if _, ok := t.inherited[key]; ok {
		return true
	}
	answer := Response{Header: w.Header, Body: w.Body}
	bytes := recordBytes + len(key.scoped) + answer.size()
	if t.heirBytes+bytes > maxInheritedBytes {
		return false
	}
	t.heirBytes += bytes
	t.inherited[key] = &inheritedOutcome{outcome: w, at: t.cfg.Clock.Now(), bytes: bytes}
	return true
}

// Completeness returns the statements that go with Outcomes. It may be called only
// after the last order has ended and when no new one can be started.
func (t *Table) Completeness() []wire.WholeOutcomes {
	t.mu.Lock()
	defer t.mu.Unlock()
	oldest, current := uint64(0), t.AgentEpoch()
	if current > OpenAgentEpochs {
		oldest = current - OpenAgentEpochs
	}
	out := make([]wire.WholeOutcomes, 0, len(t.own)+len(t.whole))
	for incarnation := range t.own {
		w := wire.WholeOutcomes{AgentID: t.cfg.Self.AgentID, Incarnation: incarnation, OldestAgentEpoch: oldest}
		if t.highest > 0 {
			w.OldestJournalEpoch = t.highest - 1
		}
		out = append(out, w)
	}
	for _, w := range t.whole {
		out = append(out, w)
	}
	return out
}

// ImportCompleteness records that all outcomes of the incarnations were stored here.
// An incarnation of which an outcome has expired again loses the statement.
func (t *Table) ImportCompleteness(whole []wire.WholeOutcomes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range whole {
		if !t.own[w.Incarnation] {
			t.whole[w.Incarnation] = w
		}
	}
}

// neverRan reports whether the order's incarnation has stopped without having
// seen the identity.
func (t *Table) neverRan(c Claim) bool {
	w, found := t.whole[c.incarnation()]
	if !found {
		return false
	}
	if c.Identity.Issued {
		return w.AgentID == c.Identity.Binding.AgentID && c.Identity.AgentEpoch >= w.OldestAgentEpoch
	}
	return c.Identity.JournalEpoch >= w.OldestJournalEpoch
}

func (t *Table) pruneInherited() {
	for key, h := range t.inherited {
		if t.cfg.Clock.Since(h.at) > inheritedFor {
			t.heirBytes -= h.bytes
			delete(t.inherited, key)
			delete(t.whole, key.incarnation) // its outcomes are no longer whole
		}
	}
}

// fromInherited answers a claim of another incarnation. Such an order never
// runs here.
func (t *Table) fromInherited(c Claim) (*Order, *api.Refusal) {
	h := t.inherited[inheritedKey{scoped: c.Identity.ScopedKey(), incarnation: c.incarnation()}]
	if h == nil && t.neverRan(c) {
		return nil, api.NotRun(api.KindIdentityClosed, "the agent of the order has stopped without having seen it", "send the order with a new identity from /v1/resolve")
	}
	if h == nil {
		return nil, api.Unknown(api.KindIdentityClosed,
			"the identity is bound to another agent incarnation, whose outcomes are not held here",
			"check with the service whether the order took effect; a new order needs a new identity from /v1/resolve")
	}
	w := h.outcome
	switch {
	case w.Fingerprint != c.Fingerprint:
		return nil, otherContent()
	case w.Closed:
		return nil, api.NotRun(api.KindIdentityClosed, "the order was refused by its agent and did not run", "send the order with a new identity from /v1/resolve")
	case w.Unknown:
		return nil, api.Unknown(api.KindEndpointFailed, "the order was handed to its endpoint and its answer was lost", "check with the service whether the order took effect")
	case w.Oversize:
		return nil, oversizeRefusal()
	}
	o := &Order{table: t, id: c.Identity, started: make(chan struct{}), finished: make(chan struct{}), state: StateDone}
	o.answer = &Response{Status: w.Status, Header: w.Header, Body: w.Body}
	close(o.started)
	close(o.finished)
	return o, nil
}
