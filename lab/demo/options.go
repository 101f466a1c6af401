package demo

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/deploy"
	"github.com/wasabinotch/wasabinotch/settings"
)

// Runner is a daemon. When ctx is done, Run drains gracefully and returns.
type Runner interface {
	Run(ctx context.Context) error
}

// Deps are the functions of the product that the demo uses. They are passed in, so
// that tests can replace them.
type Deps struct {
	NewEntry   func(settings.Entry, logr.Logger) (Runner, error)
	NewAgent   func(settings.Agent, logr.Logger) (Runner, error)
	SignBundle func(bundle.Bundle, []deploy.Key) (bundle.Signed, error)
	SignIntent func(bundle.Intent, deploy.Key) (bundle.Intent, error)
}

// Options are the durations and the load of the demo. Zero values are replaced by
// those of DefaultOptions; the rates only if all of them are 0.
type Options struct {
	// PhaseDuration is the length of each of the three phases: before the zone is taken
	// out of service, while it is out, and after its return.
	PhaseDuration time.Duration
	// ModelRate, StockRate and OrderRate are mean rates in requests per second.
	ModelRate float64
	StockRate float64
	OrderRate float64
	// DrainTimeout bounds the wait for the daemons to drain at the end of the run.
	DrainTimeout time.Duration
	// Log receives the logs of the daemons.
	Log logr.Logger
}

// DefaultOptions returns the options of a demo that takes about half a minute.
func DefaultOptions() Options {
	return Options{
		PhaseDuration: 5 * time.Second,
		ModelRate:     20,
		StockRate:     100,
		OrderRate:     30,
		DrainTimeout:  20 * time.Second,
		Log:           logr.Discard(),
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	if o.PhaseDuration == 0 {
		o.PhaseDuration = d.PhaseDuration
	}
	if o.ModelRate == 0 && o.StockRate == 0 && o.OrderRate == 0 {
		o.ModelRate, o.StockRate, o.OrderRate = d.ModelRate, d.StockRate, d.OrderRate
	}
	if o.DrainTimeout == 0 {
		o.DrainTimeout = d.DrainTimeout
	}
	if o.Log.GetSink() == nil {
		o.Log = d.Log
	}
	return o
}
