package rankgroup_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/lab/ranksim"
	"github.com/wasabinotch/wasabinotch/pause"
	"github.com/wasabinotch/wasabinotch/rankgroup"
)

var testDimensions = rankgroup.Dimensions{Ranks: 4, Sets: 2, Experts: 8, ExpertSlots: 4, SpareSlots: 2, CopyTime: 50 * time.Millisecond}

const (
	testStepTime = 50 * time.Millisecond
	testDuration = 40 * time.Second
	// settleTime exceeds the longest delay of a late command.
	settleTime = 20 * time.Second
)

// startCoordinator runs a coordinator beside localRank until kill is called or another
// coordinator supersedes it. While isDisconnected returns true, the coordinator reaches
// no rank; nil means that it always reaches them.
func startCoordinator(g *ranksim.Group, localRank int, isDisconnected func() bool) (kill func()) {
	engines := make([]rankgroup.Engine, len(g.Ranks))
	for r := range engines {
		engines[r] = &ranksim.Engine{Group: g, Rank: r, Disconnected: isDisconnected}
	}
	c := rankgroup.NewCoordinator(rankgroup.Config{Dimensions: g.Dimensions, Engines: engines, LocalRank: localRank, Log: logr.Discard(), Metrics: metrics.NewSet()})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for ctx.Err() == nil {
			if _, err := c.Round(ctx); errors.Is(err, rankgroup.ErrSuperseded) {
				return
			}
			c.Wait(ctx, ticker.C)
		}
	}()
	return cancel
}

// runSteps begins engine steps until ctx ends. Every 60 steps it shifts the
// distribution of expert selections.
func runSteps(ctx context.Context, g *ranksim.Group) {
	for n := 0; ctx.Err() == nil; n++ {
		pause.For(ctx, testStepTime)
		if n%60 == 59 {
			g.Lock()
			g.DemandOffset += 3
			g.Unlock()
		}
		g.BeginStep()
	}
}

// Guards against a step that begins with two maps. Commands or their replies are lost,
// commands are late, coordinators are killed between two commands, several run at once,
// some of which reach no rank at first, and the group becomes idle and forms again.
func TestNoPassBeginsWithTwoMaps(t *testing.T) {
	switches := 0
	for seed := uint64(1); seed <= 300; seed++ {
		synctest.Test(t, func(t *testing.T) {
			g := ranksim.New(testDimensions, seed)
			faults := rand.New(rand.NewPCG(seed, 2))
			g.LossProbability, g.ReplyLossProbability, g.DelayProbability = 0.2*faults.Float64(), 0.2*faults.Float64(), 0.4*faults.Float64()
			ctx, stop := context.WithCancel(context.Background())
			go runSteps(ctx, g)
			kills := []func(){startCoordinator(g, 0, nil)}
			end := time.Now().Add(testDuration)
			for time.Now().Before(end) {
				time.Sleep(time.Duration(100+faults.IntN(3000)) * time.Millisecond)
				switch faults.IntN(6) {
				case 0, 1:
					kills[len(kills)-1]()
					time.Sleep(time.Duration(faults.IntN(1500)) * time.Millisecond)
					kills = append(kills, startCoordinator(g, faults.IntN(len(g.Ranks)), nil))
				case 2:
					connectedAt := time.Now().Add(time.Duration(faults.IntN(4000)) * time.Millisecond)
					kills = append(kills, startCoordinator(g, faults.IntN(len(g.Ranks)), func() bool { return time.Now().Before(connectedAt) }))
				case 3:
					g.Lock()
					g.Idle = !g.Idle
					g.Unlock()
				case 4:
					if faults.IntN(3) == 0 {
						g.Form()
					}
				}
			}
			for _, kill := range kills {
				kill()
			}
			// A single coordinator without faults must get the group to continue.
			g.Lock()
			g.LossProbability, g.ReplyLossProbability, g.DelayProbability, g.Idle = 0, 0, 0, false
			g.Unlock()
			time.Sleep(settleTime)
			kill := startCoordinator(g, 1, nil)
			time.Sleep(settleTime)
			g.Lock()
			if g.MapMismatch != "" {
				t.Errorf("seed %d: %s", seed, g.MapMismatch)
			}
			if g.Blocked {
				t.Errorf("seed %d: the group is stalled before step %d", seed, g.Step+1)
			}
			switches += g.RankSwitches
			g.Unlock()
			kill()
			stop()
			time.Sleep(settleTime)
		})
		if t.Failed() {
			return
		}
	}
	if switches < 1000 {
		t.Errorf("only %d switches of ranks in all runs; too few for the test to be meaningful", switches)
	}
}

