package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

const (
	// outputLines is the number of lines that wait for the reader of the output,
	// a few seconds of a busy entry.
	outputLines = 512
	// closeTimeout bounds the wait for the reader as the process ends.
	closeTimeout = 500 * time.Millisecond
)

// Output writes log lines from a goroutine of its own, so that a reader that
// has fallen behind doesn't hold up traffic. Lines that find no room are left
// out and counted.
type Output struct {
	w     io.Writer
	lines chan string
	done  chan struct{}
	lost  atomic.Uint64

	mu     sync.RWMutex
	closed bool
}

// NewOutput returns an output that writes to w.
func NewOutput(w io.Writer) *Output {
	o := &Output{w: w, lines: make(chan string, outputLines), done: make(chan struct{})}
	go o.run()
	return o
}

// Logger returns a logger that writes JSON lines to the output.
func (o *Output) Logger() logr.Logger {
	return funcr.NewJSON(o.write, funcr.Options{LogTimestamp: true})
}

// Dropped returns the number of lines that were left out.
func (o *Output) Dropped() uint64 { return o.lost.Load() }

// Close writes what is waiting, but doesn't wait long for a stuck reader.
func (o *Output) Close() {
	o.mu.Lock()
	if !o.closed {
		o.closed = true
		close(o.lines)
	}
	o.mu.Unlock()
	select {
	case <-o.done:
	case <-time.After(closeTimeout):
	}
}

func (o *Output) write(line string) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if o.closed {
		o.lost.Add(1)
		return
	}
	select {
	case o.lines <- line:
	default:
		o.lost.Add(1)
	}
}

// run writes lines, those that wait together in one call.
func (o *Output) run() {
	defer close(o.done)
	var batch []byte
	for line := range o.lines {
		batch = append(append(batch[:0], line...), '\n')
		for range len(o.lines) {
			batch = append(append(batch, <-o.lines...), '\n')
		}
		if _, err := o.w.Write(batch); err != nil {
			// The reader is gone; there is no other place to say so.
			o.lost.Add(1)
		}
	}
}
