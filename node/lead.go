package node

import (
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// leadSilence is the time without a call of a coordinator after which
	// another agent takes over; callers give a stream up after 2 s.
	leadSilence = 800 * time.Millisecond
	// leadFirst is that time in a group that has just formed, or for an agent
	// that has just started: then a coordinator calls within a few rounds.
	leadFirst = 450 * time.Millisecond
	// leadStagger lets lower ranks take over first.
	leadStagger = 250 * time.Millisecond
	// leadHeld is added for an agent whose own rank holds a pass that it can't
	// account for: it may have sent a release before it started again.
	leadHeld = 3 * time.Second
)

// leadership decides which coordinator an agent serves, and when its own agent
// becomes one. A wrong decision costs time only; a switch of maps is safe with
// two coordinators.
type leadership struct {
	mu    sync.Mutex
	group string
	term  uint64
	rank  int
	heard time.Time
	// called is set once a coordinator has called.
	called bool
	// mine is set while this agent coordinates.
	mine bool
}

// admit reports whether a call is of the coordinator in charge.
func (l *leadership) admit(a *wire.RankArgs) (term uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Group != l.group {
		return l.term, true
	}
	if a.Term < l.term || a.Term == l.term && a.Rank > l.rank {
		return l.term, false
	}
	if a.Term > l.term || a.Rank < l.rank {
		l.mine = false
	}
	l.term, l.rank, l.heard, l.called = a.Term, a.Rank, time.Now(), true
	return l.term, true
}

// claim makes this agent the coordinator if none was heard of for long enough.
func (l *leadership) claim(group string, rank int, held bool) (term uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.group != group {
		// The time to wait begins when the rank joins a group.
		l.group, l.mine, l.heard, l.called = group, false, time.Now(), false
	}
	if l.mine {
		return l.term, true
	}
	wait := leadSilence
	if !l.called {
		wait = leadFirst
	}
	wait += time.Duration(rank) * leadStagger
	if held {
		wait += leadHeld
	}
	if time.Since(l.heard) < wait {
		return l.term, false
	}
	l.term++
	l.rank, l.mine, l.heard = rank, true, time.Now()
	return l.term, true
}

// leading reports whether this agent coordinates in the given term.
func (l *leadership) leading(term uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mine && l.term == term
}

// yield ends this agent's part as coordinator.
func (l *leadership) yield(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mine = false
	l.term = max(l.term, term)
	l.heard = time.Now()
}
