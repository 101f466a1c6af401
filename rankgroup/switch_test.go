package rankgroup

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const testVersion = 100

// armAll prepares a map at all ranks and arms them for a pass that rank 0 holds,
// as a coordinator does that dies before the release.
func armAll(g *fakeGroup, step uint64, except int) {
	next := First(g.d)
	next.Sets[0][1] = append(next.Sets[0][1], 0)
	for r := range g.ranks {
		g.carryOut(r, Order{Operation: Prepare, Epoch: g.epoch, Version: testVersion, Map: next})
	}
	g.carryOut(0, Order{Operation: Hold, Epoch: g.epoch, Step: step})
	for r := range g.ranks {
		if r != except {
			g.carryOut(r, Order{Operation: Arm, Epoch: g.epoch, Version: testVersion, Step: step})
		}
	}
}

// Guards against a release that the dead coordinator sent and that is carried
// out while its switch is half undone.
func TestLateReleaseDuringUndo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newFakeGroup(testDimensions, 1)
		armAll(g, 5, -1)
		time.AfterFunc(3*time.Second, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.carryOut(0, Order{Operation: Go, Epoch: g.epoch, Step: 5})
		})
		away := time.Now().Add(6 * time.Second)
		engines := make([]Engine, g.d.Ranks)
		reports := make([]Report, g.d.Ranks)
		for r := range engines {
			e := &fakeEngine{g: g, rank: r}
			engines[r] = e
			var err error
			reports[r], err = e.Report(t.Context())
			is.NoErr(err)
		}
		engines[3].(*fakeEngine).off = func() bool { return time.Now().Before(away) }
		version := uint64(testVersion)
		undo := NewUndo(engines, reports, First(g.d), func() uint64 { version++; return version })
		ctx, stop := context.WithCancel(t.Context())
		go runPasses(ctx, g)
		for done := false; !done; {
			octx, cancel := context.WithTimeout(ctx, switchTime)
			var err error
			done, err = undo.Advance(octx)
			cancel()
			is.NoErr(err)
		}
		time.Sleep(time.Second)
		g.mu.Lock()
		is.Equal(g.mixed, "")
		is.True(g.step > 5) // the group got on
		g.mu.Unlock()
		stop()
		time.Sleep(settleTime)
	})
}

// Guards against an order to arm that is carried out after the switch was
// undone, in a group that stood idle meanwhile.
func TestLateArmAfterUndo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newFakeGroup(testDimensions, 1)
		g.idle = true
		armAll(g, 5, 2)
		time.AfterFunc(4*time.Second, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			is.Equal(g.carryOut(2, Order{Operation: Arm, Epoch: g.epoch, Version: testVersion, Step: 5}), Refused)
			g.idle = false
		})
		ctx, stop := context.WithCancel(context.Background())
		go runPasses(ctx, g)
		kill := startCoordinator(g, 1, nil)
		time.Sleep(8 * time.Second)
		g.mu.Lock()
		is.Equal(g.mixed, "")
		is.True(g.step > 5)
		g.mu.Unlock()
		kill()
		stop()
		time.Sleep(settleTime)
	})
}
