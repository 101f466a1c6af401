// Command wasabinotch-agent runs an agent, the sidecar process of an endpoint: it
// admits requests to the endpoint on its VM and has the endpoint execute them.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"

	"github.com/wasabinotch/wasabinotch/agent"
	"github.com/wasabinotch/wasabinotch/intake"
	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/settings"
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"JSON settings file of the agent"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var o options
	rest, err := flags.ParseArgs(&o, args)
	if err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return 0
		}
		return settings.ExitCode
	}
	if len(rest) > 0 {
		return fail(&settings.Error{Field: "(command line)", Reason: fmt.Sprintf("unexpected argument %q", rest[0]), Remedy: "give options only; see --help"})
	}
	var s settings.Agent
	if err := settings.LoadFile(o.Settings, &s); err != nil {
		return fail(err)
	}
	if o.Check {
		return 0
	}
	intake.SetMemoryLimit(s.MemoryMB)
	return serve(s, logs.New(os.Stderr).WithName("agent"))
}

// serve runs the agent and returns the exit code. The first SIGTERM or interrupt
// starts the drain, a second one ends the process.
func serve(s settings.Agent, log logr.Logger) int {
	a, err := agent.New(s, log)
	if err != nil {
		return fail(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, stop)
	if err := a.Run(ctx); err != nil {
		return fail(err)
	}
	return 0
}

// fail prints the error and returns the exit code for it.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	var invalid *settings.Error
	if errors.As(err, &invalid) {
		return settings.ExitCode
	}
	return 1
}
