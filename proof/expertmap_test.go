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
	rankIDFormat = "rank-%d"
	// mapInterval is the time between map switches. It is short, so that the
	// faults coincide with many switches.
	mapInterval = 300 * time.Millisecond
	// stallBound bounds the time without a step under faults that restart no
	// rank: the group must run on while the coordinator, the store or the network
	// fails.
	stallBound = time.Second
)

func rankID(r int) string { return fmt.Sprintf(rankIDFormat, r) }

func (c *cluster) rankGroups() []bundle.Group {
	if c.options.ranks == 0 {
		return nil
	}
	return []bundle.Group{{Name: rankGroup, Service: rankService, Ranks: c.options.ranks,
		Layers: 2, Experts: 16, SlotsPerRank: 4, ExpertBytes: 1 << 20}}
}

// startRanks starts the simulated ranks behind the rank agents. Expert popularity
// changes with each sample, so that each planned map differs from the last. Every
// other rank ignores fencing numbers.
func (c *cluster) startRanks() *rankgroup.Group {
	var callCount atomic.Int64
	group, err := rankgroup.NewGroup(rankgroup.GroupConfig{
		Ranks: c.options.ranks, WeightRate: 1 << 30,
		Listen: func(r int) string { return c.nodes[rankID(r)].addr(portEndpoint) },
		Options: func(r int) rankgroup.EngineOptions {
			return rankgroup.EngineOptions{IgnoreFencing: r%2 == 0, StepTime: 2 * time.Millisecond,
				RestartTime: 100 * time.Millisecond, LoadDelay: 5 * time.Millisecond, ExpertBytes: 1 << 20, Speed: 1}
		},
		Popularity: func(layer int) []float64 {
			loads := make([]float64, 16)
			phase := float64(callCount.Add(1)) / 2000
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

// coordinator returns the entry that is chosen as the group's coordinator if all
// entries run.
func (c *cluster) coordinator() string {
	now := time.Now()
	snap := &control.Snapshot{}
	for _, e := range c.entries() {
		n := wire.Node{ID: e.id, State: wire.StateReady}
		snap.Entries = append(snap.Entries, control.Entry{Node: n, LastSeen: now})
	}
	return expertmap.ChooseCoordinator(rankGroup, snap, now)
}

// Guards against an engine step in which ranks use different expert maps, and
// against a stalled group, when the coordinator is killed or frozen, the store is
// down or its replies are lost, an agent or a rank restarts, or a zone is
// isolated. Some of the engines ignore fencing numbers.
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
		{"coordinator frozen and resumed", stallBound, func() {
			id := c.coordinator()
			c.freezeNode(id)
			awaitFurtherMaps(2)
			c.resumeNode(id)
			awaitFurtherMaps(2)
		}},
		{"store down, then replies lost", stallBound, func() {
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
		{"zone isolated", stallBound, func() {
			endFault := c.isolateZone("z2")
			time.Sleep(4 * time.Second)
			endFault()
			awaitFurtherMaps(2)
		}},
		// The bound is longer: the rank restarts for 100 ms and then loads the
		// weights of the map in use.
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
			t.Logf("%d steps, map %d, stalled for at most %v", v.Steps, v.LatestMap, v.StallTime.Round(time.Millisecond))
			for _, m := range v.MixedSteps {
				t.Errorf("ranks used different maps in one step: %s", m)
			}
			if v.BackwardSteps > 0 {
				t.Errorf("%d steps used an older map than a step before them", v.BackwardSteps)
			}
			if v.Steps == 0 || v.StallTime > f.bound {
				t.Errorf("the group stalled for %v, the bound is %v", v.StallTime, f.bound)
			}
		})
	}
}
