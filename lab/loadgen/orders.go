package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/lab/ordersim"
)

// orderOutcome is the outcome of an order as its caller knows it.
type orderOutcome int

const (
	orderUnknown orderOutcome = iota
	orderRan
	orderNotRun
)

// pendingOrder is one order between its first attempt and its outcome.
type pendingOrder struct {
	job
	identity  string // value of the Idempotency-Key header; empty before it is assigned
	callerKey string // part of the identity that the caller chooses, if it does
	// knownNotRun is true while it is known that no earlier attempt has run: before
	// the first attempt, and after a refusal with the outcome not run, which covers
	// all attempts with the identity. Only then may an attempt carry
	// "Wasabinotch-Attempt: 1", and only then may the identity be replaced.
	knownNotRun bool
}

// placeOrder places one order. It retries until the order has run, is refused
// permanently, or OrderTimeout has passed.
func (g *Generator) placeOrder(ctx context.Context, j job) {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.OrderTimeout)
	defer cancel()
	g.orders.begin(j.payload)
	p := &pendingOrder{job: j, callerKey: newID(), knownNotRun: true}
	for attempt := 0; ; attempt++ {
		entry, refusal := g.prepareAttempt(ctx, p)
		if refusal == nil {
			refusal = g.orderAttempt(ctx, p, entry)
		}
		if refusal == nil {
			return
		}
		j.stats.countRefusedAttempt(refusal)
		p.applyRefusal(g.cfg.PlainService, refusal)
		if refusal.Outcome == api.OutcomeRan || isPermanent(refusal) || ctx.Err() != nil {
			g.orders.setOutcome(j.payload, outcomeOf(refusal))
			j.stats.countFailure(refusal)
			return
		}
		j.caller.removeEntry(g.cfg.PlainService, entry, refusal)
		backOff(ctx, refusal, attempt)
	}
}

// prepareAttempt returns the entry for the next attempt and assigns an identity to
// an order that has none. A refusal states the outcome of the earlier attempts,
// since a failed resolve request says nothing about them.
func (g *Generator) prepareAttempt(ctx context.Context, p *pendingOrder) (string, *api.Refusal) {
	if p.identity == "" && !p.useCallerKey {
		return g.requestIdentity(ctx, p)
	}
	entry, epoch, refusal := g.chooseEntry(ctx, p.caller, g.cfg.PlainService)
	if refusal != nil {
		return "", p.withOutcomeSoFar(refusal)
	}
	if p.identity == "" && epoch == 0 {
		return g.requestIdentity(ctx, p) // the entry does not know the order epoch yet
	}
	if p.identity == "" {
		p.identity = fmt.Sprintf("e%d.%s", epoch, p.callerKey)
	}
	return entry, nil
}

// requestIdentity sends a resolve request for a new order identity, which is valid
// for one order, and returns the entry to use.
func (g *Generator) requestIdentity(ctx context.Context, p *pendingOrder) (string, *api.Refusal) {
	resolved, refusal := g.resolveAtAnyEntry(ctx, p.caller, g.cfg.PlainService)
	if refusal != nil {
		return "", p.withOutcomeSoFar(refusal)
	}
	if resolved.OrderIdentity == "" {
		return "", p.withOutcomeSoFar(api.NotRun(api.KindNoEndpoint, "resolve issued no order identity", "ask again later"))
	}
	p.identity = resolved.OrderIdentity
	return resolved.Entries[0].Address, nil
}

// withOutcomeSoFar returns a copy of the refusal of an attempt that was not sent,
// with the outcome of the earlier attempts.
func (p *pendingOrder) withOutcomeSoFar(refusal *api.Refusal) *api.Refusal {
	failed := *refusal
	failed.Outcome = api.OutcomeUnknown
	if p.knownNotRun {
		failed.Outcome = api.OutcomeNotRun
	}
	return &failed
}

// applyRefusal updates the order after a refused attempt. If the order is known not
// to have run, an issued identity is replaced, since the agent that it names may be
// unreachable. A key chosen by the caller is kept unless the key or its order epoch
// is closed.
func (p *pendingOrder) applyRefusal(service string, refusal *api.Refusal) {
	p.knownNotRun = refusal.Outcome == api.OutcomeNotRun
	closed := refusal.Kind == api.KindIdentityClosed
	if p.knownNotRun && (!p.useCallerKey || closed) {
		p.identity, p.callerKey = "", newID()
	}
	if closed {
		p.caller.dropCached(service) // the cached response may name a closed epoch
	}
}

