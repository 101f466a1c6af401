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

// orderState is what the caller of an order knows at the end.
type orderState int

const (
	orderUnknown orderState = iota
	orderRan
	orderNotRun
)

// placement is one order on its way. fresh is true as long as every earlier
// attempt is known not to have run; only then may an attempt state
// "Wasabinotch-Attempt: 1", and only then may the identity be replaced.
type placement struct {
	job
	identity string
	key      string // of a caller's own key
	fresh    bool
}

// order places one order, repeating it while its outcome is unknown.
func (g *Generator) order(ctx context.Context, j job) {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.OrderTimeout)
	defer cancel()
	g.orders.begin(j.text)
	p := &placement{job: j, key: newID(), fresh: true}
	for attempt := 0; ; attempt++ {
		entry, refusal := g.identify(ctx, p)
		if refusal == nil {
			refusal = g.orderAttempt(ctx, p, entry)
		}
		if refusal == nil {
			return
		}
		j.stats.refused(refusal)
		p.settle(g.cfg.PlainService, refusal)
		if refusal.Outcome == api.OutcomeRan || permanent(refusal) || ctx.Err() != nil {
			g.orders.end(j.text, stateOf(refusal))
			j.stats.failed(refusal)
			return
		}
		j.caller.avoid(g.cfg.PlainService, entry, refusal)
		pause(ctx, refusal, attempt)
	}
}

// identify chooses the entry and, if the order has no identity, gives it one.
// A failure to resolve says nothing about earlier attempts.
func (g *Generator) identify(ctx context.Context, p *placement) (string, *api.Refusal) {
	if p.identity == "" && !p.ownKey {
		return g.issue(ctx, p)
	}
	entry, epoch, refusal := g.entry(ctx, p.caller, g.cfg.PlainService)
	if refusal != nil {
		return "", p.resolveFailed(refusal)
	}
	if p.identity == "" && epoch == 0 {
		return g.issue(ctx, p) // the entry has not read the epoch yet
	}
	if p.identity == "" {
		p.identity = fmt.Sprintf("e%d.%s", epoch, p.key)
	}
	return entry, nil
}

// issue asks for an issued identity, which serves one order.
func (g *Generator) issue(ctx context.Context, p *placement) (string, *api.Refusal) {
	resolved, refusal := g.resolveAnywhere(ctx, p.caller, g.cfg.PlainService)
	if refusal != nil {
		return "", p.resolveFailed(refusal)
	}
	if resolved.OrderIdentity == "" {
		return "", p.resolveFailed(api.NotRun(api.KindNoEndpoint, "resolve issued no order identity", "ask again later"))
	}
	p.identity = resolved.OrderIdentity
	return resolved.Entries[0].Address, nil
}

func (p *placement) resolveFailed(refusal *api.Refusal) *api.Refusal {
	failed := *refusal
	failed.Outcome = api.OutcomeUnknown
	if p.fresh {
		failed.Outcome = api.OutcomeNotRun
	}
	return &failed
}

// settle notes what a refusal says about the order. After proof that it did
// not run, an issued identity is replaced, since its agent may be gone; an own
// key is kept unless it or its epoch is closed.
func (p *placement) settle(service string, refusal *api.Refusal) {
	p.fresh = refusal.Outcome == api.OutcomeNotRun
	closed := refusal.Kind == api.KindIdentityClosed
	if p.fresh && (!p.ownKey || closed) {
		p.identity, p.key = "", newID()
	}
	if closed {
		p.caller.forget(service) // the kept answer may name a closed epoch
	}
}

func stateOf(refusal *api.Refusal) orderState {
	switch refusal.Outcome {
	case api.OutcomeRan:
		return orderRan
	case api.OutcomeNotRun:
		return orderNotRun
	}
	return orderUnknown
}

func (g *Generator) orderAttempt(ctx context.Context, p *placement, entry string) *api.Refusal {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.AttemptTimeout)
	defer cancel()
	body, err := json.Marshal(ordersim.Order{OrderNumber: p.text, Kit: "kit-of-" + p.text})
	if err != nil {
		return api.NotRun(KindConnectFailed, err.Error(), "report a defect")
	}
	header := g.header(p.caller.org, newID())
	header.Set(api.HeaderIdempotency, p.identity)
	if p.fresh {
		header.Set(api.HeaderAttempt, "1")
	}
	resp, refusal := g.send(ctx, http.MethodPost, entry, api.PathCall+g.cfg.PlainService+"/orders", header, body)
	if refusal != nil {
		return p.sendFailed(refusal)
	}
	var answer ordersim.Confirmation
	if refusal := readJSON(resp, &answer); refusal != nil {
		return refusal
	}
	g.orders.end(p.text, orderRan)
	if answer.OrderNumber != p.text || answer.Code != ordersim.ConfirmationCode(p.text) {
		p.stats.wrong("confirmation of " + answer.OrderNumber + " in the answer for " + p.text)
		return nil
	}
	p.stats.whole(p.job)
	return nil
}

// sendFailed corrects the outcome of a failed dial, which says nothing about
// earlier attempts.
func (p *placement) sendFailed(refusal *api.Refusal) *api.Refusal {
	if refusal.Kind == KindConnectFailed {
		return p.resolveFailed(refusal)
	}
	return refusal
}

// orderLog keeps what callers know of their orders.
type orderLog struct {
	mu     sync.Mutex
	states map[string]orderState
}

func (l *orderLog) begin(order string) { l.end(order, orderUnknown) }

func (l *orderLog) end(order string, state orderState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[order] = state
}

// compare matches what callers know with the runs by order number.
func (l *orderLog) compare(ledger map[string]int) OrderSummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	var o OrderSummary
	for order, state := range l.states {
		o.add(state, ledger[order])
	}
	return o
}

// OrderSummary compares the orders placed with those that ran.
type OrderSummary struct {
	Placed      int `json:"placed"`
	Ran         int `json:"ran"`        // ran at least once
	Duplicated  int `json:"duplicated"` // ran more than once
	Confirmed   int `json:"confirmed"`  // known to the caller to have run
	NotRun      int `json:"not_run"`    // known to the caller not to have run
	Unknown     int `json:"unknown"`    // unknown to the caller at the end
	UnknownRan  int `json:"unknown_ran"`
	Lost        int `json:"lost"`          // confirmed, but did not run
	FalseNotRun int `json:"false_not_run"` // refused as not run, but ran
}

func (o *OrderSummary) add(state orderState, runs int) {
	o.Placed++
	if runs > 0 {
		o.Ran++
	}
	if runs > 1 {
		o.Duplicated++
	}
	switch state {
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
