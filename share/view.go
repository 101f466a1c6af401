package share

import "time"

// View is what an entry knows of those that share the limits with it.
type View struct {
	// Self is this entry.
	Self Member
	// Members are the entries that may send requests, with or without this one.
	Members []Member
	// Retry is the part of the retry budget.
	Retry Part
	// CautiousUntil is when this entry knows all others and is known to them. Until then it
	// assumes AtLeast entries, or some number if AtLeast is 0.
	CautiousUntil time.Time
	AtLeast       int
}
