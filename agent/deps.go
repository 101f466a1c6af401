package agent

import (
	"context"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/expertmap"
	"github.com/wasabinotch/wasabinotch/peer"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Control is the part of the control loop that an agent uses.
type Control interface {
	control.View
	control.Lifecycle
	Run(ctx context.Context) error
	HandleNotify(args wire.NotifyArgs) wire.NotifyReply
}

// MapLoader passes expert maps to the rank that runs at the endpoint.
type MapLoader interface {
	Run(ctx context.Context) error
	Handle(ctx context.Context, args wire.MapArgs) (wire.MapReply, error)
}

// ControlConfig is the configuration of an agent's control loop.
type ControlConfig struct {
	Self     wire.Node
	Settings settings.Agent
	Pool     *peer.Pool
	Clock    clockwork.Clock
	Log      logr.Logger
	Load     control.LoadSource
}

// Deps holds the constructors of the components that tests replace, and the clock.
type Deps struct {
	NewControl func(ControlConfig) (Control, error)
	// NewMapLoader returns nil for an agent outside a rank group.
	NewMapLoader func(settings.Agent, *peer.Pool, logr.Logger) MapLoader
	Clock        clockwork.Clock
}

// defaultDeps returns the constructors that are used in production.
func defaultDeps() Deps {
	return Deps{
		NewControl: func(cfg ControlConfig) (Control, error) {
			return newControlLoop(cfg), nil
		},
		NewMapLoader: newMapLoader,
		Clock:        clockwork.NewRealClock(),
	}
}

func newControlLoop(cfg ControlConfig) *control.Loop {
	return control.New(control.Config{
		Self:      cfg.Self,
		Members:   cfg.Settings.Members,
		Threshold: cfg.Settings.Threshold,
		Seeds:     cfg.Settings.Entries,
		Pool:      cfg.Pool,
		Clock:     cfg.Clock,
		Log:       cfg.Log,
		Load:      cfg.Load,
	})
}

// newMapLoader returns nil for an agent outside a rank group.
func newMapLoader(s settings.Agent, pool *peer.Pool, log logr.Logger) MapLoader {
	if s.Group == "" {
		return nil
	}
	return expertmap.NewMapLoader(expertmap.MapLoaderConfig{Group: s.Group, Rank: s.Rank, Endpoint: s.EndpointAddr, Pool: pool, Log: log})
}
