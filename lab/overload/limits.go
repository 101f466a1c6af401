package overload

import (
	"sync"

	"github.com/go-logr/logr"
)

// limits holds the last limit that each agent has logged.
type limits struct {
	mu   sync.Mutex
	seen map[string]int
	// falls counts changes to a lower limit.
	falls int
}

func (l *limits) set(agent string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n < l.seen[agent] {
		l.falls++
	}
	l.seen[agent] = n
}

func (l *limits) fallen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.falls
}

// full reports whether all agents are at the warm limit.
func (l *limits) full(agents int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, limit := range l.seen {
		if limit >= warmLimit {
			n++
		}
	}
	return n >= agents
}

// limitSink reads the limit of one agent from its log.
type limitSink struct {
	limits *limits
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
			s.limits.set(s.name, n)
		}
	}
}
