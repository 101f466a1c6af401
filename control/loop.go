package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/membership"
	"github.com/wasabinotch/wasabinotch/peer"
	"github.com/wasabinotch/wasabinotch/store"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Intervals of the loop.
const (
	tickInterval   = 50 * time.Millisecond
	gossipInterval = time.Second
	// publishInterval bounds how often load reports cause a new snapshot.
	publishInterval = 50 * time.Millisecond
	// refreshInterval is the longest time between two snapshots.
	refreshInterval = time.Second
	// sweepInterval is the interval at which silent nodes are looked for.
	sweepInterval = 200 * time.Millisecond
	// jumpLimit is the gap between two ticks from which the process counts as
	// having been frozen.
	jumpLimit = time.Second
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// answerTimeout bounds the wait of a peer's call for the loop.
	answerTimeout = 2 * time.Second
	eventBuffer   = 1024
)

// Config holds what a Loop needs.
type Config struct {
	Self wire.Node
	// Members and Threshold verify bundles.
	Members   []bundle.Key
	Threshold int
	// Seeds are RPC addresses of some entries.
	Seeds []string
	// Store is nil on agents.
	Store store.Store
	Pool  *peer.Pool
	Clock clockwork.Clock
	Log   logr.Logger
	// Load is nil on entries.
	Load LoadSource
	// VMListAddr is the address of the platform's VM list; "" for none.
	VMListAddr string
}

// event is one input of the loop; apply runs on the loop's goroutine.
type event interface {
	apply(l *Loop)
}

// Loop owns the control state of one node. All fields below the channels
// belong to the goroutine of Run.
type Loop struct {
	cfg    Config
	clock  clockwork.Clock
	log    logr.Logger
	snap   atomic.Pointer[Snapshot]
	events chan event
	done   chan struct{}
	ctx    context.Context // of Run, for calls started by events
	calls  sync.WaitGroup

	self       wire.Node
	selfChange uint64     // update counter of the table at the last change of self
	wanted     wire.State // requested through SetState
	table      *membership.Table

	signed      *bundle.Signed
	signedRaw   []byte
	digest      string
	intents     bundle.Intents
	intentsRaw  []byte
	intentsHash uint64
	zonesOut    map[string]bool
	vmsOut      map[string]bool
	inSince     map[string]time.Time // by intent key

	confirm confirmation
	gossip  gossip
	reports reports
	stores  storeState
	vms     vmList

	endpoints map[string]*Endpoint   // agents that report to this node
	configs   map[string]wire.Config // last configuration state heard by node ID
	fetch     fetchState

	started       time.Time
	lastTick      time.Time
	lastSweep     time.Time
	alive         int // endpoints heard within endpointAlive at the last sweep
	lastHeartbeat time.Time
	publishNow    bool
	publishLater  bool
	lastPublish   time.Time
	redraws       []time.Time
	duplicateLog  time.Time
}

// New returns a loop; Run starts it.
func New(cfg Config) *Loop {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	l := &Loop{
		cfg:       cfg,
		clock:     cfg.Clock,
		log:       cfg.Log.WithName("control"),
		events:    make(chan event, eventBuffer),
		done:      make(chan struct{}),
		ctx:       context.Background(),
		self:      cfg.Self,
		wanted:    wire.StateReady,
		table:     membership.NewTable(),
		intents:   bundle.Intents{Targets: map[string]bundle.Intent{}},
		inSince:   make(map[string]time.Time),
		endpoints: make(map[string]*Endpoint),
		configs:   make(map[string]wire.Config),
	}
	now := l.clock.Now()
	if l.self.Incarnation == 0 {
		l.self.Incarnation = membership.NewIncarnation(now, 0)
	}
	l.self.Seq, l.self.ContentSeq, l.selfChange = 1, 1, l.table.BumpCounter()
	l.self.State = wire.StateStarting
	l.confirm.zones = make(map[string]time.Time)
	l.gossip.peers = make(map[string]*peerCursor)
	l.reports.targets = make(map[string]*reportTarget)
	l.started, l.lastTick, l.lastHeartbeat = now, now, now
	l.publish(now)
	return l
}

// Run processes events until ctx is cancelled.
func (l *Loop) Run(ctx context.Context) error {
	if l.self.ID == "" || l.self.Zone == "" || len(l.cfg.Members) == 0 || l.cfg.Threshold < 1 {
		return trace.BadParameter("control: node ID, zone, members and threshold are required")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer l.calls.Wait()
	defer close(l.done)
	defer cancel()
	l.ctx = ctx
	if l.cfg.Store != nil {
		l.spawn(l.watchStore)
	}
	if l.cfg.VMListAddr != "" {
		l.spawn(l.pollVMs)
	}
	ticker := l.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.events:
			e.apply(l)
		case <-ticker.Chan():
			l.tick(l.clock.Now())
		}
		l.maybePublish()
	}
}

