package zonemove

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
)

// Options are the size, the load and the faults of one run.
type Options struct {
	// EntriesPerZone, ModelAgents and OrderAgents are numbers per zone.
	EntriesPerZone     int
	ModelAgentsPerZone int
	OrderAgentsPerZone int
	// LoadFraction is the offered load as a fraction of the capacity that remains
	// while one zone is out, or of the whole capacity with OfWhole.
	LoadFraction    float64
	OfTotalCapacity bool
	// MaxTokens bounds a model answer. Answers of the stand-in have at least 16 tokens.
	MaxTokens int
	// StepBase and StepPerRequest are the decoding step times of the engines.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// ServiceTime is the time of one lookup or order.
	ServiceTime time.Duration
	// CallerKeyFraction is the fraction of orders with callers' own keys, which need the store.
	CallerKeyFraction float64
	// PhaseDuration is the length of the phases before, out steady and back steady.
	PhaseDuration time.Duration
	// OutDuration and Back are the lengths of the phases after the two commands.
	OutDuration  time.Duration
	BackDuration time.Duration
	// StoreDown takes the store down before each out, for the phase out.
	StoreDown bool
	// ZoneMoves is the number of zones moved one after the other, 1 or 2.
	ZoneMoves int
	// MoveInterval is the time from the return of one zone to the next out. The phases
	// back and back steady of the first zone are cut to it; 0 keeps them whole.
	MoveInterval time.Duration
	// FreezeDuration stops one agent of the first zone at the command for this time.
	FreezeDuration time.Duration
	// FreezeOrderAgent freezes an order agent instead of a model agent.
	FreezeOrderAgent bool
	// RestartEntry restarts an entry of a remaining zone at the first command.
	RestartEntry bool
	Seed         uint64
	// DrainTimeout bounds the wait for the daemons at the end.
	DrainTimeout time.Duration
	Log          logr.Logger
}

// Capacity of the endpoints while warm. The limits match the bundle of
// package deploy.
const (
	modelSlots = 16
	plainSlots = 8
	zoneCount  = 3
)

func (o Options) validate() error {
	if o.EntriesPerZone < 1 || o.ModelAgentsPerZone < 1 || o.OrderAgentsPerZone < 1 || o.LoadFraction <= 0 || o.ZoneMoves < 1 || o.ZoneMoves > zoneCount-1 {
		return trace.BadParameter("entries, agents and load must be positive, and moves 1 or 2")
	}
	return nil
}

// rates are the offered load of the whole system, in requests per second.
type rates struct{ model, stock, order float64 }

// stockShare is the part of lookups in the calls of the plain service.
const stockShare = 2.0 / 3

// engineCapacity returns the requests per second that one warm engine serves
// with all slots in use: a request waits half a step for the next batch, then
// takes one step for each token.
func (o Options) engineCapacity() float64 {
	step := o.StepBase + (modelSlots-1)*o.StepPerRequest
	perRequest := (float64(o.MaxTokens) + 0.5) * step.Seconds()
	return modelSlots / perRequest
}

// plainCapacity returns the calls per second that one warm plain service serves.
func (o Options) plainCapacity() float64 { return plainSlots / o.ServiceTime.Seconds() }

func (o Options) rates() rates {
	zones := float64(zoneCount - 1)
	if o.OfTotalCapacity {
		zones = zoneCount
	}
	plain := o.LoadFraction * zones * float64(o.OrderAgentsPerZone) * o.plainCapacity()
	return rates{
		model: o.LoadFraction * zones * float64(o.ModelAgentsPerZone) * o.engineCapacity(),
		stock: plain * stockShare,
		order: plain * (1 - stockShare),
	}
}

// zones returns the names of the zones; the last ones are moved first.
func zones() []string { return []string{"zone-a", "zone-b", "zone-c"} }

func (o Options) moved() []string {
	var list []string
	for i := range o.ZoneMoves {
		list = append(list, zones()[zoneCount-1-i])
	}
	return list
}
