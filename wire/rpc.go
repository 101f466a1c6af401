package wire

// Names of the net/rpc services.
const (
	PeerService  = "Peer"  // served by entries: Exchange, Report, Agents
	AgentService = "Agent" // served by agents: Notify, HandOver, Map
)

// Config is the configuration state of the sender. Nodes compare it with their state
// to find out which of them lacks content.
type Config struct {
	BundleVersion uint64
	BundleDigest  string
	IntentsRev    uint64
	// IntentsHash is the hash of the intents record, including intents that are not
	// yet in the store.
	IntentsHash uint64
	// ConfirmedAgeMS is the age, in milliseconds, of the last confirmation that the
	// sender's configuration is current; -1 if there was none.
	ConfirmedAgeMS int64
}

// ExchangeArgs is the request of one anti-entropy exchange between nodes.
type ExchangeArgs struct {
	From   Node
	Config Config
	// Cursor is the receiver's update counter up to which the sender has the
	// receiver's node records.
	Cursor uint64
	// CursorOf is the incarnation of the receiver to which Cursor refers. A receiver
	// with another incarnation sends all its records.
	CursorOf uint64
	// TableHash is the hash of the sender's node records; 0 for none. If it equals the
	// receiver's hash, the reply has heartbeats only.
	TableHash uint64
	// Bundle and Intents are set if the sender knows that the receiver lacks them.
	Bundle  []byte // canonical JSON of a bundle.Signed
	Intents []byte // JSON of a bundle.Intents
	// WantBundle and WantIntents request the receiver's copies.
	WantBundle  bool
	WantIntents bool
}

// ExchangeReply is the reply to an ExchangeArgs. From, here and in ExchangeArgs, is
// reduced to a heartbeat if the receiver has the rest of the record.
type ExchangeReply struct {
	From    Node
	Config  Config
	Cursor  uint64
	Updates []Node
	Bundle  []byte
	Intents []byte
	// WantNode requests the full record of the sender of the ExchangeArgs in its next
	// exchange.
	WantNode bool
}

// ReportArgs is an agent's report to an entry.
type ReportArgs struct {
	Node   Node
	Load   Load
	Config Config
	// EntriesHash is the hash of the list of entries that the agent knows. The reply
	// contains the list only if the receiver's has another hash.
	EntriesHash uint64
}

// ReportReply is an entry's reply to an agent's report.
type ReportReply struct {
	// Incarnation is the incarnation of the replying entry. The agent addressed it by
	// IP:port only, so it may be a new process.
	Incarnation uint64
	Config      Config
	// Entries lists the entries. The agent chooses from them those to report to.
	Entries []Node
	// WantNode requests the full node record in the next report. Other reports carry
	// a heartbeat once the entry has the record.
	WantNode bool
}

// NotifyArgs notifies an agent of a changed configuration. Bundle and Intents have
// the new content if it is small enough to be sent along.
type NotifyArgs struct {
	From    Node
	Config  Config
	Bundle  []byte
	Intents []byte
}

// NotifyReply is the reply to a NotifyArgs.
type NotifyReply struct {
	Config Config
}

// AgentsArgs requests the agents of a service from an entry.
type AgentsArgs struct {
	Service string
}

// AgentsReply lists the ready agents that report to the entry.
type AgentsReply struct {
	Agents []Node
}

// OrderOutcome is the recorded result of one order.
type OrderOutcome struct {
	Identity     string
	Organisation string
	Incarnation  uint64
	Closed       bool // permanently refused: the order did not run and never will
	Unknown      bool // the order was passed to the endpoint; its result is unknown
	Oversize     bool // the order ran with Status; its response body was too large to keep
	// Fingerprint is a hash of the content of the order, which detects that one identity
	// is used for different orders.
	Fingerprint uint64
	Status      int
	Header      map[string][]string
	Body        []byte
}

// HandOverArgs transfers order outcomes of a leaving agent to a successor.
type HandOverArgs struct {
	From     Node
	Outcomes []OrderOutcome
	// Whole is set in the last call of a handover. It lists the incarnations of which
	// the receiver now has all outcomes.
	Whole []WholeOutcomes
}

// WholeOutcomes states that the receiver has all outcomes of one agent incarnation
// and that the incarnation runs no more orders. An order whose identity is in one of
// its open epochs and has no outcome therefore did not run and never will.
type WholeOutcomes struct {
	AgentID     string
	Incarnation uint64
	// OldestAgentEpoch and OldestJournalEpoch are the lowest open epochs: those of
	// which the incarnation still had its records.
	OldestAgentEpoch   uint64
	OldestJournalEpoch uint64
}

// HandOverReply is the reply to a HandOverArgs.
type HandOverReply struct {
	Stored int // number of the sent outcomes that the receiver now holds
}

// MapArgs requests an agent to have its rank load an expert map. Without Content it
// only requests the state of the rank.
type MapArgs struct {
	From    Node // only the ID is set, and only with Content
	Group   string
	Number  uint64 // map number, also the fencing token
	Digest  string
	Content []byte // packed expertmap.Map
	// WantLoads requests MapReply.Loads, which is large.
	WantLoads bool
	// Relay lists the RPC addresses of agents to which the receiver forwards Content.
	Relay []string
}

// MapReply is the state of the rank: the maps that it holds, its progress and its
// load.
type MapReply struct {
	Held    []uint64 // numbers of the maps that the rank holds
	Active  uint64   // number of the map that the rank uses, 0 for none
	Loading uint64   // number of the map that the rank is loading, 0 for none
	Step    uint64   // number of the last step
	// StepMS is the mean time of this rank's work per step, without waiting for other
	// ranks, in milliseconds, over the last report interval.
	StepMS float64
	// Loads is the load per step by layer and slot of this rank over the last report
	// interval: layer by layer, the upper 16 bits of each float32 (bfloat16), big
	// endian.
	Loads []byte
	// LoadsOf is the number of the map that was active while Loads was counted.
	LoadsOf uint64
	Refused bool   // the agent has no rank, or refused the map as outdated or conflicting
	Highest uint64 // highest map number that the agent has seen
	// NotReady is set if a request to the rank failed or returned an error status. The
	// caller sets it if the agent is unknown or unreachable.
	NotReady bool
}
