// Command wasabinotch-entry runs one entry.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/wasabinotch/wasabinotch/entry"
	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/settings"
)

type options struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON settings of the entry"`
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
	// A second signal ends the process at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go func() {
		<-ctx.Done()
		stop()
	}()
	e, err := entry.New(s, logs.New(os.Stderr))
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
