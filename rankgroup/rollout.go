package rankgroup

import (
	"context"
	"errors"
	"sync"
	"time"
)

// This file takes a plan from the coordinator to the ranks: copies, then a
// switch, then the next plan.

const (
	// prepareAgain is when an unanswered or unfinished copy is ordered again.
	prepareAgain = time.Second
	// prepareGiveUp is when a map that isn't ready everywhere is dropped.
	prepareGiveUp = 6 * time.Second
	// holdAttempts bounds the passes that are tried in a row for one switch. A
	// hold reaches the coordinator's own rank within a few ms, so a pass seldom
	// begins before it.
	holdAttempts = 2
	// switchTime bounds one attempt at a switch; it goes on in the next round.
	switchTime = 400 * time.Millisecond
)

// prepare has the plan copied, and switches once it is ready on all ranks.
func (c *Coordinator) prepare(ctx context.Context, reports []Report) error {
	now := time.Now()
	if now.Sub(c.nextSince) > prepareGiveUp {
		c.count("wasabinotch_maps_dropped_total")
		c.cfg.Log.Info("Map dropped; it was not ready in time.", "version", c.preparing)
		c.next = nil
		return nil
	}
	ready := true
	due := make([]bool, len(reports))
	for r, rep := range reports {
		if rep.PreparedVersion == c.preparing {
			continue
		}
		ready = false
		if now.Sub(c.orderedAt[r]) >= prepareAgain {
			due[r], c.orderedAt[r] = true, now
		}
	}
	if !ready {
		if err := c.orderPrepare(ctx, due); err != nil || c.next == nil {
			return err
		}
		c.awaitPrepared()
		return nil
	}
	return c.beginSwitch(ctx)
}

// awaitPrepared begins to wait until all ranks have copied the plan, while the
// rounds go on to follow demand.
func (c *Coordinator) awaitPrepared() {
	if c.awaited == c.preparing {
		return
	}
	c.awaited = c.preparing
	version := c.preparing
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), copyBudget+pollTimeout)
	errs := make([]error, len(c.cfg.Engines))
	for r, e := range c.cfg.Engines {
		wg.Go(func() { errs[r] = e.AwaitPrepared(ctx, version) })
	}
	go func() {
		wg.Wait()
		cancel()
		// After a failure the reports of later rounds tell.
		if errors.Join(errs...) == nil {
			select {
			case c.copied <- version:
			default:
			}
		}
	}()
}

// Wait returns when the next round is due: at a tick, or as soon as a plan is
// copied.
func (c *Coordinator) Wait(ctx context.Context, tick <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-tick:
	case c.ready = <-c.copied:
	}
}

// beginSwitch switches at the pass after the next. The next one may be held by a
// coordinator that is undoing a switch; its release would end a hold of this one
// too. If the pass begins before it is held, the one after it is tried.
func (c *Coordinator) beginSwitch(ctx context.Context) error {
	if time.Since(c.stepAt) > idleTime {
		return nil // nothing runs; a switch would wait for the next requests
	}
	for range holdAttempts {
		home, err := c.cfg.Engines[c.cfg.LocalRank].Report(ctx)
		if err != nil || home.Epoch != c.epoch {
			return err
		}
		if home.HeldStep != nil || home.Armed != nil {
			return nil // another coordinator is at work; the next round sees how far it is
		}
		step := max(home.Step+1, c.released) + 1
		c.pending = NewSwitch(c.cfg.Engines, c.epoch, c.preparing, step, c.cfg.LocalRank, c.current, c.nextVersion)
		if err := c.advance(ctx); err != nil || c.pending != nil {
			return err
		}
		if c.next == nil {
			return c.planAgain(ctx)
		}
	}
	return nil
}

// awaitPass waits for the pass of the last switch. Until it begins, ranks are
// armed and take no other map.
func (c *Coordinator) awaitPass(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	formed := false
	err := awaitReport(ctx, c.cfg.Engines[c.cfg.LocalRank], func(home Report) bool {
		formed = home.Epoch != c.epoch
		return formed || home.Step >= c.released
	})
	return err == nil && !formed
}

// planAgain plans right after a switch, if demand was read while its copies were
// awaited: a shift takes a few small plans, and each round of waiting counts.
func (c *Coordinator) planAgain(ctx context.Context) error {
	if c.current == nil || !c.awaitPass(ctx) {
		return nil // undone, or the group went idle
	}
	if c.plan(); c.next == nil {
		return nil
	}
	return c.prepare(ctx, make([]Report, len(c.cfg.Engines))) // no rank has the plan yet
}

// orderPrepare orders the ranks whose turn is now to copy.
func (c *Coordinator) orderPrepare(ctx context.Context, due []bool) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if err := c.next.Map.Pack(); err != nil {
		return err
	}
	results := make([]Result, len(due))
	var wg sync.WaitGroup
	for r := range due {
		if !due[r] {
			continue
		}
		wg.Go(func() {
			// An error comes with Unanswered, for which the order is given again.
			results[r], _ = c.cfg.Engines[r].Send(ctx, Command{Operation: Prepare, Epoch: c.epoch, Version: c.preparing, Map: c.next.Map})
		})
	}
	wg.Wait()
	for r := range due {
		switch {
		case !due[r]:
		case results[r] == Superseded:
			return ErrSuperseded
		case results[r] == Refused:
			c.count("wasabinotch_maps_dropped_total")
			c.cfg.Log.Info("Map dropped; a rank refused it.", "version", c.preparing, "rank", r)
			c.next = nil
			return nil
		case results[r] == Unanswered:
			c.orderedAt[r] = time.Time{} // ordered again in the next round
		}
	}
	return nil
}

// advance goes on with the switch under way.
func (c *Coordinator) advance(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, switchTime)
	defer cancel()
	began := time.Now()
	done, err := c.pending.Advance(ctx)
	if !done || err != nil {
		return err
	}
	s := c.pending
	c.pending = nil
	c.released = max(c.released, s.step)
	c.count(`wasabinotch_map_switches_total{outcome="` + s.outcome() + `"}`)
	if s.StepMissed {
		return nil // the copies are there; the next round tries a later pass
	}
	plan := c.next
	c.next = nil
	c.cfg.Log.Info("Switch ended.", "version", s.version, "step", s.step, "undone", s.RolledBack, "ms", time.Since(began).Milliseconds())
	if s.RolledBack {
		// What is in force is read again.
		c.current = nil
		return nil
	}
	c.current, c.inForce = plan.Map, s.version
	return nil
}
