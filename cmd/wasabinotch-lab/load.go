package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/lab/loadgen"
)

type loadCommand struct {
	Entries           []string      `long:"entry" required:"yes" description:"HTTP address of an entry, IP:port; may be repeated"`
	Callers           string        `long:"callers" required:"yes" description:"JSON file with organisations and their API keys, as written by 'settings'"`
	Zones             []string      `long:"zone" description:"zone that callers name when they resolve; may be repeated"`
	ModelService      string        `long:"model-service" default:"notes" description:"name of the model service"`
	PlainService      string        `long:"plain-service" default:"desk" description:"name of the plain service"`
	ModelRate         float64       `long:"model-rate" description:"model requests per second"`
	StockRate         float64       `long:"stock-rate" description:"stock lookups per second"`
	OrderRate         float64       `long:"order-rate" description:"orders per second"`
	Orders            int           `long:"orders" description:"number of orders; 0 for no limit"`
	CallerKeyFraction float64       `long:"own-key-share" default:"0.5" description:"fraction of orders with idempotency keys chosen by callers"`
	MaxTokens         int           `long:"max-tokens" default:"32" description:"limit of a model response, in tokens"`
	Duration          time.Duration `long:"duration" default:"10s" description:"time during which requests are sent"`
	Seed              uint64        `long:"seed" description:"seed of the schedule"`
	LedgerAddrs       []string      `long:"orders-control" description:"control address of an order service simulator, whose ledger is compared with the responses; may be repeated"`
	JSON              bool          `long:"json" description:"print the summary as JSON"`
}

// Execute sends the load and prints a summary. It returns an error if a guarantee
// was violated.
func (c *loadCommand) Execute([]string) error {
	g, err := c.generator()
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	g.Run(ctx)
	ledger, err := readLedgers(c.LedgerAddrs)
	if err != nil {
		return err
	}
	summary := g.Summary(ledger)
	if err := c.printSummary(summary); err != nil {
		return err
	}
	if violations := summary.Violations(); len(violations) > 0 {
		return trace.CompareFailed("guarantees violated: %s", strings.Join(violations, "; "))
	}
	return nil
}

func (c *loadCommand) generator() (*loadgen.Generator, error) {
	data, err := os.ReadFile(c.Callers)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var organisations []loadgen.Organisation
	if err := json.Unmarshal(data, &organisations); err != nil {
		return nil, trace.BadParameter("%s is not a list of organisations: %v", c.Callers, err)
	}
	return loadgen.New(loadgen.Config{
		EntryAddrs:        c.Entries,
		Organisations:     organisations,
		Zones:             c.Zones,
		ModelService:      c.ModelService,
		PlainService:      c.PlainService,
		ModelRate:         c.ModelRate,
		StockRate:         c.StockRate,
		OrderRate:         c.OrderRate,
		MaxOrders:         c.Orders,
		CallerKeyFraction: c.CallerKeyFraction,
		MaxTokens:         c.MaxTokens,
		Duration:          c.Duration,
		Seed:              c.Seed,
	})
}

func (c *loadCommand) printSummary(s loadgen.Summary) error {
	if !c.JSON {
		return s.Write(os.Stdout)
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return trace.Wrap(e.Encode(s))
}

// readLedgers returns the number of executions of each order, added up over the
// ledgers of the simulators at the given control addresses; nil without any.
func readLedgers(controls []string) (map[string]int, error) {
	if len(controls) == 0 {
		return nil, nil
	}
	total := make(map[string]int)
	for _, addr := range controls {
		var ledger map[string]int
		if err := getJSON(fmt.Sprintf("http://%s/ledger", addr), &ledger); err != nil {
			return nil, err
		}
		for order, runs := range ledger {
			total[order] += runs
		}
	}
	return total, nil
}

func getJSON(url string, v any) error {
	const timeout = 10 * time.Second
	client := http.Client{Timeout: timeout}
	resp, err := client.Get(url)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return trace.Wrap(json.NewDecoder(resp.Body).Decode(v))
}
