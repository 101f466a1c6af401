package wire

// Role is the kind of a node.
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

// Node is the record of one process. Among records of one ID the one with the
// later Incarnation wins; among equal incarnations the higher Seq wins.
type Node struct {
	ID   string // stable name from the settings, e.g. "batinah-entry-1"
	Role Role
	VM   string
	Zone string
	// HTTPAddr and RPCAddr are IP:port addresses.
	HTTPAddr string
	RPCAddr  string
	// Incarnation is drawn at start: start time in Unix nanoseconds, made unique by random low bits.
	Incarnation uint64
	Seq         uint64
	// ContentSeq is Seq at the last change of the other fields, except for the
	// versions in force. A heartbeat carries ID, Incarnation, Seq, ContentSeq,
	// BundleVersion and IntentsRev only.
	ContentSeq uint64
	State      State
	// Service is the service of an agent's endpoint.
	Service string
	// Group and Rank name the agent's place in a rank group; Group is "" for none.
	Group string
	Rank  int
	// Heirs are node IDs that hold this agent's order outcomes after a planned stop.
	Heirs []string
	// Versions in force on the node. BundleDigest is "" if not known.
	BundleVersion uint64
	BundleDigest  string
	IntentsRev    uint64
}

// Load is an agent's report on its endpoint.
type Load struct {
	NodeID      string
	Incarnation uint64
	Seq         uint64 // increases with each report of one incarnation
	// Limit is the number of concurrent requests the agent admits now.
	Limit    int
	InFlight int
	Queued   int
	Cold     bool
	// OrderEpoch is the agent's current order epoch, used in issued identities.
	OrderEpoch uint64
	// Served is the token cost served so far by organisation.
	Served map[string]float64
}
