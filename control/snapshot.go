package control

import (
	"time"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Endpoint is an agent and its endpoint as this node sees them.
type Endpoint struct {
	Node wire.Node
	Load wire.Load
	// LastSeen is when the last report was received.
	LastSeen time.Time
	// ReturnedAt is when the endpoint's zone or VM was last brought back in;
	// zero if it was never out. Used to ramp up load.
	ReturnedAt time.Time
}

// Entry is another entry as this node sees it.
type Entry struct {
	Node     wire.Node
	LastSeen time.Time
}

// Snapshot is the immutable view that traffic reads. Slices and maps in it
// must not be changed.
type Snapshot struct {
	Self wire.Node
	// Bundle is nil until a signed bundle has been accepted.
	Bundle        *bundle.Bundle
	BundleDigest  string
	Services      map[string]*bundle.Service
	Organisations map[string]*bundle.Organisation
	// KeyOwner maps a hex SHA-256 key digest to the organisation's name.
	KeyOwner map[string]string
	// Endpoints by service, alive ones only (heard within the liveness time
	// and not leaving); zone and VM intents are not yet applied.
	Endpoints map[string][]*Endpoint
	// AgentByID includes leaving and silent agents, for orders bound to them.
	AgentByID map[string]*Endpoint
	Entries   []Entry
	ZonesOut  map[string]bool
	VMsOut    map[string]bool
	Intents   bundle.Intents
	StoreOK   bool
	// ConfirmedAt is when the view was last confirmed as current; zero if never.
	ConfirmedAt time.Time
}

// OutOfService reports whether a node's zone or VM is taken out.
func (s *Snapshot) OutOfService(n wire.Node) bool {
	return s.ZonesOut[n.Zone] || s.VMsOut[n.VM]
}

// MaxConfirmationAge is the age up to which a confirmed view counts as current.
// Nodes hand over no new work on an older view.
const MaxConfirmationAge = 3 * time.Second

// Confirmed reports whether the view may be used for new work at the time now.
func (s *Snapshot) Confirmed(now time.Time) bool {
	return !s.ConfirmedAt.IsZero() && now.Sub(s.ConfirmedAt) <= MaxConfirmationAge
}

// View gives read access to the current snapshot.
type View interface {
	Snapshot() *Snapshot
}
