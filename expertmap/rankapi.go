package expertmap

import "encoding/json"

// HTTP paths of a rank's control interface.
const (
	PathRankMap   = "/rank/map"   // POST RankMapRequest
	PathRankState = "/rank/state" // GET RankState; ?loads=1 adds Loads
)

// RankMapRequest asks a rank to load a map beside the ones it holds. A rank
// that enforces fencing tokens answers 409 to a token lower than the highest.
type RankMapRequest struct {
	Number       uint64          `json:"number"`
	FencingToken uint64          `json:"fencing_token"`
	Digest       string          `json:"digest"`
	Content      json.RawMessage `json:"content"` // canonical JSON of a Map
}

// RankState is the state of a rank.
type RankState struct {
	// Incarnation changes when the rank restarts; it then holds nothing.
	Incarnation string   `json:"boot_id"`
	Held        []uint64 `json:"held"`
	Loading     uint64   `json:"loading"`
	Active      uint64   `json:"active"`
	Step        uint64   `json:"step"`
	// StepMS is the mean time of this rank's own work per step, in
	// milliseconds, over the last report interval.
	StepMS  float64     `json:"step_ms"`
	Loads   [][]float64 `json:"loads,omitempty"`
	LoadsOf uint64      `json:"loads_of"`
}
