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
	Number       uint64          `json:"number"`
	FencingToken uint64          `json:"fencing_token"`
	Digest       string          `json:"digest"`
	Content      json.RawMessage `json:"content"` // canonical JSON of a Map
}

// RankState is the state of a rank: the numbers of the maps that it holds, is
// loading and uses, 0 for none, and its load and timing.
type RankState struct {
	// Incarnation is the unique ID of one run of the rank. A restarted rank holds
	// no maps.
	Incarnation string   `json:"boot_id"`
	Held        []uint64 `json:"held"`
	Loading     uint64   `json:"loading"`
	Active      uint64   `json:"active"`
	Step        uint64   `json:"step"`
	// StepMS is the mean time of this rank's work per step, without waiting for
	// other ranks, in milliseconds, over the last report interval.
	StepMS  float64     `json:"step_ms"`
	Loads   [][]float64 `json:"loads,omitempty"`
	LoadsOf uint64      `json:"loads_of"`
}
