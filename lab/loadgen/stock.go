package loadgen

import (
	"context"
	"net/http"
	"net/url"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/lab/ordersim"
)

// sendLookup sends one stock lookup. Lookups are idempotent, so a refusal of any
// outcome is retried unless it is permanent.
func (g *Generator) sendLookup(ctx context.Context, j job) {
	for attempt := 0; ; attempt++ {
		entry, _, refusal := g.chooseEntry(ctx, j.caller, g.cfg.PlainService)
		if refusal == nil {
			refusal = g.lookupAttempt(ctx, j, entry)
		}
		if refusal == nil {
			return
		}
		j.stats.countRefusedAttempt(refusal)
		if isPermanent(refusal) || attempt+1 >= g.cfg.MaxAttempts || ctx.Err() != nil {
			j.stats.countFailure(refusal)
			return
		}
		j.caller.removeEntry(g.cfg.PlainService, entry, refusal)
		backOff(ctx, refusal, attempt)
	}
}

func (g *Generator) lookupAttempt(ctx context.Context, j job, entry string) *api.Refusal {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.AttemptTimeout)
	defer cancel()
	path := api.PathCall + g.cfg.PlainService + "/stock/" + url.PathEscape(j.payload)
	resp, refusal := g.send(ctx, http.MethodGet, entry, path, g.requestHeader(j.caller.org, newID()), nil)
	if refusal != nil {
		return refusal
	}
	var stock ordersim.Stock
	if refusal := readJSON(resp, &stock); refusal != nil {
		return refusal
	}
	if stock.Kit != j.payload || stock.Quantity != ordersim.QuantityOf(j.payload) {
		j.stats.countWrong("stock of " + stock.Kit + " in the response for " + j.payload)
		return nil
	}
	j.stats.countComplete(j)
	return nil
}
