package logs

import (
	"sync/atomic"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

// Limit returns a logger that writes at most perSecond lines per second and
// burst lines at once. The next line that is written reports the number of
// dropped lines in the field lines_left_out. Loggers derived from it share the
// limit.
func Limit(log logr.Logger, perSecond rate.Limit, burst int) logr.Logger {
	sink := log.GetSink()
	if sink == nil {
		return log
	}
	return logr.New(&limitedSink{LogSink: sink, limit: &lineLimiter{limiter: rate.NewLimiter(perSecond, burst)}})
}

// lineLimiter limits the rate of lines and counts the dropped ones.
type lineLimiter struct {
	limiter *rate.Limiter
	dropped atomic.Uint64
}

// allow reports whether a line may be written, and returns its arguments with
// the number of lines dropped before it, if any.
func (l *lineLimiter) allow(args []any) ([]any, bool) {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return nil, false
	}
	if n := l.dropped.Swap(0); n > 0 {
		args = append(args[:len(args):len(args)], "lines_left_out", n)
	}
	return args, true
}

// limitedSink is a LogSink that drops lines above a rate limit.
type limitedSink struct {
	logr.LogSink
	limit *lineLimiter
}

// Info implements logr.LogSink.
func (s *limitedSink) Info(level int, msg string, args ...any) {
	if args, ok := s.limit.allow(args); ok {
		s.LogSink.Info(level, msg, args...)
	}
}

// Error implements logr.LogSink.
func (s *limitedSink) Error(err error, msg string, args ...any) {
	if args, ok := s.limit.allow(args); ok {
		s.LogSink.Error(err, msg, args...)
	}
}

// WithValues implements logr.LogSink.
func (s *limitedSink) WithValues(args ...any) logr.LogSink {
	return &limitedSink{LogSink: s.LogSink.WithValues(args...), limit: s.limit}
}

// WithName implements logr.LogSink.
func (s *limitedSink) WithName(name string) logr.LogSink {
	return &limitedSink{LogSink: s.LogSink.WithName(name), limit: s.limit}
}
