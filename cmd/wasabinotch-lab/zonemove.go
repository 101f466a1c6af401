package main

import (
	"os"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/lab/zonemove"
)

type zoneMoveCommand struct {
	Entries            int           `long:"entries" default:"2" description:"entries per zone"`
	ModelAgents        int           `long:"model-agents" default:"4" description:"model agents per zone"`
	OrderAgents        int           `long:"order-agents" default:"1" description:"order agents per zone"`
	Load               float64       `long:"load" default:"0.75" description:"load as a fraction of the capacity that remains while one zone is out of service"`
	OfTotalCapacity    bool          `long:"of-whole" description:"take the load as a fraction of the total capacity"`
	MaxTokens          int           `long:"max-tokens" default:"16" description:"limit of a model response, in tokens"`
	BaseStepTime       time.Duration `long:"step-base" default:"20ms" description:"duration of an engine's decoding step with one request"`
	StepTimePerRequest time.Duration `long:"step-per-request" default:"500us" description:"time added to the decoding step by each further request"`
	ServiceTime        time.Duration `long:"service-time" default:"40ms" description:"time to serve one lookup or order"`
	CallerKeyFraction  float64       `long:"own-key-share" default:"0.5" description:"fraction of orders with idempotency keys chosen by callers, which need the store"`
	Phase              time.Duration `long:"phase" default:"8s" description:"length of the phases 'before', 'out steady' and 'back steady'"`
	Out                time.Duration `long:"out" default:"5s" description:"length of the phase 'out', which starts with the command"`
	Back               time.Duration `long:"back" default:"12s" description:"length of the phase 'back', which starts with the command"`
	StoreDown          bool          `long:"store-down" description:"take the store down before each zone is taken out, for the phase 'out'"`
	Moves              int           `long:"moves" default:"1" description:"zones taken out and returned one after the other, 1 or 2"`
	MoveInterval       time.Duration `long:"gap" description:"time from the return of one zone until the next is taken out; 0 for complete phases between them"`
	Freeze             time.Duration `long:"freeze" description:"time for which one agent of the first zone is frozen from the command on; 0 for none"`
	FreezeOrder        bool          `long:"freeze-order" description:"freeze an order agent instead of a model agent"`
	RestartEntry       bool          `long:"restart-entry" description:"restart an entry of a remaining zone at the first command"`
	Seed               uint64        `long:"seed" default:"1" description:"seed of the schedule"`
	Logs               string        `long:"logs" description:"file for the logs of the daemons; default: none"`
}

// stopTimeout bounds the wait for the daemons to stop. It exceeds the 10 s for which
// a draining entry still serves; running requests reach their timeout only under a
// fault.
const stopTimeout = 40 * time.Second

// Execute runs the measurement. It returns an error if a target was missed.
func (c *zoneMoveCommand) Execute([]string) error {
	opt := zonemove.Options{
		EntriesPerZone: c.Entries, ModelAgentsPerZone: c.ModelAgents, OrderAgentsPerZone: c.OrderAgents,
		LoadFraction: c.Load, OfTotalCapacity: c.OfTotalCapacity, MaxTokens: c.MaxTokens,
		BaseStepTime: c.BaseStepTime, StepTimePerRequest: c.StepTimePerRequest, ServiceTime: c.ServiceTime, CallerKeyFraction: c.CallerKeyFraction,
		PhaseDuration: c.Phase, OutDuration: c.Out, BackDuration: c.Back,
		StoreDown: c.StoreDown, ZoneMoves: c.Moves, MoveInterval: c.MoveInterval,
		FreezeDuration: c.Freeze, FreezeOrderAgent: c.FreezeOrder, RestartEntry: c.RestartEntry,
		Seed: c.Seed, DrainTimeout: stopTimeout, Log: logr.Discard(),
	}
	log, closeLog, err := openLog(c.Logs)
	if err != nil {
		return err
	}
	defer closeLog()
	opt.Log = log
	ctx, cancel := signalContext()
	defer cancel()
	return zonemove.Run(ctx, productDeps(), opt, os.Stdout)
}
