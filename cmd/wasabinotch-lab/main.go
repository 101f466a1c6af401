// Command wasabinotch-lab runs simulators of the platform's services and of
// endpoints, generates load, runs measurements, and writes the settings of small
// deployments.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	parser := flags.NewNamedParser("wasabinotch-lab", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, short string
		command     any
	}{
		{"kv", "run the simulator of the key-value service", &kvCommand{}},
		{"vms", "run the simulator of the platform's VM list", &vmsCommand{}},
		{"engine", "run the simulator of a model engine", &engineCommand{}},
		{"orders", "run the simulator of a plain (non-model) service with orders", &ordersCommand{}},
		{"load", "send load to entries and check the responses", &loadCommand{}},
		{"demo", "run a small system in one process and check its guarantees", &demoCommand{}},
		{"fleet", "measure the control plane at several fleet sizes", &fleetCommand{}},
		{"latency", "compare the latency of requests through entry and agent with that of direct requests", &latencyCommand{}},
		{"rankgroup", "measure expert placement and test switches of the expert map", &rankgroupCommand{}},
		{"overload", "measure a small system in one process under overload", &overloadCommand{}},
		{"zonemove", "measure callers' latency and failed requests while a zone is taken out of service and returned", &zoneMoveCommand{}},
		{"settings", "write settings, bundle and keys of a deployment", &settingsCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, "", c.command); err != nil {
			fail(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		fail(err)
	}
}

func fail(err error) {
	var usage *flags.Error
	if !errors.As(err, &usage) {
		fmt.Fprintln(os.Stderr, "wasabinotch-lab:", err)
		os.Exit(exitFailure)
	}
	if usage.Type == flags.ErrHelp {
		fmt.Println(usage.Message)
		os.Exit(0)
	}
	fmt.Fprintln(os.Stderr, usage.Message)
	os.Exit(exitUsage)
}
