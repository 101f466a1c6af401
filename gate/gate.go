package gate

import (
	"context"
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
	cfg    Config
	client *http.Client // calls that may be repeated
	orders *http.Client // orders, one connection each
	probe  *http.Client // load and health

	mu       sync.Mutex
	current  uint64 // incarnation announced by control
	limit    limit
	pace     pace
	queue    *fairQueue
	closed   *closedSet
	active   map[activeKey]*running
	slots    map[*slot]struct{}
	service  *bundle.Service // as last seen in the bundle
	leaving  bool
	endpoint endpointState
	served   map[string]float64
	loadSeq  uint64
}

// New returns a gate. It admits nothing until Run has seen a load report.
func New(cfg Config) *Gate {
	g := &Gate{
		cfg:    cfg,
		closed: newClosedSet(cfg.Clock),
		active: make(map[activeKey]*running),
		slots:  make(map[*slot]struct{}),
		served: make(map[string]float64),
	}
	g.current = cfg.Self.Incarnation
	g.queue = newFairQueue(g.weight)
	g.endpoint.notBefore = cfg.Clock.Now()
	g.endpoint.foreignSince = cfg.Clock.Now()
	g.client, g.orders, g.probe = newClients()
	return g
}

// slot is one place at the endpoint, held from the grant to the end of the request.
type slot struct {
	org        string
	cost       float64
	resumed    float64 // part of cost that was served elsewhere
	generation uint64
	since      time.Time // of the grant
	// crowded means that at least half of the limit was in use at the grant.
	crowded bool
	// takenAt is when the endpoint certainly had the request; zero before.
	takenAt time.Time
}

// result is the end of one request at the endpoint.
type result struct {
	served     float64       // token cost
	firstToken time.Duration // 0 if there was none
	good       bool          // a whole answer that is no server error
	// abandoned means that the endpoint may still be working on the request.
	abandoned bool
	// stepped means that the pace was measured during the answer.
	stepped bool
	// stopped means that the request was ended from this side and that the
	// endpoint has confirmed it, which says nothing about the endpoint.
	stopped bool
	// unsent means that no byte of the request was sent.
	unsent  bool
	reason  string       // of the end frame
	refusal *api.Refusal // set if there is no whole answer
}

// weight returns an organisation's share weight. One without an agreed share
// gets a thousandth of the total, so that it is served from unused share only.
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

// maxCost bounds the token cost of one request, so that virtual times stay finite.
const maxCost = 1e9

// admit queues the request until it gets a slot. It returns a refusal if the
// gate takes no new work, the queue has no room, or ctx ends first.
func (g *Gate) admit(ctx context.Context, req *wire.ExecuteRequest) (*slot, *api.Refusal) {
	w := &waiter{org: req.Organisation, priority: req.Priority, cost: min(max(req.Cost, 1), maxCost), ready: make(chan struct{}), order: req.NonIdempotent}
	w.deadline, _ = ctx.Deadline()
	if req.Generate != nil {
		w.resumed = float64(req.Generate.ResumeFrom)
	}
	if r := g.enqueue(w); r != nil {
		return nil, r
	}
	select {
	case <-w.ready:
		return w.slot, w.refusal
	case <-ctx.Done():
	}
	g.mu.Lock()
	removed := g.queue.remove(w)
	g.mu.Unlock()
	if removed {
		return nil, endedWhileQueued(ctx)
	}
	<-w.ready
	return w.slot, w.refusal
}

func (g *Gate) enqueue(w *waiter) *api.Refusal {
	snap := g.cfg.View.Snapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.checkArrival(snap); r != nil {
		return r
	}
	g.configure(snap)
	g.queue.push(w)
	g.shed(w)
	g.dispatch()
	if g.queue.length <= g.service.QueueLimit {
		return nil
	}
	evicted := g.queue.evict(w.org)
	r := g.queueFull(evicted)
	if evicted == w {
		return r
	}
	evicted.refusal = r
	close(evicted.ready)
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

// configure takes limits and shares from the bundle.
func (g *Gate) configure(snap *control.Snapshot) {
	svc := snap.Services[g.cfg.Self.Service]
	if svc == nil {
		return
	}
	g.service = svc
	g.limit.configure(svc.ColdLimit, svc.WarmLimit)
}

// dispatch grants free slots to queued requests. Work that is left at the
// endpoint from before counts against the limit.
func (g *Gate) dispatch() {
	for g.endpoint.ready && len(g.slots)+g.endpoint.foreign < g.limit.current {
		w := g.queue.pop()
		if w == nil {
			return
		}
		w.slot = &slot{org: w.org, cost: w.cost, resumed: w.resumed, generation: g.limit.generation, since: g.cfg.Clock.Now()}
		w.slot.crowded = 2*(len(g.slots)+1) >= g.limit.current
		g.slots[w.slot] = struct{}{}
		close(w.ready)
	}
}

// taken records that the endpoint has the request.
func (g *Gate) taken(s *slot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.takenAt = g.cfg.Clock.Now()
}

// release frees the slot and accounts for the request.
func (g *Gate) release(s *slot, res result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.slots, s)
	g.queue.settle(s.org, s.cost, res.served)
	if res.served > 0 {
		g.served[s.org] += res.served
	}
	switch {
	case res.abandoned:
		g.limit.bad()
		g.leaveBehind()
	case res.good:
		g.measure(s, res)
		if reason := g.limit.completed(s.generation, busyFirstToken(s, res)); reason != "" {
			g.cfg.Log.Info("limit changed", "limit", g.limit.current, "reason", reason)
		}
	case !res.unsent && !res.stopped:
		g.limit.bad()
	}
	g.shed(nil)
	g.dispatch()
}

// busyFirstToken returns the first-token time if the endpoint was busy, else 0. A
// baseline from a nearly idle endpoint lets a busy one look cold: in a
// measurement at twice the capacity, warm endpoints fell to the cold limit and
// goodput to 0.36.
func busyFirstToken(s *slot, res result) time.Duration {
	if !s.crowded {
		return 0
	}
	return res.firstToken
}

// Load returns the load report of the endpoint. It implements control.LoadSource.
func (g *Gate) Load() wire.Load {
	epoch := g.cfg.OrderTable.Epoch()
	incarnation := g.incarnation(g.cfg.View.Snapshot())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loadSeq++
	l := wire.Load{
		NodeID:      g.cfg.Self.ID,
		Incarnation: incarnation,
		Seq:         g.loadSeq,
		InFlight:    len(g.slots) + g.endpoint.foreign,
		Queued:      g.queue.length,
		Cold:        g.limit.isCold(),
		OrderEpoch:  epoch,
		Served:      make(map[string]float64, len(g.served)),
	}
	if g.endpoint.ready {
		l.Limit = g.limit.current
	}
	for org, cost := range g.served {
		l.Served[org] = cost
	}
	return l
}
