package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// stuck is a reader of the output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// Guards against traffic that waits for the reader of the log, and against
// lines that are lost without a trace.
func TestStuckReaderHoldsNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &stuck{release: make(chan struct{})}
		o := NewOutput(w)
		log := o.Logger().WithName("part")
		const extra = 10
		log.Info("First.")
		synctest.Wait() // the writer holds the first line
		began := time.Now()
		for range outputLines + extra {
			log.Info("Line.")
		}
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(o.Dropped(), uint64(extra))
		close(w.release)
		o.Close()
		is.Equal(strings.Count(w.got.String(), "\n"), outputLines+1)
		log.Info("After the end.")
		is.Equal(o.Dropped(), uint64(extra+1))
	})
}

// Guards against a process that doesn't end because of its log.
func TestCloseDoesNotWaitForStuckReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &stuck{release: make(chan struct{})}
		o := NewOutput(w)
		o.Logger().Info("Line.")
		began := time.Now()
		o.Close()
		is.Equal(time.Since(began), closeTimeout)
		close(w.release)
	})
}

// Guards against log volume that grows with load, and against a limit that
// hides how much it left out.
func TestLimitCountsWhatItLeavesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var b bytes.Buffer
		log := Limit(New(&b), 1, 2)
		part := log.WithName("part").WithValues("k", "v")
		for range 5 {
			part.Info("Line.")
		}
		is.Equal(strings.Count(b.String(), "Line."), 2)
		time.Sleep(time.Second)
		log.Error(nil, "Later.")
		is.True(strings.Contains(b.String(), `"lines_left_out":3`))
		is.True(strings.Contains(b.String(), `"logger":"part"`) && strings.Contains(b.String(), `"k":"v"`))
	})
}
