package wire

import "github.com/wasabinotch/wasabinotch/rankgroup"

// PathRank is the HTTP path at which the agent of a rank serves coordinators.
const PathRank = "/rank"

// RankRequestKind is the kind of a coordinator's request to an agent.
type RankRequestKind string

// Kinds of requests to an agent.
const (
	// RankRequestReport reads the report of the rank.
	RankRequestReport RankRequestKind = "report"
	// RankRequestWindow reads the report and the expert selections since the last
	// request of this kind.
	RankRequestWindow RankRequestKind = "window"
	// RankRequestExperts reads the experts that the rank holds.
	RankRequestExperts RankRequestKind = "experts"
	// RankRequestCommand sends a command to the rank.
	RankRequestCommand RankRequestKind = "order"
	// RankRequestPrepared waits until the rank has copied the experts of a map version.
	RankRequestPrepared RankRequestKind = "prepared"
)

// RankArgs is a request of a coordinator. Of the coordinators of its group, an agent
// serves the one with the highest term and, at equal terms, the one with the lowest
// rank.
type RankArgs struct {
	Kind RankRequestKind `json:"ask"`
	// Group is the coordinator's group. The agent ignores Term if it is in another
	// group.
	Group string `json:"group"`
	// Term is 0 for a request that does not claim coordination.
	Term uint64 `json:"term"`
	// Rank is the coordinator's rank.
	Rank int `json:"rank"`
	// Command is set for RankRequestCommand.
	Command *rankgroup.Command `json:"order,omitempty"`
	// Delta describes the command's map if that has none; the agent must have its base.
	Delta *rankgroup.MapDelta `json:"delta,omitempty"`
	// StartWindow may be set for RankRequestReport: the rank begins a window.
	StartWindow bool `json:"start_window,omitempty"`
	// Version and WaitMS are set for RankRequestPrepared: the map version to wait for
	// and the longest wait in milliseconds.
	Version uint64 `json:"version,omitempty"`
	WaitMS  int64  `json:"wait_ms,omitempty"`
}

// RankReply is the reply to a RankArgs.
type RankReply struct {
	// Term is the highest term that the agent knows.
	Term uint64 `json:"term"`
	// Superseded is set if the agent serves another coordinator. The request then had
	// no effect.
	Superseded bool                       `json:"superseded,omitempty"`
	Report     *rankgroup.Report          `json:"report,omitempty"`
	Window     *rankgroup.SelectionWindow `json:"window,omitempty"`
	// Experts lists the experts that the rank holds, by expert set, and Version is
	// the version of the map in force.
	Experts [][]int          `json:"experts,omitempty"`
	Version uint64           `json:"version,omitempty"`
	Result  rankgroup.Result `json:"result,omitempty"` // of a command
	// NeedMap is set if the agent lacks the base of a delta. The command had no effect.
	NeedMap bool `json:"need_map,omitempty"`
	// Error describes why the request failed at the agent or its engine.
	Error string `json:"error,omitempty"`
}
