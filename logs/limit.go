package logs

import (
	"sync/atomic"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

// Limit returns a logger that writes at most perSecond lines a second, and
// burst lines at once. The next line that is written says in lines_left_out how
// many were not. Loggers made from it share the limit.
func Limit(log logr.Logger, perSecond rate.Limit, burst int) logr.Logger {
	sink := log.GetSink()
	if sink == nil {
		return log
	}
	return logr.New(&limited{LogSink: sink, limit: &limit{lines: rate.NewLimiter(perSecond, burst)}})
}

type limit struct {
	lines *rate.Limiter
	out   atomic.Uint64
}

// allow reports whether a line may be written, and what to add to it.
func (l *limit) allow(args []any) ([]any, bool) {
	if !l.lines.Allow() {
		l.out.Add(1)
		return nil, false
	}
	if n := l.out.Swap(0); n > 0 {
		args = append(args[:len(args):len(args)], "lines_left_out", n)
	}
	return args, true
}

type limited struct {
	logr.LogSink
	limit *limit
}

// Info implements logr.LogSink.
func (s *limited) Info(level int, msg string, args ...any) {
	if args, ok := s.limit.allow(args); ok {
		s.LogSink.Info(level, msg, args...)
	}
}

// Error implements logr.LogSink.
func (s *limited) Error(err error, msg string, args ...any) {
	if args, ok := s.limit.allow(args); ok {
		s.LogSink.Error(err, msg, args...)
	}
}

// WithValues implements logr.LogSink.
func (s *limited) WithValues(args ...any) logr.LogSink {
	return &limited{LogSink: s.LogSink.WithValues(args...), limit: s.limit}
}

// WithName implements logr.LogSink.
func (s *limited) WithName(name string) logr.LogSink {
	return &limited{LogSink: s.LogSink.WithName(name), limit: s.limit}
}
