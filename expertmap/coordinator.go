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

// RPCClient calls net/rpc methods of agents. *peer.Pool implements it.
type RPCClient interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// CoordinatorConfig holds the parameters of a Coordinator. Zero values of Clock
// and of the fields after Log select the defaults.
type CoordinatorConfig struct {
	View  control.View
	Store store.Store
	Pool  RPCClient
	Clock clockwork.Clock
	Log   logr.Logger
	// PlanInterval is the time between two plans of a group. Default 60 s.
	PlanInterval time.Duration
	// PollInterval determines the times between polls of the ranks during a switch
	// to a new map: twice PollInterval after the first poll, then doubled with each
	// poll up to maxPollBackoff times PollInterval, to save control traffic.
	// Default 2 s.
	PollInterval time.Duration
	// SettledPollInterval is the time between polls while all ranks use the
	// recorded map. Default 30 s.
	SettledPollInterval time.Duration
	// StoreRate is the read rate of the weight store for one group, in bytes/s.
	// Default 2e9.
	StoreRate float64
	// Horizon is the time over which a placement must save more than loading its
	// experts costs. Default 600 s.
	Horizon time.Duration
	// MinSaving is the relative saving in step time below which a planned map is
	// not recorded. A negative value records also plans that save nothing.
	// Default 0.005.
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

// Limits on calls and polls.
const (
	callTimeout = 2 * time.Second
	// maxConcurrentCalls bounds the concurrent calls to agents, and thereby the
	// memory of maps in send buffers.
	maxConcurrentCalls = 32
	// maxPollBackoff bounds the time between polls during a switch, as a multiple
	// of PollInterval.
	maxPollBackoff = 4
	// tickInterval is the longest time between checks of the snapshot for new or
	// restarted agents.
	tickInterval = 500 * time.Millisecond
)

// Coordinator records and distributes the expert maps of the groups for which
// ChooseCoordinator returns this entry.
type Coordinator struct {
	cfg    CoordinatorConfig
	groups map[string]*groupCoordinator
}

// NewCoordinator returns a coordinator with defaults applied to cfg.
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

// Run coordinates groups until ctx ends. It always returns nil.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := c.cfg.Clock.NewTicker(min(c.cfg.PollInterval, tickInterval))
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

// tick runs one round for every group that this entry coordinates. It does nothing
// without a bundle or while the view is unconfirmed.
func (c *Coordinator) tick(ctx context.Context) {
	snap := c.cfg.View.Snapshot()
	now := c.cfg.Clock.Now()
	if snap == nil || snap.Bundle == nil || !snap.Confirmed(now) {
		return
	}
	var eg errgroup.Group
	coordinated := make(map[string]*groupCoordinator)
	for _, g := range snap.Bundle.Groups {
		if ChooseCoordinator(g.Name, snap, now) != snap.Self.ID {
			continue
		}
		gc := c.coordinatorFor(g)
		coordinated[g.Name] = gc
		eg.Go(func() error {
			gc.tick(ctx, snap)
			return nil
		})
	}
	_ = eg.Wait() // tick logs its errors
	c.groups = coordinated
}

// coordinatorFor returns the coordinator of a group. It starts a new one if there
// is none or if the bundle changed the group.
func (c *Coordinator) coordinatorFor(g bundle.Group) *groupCoordinator {
	gc := c.groups[g.Name]
	if gc == nil || gc.group != g {
		gc = &groupCoordinator{cfg: &c.cfg, group: g, log: c.cfg.Log.WithValues("group", g.Name)}
		gc.log.Info("Coordinating the group.")
	}
	return gc
}
