package wire

import "github.com/wasabinotch/wasabinotch/rankgroup"

// PathRank is the HTTP path at which a rank's agent serves coordinators.
const PathRank = "/rank"

// RankAsk says what a coordinator wants of an agent.
type RankAsk string

// The questions to an agent.
const (
	AskReport  RankAsk = "report"
	AskWindow  RankAsk = "window"
	AskExperts RankAsk = "experts"
	AskOrder   RankAsk = "order"
	// AskPrepared waits for the end of a copy.
	AskPrepared RankAsk = "prepared"
)

// RankArgs is a call of a coordinator. An agent serves the one with the highest
// term, of equals the one with the lowest rank.
type RankArgs struct {
	Ask RankAsk `json:"ask"`
	// Group is the coordinator's group; terms of other groups mean nothing.
	Group string `json:"group"`
	// Term is 0 for a question that claims nothing.
	Term  uint64             `json:"term"`
	Rank  int                `json:"rank"`
	Order *rankgroup.Command `json:"order,omitempty"`
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
