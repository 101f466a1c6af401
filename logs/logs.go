// Package logs builds the daemons' logr loggers: one JSON line per record,
// with the part's name as a fixed prefix.
package logs

import (
	"fmt"
	"io"
	"sync"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// New returns a logger that writes JSON lines to w. Use WithName to set the
// prefix of a part.
func New(w io.Writer) logr.Logger {
	var mu sync.Mutex
	write := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = fmt.Fprintln(w, line) // a full log pipe must not stop traffic
	}
	return funcr.NewJSON(write, funcr.Options{LogTimestamp: true})
}
