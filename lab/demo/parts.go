package demo

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/deploy"
	"github.com/wasabinotch/wasabinotch/settings"
)

// Runner is a daemon. Run returns after a graceful drain once ctx has ended.
type Runner interface {
	Run(ctx context.Context) error
}

// Deps are the functions of the product that the demo uses.
type Deps struct {
	NewEntry   func(settings.Entry, logr.Logger) (Runner, error)
	NewAgent   func(settings.Agent, logr.Logger) (Runner, error)
	SignBundle func(bundle.Bundle, []deploy.Key) (bundle.Signed, error)
	SignIntent func(bundle.Intent, deploy.Key) (bundle.Intent, error)
}

// Options are the size and the load of the demo. Zero values take the defaults
// of DefaultOptions.
type Options struct {
	// PhaseDuration is the length of each of the three phases: before the zone is taken
	// out, while it is out, and after it is back.
	PhaseDuration time.Duration
	// Rates are in requests per second.
	ModelRate float64
	StockRate float64
	OrderRate float64
	// DrainTimeout bounds the wait for the daemons at the end.
	DrainTimeout time.Duration
	// Log receives the logs of the daemons.
	Log logr.Logger
}

// DefaultOptions returns a demo of about half a minute.
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
