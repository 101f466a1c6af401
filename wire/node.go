package wire

type Role string

// Roles of nodes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// State is the lifecycle state of a node.
type State string

// Lifecycle states of nodes.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateLeaving  State = "leaving"
)

// Node is the record of one process. Of two records with the same ID, the one with
// the higher Incarnation replaces the other; at equal incarnations, the one with the
// higher Seq does.
type Node struct {
	ID   string // name from the settings, kept across restarts, e.g. "batinah-entry-1"
	Role Role
	VM   string
	Zone string
	// HTTPAddr and RPCAddr are IP:port addresses.
	HTTPAddr string
	RPCAddr  string
	// Incarnation is the unique number of one run of the process: its start time in
	// Unix nanoseconds with random low bits.
	Incarnation uint64
	Seq         uint64
	// ContentSeq is the value of Seq at the last change of the other fields; changes
	// of the versions in force do not count. A heartbeat is a Node with only ID,
	// Incarnation, Seq, ContentSeq, BundleVersion and IntentsRev.
	ContentSeq uint64
	State      State
	// Service is the service of an agent's endpoint.
	Service string
	// Group is the rank group of the agent, "" for none, and Rank its rank there.
	Group string
	Rank  int
	// Heirs lists the successors: IDs of the agents that hold the order outcomes of
	// this agent after its planned stop.
	Heirs []string
	// BundleVersion, BundleDigest and IntentsRev are the versions in force on the
	// node. BundleDigest is "" if unknown.
	BundleVersion uint64
	BundleDigest  string
	IntentsRev    uint64
}

// Load is an agent's report of the load of its endpoint.
type Load struct {
	NodeID      string
	Incarnation uint64
	Seq         uint64 // increases with each report of an incarnation
	// Limit is the number of concurrent requests that the agent admits now.
	Limit    int
	InFlight int
	Queued   int
	Cold     bool // Limit does not exceed the cold limit of the service
	// OrderEpoch is the current order epoch of the agent. Order identities that an
	// entry issues for this agent contain it.
	OrderEpoch uint64
	// Served is the cost in tokens served by this incarnation, by organisation. It
	// is nil in most reports; the receiver then keeps the previous values.
	Served map[string]float64
}
