package loadgen

import (
	"context"
	"net/http"
	"net/url"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/lab/ordersim"
)

// stock sends one lookup. Lookups are idempotent, so that every refusal is
// retried.
func (g *Generator) stock(ctx context.Context, j job) {
	for attempt := 0; ; attempt++ {
		entry, _, refusal := g.entry(ctx, j.caller, g.cfg.PlainService)
		if refusal == nil {
			refusal = g.stockAttempt(ctx, j, entry)
		}
		if refusal == nil {
			return
		}
		j.stats.refused(refusal)
		if permanent(refusal) || attempt+1 >= g.cfg.MaxAttempts || ctx.Err() != nil {
			j.stats.failed(refusal)
			return
		}
		j.caller.avoid(g.cfg.PlainService, entry, refusal)
		pause(ctx, refusal, attempt)
	}
}

func (g *Generator) stockAttempt(ctx context.Context, j job, entry string) *api.Refusal {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.AttemptTimeout)
	defer cancel()
	path := api.PathCall + g.cfg.PlainService + "/stock/" + url.PathEscape(j.text)
	resp, refusal := g.send(ctx, http.MethodGet, entry, path, g.header(j.caller.org, newID()), nil)
	if refusal != nil {
		return refusal
	}
	var answer ordersim.Stock
	if refusal := readJSON(resp, &answer); refusal != nil {
		return refusal
	}
	if answer.Kit != j.text || answer.Quantity != ordersim.QuantityOf(j.text) {
		j.stats.wrong("stock of " + answer.Kit + " in the answer for " + j.text)
		return nil
	}
	j.stats.whole(j)
	return nil
}
