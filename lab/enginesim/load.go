package enginesim

import "time"

// Load is the response of GET /load.
type Load struct {
	Incarnation string `json:"boot_id"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// GeneratedTokens is the number of tokens generated in this incarnation.
	GeneratedTokens int64 `json:"tokens"`
	// Cold is true while the capacity is below the warm capacity.
	Cold bool `json:"cold"`
	// ReportedAt is the time at which this state was valid, in RFC 3339.
	ReportedAt time.Time `json:"reported_at"`
}

// loadHistory keeps recent states, so that a report can show the state of one
// lag ago.
type loadHistory struct{ states []Load }

// add appends a state and drops those too old for any further report.
func (l *loadHistory) add(s Load, lag time.Duration) {
	l.states = append(l.states, s)
	horizon := s.ReportedAt.Add(-lag)
	first := 0
	for first+1 < len(l.states) && !l.states[first+1].ReportedAt.After(horizon) {
		first++
	}
	l.states = l.states[first:]
}

// stateAt returns the state that was valid at time t, or the earliest known
// one.
func (l *loadHistory) stateAt(t time.Time) Load {
	s := l.states[0]
	for _, next := range l.states[1:] {
		if next.ReportedAt.After(t) {
			break
		}
		s = next
	}
	if s.ReportedAt.Before(t) {
		s.ReportedAt = t
	}
	return s
}

// recordLoad adds the current state to the history. The caller holds mu.
func (e *Engine) recordLoad() {
	e.loadHistory.add(Load{
		Incarnation:     e.incarnation,
		Running:         len(e.running),
		Waiting:         len(e.waiting),
		GeneratedTokens: e.tokens,
		Cold:            e.isCold(),
		ReportedAt:      time.Now(),
	}, e.opt.ReportLag)
}

// Load returns the state that GET /load shows, which is ReportLag old.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadHistory.stateAt(time.Now().Add(-e.opt.ReportLag))
}