func outcomeOf(refusal *api.Refusal) orderOutcome {
	switch refusal.Outcome {
	case api.OutcomeRan:
		return orderRan
	case api.OutcomeNotRun:
		return orderNotRun
	}
	return orderUnknown
}

func (g *Generator) orderAttempt(ctx context.Context, p *pendingOrder, entry string) *api.Refusal {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.AttemptTimeout)
	defer cancel()
	body, err := json.Marshal(ordersim.Order{OrderNumber: p.payload, Kit: "kit-of-" + p.payload})
	if err != nil {
		return api.NotRun(KindConnectFailed, err.Error(), "report a defect")
	}
	header := g.requestHeader(p.caller.org, newID())
	header.Set(api.HeaderIdempotency, p.identity)
	if p.knownNotRun {
		header.Set(api.HeaderAttempt, "1")
	}
	resp, refusal := g.send(ctx, http.MethodPost, entry, api.PathCall+g.cfg.PlainService+"/orders", header, body)
	if refusal != nil {
		return p.correctDialOutcome(refusal)
	}
	var confirmation ordersim.Confirmation
	if refusal := readJSON(resp, &confirmation); refusal != nil {
		return refusal
	}
	g.orders.setOutcome(p.payload, orderRan)
	if confirmation.OrderNumber != p.payload || confirmation.Code != ordersim.ConfirmationCode(p.payload) {
		p.stats.countWrong("confirmation of " + confirmation.OrderNumber + " in the response for " + p.payload)
		return nil
	}
	p.stats.countComplete(p.job)
	return nil
}

// correctDialOutcome replaces the outcome of a failed dial by the outcome of the
// earlier attempts, since the failed dial says nothing about them.
func (p *pendingOrder) correctDialOutcome(refusal *api.Refusal) *api.Refusal {
	if refusal.Kind == KindConnectFailed {
		return p.withOutcomeSoFar(refusal)
	}
	return refusal
}

// orderTracker holds the outcome of each order as its caller knows it.
type orderTracker struct {
	mu       sync.Mutex
	outcomes map[string]orderOutcome
}

func (l *orderTracker) begin(order string) { l.setOutcome(order, orderUnknown) }

func (l *orderTracker) setOutcome(order string, outcome orderOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[order] = outcome
}

// compare compares the outcomes known to callers with ledger, the number of
// executions by order number.
func (l *orderTracker) compare(ledger map[string]int) OrderSummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	var o OrderSummary
	for order, outcome := range l.outcomes {
		o.add(outcome, ledger[order])
	}
	return o
}

// OrderSummary counts the orders placed, by the outcome known to the caller and by
// the executions in the ledger.
type OrderSummary struct {
	Placed      int `json:"placed"`
	Ran         int `json:"ran"`           // ran at least once
	Duplicated  int `json:"duplicated"`    // ran more than once
	Confirmed   int `json:"confirmed"`     // known to the caller to have run
	NotRun      int `json:"not_run"`       // known to the caller not to have run
	Unknown     int `json:"unknown"`       // of unknown outcome to the caller at the end
	UnknownRan  int `json:"unknown_ran"`   // of unknown outcome to the caller, but ran
	Lost        int `json:"lost"`          // confirmed, but did not run
	FalseNotRun int `json:"false_not_run"` // refused as not run, but ran
}

func (o *OrderSummary) add(outcome orderOutcome, runs int) {
	o.Placed++
	if runs > 0 {
		o.Ran++
	}
	if runs > 1 {
		o.Duplicated++
	}
	switch outcome {
	case orderRan:
		o.Confirmed++
		if runs == 0 {
			o.Lost++
		}
	case orderNotRun:
		o.NotRun++
		if runs > 0 {
			o.FalseNotRun++
		}
	case orderUnknown:
		o.Unknown++
		if runs > 0 {
			o.UnknownRan++
		}
	}
}
