package control

import (
	"time"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Endpoint holds the last known record and load of an agent and its endpoint.
type Endpoint struct {
	Node wire.Node
	Load wire.Load
	// LastSeen is when this node received the agent's last report or, if the
	// agent reports only to other entries, its last heartbeat.
	LastSeen time.Time
	// ReturnedAt is when the endpoint's zone or VM was last returned to service;
	// zero if it was never out of service. It is used to ramp up load.
	ReturnedAt time.Time
}

// Entry holds the last known record of another entry.
type Entry struct {
	Node wire.Node
	// LastSeen is when the entry's last heartbeat or reply was received.
	LastSeen time.Time
}

// Snapshot is the immutable view of the fleet that request handling reads. Slices
// and maps in it must not be modified.
type Snapshot struct {
	Self wire.Node
	// Bundle is the bundle in force; nil until a signed bundle is accepted.
	Bundle        *bundle.Bundle
	BundleDigest  string
	Services      map[string]*bundle.Service
	Organisations map[string]*bundle.Organisation
	// KeyOwner maps a hex SHA-256 key digest to the organisation's name.
	KeyOwner map[string]string
	// Endpoints holds the ready endpoints by service: those whose agent reported
	// to this node within endpointTimeout and is not leaving. It includes
	// endpoints in zones and VMs that are out of service.
	Endpoints map[string][]*Endpoint
	// AgentByID holds all known agents, including those that are leaving or have
	// stopped reporting, for orders bound to them.
	AgentByID map[string]*Endpoint
	// Entries holds the other entries that are not leaving and sent a heartbeat
	// recently.
	Entries []Entry
	// ZonesOut holds the zones that are out of service by intent.
	ZonesOut map[string]bool
	// VMsOut holds the VMs that are out of service by intent or shown as leaving
	// by the platform's VM list.
	VMsOut  map[string]bool
	Intents bundle.Intents
	// StoreOK reports whether the store confirmed the view, directly or through
	// a peer, within MaxConfirmationAge.
	StoreOK bool
	// ConfirmedAt is when the view was last confirmed as current; zero if never.
	ConfirmedAt time.Time
}

// OutOfService reports whether a node's zone or VM is out of service.
func (s *Snapshot) OutOfService(n wire.Node) bool {
	return s.ZonesOut[n.Zone] || s.VMsOut[n.VM]
}

// MaxConfirmationAge is the time since its last confirmation for which a view
// counts as current. Nodes do not forward or start new work on an older view.
const MaxConfirmationAge = 3 * time.Second

// Confirmed reports whether the view is recent enough at the time now to be used
// for new work.
func (s *Snapshot) Confirmed(now time.Time) bool {
	return !s.ConfirmedAt.IsZero() && now.Sub(s.ConfirmedAt) <= MaxConfirmationAge
}

// View gives read access to the current snapshot.
type View interface {
	Snapshot() *Snapshot
}
