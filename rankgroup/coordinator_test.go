package rankgroup

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
)

var testDimensions = Dimensions{Ranks: 4, Sets: 2, Experts: 8, Places: 4, Spares: 2, CopyTime: 50 * time.Millisecond}

const (
	testPass = 50 * time.Millisecond
	testDay  = 40 * time.Second
	// settleTime is more than the longest delay of an order.
	settleTime = 20 * time.Second
)

// startCoordinator runs a coordinator at a home rank until the returned
// function is called, which kills it. frozen, if set, stops it for a while.
func startCoordinator(g *fakeGroup, home int, frozen func() bool) (kill func()) {
	engines := make([]Engine, g.d.Ranks)
	for r := range engines {
		engines[r] = &fakeEngine{g: g, rank: r, off: frozen}
	}
	c := NewCoordinator(Config{Dimensions: g.d, Engines: engines, Home: home, Log: logr.Discard(), Metrics: metrics.NewSet()})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			if _, err := c.Round(ctx); errors.Is(err, ErrSuperseded) {
				return
			}
			pause(ctx, 100*time.Millisecond)
		}
	}()
	return cancel
}

// runPasses begins passes and moves demand until ctx ends.
func runPasses(ctx context.Context, g *fakeGroup) {
	for n := 0; ctx.Err() == nil; n++ {
		pause(ctx, testPass)
		if n%60 == 59 {
			g.mu.Lock()
			g.hot += 3
			g.mu.Unlock()
		}
		g.pass()
	}
}

// Guards against a pass that begins with two maps: orders are lost, unanswered
// and late, coordinators are killed between two orders, frozen and woken, two
// work at once, the group goes idle and forms anew.
func TestNoPassBeginsWithTwoMaps(t *testing.T) {
	switches := 0
	for seed := uint64(1); seed <= 150; seed++ {
		synctest.Test(t, func(t *testing.T) {
			g := newFakeGroup(testDimensions, seed)
			faults := rand.New(rand.NewPCG(seed, 2))
			g.lost, g.mute, g.late = 0.2*faults.Float64(), 0.2*faults.Float64(), 0.4*faults.Float64()
			ctx, stop := context.WithCancel(context.Background())
			go runPasses(ctx, g)
			kills := []func(){startCoordinator(g, 0, nil)}
			end := time.Now().Add(testDay)
			for time.Now().Before(end) {
				time.Sleep(time.Duration(100+faults.IntN(3000)) * time.Millisecond)
				switch faults.IntN(6) {
				case 0, 1:
					kills[len(kills)-1]()
					time.Sleep(time.Duration(faults.IntN(1500)) * time.Millisecond)
					kills = append(kills, startCoordinator(g, faults.IntN(g.d.Ranks), nil))
				case 2:
					thaw := time.Now().Add(time.Duration(faults.IntN(4000)) * time.Millisecond)
					kills = append(kills, startCoordinator(g, faults.IntN(g.d.Ranks), func() bool { return time.Now().Before(thaw) }))
				case 3:
					g.mu.Lock()
					g.idle = !g.idle
					g.mu.Unlock()
				case 4:
					if faults.IntN(3) == 0 {
						g.mu.Lock()
						g.form()
						g.mu.Unlock()
					}
				}
			}
			for _, kill := range kills {
				kill()
			}
			// One sound coordinator clears up and gets the group going again.
			g.mu.Lock()
			g.lost, g.mute, g.late, g.idle = 0, 0, 0, false
			g.mu.Unlock()
			time.Sleep(settleTime)
			kill := startCoordinator(g, 1, nil)
			time.Sleep(settleTime)
			g.mu.Lock()
			if g.mixed != "" {
				t.Errorf("seed %d: %s", seed, g.mixed)
			}
			if g.blocked {
				t.Errorf("seed %d: the group stands still at pass %d", seed, g.step+1)
			}
			switches += g.switches
			g.mu.Unlock()
			kill()
			stop()
			time.Sleep(settleTime)
		})
		if t.Failed() {
			return
		}
	}
	if switches < 1000 {
		t.Errorf("only %d switches of ranks in all runs; the test shows nothing", switches)
	}
}

// Guards against a coordinator that never switches or leaves the group skewed.
func TestCoordinatorFollowsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newFakeGroup(testDimensions, 1)
		ctx, stop := context.WithCancel(context.Background())
		go runPasses(ctx, g)
		kill := startCoordinator(g, 0, nil)
		time.Sleep(3 * time.Second)
		g.mu.Lock()
		is.True(g.switches >= g.d.Ranks) // a map is in force
		is.Equal(g.mixed, "")
		g.mu.Unlock()
		kill()
		stop()
		time.Sleep(time.Second)
	})
}

// Guards against an undo by the coordinator that completed the switch: a group
// that goes idle before the pass of the switch stays armed, and a release may
// still be on its way.
func TestIdleGroupKeepsItsSwitch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newFakeGroup(testDimensions, 1)
		ctx, stop := context.WithCancel(context.Background())
		go runPasses(ctx, g)
		kill := startCoordinator(g, 0, nil)
		armed := func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			for _, r := range g.ranks {
				if r.armed == nil || r.held != nil {
					return false
				}
			}
			return true
		}
		for !armed() {
			time.Sleep(time.Millisecond)
		}
		g.mu.Lock()
		g.idle = true
		g.mu.Unlock()
		time.Sleep(5 * time.Second)
		is.True(armed())
		g.mu.Lock()
		version := g.ranks[0].armed.Version
		g.idle = false
		g.mu.Unlock()
		time.Sleep(maxArmLead * testPass)
		g.mu.Lock()
		is.True(g.ranks[0].version >= version) // the switch happened
		is.Equal(g.mixed, "")
		g.mu.Unlock()
		kill()
		stop()
		time.Sleep(time.Second)
	})
}
