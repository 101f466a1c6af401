// Package placement decides where a request to a model engine goes: it compares endpoints
// by the requests that are there, the prompts that are still to be read there, the
// part of its own prompt that an endpoint holds already, and the memory that the endpoint
// has left. It has no state of the fleet, network or clock of its own; package fleet calls
// it.
package placement

import "time"

const (
	// failureCost is the load, as a fraction of the slots, at which an endpoint without
	// failures costs as much as an idle one that always fails.
	failureCost = 3.0
	// zoneCost is the cost of sending a request to another availability zone, in the
	// same unit; traffic between zones is billed, but a slower response costs more.
	zoneCost = 0.1
	// minTarget bounds the time against which reading is weighed. A request that is nearly
	// late must not let a few milliseconds decide.
	minTarget = 100 * time.Millisecond
	// minSaving is the least part of the target latency that a held beginning must save to
	// count. Less isn't noticed by a caller, and would only draw requests to few endpoints.
	minSaving = 0.02
)

// Engine holds the published performance figures of a service's engines. The zero value
// means that nothing is known; all requests then count the same.
type Engine struct {
	// ReadPerSecond is the number of prompt tokens that an engine reads in a second.
	ReadPerSecond float64
	// MeanPrompt and MeanResponse are the mean lengths in tokens.
	MeanPrompt, MeanResponse float64
}

// Demand is what a request asks of an engine.
type Demand struct {
	// Prompt is the number of tokens of the prompt that must be read.
	Prompt int
	// Tokens is the engine's memory that the request is expected to take, in tokens.
	Tokens int
	// Target is the time that is left until the response is late, 0 if it isn't known.
	Target time.Duration
}

// Work is a request's length in tokens as its caller states it; 0 means unknown.
type Work struct{ Prompt, Response, MaxResponse int }

// Demand returns what a request asks of the engine. target is as in Demand.
func (e *Engine) Demand(w Work, target time.Duration) Demand {
	prompt, response := float64(w.Prompt), float64(w.Response)
	if w.Prompt <= 0 {
		prompt = e.MeanPrompt
	}
	if w.Response <= 0 {
		response = e.MeanResponse
	}
	if w.MaxResponse > 0 {
		response = min(response, float64(w.MaxResponse))
	}
	return Demand{Prompt: int(prompt), Tokens: int(prompt + response), Target: target}
}

// Candidate is what is known of an endpoint that may get a request.
type Candidate struct {
	// Slots is the number of requests that the endpoint runs at the same time, Load the
	// number that are there.
	Slots, Load int
	// Unread is the number of tokens in the prompts that this entry sent and that the
	// endpoint has not read yet.
	Unread int
	// Held is the number of tokens at the beginning of the request's prompt that the
	// endpoint holds.
	Held int
	// FailureRate is the share of requests that fail at the endpoint.
	FailureRate float64
	OtherZone   bool
}

// Score is the cost of sending a request to an endpoint, in parts. All are in the unit of
// Load, the fraction of the endpoint's slots that is in use.
type Score struct {
	Load     float64 `json:"load"`
	Reading  float64 `json:"reading"`
	Held     float64 `json:"held"`
	Failures float64 `json:"failures"`
	Zone     float64 `json:"zone"`
}

// Total returns the whole cost.
func (s *Score) Total() float64 { return s.Load + s.Reading - s.Held + s.Failures + s.Zone }

// Score returns the cost of sending a request to an endpoint.
//
// It answers prompts that differ greatly in length. An engine writes the responses of all
// running requests side by side, so that a request there costs a slot, however long it is;
// but prompts are read one after the other: what this entry sent and the endpoint hasn't read
// delays the first token by its reading time, which costs as much as a full endpoint if it
// takes the whole time that the request has. What the endpoint holds of the prompt reduces
// the reading by reuse times its reading time; it thereby competes with the wait at that
// endpoint. It doesn't count for the last slot, which another entry's request may have taken
// by then.
func (e *Engine) Score(c *Candidate, d *Demand, reuse float64) Score {
	s := Score{Load: float64(c.Load) / float64(max(1, c.Slots)), Failures: failureCost * c.FailureRate}
	if c.OtherZone {
		s.Zone = zoneCost
	}
	s.Reading = e.readingCost(c.Unread, d.Target)
	if saved := e.readingCost(min(c.Held, d.Prompt), d.Target); saved >= minSaving && c.Load+1 < c.Slots {
		s.Held = reuse * saved
	}
	return s
}

// readingCost returns the cost of reading tokens of prompts before the first token of a
// request whose response is late after target, 0 if that isn't known.
func (e *Engine) readingCost(tokens int, target time.Duration) float64 {
	if target == 0 || e.ReadPerSecond <= 0 {
		return 0
	}
	return float64(tokens) / e.ReadPerSecond / max(target, minTarget).Seconds()
}
