package rankgroup

import (
	"context"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// waitingEngine is a rank whose group begins no step. It accepts all commands and records the
// steps that it is to hold.
type waitingEngine struct {
	Engine
	report Report
	mu     *sync.Mutex
	held   *[]uint64
}

func (e *waitingEngine) Report(context.Context) (Report, error) { return e.report, nil }

func (e *waitingEngine) Send(_ context.Context, c Command) (Result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Operation == Hold {
		*e.held = append(*e.held, c.Step)
	}
	return Accepted, nil
}

func newWaitingGroup(ranks int, step uint64) (c *Coordinator, reports []Report, engines []*waitingEngine) {
	engines = make([]*waitingEngine, ranks)
	reports = make([]Report, ranks)
	all := make([]Engine, ranks)
	mu, held := new(sync.Mutex), new([]uint64)
	for r := range engines {
		reports[r] = Report{Group: "g", Rank: r, Size: ranks, Epoch: 1, Open: true, Step: step}
		engines[r] = &waitingEngine{report: reports[r], mu: mu, held: held}
		all[r] = engines[r]
	}
	d := Dimensions{Ranks: ranks, Sets: 1, Experts: 4, ExpertSlots: 4, SpareSlots: 1}
	return NewCoordinator(Config{Dimensions: d, Engines: all, Log: logr.Discard(), Metrics: metrics.NewSet()}), reports, engines
}

// Guards against a new coordinator that holds a step for which its predecessor beside the
// same rank may have sent a Release that is carried out late: the hold would end while ranks
// are being armed. A coordinator that starts at the step of the reports holds no step before
// the one after the next foreignReleaseSteps, so none may be held further ahead.
func TestNoStepIsHeldThatASuccessorMayHold(t *testing.T) {
	is := is.New(t)
	const step = 7
	c, reports, engines := newWaitingGroup(4, step)
	is.True(c.updateFormation(reports))
	c.currentMap = InitialMap(c.cfg.Dimensions)
	c.nextPlan, c.plannedVersion = &Plan{Map: InitialMap(c.cfg.Dimensions)}, 9
	is.NoErr(c.beginSwitch(t.Context()))
	for _, held := range *engines[0].held {
		is.True(held <= step+foreignReleaseSteps) // no step has begun since
	}
	for r := range engines {
		engines[r].report.Step++
	}
	is.NoErr(c.beginSwitch(t.Context()))
	is.Equal(*engines[0].held, []uint64{step + 1 + foreignReleaseSteps}) // the group runs
}

// Guards against a new coordinator that drops its rollback when the rank that it missed
// replies again: its Holds and Releases were forgotten.
func TestRollbackGoesOnWhenTheMissingRankReplies(t *testing.T) {
	is := is.New(t)
	const step, version = 7, 5
	c, reports, _ := newWaitingGroup(4, step)
	next := uint64(step + 1 + foreignReleaseSteps)
	for r := range reports {
		reports[r].PreparedVersion, reports[r].PreparedOwner = version, 1
	}
	reports[holderOf(0, 4)].HeldStep = &next
	c.rollBackWithout(0, reports)
	rollback := c.pendingSwitch
	is.True(rollback != nil)
	is.True(c.updateFormation(reports))
	is.Equal(c.pendingSwitch, rollback)
	c.pendingSwitch = nil // it has ended
	c.releasedStep = max(c.releasedStep, next)
	is.True(c.updateFormation(reports))
	is.Equal(c.releasedStep, next) // and its step isn't held again
}
