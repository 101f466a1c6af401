package zonemove

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
)

// Options are the size of the system, the load, and the faults of one run.
type Options struct {
	// EntriesPerZone, ModelAgentsPerZone and OrderAgentsPerZone are numbers of nodes.
	EntriesPerZone     int
	ModelAgentsPerZone int
	OrderAgentsPerZone int
	// LoadFraction is the offered load as a fraction of the capacity that remains
	// while one zone is out of service, or of the total capacity if
	// OfTotalCapacity is set.
	LoadFraction    float64
	OfTotalCapacity bool
	// MaxTokens bounds a model response, in tokens. Responses of the engine simulator
	// have at least 16 tokens.
	MaxTokens int
	// BaseStepTime and StepTimePerRequest determine the time of an engine step:
	// BaseStepTime, and StepTimePerRequest for each further request in the batch.
	BaseStepTime       time.Duration
	StepTimePerRequest time.Duration
	// ServiceTime is the time that a plain service takes for one lookup or order.
	ServiceTime time.Duration
	// CallerKeyFraction is the fraction of orders, 0 to 1, with idempotency keys
	// chosen by callers. Such orders need the store.
	CallerKeyFraction float64
	// PhaseDuration is the length of the phases "before", "out steady" and
	// "back steady".
	PhaseDuration time.Duration
	// OutDuration and BackDuration are the lengths of the phases "out" and "back",
	// which begin with the two commands of a move.
	OutDuration  time.Duration
	BackDuration time.Duration
	// StoreDown takes the store down shortly before each zone is taken out of
	// service, until the end of the phase "out".
	StoreDown bool
	// ZoneMoves is the number of zones that are moved one after the other, 1 or 2.
	ZoneMoves int
	// MoveInterval is the time from the return of one zone to the next move. It
	// replaces the phases "back" and "back steady" of the first zone; if it is 0,
	// these have their full length.
	MoveInterval time.Duration
	// FreezeDuration is the time for which one agent of the first moved zone is frozen,
	// beginning with the command that takes the zone out; 0 freezes none.
	FreezeDuration time.Duration
	// FreezeOrderAgent freezes an order agent instead of a model agent.
	FreezeOrderAgent bool
	// RestartEntry restarts an entry of a zone that stays in service at the time of
	// the first command.
	RestartEntry bool
	Seed         uint64
	// DrainTimeout bounds the wait for the daemons to drain at the end of the run.
	DrainTimeout time.Duration
	Log          logr.Logger
}

// Concurrent requests that a warm endpoint handles, and the number of zones. The
// slots match the warm limits in the bundle of package deploy.
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

// rates are the offered loads of the complete system, in requests per second.
type rates struct{ model, stock, order float64 }

// stockFraction is the fraction of lookups among the calls of the plain service.
const stockFraction = 2.0 / 3

// engineCapacity returns the requests per second that one warm engine serves with
// all slots in use. A request waits half a step on average for the next batch, and
// then takes one step for each token.
func (o Options) engineCapacity() float64 {
	stepTime := o.BaseStepTime + (modelSlots-1)*o.StepTimePerRequest
	secondsPerRequest := (float64(o.MaxTokens) + 0.5) * stepTime.Seconds()
	return modelSlots / secondsPerRequest
}

// plainCapacity returns the calls per second that one warm plain service instance
// serves.
func (o Options) plainCapacity() float64 { return plainSlots / o.ServiceTime.Seconds() }

func (o Options) rates() rates {
	loadedZones := float64(zoneCount - 1)
	if o.OfTotalCapacity {
		loadedZones = zoneCount
	}
	plain := o.LoadFraction * loadedZones * float64(o.OrderAgentsPerZone) * o.plainCapacity()
	return rates{
		model: o.LoadFraction * loadedZones * float64(o.ModelAgentsPerZone) * o.engineCapacity(),
		stock: plain * stockFraction,
		order: plain * (1 - stockFraction),
	}
}

// zones returns the names of the zones. Moves begin with the last one.
func zones() []string { return []string{"zone-a", "zone-b", "zone-c"} }

// movedZones returns the zones that are moved, in the order of the moves.
func (o Options) movedZones() []string {
	var list []string
	for i := range o.ZoneMoves {
		list = append(list, zones()[zoneCount-1-i])
	}
	return list
}
