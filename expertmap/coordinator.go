package expertmap

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/store"
)

// RPCClient calls net/rpc methods of agents; *peer.Pool implements it.
type RPCClient interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// CoordinatorConfig holds the parameters of a Coordinator. Zero durations and
// rates select the defaults.
type CoordinatorConfig struct {
	View  control.View
	Store store.Store
	Pool  RPCClient
	Clock clockwork.Clock
	Log   logr.Logger
	// PlanInterval is the time between plans. Default 60 s.
	PlanInterval time.Duration
	// PollInterval is the time until the first poll of the ranks during a switch; it
	// doubles up to maxBackoff times that, to save control traffic. Default 2 s.
	PollInterval time.Duration
	// SettledPollInterval is the time between polls of the ranks while all use the
	// recorded map. Default 30 s.
	SettledPollInterval time.Duration
	// StoreRate is the rate of the weight store for one group, in bytes/s. Default 2e9.
	StoreRate float64
	// Horizon is how long a placement is expected to pay. Default 600 s.
	Horizon time.Duration
	// MinSaving is the relative saving in step time below which no new map is
	// recorded; negative records every plan. Default 0.005.
	MinSaving float64
}

// Defaults of CoordinatorConfig.
const (
	DefaultPlanInterval        = time.Minute
	DefaultPollInterval        = 2 * time.Second
	DefaultSettledPollInterval = 30 * time.Second
	DefaultStoreRate           = 2e9 // bytes/s
	DefaultHorizon             = 600 * time.Second
	DefaultMinSaving           = 0.005
)

// Limits on calls.
const (
	callTimeout = 2 * time.Second
	// parallelCalls bounds concurrent calls to agents, and with them the
	// memory for maps in send buffers.
	parallelCalls = 32
	// maxBackoff bounds the time between polls during a switch, as a multiple of Poll.
	maxBackoff = 4
	// tickTime is the time between looks at the snapshot for new agents.
	tickTime = 500 * time.Millisecond
)

// Coordinator records and distributes the expert maps of the groups that it is
// chosen for.
type Coordinator struct {
	cfg    CoordinatorConfig
	groups map[string]*groupCoordinator
}

// NewCoordinator returns a coordinator.
func NewCoordinator(cfg CoordinatorConfig) *Coordinator {
	setDefault(&cfg.PlanInterval, DefaultPlanInterval)
	setDefault(&cfg.PollInterval, DefaultPollInterval)
	setDefault(&cfg.SettledPollInterval, DefaultSettledPollInterval)
	setDefault(&cfg.StoreRate, DefaultStoreRate)
	setDefault(&cfg.Horizon, DefaultHorizon)
	setDefault(&cfg.MinSaving, DefaultMinSaving)
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	return &Coordinator{cfg: cfg, groups: make(map[string]*groupCoordinator)}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Run coordinates until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := c.cfg.Clock.NewTicker(min(c.cfg.PollInterval, tickTime))
	defer ticker.Stop()
	for {
		c.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// tick does one round for every group that this entry is chosen for.
func (c *Coordinator) tick(ctx context.Context) {
	snap := c.cfg.View.Snapshot()
	now := c.cfg.Clock.Now()
	if snap == nil || snap.Bundle == nil || !snap.Confirmed(now) {
		return
	}
	var eg errgroup.Group
	chosen := make(map[string]*groupCoordinator)
	for _, g := range snap.Bundle.Groups {
		if ChooseCoordinator(g.Name, snap, now) != snap.Self.ID {
			continue
		}
		gc := c.group(g)
		chosen[g.Name] = gc
		eg.Go(func() error {
			gc.tick(ctx, snap)
			return nil
		})
	}
	_ = eg.Wait() // ticks log their errors
	c.groups = chosen
}

func (c *Coordinator) group(g bundle.Group) *groupCoordinator {
	gc := c.groups[g.Name]
	if gc == nil || gc.group != g {
		gc = &groupCoordinator{cfg: &c.cfg, group: g, log: c.cfg.Log.WithValues("group", g.Name)}
		gc.log.Info("coordinating the group")
	}
	return gc
}
