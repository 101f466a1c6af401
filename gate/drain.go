package gate

import (
	"context"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
)

const (
	// drainPollInterval is the interval at which Drain checks whether all work has ended.
	drainPollInterval = 20 * time.Millisecond
	// drainQueueTimeout is how long queued requests that may run at another
	// endpoint stay queued after a drain has begun.
	drainQueueTimeout = 2 * time.Second
)

// EndpointReady reports whether the endpoint is known to run and may get work.
func (g *Gate) EndpointReady() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endpoint.ready
}

// StopAdmitting refuses new work from now on. Queued and running requests continue.
func (g *Gate) StopAdmitting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admissionStopped = true
}

// Drain stops admitting requests and returns when none is queued or running.
// It returns the error of ctx if ctx ends first.
func (g *Gate) Drain(ctx context.Context) error {
	g.StopAdmitting()
	start := g.cfg.Clock.Now()
	ticker := g.cfg.Clock.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !g.idle() {
		if g.cfg.Clock.Since(start) > drainQueueTimeout {
			g.refuseQueued(false, api.NotRun(api.KindLeaving, "the agent is leaving", remedyOtherEndpoint))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
	return nil
}

// idle reports whether nothing is queued or running. The order table is checked as
// well, since an order is recorded there before it is queued.
func (g *Gate) idle() bool {
	busy := g.cfg.OrderTable.ActiveOrders()
	g.mu.Lock()
	defer g.mu.Unlock()
	return busy == 0 && len(g.activeRequests) == 0 && len(g.slots) == 0
}

// refuseQueued refuses the queued requests with r. Orders are refused only if
// includeOrders is set, since an issued identity can run at no other agent.
func (g *Gate) refuseQueued(includeOrders bool, r *api.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.queue.inArrivalOrder() {
		if w.isOrder && !includeOrders {
			continue
		}
		g.queue.remove(w)
		w.refusal = r
		close(w.decided)
	}
}

// refuseUnservable refuses queued requests that cannot be sent to the endpoint
// soon, so that entries can send them to other endpoints.
func (g *Gate) refuseUnservable() {
	if r := g.checkView(g.cfg.View.Snapshot()); r != nil && r.Kind == api.KindZoneOut {
		g.refuseQueued(true, r)
		return
	}
	g.mu.Lock()
	ready, why := g.endpoint.ready, g.endpoint.notReadyReason()
	g.mu.Unlock()
	if !ready {
		g.refuseQueued(false, api.NotRun(api.KindNoEndpoint, why, remedyOtherEndpoint))
	}
}
