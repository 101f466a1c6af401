package main

import (
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/lab/fleet"
)

type fleetCommand struct {
	Sizes          []string      `long:"size" default:"10/20" default:"20/60" default:"40/40" default:"40/130" default:"60/190" description:"fleet size as entries/agents; may be repeated"`
	Zones          int           `long:"zones" default:"4" description:"number of zones"`
	Organisations  int           `long:"organisations" default:"500" description:"number of organisations in the bundle"`
	Settle         time.Duration `long:"settle" default:"12s" description:"time from when all nodes are ready until the quiet period"`
	QuietTime      time.Duration `long:"window" default:"10s" description:"length of the quiet period, which measures the fleet without changes"`
	Changes        int           `long:"changes" default:"4" description:"number of bundles rolled out"`
	ChangeInterval time.Duration `long:"change-every" default:"3s" description:"time between two changes"`
	ZoneMoves      int           `long:"zone-moves" default:"2" description:"number of times that a zone is taken out of service and returned"`
}

// Execute measures each size and prints a table and, for two or more sizes, linear
// functions of the numbers of entries and agents that are fitted to the results. After
// a failure it prints those of the sizes measured before.
func (c *fleetCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	opt := fleet.Options{SettleTime: c.Settle, QuietTime: c.QuietTime, Changes: c.Changes, ChangeInterval: c.ChangeInterval, ZoneMoves: c.ZoneMoves}
	var results []fleet.Result
	for _, s := range c.Sizes {
		size := fleet.Size{Zones: c.Zones, Organisations: c.Organisations}
		if _, err := fmt.Sscanf(s, "%d/%d", &size.Entries, &size.Agents); err != nil || size.Entries < 1 || size.Agents < 0 {
			return trace.BadParameter("invalid size %q; give the numbers of entries and agents, such as 20/60", s)
		}
		r, err := fleet.Measure(ctx, size, opt)
		if err != nil {
			return trace.NewAggregate(fleet.Write(os.Stdout, results), trace.Wrap(err, "size %s", s))
		}
		results = append(results, r)
		fmt.Fprintf(os.Stderr, "%s %s measured\n", time.Now().Format(time.TimeOnly), s)
	}
	return fleet.Write(os.Stdout, results)
}
