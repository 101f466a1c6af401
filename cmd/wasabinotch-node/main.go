// Command wasabinotch-node runs an entry or an agent on the users' platform. The
// settings file is named by --settings or by the platform's environment variable.
// With explain it reads the logs of the processes and reports why a request ended
// as it did. With explain-placement it asks a running entry where a request would go now.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"

	"github.com/wasabinotch/wasabinotch/explain"
	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/node"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/settings"
)

// gcMemoryFraction is Go's memory limit, near which the garbage collector runs more
// often, as a fraction of the memory at which the platform ends the process. The rest
// is left for memory that Go's limit doesn't count: the program's mappings, and kernel
// memory such as socket buffers.
const gcMemoryFraction = 0.7

// setMemoryLimit sets Go's memory limit, so that a burst of requests does not take the
// process to the given size in MiB, at which the platform ends it. If megabytes is 0,
// Go's memory limit stays unset.
func setMemoryLimit(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(gcMemoryFraction * float64(megabytes) * (1 << 20)))
	}
}

// gcPercent is below Go's default of 100: more CPU time for garbage collection and
// less memory, which is scarce on these VMs.
const gcPercent = 50

type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"JSON settings file; by default the one that the platform names"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	// Placement holds the options of explain-placement.
	Placement placementOptions `group:"Options of explain-placement"`
	Args      struct {
		Mode string   `positional-arg-name:"entry|agent|explain|explain-placement" required:"yes"`
		Rest []string `positional-arg-name:"REQUEST-ID LOG..." description:"for explain: the request's ID and the log files of all processes"`
	} `positional-args:"yes"`
}

func main() {
	debug.SetGCPercent(gcPercent)
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	// SIGHUP may arrive while the process starts, and must not end it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var o options
	if _, err := flags.ParseArgs(&o, args); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return 0
		}
		return settings.ExitCode
	}
	if o.Settings == "" {
		o.Settings = os.Getenv(platform.SettingsVariable)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var err error
	switch o.Args.Mode {
	case "entry":
		err = runEntry(ctx, &o, hangups)
	case "agent":
		err = runAgent(ctx, &o, hangups)
	case "explain":
		signal.Reset(syscall.SIGHUP)
		err = runExplain(o.Args.Rest)
	case "explain-placement":
		signal.Reset(syscall.SIGHUP)
		err = runExplainPlacement(ctx, &o.Placement, os.Stdout)
	default:
		err = &settings.Error{Field: "(command line)", Reason: fmt.Sprintf("unknown mode %q", o.Args.Mode), Remedy: "use entry, agent, explain or explain-placement"}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		var invalid *settings.Error
		if errors.As(err, &invalid) {
			return settings.ExitCode
		}
		return 1
	}
	return 0
}

// validateOnHangup reads the settings file again on each hangup and logs whether it is
// valid. A process keeps the settings that it started with; the platform restarts
// it when new ones are to take effect.
func validateOnHangup(hangups <-chan os.Signal, path string, newSettings func() settings.Validator, log logr.Logger) {
	go func() {
		for range hangups {
			if err := settings.LoadFile(path, newSettings()); err != nil {
				log.Error(err, "New settings are invalid.")
				continue
			}
			log.Info("New settings are valid; they take effect at the next start.")
		}
	}()
}

func runExplain(args []string) error {
	if len(args) < 2 {
		return &settings.Error{Field: "(command line)", Reason: "explain needs a request ID and log files", Remedy: "give the ID and one or more log files"}
	}
	report, err := explain.Find(args[0], explain.Files(args[1:]...))
	if err != nil {
		return err
	}
	return report.Write(os.Stdout)
}

// daemon is an entry or an agent.
type daemon interface {
	Metrics() *metrics.Set
	Run(ctx context.Context) error
}

// serve runs the daemon that newDaemon returns, with its log on standard output,
// until ctx ends.
func serve(ctx context.Context, hangups <-chan os.Signal, role, path string, memoryMB int, newSettings func() settings.Validator, newDaemon func(logr.Logger) daemon) error {
	setMemoryLimit(memoryMB)
	out := logs.NewOutput(os.Stdout)
	defer out.Close()
	log := out.Logger().WithName(role)
	validateOnHangup(hangups, path, newSettings, log)
	d := newDaemon(log)
	// Log lines are dropped when the reader of standard output is too slow.
	d.Metrics().NewGauge("wasabinotch_log_lines_lost", func() float64 { return float64(out.Dropped()) })
	return d.Run(ctx)
}

func runEntry(ctx context.Context, o *options, hangups <-chan os.Signal) error {
	var s settings.PlatformEntry
	if err := settings.LoadFile(o.Settings, &s); err != nil || o.Check {
		return err
	}
	newSettings := func() settings.Validator { return &settings.PlatformEntry{} }
	return serve(ctx, hangups, o.Args.Mode, o.Settings, s.MemoryLimitMB, newSettings, func(log logr.Logger) daemon { return node.NewEntry(s, log) })
}

func runAgent(ctx context.Context, o *options, hangups <-chan os.Signal) error {
	var s settings.PlatformAgent
	if err := settings.LoadFile(o.Settings, &s); err != nil || o.Check {
		return err
	}
	newSettings := func() settings.Validator { return &settings.PlatformAgent{} }
	return serve(ctx, hangups, o.Args.Mode, o.Settings, s.MemoryLimitMB, newSettings, func(log logr.Logger) daemon { return node.NewAgent(s, log) })
}
