package wire

// Names of the net/rpc services.
const (
	PeerService  = "Peer"  // served by entries: Exchange, Report
	AgentService = "Agent" // served by agents: Notify, HandOver, Map
)

// Config carries the configuration state of the sender, for comparison.
type Config struct {
	BundleVersion uint64
	BundleDigest  string
	IntentsRev    uint64
	// IntentsHash covers the intents record including those not yet in the store.
	IntentsHash uint64
	// ConfirmedAgeMS is the age of the sender's last confirmation that its
	// configuration is current; -1 if never confirmed.
	ConfirmedAgeMS int64
}

// ExchangeArgs is one anti-entropy round between nodes.
type ExchangeArgs struct {
	From   Node
	Config Config
	// Cursor is the receiver's update counter up to which the sender has its records.
	Cursor uint64
	// CursorOf is the incarnation of the receiver to which Cursor belongs.
	CursorOf uint64
	// TableHash identifies the sender's node records. The reply has no records
	// but heartbeats if the receiver's are the same.
	TableHash uint64
	// Bundle and Intents are set when the sender knows that the receiver lacks them.
	Bundle  []byte // canonical JSON of a bundle.Signed
	Intents []byte // JSON of a bundle.Intents
	// WantBundle and WantIntents ask for the receiver's copies.
	WantBundle  bool
	WantIntents bool
}

// ExchangeReply answers an ExchangeArgs. From, here and in ExchangeArgs, is
// shortened to ID, incarnation and sequence if the receiver has the rest.
type ExchangeReply struct {
	From    Node
	Config  Config
	Cursor  uint64
	Updates []Node
	Bundle  []byte
	Intents []byte
	// WantNode asks for the whole record of the caller in the next exchange.
	WantNode bool
}

// ReportArgs is an agent's report to an entry.
type ReportArgs struct {
	Node Node
	Load Load
	// Config is the agent's configuration state.
	Config Config
	// EntriesHash identifies the entries that the agent knows; the reply lists
	// the entries only if the receiver knows others.
	EntriesHash uint64
}

// ReportReply answers a report with the entry's configuration state.
type ReportReply struct {
	// Incarnation of the answering entry, which the agent knows by its address.
	Incarnation uint64
	Config      Config
	// Entries lists the entries, from which the agent chooses those to report to.
	Entries []Node
	// WantNode asks for the whole node record in the next report. Reports
	// otherwise carry only ID, incarnation and sequence.
	WantNode bool
}

// NotifyArgs tells an agent that configuration changed; Bundle and Intents
// carry the new content when they fit.
type NotifyArgs struct {
	From    Node
	Config  Config
	Bundle  []byte
	Intents []byte
}

// NotifyReply answers NotifyArgs.
type NotifyReply struct {
	Config Config
}

// AgentsArgs asks an entry for the agents of a service.
type AgentsArgs struct {
	Service string
}

// AgentsReply lists the ready agents that the entry hears from.
type AgentsReply struct {
	Agents []Node
}

// OrderOutcome is the recorded result of one order.
type OrderOutcome struct {
	Identity     string
	Organisation string
	Incarnation  uint64
	Closed       bool // refused for good: it did not run and never will
	Unknown      bool // handed to the endpoint, answer not known
	Oversize     bool // ran with Status; the body was too large to keep
	// Fingerprint identifies the content of the order.
	Fingerprint uint64
	Status      int
	Header      map[string][]string
	Body        []byte
}

// HandOverArgs moves order outcomes of a leaving agent to an heir.
type HandOverArgs struct {
	From     Node
	Outcomes []OrderOutcome
	// Whole is set in the last call of a hand-over. It names the incarnations
	// of which the receiver now has all outcomes.
	Whole []WholeOutcomes
}

// WholeOutcomes states that all outcomes of one incarnation were handed over
// and that it runs no more orders: an identity in its open epochs without an
// outcome did not run and never will.
type WholeOutcomes struct {
	AgentID     string
	Incarnation uint64
	// OldestAgentEpoch and OldestJournalEpoch are the lowest epochs of which
	// the incarnation still had its records.
	OldestAgentEpoch   uint64
	OldestJournalEpoch uint64
}

// HandOverReply answers HandOverArgs.
type HandOverReply struct {
	Stored int
}

// MapArgs asks an agent to have its rank load an expert map. Without Content
// it only asks for the state of the rank.
type MapArgs struct {
	From    Node // only the ID, and only with Content
	Group   string
	Number  uint64 // map number, also the fencing token
	Digest  string
	Content []byte // packed expertmap.Map
	// WantLoads asks for Loads, which are large.
	WantLoads bool
	// Relay lists RPC addresses of agents to which the receiver passes Content on.
	Relay []string
}

// MapReply reports which maps the rank holds.
type MapReply struct {
	Held    []uint64
	Active  uint64
	Loading uint64 // map number that the rank loads now, 0 for none
	Step    uint64
	StepMS  float64 // mean time of this rank's own work per step over the last report interval
	// Loads is the load by layer and slot of this rank per step over the last
	// report interval, counted under map LoadsOf: layer by layer, the upper 16
	// bits of each float32 (bfloat16), big endian.
	Loads    []byte
	LoadsOf  uint64
	Refused  bool
	Highest  uint64 // highest map number this agent has seen
	NotReady bool   // the endpoint did not answer
}
