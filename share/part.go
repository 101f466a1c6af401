package share

import "time"

const (
	// steadyUse is the fraction of its part of a counted limit that an entry uses. What it
	// leaves is for the runs that follow it after a restart (startingUse), which can't know
	// what it has used.
	steadyUse = 0.7
	// startingUse is the fraction that an entry may have used by the time it has run for a
	// window. It accrues with the time that the entry has run, so that several runs that
	// follow each other within a window use no more than one.
	startingUse = 1 - steadyUse
)

// Part is an entry's part of a number of events that all entries together may cause within
// any window. It answers the load in which entries are killed and restarted again and again
// while requests fail: the sum over all runs of an entry in a window stays within its part.
type Part struct {
	// Fraction is the entry's part of the number for all.
	Fraction float64
	// Since is when the process of the entry started, the zero time for long ago.
	Since time.Time
}

// Whole is the part of an entry that shares with no other and has no former run.
var Whole = Part{Fraction: 1}

// Use returns the fraction of the number for all that the entry may have used within the
// window that ends now.
func (p Part) Use(window time.Duration, now time.Time) float64 {
	if age := now.Sub(p.Since); age < window {
		return p.Fraction * startingUse * float64(max(0, age)) / float64(window)
	}
	return p.Fraction * steadyUse
}
