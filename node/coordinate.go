package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/pause"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/rankgroup"
	"github.com/wasabinotch/wasabinotch/routing"
	"github.com/wasabinotch/wasabinotch/store"
)

const (
	// roundInterval is the minimum interval between a coordinator's rounds, about
	// one engine step.
	roundInterval = 100 * time.Millisecond
	// roundIntervalPerRank is the minimum interval for each rank. It bounds the
	// rate of rounds in large groups, where the replies of all ranks share the
	// coordinator's link.
	roundIntervalPerRank = 4 * time.Millisecond
	// roundIntervalPerDirectRank is added to the interval for each rank whose engine is called
	// over the network, as these calls are billed, up to maxDirectPause: other agents take
	// over after a longer silence.
	roundIntervalPerDirectRank = 20 * time.Millisecond
	maxDirectPause             = 300 * time.Millisecond
	// discoveryRetryInterval is the interval between attempts to find all ranks.
	discoveryRetryInterval = 300 * time.Millisecond
	// discoveryTimeout bounds the wait for a rank's report, and the silence of the store. In
	// all, reading the store may take longer: other writers may leave large records among
	// those of the ranks, and the narrowest links take seconds for one of them.
	discoveryTimeout = 500 * time.Millisecond
	// rediscoveryTimeout is the time without a complete poll after which the
	// ranks are discovered again, since one may have restarted at another address.
	// absentRediscoveryTimeout is used if one wasn't found: its VM may wake any time.
	rediscoveryTimeout       = 2 * time.Second
	absentRediscoveryTimeout = 500 * time.Millisecond
)

// discoveryReads bounds the reads of the store in one attempt to find all ranks.
var discoveryReads = store.ReadTimeouts{First: discoveryTimeout, Stall: discoveryTimeout, Total: store.MaxReadTime}

// startCoordinating starts a coordinator for the given term unless one is
// running. local is the report of the rank beside this agent.
func (a *Agent) startCoordinating(ctx context.Context, term uint64, local rankgroup.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.coordinating {
		return
	}
	a.coordinating = true
	a.log.Info("Coordinating.", "group", local.Group, "rank", local.Rank, "term", term, "ranks", local.Size)
	go func() {
		a.coordinate(ctx, term, local)
		a.mu.Lock()
		a.coordinating = false
		a.mu.Unlock()
	}()
}

// coordinate runs the coordinator's rounds until ctx ends or the agent no longer
// leads in the given term.
func (a *Agent) coordinate(ctx context.Context, term uint64, local rankgroup.Report) {
	var c *rankgroup.Coordinator
	var ranks []rankgroup.Engine
	lastComplete := time.Now()
	ticker := time.NewTicker(roundIntervalOf(local.Size))
	defer ticker.Stop()
	for ctx.Err() == nil && a.leadership.leading(term) {
		if c == nil {
			var err error
			if c, ranks, err = a.newCoordinator(ctx, term, local); err != nil {
				a.log.Info("Group not complete.", "group", local.Group, "cause", err.Error())
				pause.For(ctx, discoveryRetryInterval)
				continue
			}
			lastComplete = time.Now()
		}
		complete, err := c.Round(ctx)
		if errors.Is(err, rankgroup.ErrSuperseded) {
			a.log.Info("Coordination ends; another agent took over.", "term", term)
			a.leadership.stepDown(term)
			return
		}
		if err != nil {
			a.log.Info("Coordination round failed.", "cause", err.Error())
		}
		if complete {
			lastComplete = time.Now()
		} else if time.Since(lastComplete) > rediscoveryTimeoutOf(ranks) && !c.SwitchPending() {
			c = nil
		}
		if c == nil {
			continue
		}
		if n := directRanks(ranks); n > 0 && !c.SwitchPending() {
			pause.For(ctx, min(time.Duration(n)*roundIntervalPerDirectRank, maxDirectPause))
		}
		c.Wait(ctx, ticker.C)
	}
}

// roundIntervalOf returns the least time between two rounds in a group.
func roundIntervalOf(ranks int) time.Duration {
	return max(roundInterval, time.Duration(ranks)*roundIntervalPerRank)
}

// rediscoveryTimeoutOf returns the time without a complete poll after which the ranks are
// discovered again.
func rediscoveryTimeoutOf(ranks []rankgroup.Engine) time.Duration {
	if slices.Contains(ranks, rankgroup.Engine(absentRank{})) {
		return absentRediscoveryTimeout
	}
	return rediscoveryTimeout
}

// directRanks returns the number of ranks whose engines are called without an agent.
func directRanks(ranks []rankgroup.Engine) int {
	n := 0
	for _, e := range ranks {
		if r, ok := e.(*remoteRank); ok && r.Direct() {
			n++
		}
	}
	return n
}

