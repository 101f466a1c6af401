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
	// Updates are node records that changed since the previous exchange.
	Updates []Node
	// Bundle and Intents are set when the sender knows that the receiver lacks them.
	Bundle  []byte // canonical JSON of a bundle.Signed
	Intents []byte // JSON of a bundle.Intents
	// WantBundle and WantIntents ask for the receiver's copies.
	WantBundle  bool
	WantIntents bool
}

// ExchangeReply answers an ExchangeArgs.
type ExchangeReply struct {
	From    Node
	Config  Config
	Cursor  uint64
	Updates []Node
	Bundle  []byte
	Intents []byte
}

// ReportArgs is an agent's report to an entry.
type ReportArgs struct {
	Node Node
	Load Load
	// Config is the agent's configuration state.
	Config Config
}

// ReportReply answers a report with the entry's configuration state.
type ReportReply struct {
	From   Node
	Config Config
	// Entries lists entries that the agent should report to.
	Entries []Node
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

// MapArgs asks an agent to have its rank load an expert map.
type MapArgs struct {
	From    Node
	Group   string
	Number  uint64 // map number, also the fencing token
	Digest  string
	Content []byte // JSON of an expertmap.Map
}

// MapReply reports which maps the rank holds.
type MapReply struct {
	Held     []uint64
	Active   uint64
	Step     uint64
	StepMS   float64 // mean step time of this rank over the last report interval
	Loads    [][]float64
	Refused  bool
	Highest  uint64 // highest map number this agent has seen
	NotReady bool
}
