package kvsim

import (
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"
)

// Outage is a kind of unavailability of the service.
type Outage string

// Kinds of outage.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // connections are refused, and open ones are closed
	OutageError  Outage = "error"  // every call gets status 500 and has no effect
)

// Faults are the faults to inject.
type Faults struct {
	Outage Outage `json:"outage"`
	// DelayMS is added to every call before it takes effect, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LostResponseProbability is the probability, 0 to 1, that a write takes
	// effect and its connection is closed without a response.
	LostResponseProbability float64 `json:"lose_probability"`
	// LoseNextResponses is the number of next writes whose responses are lost.
	LoseNextResponses int `json:"lose_next"`
	// ReadsPerSecond and WritesPerSecond bound the throughput; calls beyond it
	// wait. 0 means no bound. Blocking queries are not bounded.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
}

// Counters count calls since the start. A blocking query counts as one call.
type Counters struct {
	Reads          int64 `json:"reads"`        // reads that are not blocking queries
	Watches        int64 `json:"watches"`      // blocking queries
	Writes         int64 `json:"writes"`       // PUT, DELETE and session calls
	WaitingWatches int64 `json:"waiting"`      // blocking queries that wait now
	LostResponses  int64 `json:"lost_answers"` // writes that took effect without a response
	OutageErrors   int64 `json:"failed"`       // calls that got status 500 during an outage
}

func (f Faults) validate() error {
	switch f.Outage {
	case OutageNone, OutageRefuse, OutageError:
	default:
		return trace.BadParameter("outage %q is unknown; use \"\", \"refuse\" or \"error\"", f.Outage)
	}
	if f.ReadsPerSecond < 0 || f.WritesPerSecond < 0 || f.DelayMS < 0 || f.LoseNextResponses < 0 || f.LostResponseProbability < 0 || f.LostResponseProbability > 1 {
		return trace.BadParameter("a fault value is out of range; use non-negative numbers and a probability from 0 to 1")
	}
	return nil
}

// SetFaults replaces the faults in force. OutageRefuse closes the service's
// address; any other outage opens it.
func (s *Server) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	s.faults = f
	s.readLimiter.SetLimit(rateLimit(f.ReadsPerSecond))
	s.writeLimiter.SetLimit(rateLimit(f.WritesPerSecond))
	s.mu.Unlock()
	s.store.wakeWatches()
	if f.Outage == OutageRefuse {
		s.server.Stop()
		return nil
	}
	return s.server.Start()
}

func rateLimit(perSecond float64) rate.Limit {
	if perSecond == 0 {
		return rate.Inf
	}
	return rate.Limit(perSecond)
}

// Faults returns the faults in force; LoseNextResponses is the number that
// remains.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

func (s *Server) updateCounters(add func(c *Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counters)
}

// decideResponseLoss decides whether the response of a write that took effect
// is lost, and counts a loss.
func (s *Server) decideResponseLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lose := rand.Float64() < s.faults.LostResponseProbability
	if s.faults.LoseNextResponses > 0 {
		s.faults.LoseNextResponses--
		lose = true
	}
	if lose {
		s.counters.LostResponses++
	}
	return lose
}

func (s *Server) applyDelay() {
	if d := s.Faults().DelayMS; d > 0 {
		time.Sleep(time.Duration(d) * time.Millisecond)
	}
}

func (s *Server) inErrorOutage() bool { return s.Faults().Outage == OutageError }