// newCoordinator finds the ranks of the group and returns a coordinator with the
// dimensions that the configuration gives for the service's engine.
func (a *Agent) newCoordinator(ctx context.Context, term uint64, local rankgroup.Report) (*rankgroup.Coordinator, []rankgroup.Engine, error) {
	service, err := a.readService(ctx)
	if err != nil {
		return nil, nil, err
	}
	engines, err := a.discoverRanks(ctx, term, local)
	if err != nil {
		return nil, nil, err
	}
	e := service.Engine
	return rankgroup.NewCoordinator(rankgroup.Config{
		Dimensions: rankgroup.Dimensions{
			Ranks: local.Size, Sets: e.ExpertSets, Experts: e.Experts, ExpertSlots: e.ExpertSlots, SpareSlots: e.SpareSlots,
			CopyTime: time.Duration(e.ExpertBytes / e.LinkBytesPerSecond * float64(time.Second)),
		},
		Engines: engines, LocalRank: local.Rank, RoundInterval: roundIntervalOf(local.Size), KnownMap: a.rank.knownMap, Log: a.log.WithName("coordinator"), Metrics: a.metrics,
	}), engines, nil
}

// readService reads this agent's service from the configuration in the store.
// It returns an error if the service has no expert sets.
func (a *Agent) readService(ctx context.Context) (*routing.Service, error) {
	ctx, cancel := discoveryReads.Start(ctx)
	defer cancel()
	kvs, err := a.store.ListStale(ctx, platform.PrefixOperator)
	if err != nil {
		return nil, err
	}
	for _, kv := range kvs {
		if !platform.IsConfig(kv.Key) {
			continue
		}
		c, err := platform.DecodeConfig(kv.Value)
		if err != nil {
			return nil, err
		}
		if s := c.Service(a.cfg.Service); s != nil && s.Engine != nil && s.Engine.ExpertSets > 0 {
			return s, nil
		}
	}
	return nil, errors.New("the configuration has no expert sets for this service; retrying")
}

// discoverRanks finds the ranks of the group by requesting a report from the
// agent of each of the service's endpoints, or from the engine if its agent is silent.
// Ranks are asked while the rest of the listing still arrives, which ends once all are
// found. It returns an error if more than one rank is missing; in place of one, it returns
// an absentRank.
func (a *Agent) discoverRanks(ctx context.Context, term uint64, local rankgroup.Report) ([]rankgroup.Engine, error) {
	engines := make([]rankgroup.Engine, local.Size)
	engines[local.Rank] = &fencedLocalRank{localRank: a.rank, leadership: &a.leadership, term: term}
	missing := local.Size - 1
	listing, endListing := discoveryReads.Start(ctx)
	defer endListing()
	var mu sync.Mutex
	var wg sync.WaitGroup
	ask := func(kv store.KeyValue) {
		r, err := platform.DecodeEndpoint(kv.Key, kv.Value)
		if err != nil || r.Service != a.cfg.Service || r.Address == a.cfg.EndpointAddr {
			return
		}
		agent, err := agentAddr(r.Address, a.cfg.PeerPort)
		if err != nil {
			return
		}
		// The request carries the term, so that no other agent takes over meanwhile.
		remote := &remoteRank{agentAddr: agent.String(), group: local.Group, engine: platform.NewEngine(r.Address, a.client), client: a.client, term: term, rank: local.Rank,
			limit: a.directLimit, commands: newCommandLimit(), metrics: a.metrics, log: a.limitedLog}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
			defer cancel()
			report, err := remote.Report(ctx)
			if err != nil || report.Group != local.Group || report.Rank < 0 || report.Rank >= local.Size {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if engines[report.Rank] == nil {
				engines[report.Rank] = remote
				if missing--; missing == 0 {
					endListing()
				}
			}
		})
	}
	err := a.store.EachStale(listing, platform.PrefixEndpoints, func(kvs []store.KeyValue) bool {
		for _, kv := range kvs {
			ask(kv)
		}
		return true
	})
	wg.Wait()
	absent := -1
	for rank, e := range engines {
		if e != nil {
			continue
		}
		if absent >= 0 {
			return nil, errors.Join(fmt.Errorf("ranks %d and %d not found; retrying", absent, rank), err)
		}
		absent = rank
	}
	if absent >= 0 && err != nil {
		return nil, fmt.Errorf("rank %d not found; retrying: %w", absent, err) // its record may be among those not read
	}
	if absent >= 0 {
		a.limitedLog.Info("Rank not found; a switch may be undone without it.", "group", local.Group, "rank", absent)
		engines[absent] = absentRank{}
	}
	return engines, nil
}

// absentRank stands for a rank that wasn't found: neither its agent nor its engine replied.
type absentRank struct{}

var errAbsent = errors.New("the rank was not found; it is looked for again")

// Report implements rankgroup.Engine.
func (absentRank) Report(context.Context) (rankgroup.Report, error) {
	return rankgroup.Report{}, errAbsent
}

// Poll implements rankgroup.Engine.
func (absentRank) Poll(context.Context, rankgroup.WindowRequest) (rankgroup.Report, rankgroup.SelectionWindow, error) {
	return rankgroup.Report{}, rankgroup.SelectionWindow{}, errAbsent
}

// Experts implements rankgroup.Engine.
func (absentRank) Experts(context.Context) ([][]int, uint64, error) { return nil, 0, errAbsent }

// Send implements rankgroup.Engine.
func (absentRank) Send(context.Context, rankgroup.Command) (rankgroup.Result, error) {
	return rankgroup.NoReply, errAbsent
}

// AwaitPrepared implements rankgroup.Engine.
func (absentRank) AwaitPrepared(context.Context, uint64) error { return errAbsent }
