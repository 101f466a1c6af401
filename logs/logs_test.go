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

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(b)
}

// Guards against traffic that waits for the reader of the log, and against lines
// that are dropped without being counted.
func TestBlockedWriterDoesNotDelayLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockedWriter{release: make(chan struct{})}
		o := NewOutput(w)
		log := o.Logger().WithName("part")
		const extra = 10
		log.Info("First.")
		synctest.Wait() // the writer holds the first line
		began := time.Now()
		for range queueCapacity + extra {
			log.Info("Line.")
		}
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(o.Dropped(), uint64(extra))
		close(w.release)
		o.Close()
		is.Equal(strings.Count(w.written.String(), "\n"), queueCapacity+1)
		log.Info("After the end.")
		is.Equal(o.Dropped(), uint64(extra+1))
	})
}

// Guards against a process that can't end because nothing reads its log.
func TestCloseDoesNotWaitForBlockedWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockedWriter{release: make(chan struct{})}
		o := NewOutput(w)
		o.Logger().Info("Line.")
		began := time.Now()
		o.Close()
		is.Equal(time.Since(began), closeTimeout)
		close(w.release)
	})
}

// Guards against log volume that grows with load, and against a limit that does
// not report how many lines it dropped.
func TestLimitCountsDroppedLines(t *testing.T) {
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
