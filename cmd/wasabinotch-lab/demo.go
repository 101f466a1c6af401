package main

import (
	"os"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/agent"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/entry"
	"github.com/wasabinotch/wasabinotch/lab/demo"
	"github.com/wasabinotch/wasabinotch/lab/deploy"
	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/settings"
)

type demoCommand struct {
	Phase     time.Duration `long:"phase" default:"5s" description:"length of each phase: before, zone out of service, zone returned"`
	ModelRate float64       `long:"model-rate" default:"20" description:"model requests per second"`
	StockRate float64       `long:"stock-rate" default:"100" description:"stock lookups per second"`
	OrderRate float64       `long:"order-rate" default:"30" description:"orders per second"`
	Logs      string        `long:"logs" description:"file for the logs of the daemons; default: none"`
}

func (c *demoCommand) Execute([]string) error {
	opt := demo.DefaultOptions()
	opt.PhaseDuration = c.Phase
	opt.ModelRate, opt.StockRate, opt.OrderRate = c.ModelRate, c.StockRate, c.OrderRate
	log, closeLog, err := openLog(c.Logs)
	if err != nil {
		return err
	}
	defer closeLog()
	opt.Log = log
	ctx, cancel := signalContext()
	defer cancel()
	return demo.Run(ctx, productDeps(), opt, os.Stdout)
}

// openLog returns a logger that writes to a new file, and a function that
// closes it. Without a path, nothing is logged.
func openLog(path string) (logr.Logger, func(), error) {
	if path == "" {
		return logr.Discard(), func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return logr.Logger{}, nil, err
	}
	return logs.New(f), func() { _ = f.Close() }, nil
}

// productDeps returns the product's constructors and signing functions, which
// package demo receives as a parameter.
func productDeps() demo.Deps {
	return demo.Deps{
		NewEntry: func(s settings.Entry, log logr.Logger) (demo.Runner, error) { return entry.New(s, log) },
		NewAgent: func(s settings.Agent, log logr.Logger) (demo.Runner, error) { return agent.New(s, log) },
		SignBundle: func(b bundle.Bundle, keys []deploy.Key) (bundle.Signed, error) {
			signed := bundle.Signed{Bundle: b}
			for _, k := range keys {
				sig, err := b.Sign(k.Name, k.Private())
				if err != nil {
					return signed, err
				}
				signed.Signatures = append(signed.Signatures, sig)
			}
			return signed, nil
		},
		SignIntent: func(in bundle.Intent, k deploy.Key) (bundle.Intent, error) {
			err := in.Sign(k.Name, k.Private())
			return in, err
		},
	}
}
