package rankgroup

import (
	"context"
	"errors"
	"sync"
	"time"
)

// This file implements the rollout of a plan to the ranks: the copies, the switch, and
// then the next plan.

const (
	// prepareRetryInterval is the time after which Prepare is sent again to a rank that
	// hasn't copied the map.
	prepareRetryInterval = time.Second
	// prepareTimeout is the time after which a map that some rank hasn't copied is
	// dropped.
	prepareTimeout = 6 * time.Second
	// maxHoldAttempts bounds the steps that are tried in a row for one switch. A Hold
	// reaches the engine of the rank that holds steps within a few ms, so a step seldom
	// begins before it.
	maxHoldAttempts = 2
	// switchAttemptTimeout bounds one attempt at a switch; the next round continues it.
	switchAttemptTimeout = 400 * time.Millisecond
)

// prepare has the ranks copy the planned map, and begins the switch once all ranks
// have copied it.
func (c *Coordinator) prepare(ctx context.Context, reports []Report) error {
	now := time.Now()
	if now.Sub(c.plannedAt) > prepareTimeout {
		c.incCounter("wasabinotch_maps_dropped_total")
		c.cfg.Log.Info("Map dropped; it was not ready in time.", "version", c.plannedVersion)
		c.nextPlan = nil
		return nil
	}
	ready := true
	due := make([]bool, len(reports))
	for r, rep := range reports {
		if rep.PreparedVersion == c.plannedVersion {
			continue
		}
		ready = false
		if now.Sub(c.prepareSentAt[r]) >= prepareRetryInterval {
			due[r], c.prepareSentAt[r] = true, now
		}
	}
	if !ready {
		if err := c.sendPrepare(ctx, due); err != nil || c.nextPlan == nil {
			return err
		}
		c.awaitPrepared()
		return nil
	}
	return c.beginSwitch(ctx)
}

// awaitPrepared waits in the background until all ranks have copied the planned map,
// while rounds continue to follow the demand.
func (c *Coordinator) awaitPrepared() {
	if c.awaitedVersion == c.plannedVersion {
		return
	}
	c.awaitedVersion = c.plannedVersion
	version := c.plannedVersion
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeBudget+c.groupTimeout())
	errs := make([]error, len(c.cfg.Engines))
	for r, e := range c.cfg.Engines {
		wg.Go(func() { errs[r] = e.AwaitPrepared(ctx, version) })
	}
	go func() {
		wg.Wait()
		cancel()
		// After a failure, the reports of later rounds show when the copies are complete.
		if errors.Join(errs...) == nil {
			select {
			case c.copied <- version:
			default:
			}
		}
	}()
}

// Wait returns when the next round is due: at a tick, or as soon as a planned map is
// copied.
func (c *Coordinator) Wait(ctx context.Context, tick <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-tick:
	case c.copiedVersion = <-c.copied:
	}
}

// beginSwitch switches at the step after the next one. The next step may be held by a
// coordinator that is rolling back a switch; its Release would also end a hold of the
// same step by this coordinator. If the chosen step begins before it is held, a later
// one is tried.
func (c *Coordinator) beginSwitch(ctx context.Context) error {
	if time.Since(c.lastStepAt) > idleTimeout {
		return nil // nothing runs; a switch would wait for the next requests
	}
	for range maxHoldAttempts {
		local, err := c.cfg.Engines[c.cfg.LocalRank].Report(ctx)
		if err != nil || local.Epoch != c.epoch {
			return err
		}
		at := c.cfg.Engines[holderOf(c.cfg.LocalRank, len(c.cfg.Engines))]
		holder, err := at.Report(ctx)
		if err != nil || holder.Epoch != c.epoch {
			return nil
		}
		if isDirect(at) {
			// Its reports lag, so that another coordinator's hold may not show.
			c.limitedLog.Info("No switch; the agent of the rank that would hold the step is silent.", "rank", holder.Rank)
			return nil
		}
		if local.HeldStep != nil || local.Armed != nil || holder.HeldStep != nil || holder.Armed != nil {
			return nil // another coordinator is active; the next round checks its progress
		}
		if local.Step+1 < c.releasedStep {
			return nil // a step further ahead might be held by a successor too, see foreignReleaseSteps
		}
		step := local.Step + 2
		c.pendingSwitch = NewSwitch(c.cfg.Engines, c.epoch, c.plannedVersion, step, c.cfg.LocalRank, c.currentMap, c.nextVersion)
		c.pendingSwitch.describeFence(c.currentVersion, c.cfg.Experts)
		if err := c.advance(ctx); err != nil || c.pendingSwitch != nil {
			return err
		}
		if c.nextPlan == nil {
			return c.planAgain(ctx)
		}
	}
	return nil
}

