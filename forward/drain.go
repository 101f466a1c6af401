package forward

import "time"

// Drain says which requests a process that is about to exit still accepts.
type Drain struct {
	// AcceptAllUntil is the time until which all requests are accepted, even if they may
	// take longer than the process runs.
	AcceptAllUntil time.Time
	// End is the time by which later requests must have ended. The process exits after it.
	End time.Time
}

// accepts reports whether a request is accepted, given that it may take until its deadline.
func (d Drain) accepts(arrived, deadline time.Time) bool {
	return arrived.Before(d.AcceptAllUntil) || !deadline.After(d.End)
}
