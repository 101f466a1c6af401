package expertmap

import "encoding/json"

// HTTP paths of the control interface of a rank.
const (
	PathRankMap   = "/rank/map"   // POST RankMapRequest
	PathRankState = "/rank/state" // GET RankState; ?loads=1 adds Loads
)

// RankMapRequest requests a rank to load a map in addition to the maps that it
// holds. A rank that enforces fencing tokens responds with 409 to a token lower
// than the highest one received.
type RankMapRequest struct {
	Number       uint64          `json:"number"`        // of the map
	FencingToken uint64          `json:"fencing_token"` // agents set it to Number
	Digest       string          `json:"digest"`        // SHA-256 of Content, in hex
	Content      json.RawMessage `json:"content"`       // canonical JSON of a Map
}

// RankState is the state of a rank: its maps, by number, its load and its timing.
type RankState struct {
	// Incarnation is the unique ID of one run of the rank. A restarted rank holds
	// no maps.
	Incarnation string `json:"boot_id"`
	// Held lists the maps that the rank holds.
	Held []uint64 `json:"held"`
	// Loading is the map that the rank is loading, 0 for none.
	Loading uint64 `json:"loading"`
	// Active is the map used in the last step, 0 for none.
	Active uint64 `json:"active"`
	// Step is the number of the last step.
	Step uint64 `json:"step"`
	// StepMS is the mean time of this rank's work per step, without waiting for
	// other ranks, in milliseconds, over the last report interval.
	StepMS float64 `json:"step_ms"`
	// Loads is the load per step of this rank by layer and slot over the last report
	// interval; it is sent only on request.
	Loads [][]float64 `json:"loads,omitempty"`
	// LoadsOf is the map that was active while Loads was counted.
	LoadsOf uint64 `json:"loads_of"`
}
