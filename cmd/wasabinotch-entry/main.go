// Command wasabinotch-entry runs one entry, the proxy process that callers send
// their requests to.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/jessevdk/go-flags"

	"github.com/wasabinotch/wasabinotch/entry"
	"github.com/wasabinotch/wasabinotch/intake"
	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/settings"
)

type options struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON settings file of the entry"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(settings.ExitCode) // go-flags has printed the error
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "wasabinotch-entry:", err)
		var invalid *settings.Error
		if errors.As(err, &invalid) {
			os.Exit(settings.ExitCode)
		}
		os.Exit(1)
	}
}

func run(opts options) error {
	var s settings.Entry
	if err := settings.LoadFile(opts.Settings, &s); err != nil {
		return err
	}
	if opts.Check {
		fmt.Println("settings are valid")
		return nil
	}
	// The first signal starts the drain; a second one ends the process at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go func() {
		<-ctx.Done()
		stop()
	}()
	intake.SetMemoryLimit(s.MemoryMB)
	log := logs.New(os.Stderr)
	klog.SetLogger(kratosLogger{log.WithName("http")})
	e, err := entry.New(s, log)
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
