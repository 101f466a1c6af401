package main

import (
	"os"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/latency"
)

type latencyCommand struct {
	CallRate   float64       `long:"call-rate" default:"1600" description:"calls per second; the two endpoints sustain 3200"`
	StreamRate float64       `long:"stream-rate" default:"75" description:"streams per second; the two engines sustain about 250"`
	Tokens     int           `long:"tokens" default:"16" description:"limit of a stream, in tokens"`
	WarmUp     time.Duration `long:"warm-up" default:"5s" description:"time of load before each kind of request, in which endpoints become warm"`
	Phase      time.Duration `long:"phase" default:"2s" description:"length of one phase"`
	Phases     int           `long:"phases" default:"5" description:"phases of each path (direct and routed) and kind of request"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the schedule"`
}

// Execute compares the latencies and prints a table.
func (c *latencyCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	comparisons, err := latency.Measure(ctx, latency.Options{CallRate: c.CallRate, StreamRate: c.StreamRate,
		TokensPerStream: c.Tokens, WarmUpDuration: c.WarmUp, PhaseDuration: c.Phase, PhasesPerPath: c.Phases, Seed: c.Seed})
	if err != nil {
		return err
	}
	return latency.WriteTable(os.Stdout, comparisons)
}
