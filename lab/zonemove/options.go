package zonemove

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
)

// Options are the size, the load and the faults of one run.
type Options struct {
	// Entries, ModelAgents and OrderAgents are numbers per zone.
	Entries     int
	ModelAgents int
	OrderAgents int
	// Load is the offered load as a fraction of the capacity that remains
	// while one zone is out, or of the whole capacity with OfWhole.
	Load    float64
	OfWhole bool
	// MaxTokens bounds a model answer. Answers of the stand-in have at least 16 tokens.
	MaxTokens int
	// StepBase and StepPerRequest are the decoding step times of the engines.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// ServiceTime is the time of one lookup or order.
	ServiceTime time.Duration
	// OwnKeyShare is the fraction of orders with callers' own keys, which need the store.
	OwnKeyShare float64
	// Phase is the length of the phases before, out steady and back steady.
	Phase time.Duration
	// Out and Back are the lengths of the phases after the two commands.
	Out  time.Duration
	Back time.Duration
	// StoreDown takes the store down before each out, for the phase out.
	StoreDown bool
	// Moves is the number of zones moved one after the other, 1 or 2.
	Moves int
	// Gap is the time from the return of one zone to the next out. The phases
	// back and back steady of the first zone are cut to it; 0 keeps them whole.
	Gap time.Duration
	// Freeze stops one agent of the first zone at the command for this time.
	Freeze time.Duration
	// FreezeOrder freezes an order agent instead of a model agent.
	FreezeOrder bool
	// RestartEntry restarts an entry of a remaining zone at the first command.
	RestartEntry bool
	Seed         uint64
	// Drain bounds the wait for the daemons at the end.
	Drain time.Duration
	Log   logr.Logger
}

// Capacity of the endpoints while warm. The limits match the bundle of
// package deploy.
const (
	modelSlots = 16
	plainSlots = 8
	zoneCount  = 3
)

func (o Options) validate() error {
	if o.Entries < 1 || o.ModelAgents < 1 || o.OrderAgents < 1 || o.Load <= 0 || o.Moves < 1 || o.Moves > zoneCount-1 {
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
	if o.OfWhole {
		zones = zoneCount
	}
	plain := o.Load * zones * float64(o.OrderAgents) * o.plainCapacity()
	return rates{
		model: o.Load * zones * float64(o.ModelAgents) * o.engineCapacity(),
		stock: plain * stockShare,
		order: plain * (1 - stockShare),
	}
}

// zones returns the names of the zones; the last ones are moved first.
func zones() []string { return []string{"zone-a", "zone-b", "zone-c"} }

func (o Options) moved() []string {
	var list []string
	for i := range o.Moves {
		list = append(list, zones()[zoneCount-1-i])
	}
	return list
}
