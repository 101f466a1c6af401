package proof

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/expertmap"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
	"github.com/wasabinotch/wasabinotch/lab/rankgroup"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	rankFormat = "rank-%d"
	// mapInterval is short, so that the faults fall into many switches.
	mapInterval = 300 * time.Millisecond
	// stallBound is for faults that restart no rank: the group must run
	// on while the coordinator, the store or the network fails.
	stallBound = time.Second
)

func rankID(r int) string { return fmt.Sprintf(rankFormat, r) }

func (c *cluster) rankGroups() []bundle.Group {
	if c.options.ranks == 0 {
		return nil
	}
	return []bundle.Group{{Name: rankGroup, Service: rankService, Ranks: c.options.ranks,
		Layers: 2, Experts: 16, SlotsPerRank: 4, ExpertBytes: 1 << 20}}
}

// startRanks starts the ranks at the endpoints of the rank agents. Popularity
// moves all the time, so that each plan differs.
func (c *cluster) startRanks() *rankgroup.Group {
	var turn atomic.Int64
	group, err := rankgroup.NewGroup(rankgroup.GroupConfig{
		Ranks: c.options.ranks, WeightRate: 1 << 30,
		Listen: func(r int) string { return c.nodes[rankID(r)].addr(portEndpoint) },
		Options: func(r int) rankgroup.EngineOptions {
			return rankgroup.EngineOptions{IgnoreFencing: r%2 == 0, StepTime: 2 * time.Millisecond,
				RestartTime: 100 * time.Millisecond, LoadDelay: 5 * time.Millisecond, ExpertBytes: 1 << 20, Speed: 1}
		},
		Popularity: func(layer int) []float64 {
			loads := make([]float64, 16)
			phase := float64(turn.Add(1)) / 2000
			for e := range loads {
				loads[e] = 1.1 + math.Sin(phase+float64(e*(layer+1)))
			}
			return loads
		},
	})
	c.must(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		group.Run(ctx)
		close(done)
	}()
	c.t.Cleanup(func() {
		cancel()
		<-done
		group.Close()
	})
	return group
}

// coordinator returns the entry that the live entries choose for the group.
func (c *cluster) coordinator() string {
	now := time.Now()
	snap := &control.Snapshot{}
	for _, e := range c.entries() {
		n := wire.Node{ID: e.id, State: wire.StateReady}
		snap.Entries = append(snap.Entries, control.Entry{Node: n, LastSeen: now})
	}
	return expertmap.ChooseCoordinator(rankGroup, snap, now)
}

// Guards against a step in which ranks use different maps, and against a group
// that stands still, under: coordinator killed and frozen, store down, lost
// answers of writes, a rank that restarts, an agent that restarts, a zone that
// is parted; with engines that ignore fencing numbers among the ranks.
func TestOneExpertMapPerStep(t *testing.T) {
	s := defaultOptions()
	s.modelAgentsPerZone, s.orderAgentsPerZone, s.ranks = 0, 0, 6
	s.entriesPerZone = 2
	c := prepareCluster(t, s)
	group := c.startRanks()
	for _, id := range c.nodeIDs {
		c.startNode(id)
	}
	c.awaitEntriesServe()
	c.rollOut()
	c.awaitReady(c.nodeIDs...)
	awaitFurtherMaps := func(want uint64) {
		from := group.Checker.Result(time.Time{}).LatestMap
		c.eventually(20*time.Second, fmt.Sprintf("%d further maps in use", want), func() error {
			if group.Checker.Result(time.Time{}).LatestMap < from+want {
				return errNotYet
			}
			return nil
		})
	}
	awaitFurtherMaps(3)
	faults := []struct {
		name  string
		bound time.Duration
		run   func()
	}{
		{"coordinator killed", stallBound, func() {
			id := c.coordinator()
			c.killNode(id)
			awaitFurtherMaps(2)
			c.startNode(id)
		}},
		{"coordinator frozen and woken", stallBound, func() {
			id := c.coordinator()
			c.freezeNode(id)
			awaitFurtherMaps(2)
			c.resumeNode(id)
			awaitFurtherMaps(2)
		}},
		{"store down and lost answers", stallBound, func() {
			c.must(c.kv.SetFaults(kvsim.Faults{Outage: kvsim.OutageRefuse}))
			time.Sleep(2 * time.Second)
			c.must(c.kv.SetFaults(kvsim.Faults{LostResponseProbability: 0.5}))
			awaitFurtherMaps(2)
			c.must(c.kv.SetFaults(kvsim.Faults{}))
		}},
		{"agent restarts", stallBound, func() {
			c.killNode(rankID(1))
			time.Sleep(time.Second)
			c.startNode(rankID(1))
			awaitFurtherMaps(2)
		}},
		{"zone parted", stallBound, func() {
			heal := c.isolateZone("z2")
			time.Sleep(4 * time.Second)
			heal()
			awaitFurtherMaps(2)
		}},
		// The rank needs 100 ms to restart and then loads the map in use.
		{"rank restarts", 2 * time.Second, func() {
			group.Restart(3)
			awaitFurtherMaps(2)
		}},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			since := time.Now()
			f.run()
			v := group.Checker.Result(since)
			t.Logf("%d steps, map %d, stood still at most %v", v.Steps, v.LatestMap, v.StallTime.Round(time.Millisecond))
			for _, m := range v.MixedSteps {
				t.Errorf("mixed maps: %s", m)
			}
			if v.BackwardSteps > 0 {
				t.Errorf("the group went back to an older map %d times", v.BackwardSteps)
			}
			if v.Steps == 0 || v.StallTime > f.bound {
				t.Errorf("the group stood still for %v, the bound is %v", v.StallTime, f.bound)
			}
		})
	}
}