// spawn runs f beside the loop until the loop ends.
func (l *Loop) spawn(f func(ctx context.Context)) {
	ctx := l.ctx
	l.calls.Add(1)
	go func() {
		defer l.calls.Done()
		f(ctx)
	}()
}

// send passes an event to the loop; it reports false once the loop has ended.
func (l *Loop) send(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
		return false
	}
}

// ask sends an event and waits for its answer on the channel.
func ask[T any](ctx context.Context, l *Loop, e event, answer <-chan T) (T, error) {
	var zero T
	if !l.send(e) {
		return zero, trace.ConnectionProblem(nil, "the node is stopping; use another one")
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case v := <-answer:
		return v, nil
	case <-l.done:
		return zero, trace.ConnectionProblem(nil, "the node is stopping; use another one")
	case <-ctx.Done():
		return zero, trace.Wrap(ctx.Err())
	case <-timer.C:
		return zero, trace.ConnectionProblem(nil, "the node is too busy to answer; use another one")
	}
}

// call makes one call to a peer. The reply of a failed call is not read, since
// net/rpc may still be writing to it when a call has timed out.
func call[T any](ctx context.Context, p *peer.Pool, addr, method string, args any) (T, error) {
	reply := new(T)
	if err := p.Call(ctx, addr, method, args, reply); err != nil {
		var zero T
		return zero, err
	}
	return *reply, nil
}

func (l *Loop) isEntry() bool {
	return l.self.Role == wire.RoleEntry
}

// tick does the periodic work.
func (l *Loop) tick(now time.Time) {
	if gap := now.Sub(l.lastTick); gap > jumpLimit {
		l.log.Info("time jumped; the view is unconfirmed until the next confirmation", "gap_ms", gap.Milliseconds())
		l.confirm.reset(now)
		l.publishNow = true
	}
	l.lastTick = now
	if now.Sub(l.lastHeartbeat) >= l.heartbeatInterval() {
		l.lastHeartbeat = now
		l.self.Seq++
	}
	if now.Sub(l.lastSweep) >= sweepInterval {
		l.sweep(now)
	}
	if l.isEntry() {
		l.gossipTick(now)
	} else {
		l.reportTick(now)
	}
	if l.cfg.Store != nil {
		l.storeTick(now)
	}
}

func (l *Loop) heartbeatInterval() time.Duration {
	if !l.isEntry() {
		return membership.AgentHeartbeatInterval
	}
	_, entries := l.entryList()
	return membership.HeartbeatInterval(len(entries))
}

// sweep drops nodes that are gone and publishes changes that come with time:
// silent endpoints, and when nodes were last heard.
func (l *Loop) sweep(now time.Time) {
	l.lastSweep = now
	agentLimit := membership.RemoveAfter
	if _, entries := l.entryList(); len(entries) > reportTargets {
		agentLimit = membership.RemoveIndirectAfter
	}
	for _, n := range l.table.Expire(now, agentLimit) {
		l.log.Info("node removed: no heartbeat", "node", n.ID, "role", n.Role, "zone", n.Zone)
		l.forget(n)
	}
	alive := 0
	for _, e := range l.endpoints {
		if now.Sub(e.LastSeen) <= endpointAlive {
			alive++
		}
	}
	if alive != l.alive || now.Sub(l.lastPublish) >= refreshInterval {
		l.publishLater = true
	}
	l.alive = alive
}

func (l *Loop) forget(n wire.Node) {
	delete(l.endpoints, n.ID)
	delete(l.configs, n.ID)
	delete(l.gossip.peers, n.ID)
	if l.cfg.Pool != nil && n.RPCAddr != "" {
		l.cfg.Pool.Forget(n.RPCAddr)
	}
	l.publishNow = true
}

// selfChanged announces a change of the own record at once.
func (l *Loop) selfChanged() {
	l.self.Seq++
	l.self.ContentSeq = l.self.Seq
	l.selfChange = l.table.BumpCounter()
	l.publishNow = true
	l.reportAllNow()
}

// sleep waits for d or until ctx is cancelled.
func (l *Loop) sleep(ctx context.Context, d time.Duration) {
	t := l.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.Chan():
	}
}
