package main

import (
	"os"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/lab/rankgroup"
)

type rankgroupCommand struct {
	Seeds  []uint64 `long:"seed" default:"1" default:"2" default:"3" description:"seed of a simulation; may be repeated"`
	Faults bool     `long:"faults" description:"test switches of the expert map under faults instead of simulating expert placement"`
}

// Execute runs the simulations or the fault runs and prints a report of each.
func (c *rankgroupCommand) Execute([]string) error {
	if c.Faults {
		return rankgroup.RunFaults(os.Stdout, logr.Discard())
	}
	return rankgroup.RunSimulations(os.Stdout, c.Seeds...)
}
