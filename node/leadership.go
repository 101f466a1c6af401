package node

import (
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// takeoverTimeout is the time without a request from a coordinator after
	// which another agent takes over. It is well below 2 s, after which callers
	// abandon a stream.
	takeoverTimeout = 800 * time.Millisecond
	// initialTakeoverTimeout is used instead in a group that has just formed, or
	// by an agent that has just started: an existing coordinator sends a request
	// within a few rounds.
	initialTakeoverTimeout = 450 * time.Millisecond
	// takeoverStaggerPerRank is added for each lower rank, so that lower ranks
	// take over first.
	takeoverStaggerPerRank = 250 * time.Millisecond
	// standingTakeoverTimeout and standingStaggerPerRank are used instead while the group
	// stands: its coordinator may have failed in the middle of a switch, which callers feel
	// at once. A live coordinator sends a request within a round of switchAttemptTimeout, and
	// agents look every loadPollInterval and announce themselves some 20 ms later, so that
	// their order is kept.
	standingTakeoverTimeout = 400 * time.Millisecond
	standingStaggerPerRank  = 150 * time.Millisecond
	// heldStepDelay is added if the agent's rank holds a step since before the agent
	// started: the agent may have sent a Release before that.
	heldStepDelay = 3 * time.Second
)

// leadership decides which coordinator an agent serves and when the agent
// becomes the coordinator itself. A wrong decision costs only time: switching
// expert maps is safe with two coordinators.
type leadership struct {
	mu    sync.Mutex
	group string
	// term and rank identify the coordinator in charge, lastCall is the time of
	// its last request.
	term     uint64
	rank     int
	lastCall time.Time
	// hasBeenCalled is true once a coordinator of the group has sent a request.
	hasBeenCalled bool
	// selfLeads is true while this agent is the coordinator.
	selfLeads bool
}

// admit reports whether a request comes from the coordinator in charge: the one
// with the highest term and, of equal terms, the lowest rank. Requests for other
// groups are admitted, since terms of different groups can't be compared. It
// returns the highest known term.
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

// rankState is what an agent knows of its rank when it decides whether to coordinate.
type rankState struct {
	group string
	rank  int
	// holdsStep is set if the rank holds a step that the agent can't account for.
	holdsStep bool
	// standing is set if the group has requests and has begun no step for a while.
	standing bool
}

// takeoverWait returns the time without a request from a coordinator after which the agent
// takes over. It answers the load of a group that a failed coordinator left held: callers
// wait until another one has rolled the switch back.
func (l *leadership) takeoverWait(s rankState) time.Duration {
	wait, stagger := takeoverTimeout, takeoverStaggerPerRank
	switch {
	case !l.hasBeenCalled:
		wait = initialTakeoverTimeout
	case s.standing:
		wait, stagger = standingTakeoverTimeout, standingStaggerPerRank
	}
	wait += time.Duration(s.rank) * stagger
	if s.holdsStep {
		wait += heldStepDelay
	}
	return wait
}

// claim makes this agent the coordinator, in a new term, if no coordinator has
// sent a request for long enough. ok reports whether this agent is the
// coordinator.
func (l *leadership) claim(s rankState) (term uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.group != s.group {
		// The timeout starts when the rank joins a group.
		l.group, l.selfLeads, l.lastCall, l.hasBeenCalled = s.group, false, time.Now(), false
	}
	if l.selfLeads {
		return l.term, true
	}
	if time.Since(l.lastCall) < l.takeoverWait(s) {
		return l.term, false
	}
	l.term++
	l.rank, l.selfLeads, l.lastCall = s.rank, true, time.Now()
	return l.term, true
}

// leading reports whether this agent is the coordinator in the given term.
func (l *leadership) leading(term uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.selfLeads && l.term == term
}

// stepDown ends this agent's role as coordinator after it was superseded.
func (l *leadership) stepDown(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.selfLeads = false
	l.term = max(l.term, term)
	l.lastCall = time.Now()
}
