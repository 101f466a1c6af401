package main

import (
	"os"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/lab/demo"
	"github.com/wasabinotch/wasabinotch/logs"
)

// demoParts are the parts of the product that the demo assembles. The demo is
// offered only if they are set.
var demoParts *demo.Parts

type demoCommand struct {
	Phase     time.Duration `long:"phase" default:"5s" description:"length of each phase: before, out, back"`
	ModelRate float64       `long:"model-rate" default:"20" description:"model requests per second"`
	StockRate float64       `long:"stock-rate" default:"100" description:"stock lookups per second"`
	OrderRate float64       `long:"order-rate" default:"30" description:"orders per second"`
	Verbose   bool          `long:"verbose" description:"print the logs of entries and agents to standard error"`
}

// Execute runs the demo. It fails if a guarantee was violated.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := signalled()
	defer cancel()
	log := logr.Discard()
	if c.Verbose {
		log = logs.New(os.Stderr)
	}
	return demo.Run(ctx, *demoParts, demo.Options{
		Phase:     c.Phase,
		ModelRate: c.ModelRate,
		StockRate: c.StockRate,
		OrderRate: c.OrderRate,
		Log:       log,
	}, os.Stdout)
}
