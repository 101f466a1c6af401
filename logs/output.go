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
	// queueCapacity is the number of lines that can wait for the writer: a few
	// seconds of the lines of a busy entry.
	queueCapacity = 512
	// closeTimeout bounds the wait for the writer when the process ends.
	closeTimeout = 500 * time.Millisecond
)

// Output writes log lines from a dedicated goroutine, so that a slow reader of
// the log doesn't delay traffic. Lines that exceed its queue are dropped and
// counted.
type Output struct {
	w       io.Writer
	queue   chan string
	done    chan struct{}
	dropped atomic.Uint64

	mu     sync.RWMutex
	closed bool
}

// NewOutput returns an output that writes to w. Close must be called.
func NewOutput(w io.Writer) *Output {
	o := &Output{w: w, queue: make(chan string, queueCapacity), done: make(chan struct{})}
	go o.run()
	return o
}

// Logger returns a logger that writes JSON lines to the output.
func (o *Output) Logger() logr.Logger {
	return funcr.NewJSON(o.write, funcr.Options{LogTimestamp: true})
}

// Dropped returns the number of dropped lines.
func (o *Output) Dropped() uint64 { return o.dropped.Load() }

// Close writes the queued lines, for at most closeTimeout. Later lines are
// dropped.
func (o *Output) Close() {
	o.mu.Lock()
	if !o.closed {
		o.closed = true
		close(o.queue)
	}
	o.mu.Unlock()
	select {
	case <-o.done:
	case <-time.After(closeTimeout):
	}
}

// write queues a line, or drops it if the queue is full or closed.
func (o *Output) write(line string) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if o.closed {
		o.dropped.Add(1)
		return
	}
	select {
	case o.queue <- line:
	default:
		o.dropped.Add(1)
	}
}

// run writes the lines, all that are queued in one call.
func (o *Output) run() {
	defer close(o.done)
	var batch []byte
	for line := range o.queue {
		batch = append(append(batch[:0], line...), '\n')
		for range len(o.queue) {
			batch = append(append(batch, <-o.queue...), '\n')
		}
		if _, err := o.w.Write(batch); err != nil {
			// The reader of the log has closed it, so the error can only be
			// counted.
			o.dropped.Add(1)
		}
	}
}