// Guards against a coordinator that never switches the group to a new map.
func TestCoordinatorFollowsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := ranksim.New(testDimensions, 1)
		ctx, stop := context.WithCancel(context.Background())
		go runSteps(ctx, g)
		kill := startCoordinator(g, 0, nil)
		time.Sleep(3 * time.Second)
		g.Lock()
		is.True(g.RankSwitches >= len(g.Ranks)) // as many as one switch of all ranks
		is.Equal(g.MapMismatch, "")
		g.Unlock()
		kill()
		stop()
		time.Sleep(time.Second)
	})
}

// Guards against Prepare commands for a new map while ranks are still armed for the
// previous one: the ranks refuse them and the new map is dropped. It happens when a
// shift of demand takes several plans in succession, each with few copies.
func TestPlansFollowEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := testDimensions
		d.CopyTime = 250 * time.Millisecond // above minWindowTime, so a selection window closes during a copy
		g := ranksim.New(d, 1)
		g.SlowCopies = true
		ctx, stop := context.WithCancel(context.Background())
		go runSteps(ctx, g)
		engines := make([]rankgroup.Engine, len(g.Ranks))
		for r := range engines {
			engines[r] = &ranksim.Engine{Group: g, Rank: r}
		}
		set := metrics.NewSet()
		c := rankgroup.NewCoordinator(rankgroup.Config{Dimensions: g.Dimensions, Engines: engines, Log: logr.Discard(), Metrics: set})
		ticker := time.NewTicker(100 * time.Millisecond)
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
			_, err := c.Round(ctx)
			is.NoErr(err)
			c.Wait(ctx, ticker.C)
		}
		is.Equal(set.GetOrCreateCounter("wasabinotch_maps_dropped_total").Get(), uint64(0))
		is.True(set.GetOrCreateCounter(`wasabinotch_map_switches_total{outcome="done"}`).Get() >= 10)
		stop()
		time.Sleep(time.Second)
	})
}

// Guards against a coordinator that rolls back its completed switch. If the group
// becomes idle before the step of the switch, its ranks stay armed until requests
// arrive; a rollback would be unsafe, since a Release may still be on its way.
func TestIdleGroupKeepsItsSwitch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := ranksim.New(testDimensions, 1)
		ctx, stop := context.WithCancel(context.Background())
		go runSteps(ctx, g)
		kill := startCoordinator(g, 0, nil)
		armed := func() bool {
			g.Lock()
			defer g.Unlock()
			for _, r := range g.Ranks {
				if r.Armed == nil || r.HeldStep != nil {
					return false
				}
			}
			return true
		}
		for !armed() {
			time.Sleep(time.Millisecond)
		}
		g.Lock()
		g.Idle = true
		g.Unlock()
		time.Sleep(5 * time.Second)
		is.True(armed())
		g.Lock()
		version := g.Ranks[0].Armed.Version
		g.Idle = false
		g.Unlock()
		time.Sleep(5 * testStepTime)
		g.Lock()
		is.True(g.Ranks[0].MapVersion >= version) // the armed switch has taken effect
		is.Equal(g.MapMismatch, "")
		g.Unlock()
		kill()
		stop()
		time.Sleep(time.Second)
	})
}
