package gate

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Config configures a Gate.
type Config struct {
	Self wire.Node
	// EndpointAddr is the HTTP address (IP:port) of the endpoint.
	EndpointAddr string
	View         control.View
	OrderTable   *order.Table
	Clock        clockwork.Clock
	Log          logr.Logger
}

// Gate admits requests to one endpoint and runs them there.
type Gate struct {
	cfg         Config
	callClient  *http.Client // calls that may be retried
	orderClient *http.Client // orders, a new connection for each
	probeClient *http.Client // load reports and health checks

	mu                   sync.Mutex
	announcedIncarnation uint64 // as last seen in the snapshot of control
	limit                adaptiveLimit
	slotTimes            slotTimeEstimator
	queue                *fairQueue
	refused              *refusedSet
	activeRequests       map[attemptKey]*activeRequest
	slots                map[*slot]struct{}
	service              *bundle.Service // as last seen in the bundle
	admissionStopped     bool
	endpoint             endpointState
	servedCost           map[string]float64 // by organisation, since the start
	loadSeq              uint64
}

// New returns a gate. It admits nothing until Run has received a load report or,
// from an endpoint without load reports, a successful health check.
func New(cfg Config) *Gate {
	g := &Gate{
		cfg:            cfg,
		refused:        newRefusedSet(cfg.Clock),
		activeRequests: make(map[attemptKey]*activeRequest),
		slots:          make(map[*slot]struct{}),
		servedCost:     make(map[string]float64),
	}
	g.announcedIncarnation = cfg.Self.Incarnation
	g.queue = newFairQueue(g.weight)
	g.endpoint.minReportTime = cfg.Clock.Now()
	g.endpoint.unaccountedSince = cfg.Clock.Now()
	g.callClient, g.orderClient, g.probeClient = newClients((&net.Dialer{Timeout: dialTimeout}).DialContext)
	return g
}

// slot is the right to run one request at the endpoint. It is held from the
// grant to the end of the request.
type slot struct {
	org             string
	cost            float64 // expected token cost
	resumedCost     float64 // part of cost that another endpoint served
	limitGeneration uint64
	grantedAt       time.Time
	// grantedUnderLoad is set if at least half of the limit was in use at the
	// grant, including this slot.
	grantedUnderLoad bool
	// receivedAt is when the endpoint's response began, which shows that it
	// has the request; zero before.
	receivedAt time.Time
}

// requestResult describes how one request ended at the endpoint.
type requestResult struct {
	servedCost     float64       // token cost
	firstTokenTime time.Duration // 0 if no token arrived
	succeeded      bool          // a complete response with a status below 500
	// mayStillRun is set if the endpoint may still be working on the request.
	mayStillRun bool
	// gapsMeasured is set if the token gaps were recorded while the tokens arrived.
	gapsMeasured bool
	// cancelConfirmed is set if the gate stopped the request and the endpoint has
	// confirmed it. Such an end says nothing about the state of the endpoint.
	cancelConfirmed bool
	// unsent is set if no byte of the request was sent.
	unsent    bool
	endReason string       // of the end frame
	refusal   *api.Refusal // nil after a complete response, or one that was cancelled
}

// weight returns an organisation's share weight. An organisation without an
// agreed share gets a thousandth of the total, so that it is served only from
// what others leave unused.
func (g *Gate) weight(org string) float64 {
	const noShare = 0.001
	if g.service == nil {
		return 1
	}
	if w := g.service.Shares[org]; w > 0 {
		return w
	}
	total := 0.0
	for _, w := range g.service.Shares {
		total += max(w, 0)
	}
	if total == 0 {
		return 1
	}
	return total * noShare
}

// maxCost bounds the token cost of one request, so that the virtual times of
// the fair queue stay finite.
const maxCost = 1e9

// admit queues the request until it gets a slot. It returns a refusal if the
// gate takes no new work, the queue is full, or ctx ends first.
func (g *Gate) admit(ctx context.Context, req *wire.ExecuteRequest) (*slot, *api.Refusal) {
	w := &waiter{org: req.Organisation, priority: req.Priority, cost: min(max(req.Cost, 1), maxCost), decided: make(chan struct{}), isOrder: req.NonIdempotent}
	w.deadline, _ = ctx.Deadline()
	if req.Generate != nil {
		w.resumedCost = float64(req.Generate.ResumeFrom)
	}
	if r := g.enqueue(w); r != nil {
		return nil, r
	}
	select {
	case <-w.decided:
		return w.slot, w.refusal
	case <-ctx.Done():
	}
	g.mu.Lock()
	removed := g.queue.remove(w)
	g.mu.Unlock()
	if removed {
		return nil, endedWhileQueued(ctx)
	}
	<-w.decided
	return w.slot, w.refusal
}

