package enginesim

import "time"

// Load is the answer of GET /load.
type Load struct {
	Incarnation string `json:"boot_id"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// GeneratedTokens is the number of tokens generated since the start.
	GeneratedTokens int64 `json:"tokens"`
	// Cold is true until the engine sustains its warm capacity.
	Cold bool `json:"cold"`
	// ReportedAt is the time of the state shown, in RFC 3339.
	ReportedAt time.Time `json:"reported_at"`
}

// loadLog keeps recent states, so that a report can show an old one.
type loadLog struct{ states []Load }

// add appends a state and drops those that no report can show any more.
func (l *loadLog) add(s Load, lag time.Duration) {
	l.states = append(l.states, s)
	horizon := s.ReportedAt.Add(-lag)
	first := 0
	for first+1 < len(l.states) && !l.states[first+1].ReportedAt.After(horizon) {
		first++
	}
	l.states = l.states[first:]
}

// at returns the state as it was at time t, or the first known one.
func (l *loadLog) at(t time.Time) Load {
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

// record logs the state after a change. The caller holds mu.
func (e *Engine) record() {
	e.log.add(Load{
		Incarnation:     e.bootID,
		Running:         len(e.running),
		Waiting:         len(e.waiting),
		GeneratedTokens: e.tokens,
		Cold:            e.cold(),
		ReportedAt:      time.Now(),
	}, e.opt.ReportLag)
}

// Load returns the load as GET /load shows it.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.log.at(time.Now().Add(-e.opt.ReportLag))
}
