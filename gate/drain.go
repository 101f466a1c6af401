package gate

import (
	"context"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
)

const (
	// drainPoll is the interval at which a drain looks for the end of work.
	drainPoll = 20 * time.Millisecond
	// leaveQueueAfter is how long queued requests that may run elsewhere still
	// wait here once the agent leaves.
	leaveQueueAfter = 2 * time.Second
)

// EndpointReady reports whether the endpoint may get work.
func (g *Gate) EndpointReady() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endpoint.ready
}

// StopAdmitting refuses new work from now on. Queued and running requests go on.
func (g *Gate) StopAdmitting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// Drain leaves and returns when no request is queued or running, or when ctx ends.
func (g *Gate) Drain(ctx context.Context) error {
	g.StopAdmitting()
	start := g.cfg.Clock.Now()
	ticker := g.cfg.Clock.NewTicker(drainPoll)
	defer ticker.Stop()
	for !g.idle() {
		if g.cfg.Clock.Since(start) > leaveQueueAfter {
			g.refuseQueued(false, api.NotRun(api.KindLeaving, "the agent is leaving", useOther))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
	return nil
}

// idle reports whether nothing is queued or running. The table is asked too,
// since an order is in it before it is queued.
func (g *Gate) idle() bool {
	busy := g.cfg.OrderTable.Busy()
	g.mu.Lock()
	defer g.mu.Unlock()
	return busy == 0 && len(g.active) == 0 && len(g.slots) == 0
}

// refuseQueued refuses the queued requests. Orders are left out unless all is
// set, since an issued identity can run at no other agent.
func (g *Gate) refuseQueued(all bool, r *api.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.queue.waiting() {
		if w.order && !all {
			continue
		}
		g.queue.remove(w)
		w.refusal = r
		close(w.ready)
	}
}

// sweep refuses queued work that this gate will not hand over soon, so that
// entries can send it elsewhere.
func (g *Gate) sweep() {
	if r := g.checkView(g.cfg.View.Snapshot()); r != nil && r.Kind == api.KindZoneOut {
		g.refuseQueued(true, r)
		return
	}
	g.mu.Lock()
	ready, why := g.endpoint.ready, g.endpoint.why()
	g.mu.Unlock()
	if !ready {
		g.refuseQueued(false, api.NotRun(api.KindNoEndpoint, why, useOther))
	}
}
