package wire

import "github.com/wasabinotch/wasabinotch/rankgroup"

// PathRank is the HTTP path at which a rank's agent serves coordinators.
const PathRank = "/rank"

// RankRequestKind says what a coordinator wants of an agent.
type RankRequestKind string

// The questions to an agent.
const (
	RankRequestReport  RankRequestKind = "report"
	RankRequestWindow  RankRequestKind = "window"
	RankRequestExperts RankRequestKind = "experts"
	RankRequestCommand RankRequestKind = "order"
	// RankRequestPrepared waits for the end of a copy.
	RankRequestPrepared RankRequestKind = "prepared"
)

// RankArgs is a call of a coordinator. An agent serves the one with the highest
// term, of equals the one with the lowest rank.
type RankArgs struct {
	Kind RankRequestKind `json:"ask"`
	// Group is the coordinator's group; terms of other groups mean nothing.
	Group string `json:"group"`
	// Term is 0 for a question that claims nothing.
	Term    uint64             `json:"term"`
	Rank    int                `json:"rank"`
	Command *rankgroup.Command `json:"order,omitempty"`
	// Version and WaitMS belong to AskPrepared.
	Version uint64 `json:"version,omitempty"`
	WaitMS  int64  `json:"wait_ms,omitempty"`
}

// RankReply answers a RankArgs.
type RankReply struct {
	// Term is the highest term that the agent knows.
	Term uint64 `json:"term"`
	// Superseded says that another coordinator is in charge; nothing was done.
	Superseded bool                       `json:"superseded,omitempty"`
	Report     *rankgroup.Report          `json:"report,omitempty"`
	Window     *rankgroup.SelectionWindow `json:"window,omitempty"`
	Experts    [][]int                    `json:"experts,omitempty"`
	Version    uint64                     `json:"version,omitempty"`
	Result     rankgroup.Result           `json:"result,omitempty"`
	// Error says why the engine gave no answer.
	Error string `json:"error,omitempty"`
}
