package main

import (
	"os"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/lab/zonemove"
)

type zoneMoveCommand struct {
	Entries      int           `long:"entries" default:"2" description:"entries per zone"`
	ModelAgents  int           `long:"model-agents" default:"4" description:"model agents per zone"`
	OrderAgents  int           `long:"order-agents" default:"1" description:"order agents per zone"`
	Load         float64       `long:"load" default:"0.75" description:"load as a fraction of the capacity that remains while one zone is out"`
	OfWhole      bool          `long:"of-whole" description:"take the load as a fraction of the whole capacity"`
	MaxTokens    int           `long:"max-tokens" default:"16" description:"tokens of a model answer, at most"`
	StepBase     time.Duration `long:"step-base" default:"20ms" description:"decoding step of an engine with one request"`
	StepRequest  time.Duration `long:"step-per-request" default:"500us" description:"added to the decoding step for each further request"`
	ServiceTime  time.Duration `long:"service-time" default:"40ms" description:"time of one lookup or order"`
	OwnKeyShare  float64       `long:"own-key-share" default:"0.5" description:"fraction of orders with callers' own keys, which need the store"`
	Phase        time.Duration `long:"phase" default:"8s" description:"length of the phases before, out steady and back steady"`
	Out          time.Duration `long:"out" default:"5s" description:"length of the phase out, which starts with the command"`
	Back         time.Duration `long:"back" default:"12s" description:"length of the phase back, which starts with the command"`
	StoreDown    bool          `long:"store-down" description:"take the store down before each out, for the phase out"`
	Moves        int           `long:"moves" default:"1" description:"zones moved one after the other, 1 or 2"`
	Gap          time.Duration `long:"gap" description:"time from the return of one zone to the next out; 0 for whole phases between"`
	Freeze       time.Duration `long:"freeze" description:"freeze one agent of the first zone at the command for this time"`
	FreezeOrder  bool          `long:"freeze-order" description:"freeze an order agent instead of a model agent"`
	RestartEntry bool          `long:"restart-entry" description:"restart an entry of a remaining zone at the first command"`
	Seed         uint64        `long:"seed" default:"1" description:"seed of the schedule"`
	Logs         string        `long:"logs" description:"file for the logs of the daemons; default: none"`
}

// stopTimeout exceeds the 10 s for which a leaving entry serves, and the
// time-out of a running request is not reached without a fault.
const stopTimeout = 40 * time.Second

// Execute runs the measurement. It fails if a target was missed.
func (c *zoneMoveCommand) Execute([]string) error {
	opt := zonemove.Options{
		Entries: c.Entries, ModelAgents: c.ModelAgents, OrderAgents: c.OrderAgents,
		Load: c.Load, OfWhole: c.OfWhole, MaxTokens: c.MaxTokens,
		StepBase: c.StepBase, StepPerRequest: c.StepRequest, ServiceTime: c.ServiceTime, OwnKeyShare: c.OwnKeyShare,
		Phase: c.Phase, Out: c.Out, Back: c.Back,
		StoreDown: c.StoreDown, Moves: c.Moves, Gap: c.Gap,
		Freeze: c.Freeze, FreezeOrder: c.FreezeOrder, RestartEntry: c.RestartEntry,
		Seed: c.Seed, Drain: stopTimeout, Log: logr.Discard(),
	}
	log, closeLog, err := openLog(c.Logs)
	if err != nil {
		return err
	}
	defer closeLog()
	opt.Log = log
	ctx, cancel := signalled()
	defer cancel()
	return zonemove.Run(ctx, demoParts(), opt, os.Stdout)
}