// awaitStep waits for the step of the last switch and reports whether it began. Until
// then, ranks are armed and accept no other map.
func (c *Coordinator) awaitStep(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	formed := false
	err := awaitReport(ctx, c.cfg.Engines[c.cfg.LocalRank], func(local Report) bool {
		formed = local.Epoch != c.epoch
		return formed || local.Step >= c.releasedStep
	})
	return err == nil && !formed
}

// planAgain plans right after a switch if the demand was updated while copies were
// awaited: following a shift of demand takes several small plans, and each round of
// waiting delays them.
func (c *Coordinator) planAgain(ctx context.Context) error {
	if c.currentMap == nil || !c.awaitStep(ctx) {
		return nil // rolled back, or the group is idle
	}
	if c.planCopies(); c.nextPlan == nil {
		return nil
	}
	return c.prepare(ctx, make([]Report, len(c.cfg.Engines))) // no rank has the plan yet
}

// sendPrepare sends Prepare to the ranks for which it is due.
func (c *Coordinator) sendPrepare(ctx context.Context, due []bool) error {
	ctx, cancel := context.WithTimeout(ctx, c.groupTimeout())
	defer cancel()
	if err := c.nextPlan.Map.Pack(); err != nil {
		return err
	}
	delta, err := NewMapDelta(c.nextPlan.Map, c.currentMap, c.currentVersion, c.cfg.Experts)
	if err != nil {
		return err
	}
	results := make([]Result, len(due))
	var wg sync.WaitGroup
	for r := range due {
		if !due[r] {
			continue
		}
		wg.Go(func() {
			// An error comes with the result NoReply, after which Prepare is sent again.
			results[r], _ = c.cfg.Engines[r].Send(ctx, Command{Operation: Prepare, Epoch: c.epoch, Version: c.plannedVersion, Owner: c.cfg.LocalRank + 1, Map: c.nextPlan.Map, Delta: delta})
		})
	}
	wg.Wait()
	for r := range due {
		switch {
		case !due[r]:
		case results[r] == Superseded:
			return ErrSuperseded
		case results[r] == Refused:
			c.incCounter("wasabinotch_maps_dropped_total")
			c.cfg.Log.Info("Map dropped; a rank refused it.", "version", c.plannedVersion, "rank", r)
			c.nextPlan = nil
			return nil
		case results[r] == NoReply:
			c.prepareSentAt[r] = time.Time{} // sent again in the next round
		}
	}
	return nil
}

// advance continues the pending switch.
func (c *Coordinator) advance(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, switchAttemptTimeout)
	defer cancel()
	began := time.Now()
	done, err := c.pendingSwitch.Advance(ctx)
	if !done || err != nil {
		return err
	}
	s := c.pendingSwitch
	c.pendingSwitch = nil
	c.releasedStep = max(c.releasedStep, s.step)
	c.incCounter(`wasabinotch_map_switches_total{outcome="` + s.outcome() + `"}`)
	if s.StepMissed {
		return nil // the copies are complete; the next round tries a later step
	}
	plan := c.nextPlan
	c.nextPlan = nil
	c.cfg.Log.Info("Switch ended.", "version", s.version, "step", s.step, "undone", s.RolledBack, "ms", time.Since(began).Milliseconds())
	if s.RolledBack {
		// The next round reads the map in force from the ranks.
		c.currentMap = nil
		return nil
	}
	c.currentMap, c.currentVersion = plan.Map, s.version
	return nil
}
