// Command wasabinotch is the tool of operators and members: it checks, signs
// and rolls out bundles, takes zones and VMs out of service and returns them, and
// shows shares, decisions and status.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/wasabinotch/wasabinotch/cli"
)

func main() {
	p, err := cli.NewParser(os.Stdout)
	if err == nil {
		_, err = p.Parse()
	}
	var usage *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, usage.Message)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "wasabinotch:", err)
		os.Exit(1)
	}
}
