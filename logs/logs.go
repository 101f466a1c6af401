// Package logs builds the logr loggers of the daemons: one JSON line for each
// record, prefixed with the name of the component that writes it.
package logs

import (
	"fmt"
	"io"
	"sync"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// New returns a logger that writes JSON lines to w. Use WithName to set the
// prefix of a component.
func New(w io.Writer) logr.Logger {
	var mu sync.Mutex
	write := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = fmt.Fprintln(w, line) // a failing log output must not stop traffic
	}
	return funcr.NewJSON(write, funcr.Options{LogTimestamp: true})
}
