package main

import (
	"os"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/overload"
)

type overloadCommand struct {
	Loads    []float64     `long:"load" description:"offered load as a multiple of the warm capacity; may be repeated; default: 0.5, 1, 2, 4"`
	Starts   []string      `long:"start" choice:"cold" choice:"warm" description:"state of the engines at the start; may be repeated; default: both"`
	Step     time.Duration `long:"step" default:"30ms" description:"duration of a decoding step"`
	Timeout  time.Duration `long:"timeout" default:"20s" description:"request timeout of the service"`
	Duration time.Duration `long:"duration" default:"60s" description:"time for which load is offered"`
	Attempts int           `long:"attempts" default:"1" description:"attempts that a caller makes for one request"`
	Parallel int           `long:"parallel" default:"2" description:"systems measured at the same time"`
}

func (c *overloadCommand) Execute([]string) error {
	opt := overload.DefaultOptions()
	opt.StepTime, opt.Timeout, opt.LoadDuration = c.Step, c.Timeout, c.Duration
	opt.MaxAttempts, opt.Parallelism = c.Attempts, c.Parallel
	if len(c.Loads) > 0 {
		opt.LoadFactors = c.Loads
	}
	if len(c.Starts) > 0 {
		opt.InitialStates = c.Starts
	}
	ctx, cancel := signalContext()
	defer cancel()
	_, err := overload.Run(ctx, opt, os.Stdout)
	return err
}
