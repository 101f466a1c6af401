package rankgroup_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/lab/ranksim"
	"github.com/wasabinotch/wasabinotch/rankgroup"
)

const testVersion = 100

// armAll prepares a map at all ranks and arms all but one of them (-1 for none) for a
// step that rank 0 holds, like a coordinator that fails before the Release.
func armAll(g *ranksim.Group, step uint64, except int) {
	next := rankgroup.InitialMap(g.Dimensions)
	next.Sets[0][1] = append(next.Sets[0][1], 0)
	for r := range g.Ranks {
		g.Execute(r, rankgroup.Command{Operation: rankgroup.Prepare, Epoch: g.Epoch, Version: testVersion, Map: next})
	}
	g.Execute(0, rankgroup.Command{Operation: rankgroup.Hold, Epoch: g.Epoch, Step: step})
	for r := range g.Ranks {
		if r != except {
			g.Execute(r, rankgroup.Command{Operation: rankgroup.Arm, Epoch: g.Epoch, Version: testVersion, Step: step})
		}
	}
}

// Guards against a step with two maps if a Release by the failed coordinator is
// carried out while its switch is partly rolled back.
func TestLateReleaseDuringUndo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := ranksim.New(testDimensions, 1)
		armAll(g, 5, -1)
		time.AfterFunc(3*time.Second, func() {
			g.Execute(0, rankgroup.Command{Operation: rankgroup.Release, Epoch: g.Epoch, Step: 5})
		})
		reachableAt := time.Now().Add(6 * time.Second)
		engines := make([]rankgroup.Engine, len(g.Ranks))
		reports := make([]rankgroup.Report, len(g.Ranks))
		for r := range engines {
			e := &ranksim.Engine{Group: g, Rank: r}
			engines[r] = e
			var err error
			reports[r], err = e.Report(t.Context())
			is.NoErr(err)
		}
		engines[3].(*ranksim.Engine).Disconnected = func() bool { return time.Now().Before(reachableAt) }
		version := uint64(testVersion)
		rollback := rankgroup.NewRollback(engines, reports, rankgroup.InitialMap(g.Dimensions), func() uint64 { version++; return version })
		ctx, stop := context.WithCancel(t.Context())
		go runSteps(ctx, g)
		for done := false; !done; {
			advanceCtx, cancel := context.WithTimeout(ctx, rankgroup.SwitchAttemptTimeout)
			var err error
			done, err = rollback.Advance(advanceCtx)
			cancel()
			is.NoErr(err)
		}
		time.Sleep(time.Second)
		g.Lock()
		is.Equal(g.MapMismatch, "")
		is.True(g.Step > 5) // the group continued
		g.Unlock()
		stop()
		time.Sleep(settleTime)
	})
}

// Guards against an Arm that is carried out after the switch was rolled back, in a
// group that was idle in the meantime.
func TestLateArmAfterUndo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := ranksim.New(testDimensions, 1)
		g.Idle = true
		armAll(g, 5, 2)
		time.AfterFunc(4*time.Second, func() {
			is.Equal(g.Execute(2, rankgroup.Command{Operation: rankgroup.Arm, Epoch: g.Epoch, Version: testVersion, Step: 5}), rankgroup.Refused)
			g.Lock()
			g.Idle = false
			g.Unlock()
		})
		ctx, stop := context.WithCancel(context.Background())
		go runSteps(ctx, g)
		kill := startCoordinator(g, 1, nil)
		time.Sleep(8 * time.Second)
		g.Lock()
		is.Equal(g.MapMismatch, "")
		is.True(g.Step > 5)
		g.Unlock()
		kill()
		stop()
		time.Sleep(settleTime)
	})
}

// Guards against a rollback that continues after another coordinator released its
// step: it disarmed one rank of the next switch, and a step began with two maps. The
// next switch may be for a later step, or for the same one if that hasn't begun.
func TestObsoleteUndoLeavesTheNextSwitchAlone(t *testing.T) {
	for _, x := range []struct {
		name  string
		steps int // between the Release and the next switch
		step  uint64
	}{{"later step", 5, 7}, {"same step", 0, 5}} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testObsoleteRollback(t, x.steps, x.step) })
		})
	}
}

func testObsoleteRollback(t *testing.T, steps int, step uint64) {
	is := is.New(t)
	g := ranksim.New(testDimensions, 1)
	armAll(g, 5, -1)
	engines := make([]rankgroup.Engine, len(g.Ranks))
	reports := make([]rankgroup.Report, len(g.Ranks))
	var unreachable atomic.Bool
	unreachable.Store(true)
	for r := range engines {
		e := &ranksim.Engine{Group: g, Rank: r}
		engines[r], reports[r] = e, g.Report(r)
	}
	engines[3].(*ranksim.Engine).Disconnected = func() bool { // from the time at which it holds the step
		return unreachable.Load() && g.Report(3).HeldStep != nil
	}
	version := uint64(testVersion)
	rollback := rankgroup.NewRollback(engines, reports, rankgroup.InitialMap(g.Dimensions), func() uint64 { version++; return version })
	ctx, cancel := context.WithTimeout(t.Context(), rankgroup.SwitchAttemptTimeout)
	defer cancel()
	done, err := rollback.Advance(ctx)
	is.NoErr(err)
	is.True(!done) // rank 3 is not rolled back yet
	// Another coordinator completes the rollback and arms all ranks for a new switch.
	const nextVersion = 1000
	g.Execute(3, rankgroup.Command{Operation: rankgroup.Disarm, Epoch: g.Epoch, Version: testVersion})
	for r := range g.Ranks {
		g.Execute(r, rankgroup.Command{Operation: rankgroup.Release, Epoch: g.Epoch, Step: 5})
	}
	for range steps {
		is.True(g.BeginStep())
	}
	for r := range g.Ranks {
		m := rankgroup.InitialMap(g.Dimensions)
		is.Equal(g.Execute(r, rankgroup.Command{Operation: rankgroup.Prepare, Epoch: g.Epoch, Version: nextVersion, Map: m}), rankgroup.Accepted)
		is.Equal(g.Execute(r, rankgroup.Command{Operation: rankgroup.Arm, Epoch: g.Epoch, Version: nextVersion, Step: step}), rankgroup.Accepted)
	}
	unreachable.Store(false)
	ctx, cancel = context.WithTimeout(t.Context(), rankgroup.SwitchAttemptTimeout)
	defer cancel()
	done, err = rollback.Advance(ctx)
	is.NoErr(err)
	is.True(done)
	for g.Step < step {
		is.True(g.BeginStep())
	}
	is.Equal(g.MapMismatch, "")
	is.Equal(g.RankSwitches, len(g.Ranks))
}