// enqueue queues w. It returns a refusal if w itself is refused on arrival; when
// the queue is full, another request may be evicted instead.
func (g *Gate) enqueue(w *waiter) *api.Refusal {
	snap := g.cfg.View.Snapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.checkArrival(snap); r != nil {
		return r
	}
	g.applyBundle(snap)
	g.queue.push(w)
	g.shed(w)
	g.grantSlots()
	if g.queue.length <= g.service.QueueLimit {
		return nil
	}
	evicted := g.queue.evict(w.org)
	r := g.queueFull(evicted)
	if evicted == w {
		return r
	}
	evicted.refusal = r
	close(evicted.decided)
	return nil
}

func (g *Gate) queueFull(evicted *waiter) *api.Refusal {
	const retryAfterMS = 200
	kind, message := api.KindOverloaded, "the endpoint's queue is full"
	if len(g.queue.flows[evicted.org].heap) < g.queue.length {
		kind, message = api.KindOverShare, "the endpoint's queue is full and the organisation's part of it is the longest"
	}
	r := api.NotRun(kind, message, "send fewer requests at a time, or retry later")
	r.RetryAfterMS = retryAfterMS
	return r
}

// applyBundle takes the limits and shares from the bundle in force.
func (g *Gate) applyBundle(snap *control.Snapshot) {
	svc := snap.Services[g.cfg.Self.Service]
	if svc == nil {
		return
	}
	g.service = svc
	g.limit.setBounds(svc.ColdLimit, svc.WarmLimit)
}

// grantSlots grants free slots to queued requests. Requests at the endpoint
// that hold no slot count against the limit as well.
func (g *Gate) grantSlots() {
	for g.endpoint.ready && len(g.slots)+g.endpoint.unaccounted < g.limit.current {
		w := g.queue.pop()
		if w == nil {
			return
		}
		w.slot = &slot{org: w.org, cost: w.cost, resumedCost: w.resumedCost, limitGeneration: g.limit.generation, grantedAt: g.cfg.Clock.Now()}
		w.slot.grantedUnderLoad = 2*(len(g.slots)+1) >= g.limit.current
		g.slots[w.slot] = struct{}{}
		close(w.decided)
	}
}

// markReceived records that the endpoint has the request.
func (g *Gate) markReceived(s *slot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.receivedAt = g.cfg.Clock.Now()
}

// releaseSlot frees the slot and records the cost and the result of the request.
func (g *Gate) releaseSlot(s *slot, res requestResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.slots, s)
	g.queue.settleCost(s.org, s.cost, res.servedCost)
	if res.servedCost > 0 {
		g.servedCost[s.org] += res.servedCost
	}
	switch {
	case res.mayStillRun:
		g.limit.resetSuccesses()
		g.addUnaccounted()
	case res.succeeded:
		g.recordTimings(s, res)
		if reason := g.limit.recordSuccess(s.limitGeneration, firstTokenUnderLoad(s, res)); reason != "" {
			g.cfg.Log.Info("limit changed", "limit", g.limit.current, "reason", reason)
		}
	case !res.unsent && !res.cancelConfirmed:
		g.limit.resetSuccesses()
	}
	g.shed(nil)
	g.grantSlots()
}

// firstTokenUnderLoad returns the first-token time if at least half of the limit
// was in use, else 0. With a baseline measured at a nearly idle endpoint, a busy
// one looks cold: at an offered load of twice the capacity, warm endpoints fell
// back to the cold limit and goodput dropped to 0.36.
func firstTokenUnderLoad(s *slot, res requestResult) time.Duration {
	if !s.grantedUnderLoad {
		return 0
	}
	return res.firstTokenTime
}

// Load returns the load report of the endpoint. It implements control.LoadSource.
func (g *Gate) Load() wire.Load {
	epoch := g.cfg.OrderTable.AgentEpoch()
	incarnation := g.incarnation(g.cfg.View.Snapshot())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loadSeq++
	l := wire.Load{
		NodeID:      g.cfg.Self.ID,
		Incarnation: incarnation,
		Seq:         g.loadSeq,
		InFlight:    len(g.slots) + g.endpoint.unaccounted,
		Queued:      g.queue.length,
		Cold:        g.limit.isCold(),
		OrderEpoch:  epoch,
		Served:      make(map[string]float64, len(g.servedCost)),
	}
	if g.endpoint.ready {
		l.Limit = g.limit.current
	}
	for org, cost := range g.servedCost {
		l.Served[org] = cost
	}
	return l
}
