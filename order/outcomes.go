package order

import (
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// importedRetention is how long outcomes of other agents are kept. After it, the
	// epochs of their identities would be closed at the agents that recorded them as
	// well.
	importedRetention = (OpenAgentEpochs + 1) * AgentEpochLength
	// maxImportedBytes bounds the memory of imported outcomes.
	maxImportedBytes = 12 << 20
)

type importedKey struct {
	scopedKey   string
	incarnation uint64
}

type importedOutcome struct {
	outcome    wire.OrderOutcome
	importedAt time.Time
	bytes      int
}

// Outcomes returns the outcomes to hand over at a planned stop: those of the orders
// of this process and those imported from other agents.
func (t *Table) Outcomes() []wire.OrderOutcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]wire.OrderOutcome, 0, len(t.orders)+len(t.imported))
	for _, o := range t.orders {
		out = append(out, o.outcome())
	}
	for _, item := range t.imported {
		out = append(out, item.outcome)
	}
	return out
}

// outcome returns the order's outcome for a successor. An order that has not ended
// is reported as unknown.
func (o *Order) outcome() wire.OrderOutcome {
	w := wire.OrderOutcome{
		Identity:     o.id.Raw,
		Organisation: o.id.Organisation,
		Incarnation:  o.incarnation,
		Fingerprint:  o.fingerprint,
		Closed:       o.state == StateRefused,
		Unknown:      o.state == StateUnknown || o.isActive(),
	}
	if o.state != StateDone {
		return w
	}
	w.Oversize = o.oversize
	if o.response != nil && !o.oversize {
		w.Status, w.Header, w.Body = o.response.Status, o.response.Header, o.response.Body
	}
	return w
}

// ImportOutcomes stores outcomes that another agent hands over and returns how many
// of them are stored here, including those stored before. It stores none beyond its
// memory bound, so that the sender can choose another successor.
func (t *Table) ImportOutcomes(outcomes []wire.OrderOutcome) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pruneImported()
	stored := 0
	for _, w := range outcomes {
		if t.importOutcome(w) {
			stored++
		}
	}
	return stored
}

func (t *Table) importOutcome(w wire.OrderOutcome) bool {
	id := Identity{Raw: w.Identity, Organisation: w.Organisation}
	key := importedKey{scopedKey: id.ScopedKey(), incarnation: w.Incarnation}
	if _, ok := t.imported[key]; ok {
		return true
	}
	response := Response{Header: w.Header, Body: w.Body}
	bytes := recordOverheadBytes + len(key.scopedKey) + response.size()
	if t.importedBytes+bytes > maxImportedBytes {
		return false
	}
	t.importedBytes += bytes
	t.imported[key] = &importedOutcome{outcome: w, importedAt: t.cfg.Clock.Now(), bytes: bytes}
	return true
}

// Completeness returns the statements that the result of Outcomes is complete, one
// for each incarnation. It may be called only after the last order has ended and
// when no new one can start.
func (t *Table) Completeness() []wire.WholeOutcomes {
	t.mu.Lock()
	defer t.mu.Unlock()
	oldest, current := uint64(0), t.AgentEpoch()
	if current > OpenAgentEpochs {
		oldest = current - OpenAgentEpochs
	}
	out := make([]wire.WholeOutcomes, 0, len(t.incarnations)+len(t.complete))
	for incarnation := range t.incarnations {
		w := wire.WholeOutcomes{AgentID: t.cfg.Self.AgentID, Incarnation: incarnation, OldestAgentEpoch: oldest}
		if t.highestJournalEpoch > 0 {
			w.OldestJournalEpoch = t.highestJournalEpoch - 1
		}
		out = append(out, w)
	}
	for _, w := range t.complete {
		out = append(out, w)
	}
	return out
}

// ImportCompleteness records that all outcomes of the incarnations are stored here.
// The statement about an incarnation is removed when one of its outcomes expires.
func (t *Table) ImportCompleteness(statements []wire.WholeOutcomes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range statements {
		if !t.incarnations[w.Incarnation] {
			t.complete[w.Incarnation] = w
		}
	}
}

// neverReceived reports whether the incarnation of the claimed order has stopped
// without having received the identity.
func (t *Table) neverReceived(c Claim) bool {
	w, found := t.complete[c.incarnation()]
	if !found {
		return false
	}
	if c.Identity.Issued {
		return w.AgentID == c.Identity.Binding.AgentID && c.Identity.AgentEpoch >= w.OldestAgentEpoch
	}
	return c.Identity.JournalEpoch >= w.OldestJournalEpoch
}

func (t *Table) pruneImported() {
	for key, item := range t.imported {
		if t.cfg.Clock.Since(item.importedAt) > importedRetention {
			t.importedBytes -= item.bytes
			delete(t.imported, key)
			delete(t.complete, key.incarnation) // its outcomes are no longer complete
		}
	}
}

// fromImported returns the imported outcome of an order that is bound to an
// incarnation of another process, or a refusal. Such an order never runs here.
func (t *Table) fromImported(c Claim) (*Order, *api.Refusal) {
	item := t.imported[importedKey{scopedKey: c.Identity.ScopedKey(), incarnation: c.incarnation()}]
	if item == nil && t.neverReceived(c) {
		return nil, api.NotRun(api.KindIdentityClosed, "the agent of the order has stopped without having seen it", "send the order with a new identity from /v1/resolve")
	}
	if item == nil {
		return nil, api.Unknown(api.KindIdentityClosed,
			"the identity is bound to another agent incarnation, whose outcomes are not held here",
			"check with the service whether the order took effect; a new order needs a new identity from /v1/resolve")
	}
	w := item.outcome
	switch {
	case w.Fingerprint != c.Fingerprint:
		return nil, contentConflictRefusal()
	case w.Closed:
		return nil, api.NotRun(api.KindIdentityClosed, "the order was refused by its agent and did not run", "send the order with a new identity from /v1/resolve")
	case w.Unknown:
		return nil, api.Unknown(api.KindEndpointFailed, "the order was handed to its endpoint and its answer was lost", "check with the service whether the order took effect")
	case w.Oversize:
		return nil, oversizeRefusal()
	}
	o := &Order{table: t, id: c.Identity, started: make(chan struct{}), finished: make(chan struct{}), state: StateDone}
	o.response = &Response{Status: w.Status, Header: w.Header, Body: w.Body}
	close(o.started)
	close(o.finished)
	return o, nil
}