// Guards against a rollback that gives up and ends the hold of a live switch: with reports
// that lag it held the same step at the same rank, and a step began with two maps.
func TestRollbackThatGivesUpReleasesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := ranksim.New(testDimensions, 1)
		next := rankgroup.InitialMap(g.Dimensions)
		next.Sets[0][1] = append(next.Sets[0][1], 0)
		arm := func(r int) {
			is.Equal(g.Execute(r, rankgroup.Command{Operation: rankgroup.Arm, Epoch: g.Epoch, Version: testVersion, Step: 5, Owner: 1}), rankgroup.Accepted)
		}
		for r := range g.Ranks {
			g.Execute(r, rankgroup.Command{Operation: rankgroup.Prepare, Epoch: g.Epoch, Version: testVersion, Map: next, Owner: 1})
		}
		arm(3)
		engines := make([]rankgroup.Engine, len(g.Ranks))
		reports := make([]rankgroup.Report, len(g.Ranks))
		for r := range engines {
			engines[r], reports[r] = &ranksim.Engine{Group: g, Rank: r}, g.Report(r)
		}
		// Meanwhile the coordinator beside rank 0 holds the step at rank 2 and arms all others.
		is.Equal(g.Execute(2, rankgroup.Command{Operation: rankgroup.Hold, Epoch: g.Epoch, Step: 5}), rankgroup.Accepted)
		arm(1)
		arm(2)
		version := uint64(testVersion)
		rollback, ok := rankgroup.NewRollbackWithout(0, engines, reports, rankgroup.InitialMap(g.Dimensions), func() uint64 { version++; return version })
		is.True(ok)
		done, err := rollback.Advance(t.Context())
		is.NoErr(err)
		is.True(done && rollback.StepMissed)
		for range 6 {
			g.BeginStep()
		}
		is.Equal(g.MapMismatch, "")
		is.Equal(g.Step, uint64(4)) // still held
	})
}

// Guards against a rollback without a rank whose state nobody can know.
func TestSwitchIsNotUndoneWithoutProof(t *testing.T) {
	for _, x := range []struct {
		name   string
		change func(reports []rankgroup.Report)
		ok     bool
	}{
		{"one rank isn't armed", func([]rankgroup.Report) {}, true},
		{"all others are armed", func(reports []rankgroup.Report) {
			reports[1].Armed = &rankgroup.Armed{Version: testVersion, Step: 5, Owner: 1}
		}, false},
		{"another coordinator armed a rank", func(reports []rankgroup.Report) { reports[2].Armed.Owner = 3 }, false},
		{"the owner isn't known", func(reports []rankgroup.Report) { reports[2].Armed.Owner = 0 }, false},
		{"none is armed", func(reports []rankgroup.Report) { reports[2].Armed, reports[3].Armed = nil, nil }, true},
		{"none is armed, and a map isn't the owner's", func(reports []rankgroup.Report) {
			reports[2].Armed, reports[3].Armed, reports[1].PreparedOwner = nil, nil, 0
		}, false},
		{"none is armed, and two ranks hold steps", func(reports []rankgroup.Report) {
			step := uint64(5)
			reports[2].Armed, reports[3].Armed, reports[1].HeldStep = nil, nil, &step
		}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			g := ranksim.New(testDimensions, 1)
			engines := make([]rankgroup.Engine, len(g.Ranks))
			reports := make([]rankgroup.Report, len(g.Ranks))
			step := uint64(5)
			for r := range engines {
				engines[r] = &ranksim.Engine{Group: g, Rank: r}
				reports[r] = rankgroup.Report{Group: "g", Rank: r, Size: len(g.Ranks), Epoch: g.Epoch, Open: true, PreparedVersion: testVersion, PreparedOwner: 1}
			}
			reports[2].HeldStep = &step // rank 0 has its steps held there
			for _, r := range []int{2, 3} {
				reports[r].Armed = &rankgroup.Armed{Version: testVersion, Step: 5, Owner: 1}
			}
			x.change(reports)
			_, ok := rankgroup.NewRollbackWithout(0, engines, reports, rankgroup.InitialMap(g.Dimensions), func() uint64 { return testVersion + 1 })
			is.Equal(ok, x.ok)
		})
	}
}
