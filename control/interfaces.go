package control

import (
	"context"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Admin executes operator commands. Errors are of type *api.Refusal.
type Admin interface {
	RollOutBundle(ctx context.Context, s *bundle.Signed) (api.AdminResult, error)
	ApplyIntent(ctx context.Context, in bundle.Intent) (api.AdminResult, error)
}

// Lifecycle changes the state that a node announces to other nodes.
type Lifecycle interface {
	SetState(s wire.State)
	// SetSuccessors announces the IDs of the nodes that hold this agent's order
	// outcomes.
	SetSuccessors(ids []string)
}

// LoadSource returns an agent's current load. It is called from the control loop
// and must not block.
type LoadSource func() wire.Load
