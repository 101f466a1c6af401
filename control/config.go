package control

import (
	"context"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Admin applies operator commands. Errors are *api.Refusal.
type Admin interface {
	RollOutBundle(ctx context.Context, s *bundle.Signed) (api.AdminResult, error)
	ApplyIntent(ctx context.Context, in bundle.Intent) (api.AdminResult, error)
}

// Lifecycle changes the state that a node announces to the others.
type Lifecycle interface {
	SetState(s wire.State)
	// SetSuccessors announces the nodes that hold this agent's order outcomes.
	SetSuccessors(ids []string)
}

// LoadSource returns an agent's current load report. It must not block.
type LoadSource func() wire.Load
