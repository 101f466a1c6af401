package node

import (
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// takeoverTimeout is the time without a call of a coordinator after which
	// another agent takes over; callers give a stream up after 2 s.
	takeoverTimeout = 800 * time.Millisecond
	// initialTakeoverTimeout is that time in a group that has just formed, or for an agent
	// that has just started: then a coordinator calls within a few rounds.
	initialTakeoverTimeout = 450 * time.Millisecond
	// takeoverStaggerPerRank lets lower ranks take over first.
	takeoverStaggerPerRank = 250 * time.Millisecond
	// heldStepDelay is added for an agent whose own rank holds a pass that it can't
	// account for: it may have sent a release before it started again.
	heldStepDelay = 3 * time.Second
)

// leadership decides which coordinator an agent serves, and when its own agent
// becomes one. A wrong decision costs time only; a switch of maps is safe with
// two coordinators.
type leadership struct {
	mu       sync.Mutex
	group    string
	term     uint64
	rank     int
	lastCall time.Time
	// hasBeenCalled is set once a coordinator has hasBeenCalled.
	hasBeenCalled bool
	// selfLeads is set while this agent coordinates.
	selfLeads bool
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
		l.selfLeads = false
	}
	l.term, l.rank, l.lastCall, l.hasBeenCalled = a.Term, a.Rank, time.Now(), true
	return l.term, true
}

// claim makes this agent the coordinator if none was heard of for long enough.
func (l *leadership) claim(group string, rank int, holdsStep bool) (term uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.group != group {
		// The time to wait begins when the rank joins a group.
		l.group, l.selfLeads, l.lastCall, l.hasBeenCalled = group, false, time.Now(), false
	}
	if l.selfLeads {
		return l.term, true
	}
	wait := takeoverTimeout
	if !l.hasBeenCalled {
		wait = initialTakeoverTimeout
	}
	wait += time.Duration(rank) * takeoverStaggerPerRank
	if holdsStep {
		wait += heldStepDelay
	}
	if time.Since(l.lastCall) < wait {
		return l.term, false
	}
	l.term++
	l.rank, l.selfLeads, l.lastCall = rank, true, time.Now()
	return l.term, true
}

// leading reports whether this agent coordinates in the given term.
func (l *leadership) leading(term uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.selfLeads && l.term == term
}

// stepDown ends this agent's part as coordinator.
func (l *leadership) stepDown(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.selfLeads = false
	l.term = max(l.term, term)
	l.lastCall = time.Now()
}
