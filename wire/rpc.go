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

// OrderOutcome is the recorded result of one order.
type OrderOutcome struct {
	Identity    string
	Incarnation uint64
	Closed      bool // refused for good: it did not run and never will
	Unknown     bool // handed to the endpoint, answer not known
	Status      int
	Header      map[string][]string
	Body        []byte
}

// HandOverArgs moves order outcomes of a leaving agent to an heir.
type HandOverArgs struct {
	From     Node
	Outcomes []OrderOutcome
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
