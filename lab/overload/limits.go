package overload

import (
	"sync"

	"github.com/go-logr/logr"
)

// limitTracker holds the concurrency limit that each agent logged last.
type limitTracker struct {
	mu         sync.Mutex
	lastLimits map[string]int
	// decreases counts the changes to a lower limit.
	decreases int
}

func (l *limitTracker) update(agent string, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit < l.lastLimits[agent] {
		l.decreases++
	}
	l.lastLimits[agent] = limit
}

func (l *limitTracker) decreaseCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decreases
}

// allAtWarmLimit reports whether all agents are at the warm limit.
func (l *limitTracker) allAtWarmLimit(agents int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, limit := range l.lastLimits {
		if limit >= warmLimit {
			n++
		}
	}
	return n >= agents
}

// limitSink is a log sink that records the concurrency limit of one agent from
// its log message "limit changed".
type limitSink struct {
	limits *limitTracker
	name   string
}

func (s *limitSink) Init(logr.RuntimeInfo)          {}
func (s *limitSink) Enabled(int) bool               { return true }
func (s *limitSink) Error(error, string, ...any)    {}
func (s *limitSink) WithValues(...any) logr.LogSink { return s }
func (s *limitSink) WithName(string) logr.LogSink   { return s }
func (s *limitSink) Info(_ int, msg string, kv ...any) {
	if msg != "limit changed" {
		return
	}
	for i := 0; i+1 < len(kv); i += 2 {
		if n, ok := kv[i+1].(int); ok && kv[i] == "limit" {
			s.limits.update(s.name, n)
		}
	}
}
