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

// MapLoader passes expert maps to the rank at the endpoint.
type MapLoader interface {
	Run(ctx context.Context) error
	Handle(ctx context.Context, args wire.MapArgs) (wire.MapReply, error)
}

// ControlConfig is what an agent's control loop is built from.
type ControlConfig struct {
	Self     wire.Node
	Settings settings.Agent
	Pool     *peer.Pool
	Clock    clockwork.Clock
	Log      logr.Logger
	Load     control.LoadSource
}

// Deps are the constructors of the parts that an agent connects.
type Deps struct {
	NewControl func(ControlConfig) (Control, error)
	// NewMapLoader returns the rank; nil for an agent outside a rank group.
	NewMapLoader func(settings.Agent, *peer.Pool, logr.Logger) MapLoader
	Clock        clockwork.Clock
}

// defaultDeps returns the constructors of the daemon.
func defaultDeps() Deps {
	return Deps{
		NewControl: func(cfg ControlConfig) (Control, error) {
			return newLoop(cfg), nil
		},
		NewMapLoader: newRank,
		Clock:        clockwork.NewRealClock(),
	}
}

func newLoop(cfg ControlConfig) *control.Loop {
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

// newRank returns nil for an agent outside a rank group.
func newRank(s settings.Agent, pool *peer.Pool, log logr.Logger) MapLoader {
	if s.Group == "" {
		return nil
	}
	return expertmap.NewMapLoader(expertmap.MapLoaderConfig{Group: s.Group, Rank: s.Rank, Endpoint: s.EndpointAddr, Pool: pool, Log: log})
}
