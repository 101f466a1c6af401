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

// Intervals and limits of the loop.
const (
	tickInterval   = 50 * time.Millisecond
	gossipInterval = time.Second
	// minPublishInterval is the shortest time between two snapshots, apart from
	// those that are published at once. It limits the snapshots that frequent events,
	// such as load reports, cause.
	minPublishInterval = 50 * time.Millisecond
	// maxPublishInterval is the longest time between two snapshots.
	maxPublishInterval = time.Second
	// sweepInterval is the interval of checks for nodes that stopped reporting.
	sweepInterval = 200 * time.Millisecond
	// clockJumpThreshold is the time between two ticks above which the process
	// is assumed to have been suspended.
	clockJumpThreshold = time.Second
	// peerCallTimeout is the timeout of one call to a peer.
	peerCallTimeout = time.Second
	// loopReplyTimeout bounds how long a peer's call or a command waits for the
	// loop's reply.
	loopReplyTimeout = 2 * time.Second
	eventQueueSize   = 1024
)

// Config holds the settings and dependencies of a Loop.
type Config struct {
	Self wire.Node
	// A bundle is valid if at least Threshold of the Members have signed it.
	Members   []bundle.PublicKey
	Threshold int
	// Seeds are RPC addresses of some entries.
	Seeds []string
	// Store is nil on agents.
	Store store.Store
	Pool  *peer.Pool
	Clock clockwork.Clock
	Log   logr.Logger
	// Load returns the agent's load; nil on entries.
	Load LoadSource
	// VMListAddr is the host:port of the platform's VM list; "" for none.
	VMListAddr string
}

// event is an input of the loop. apply runs on the loop's goroutine.
type event interface {
	apply(l *Loop)
}

// Loop maintains the control state of one node. The fields from self on are used
// only by the goroutine of Run, except storeSync.watching, which is atomic.
type Loop struct {
	cfg      Config
	clock    clockwork.Clock
	log      logr.Logger
	snapshot atomic.Pointer[Snapshot]
	events   chan event
	done     chan struct{}
	ctx      context.Context // context of Run, for calls started by events
	calls    sync.WaitGroup

	self              wire.Node
	selfChangeCounter uint64     // update counter of the table at the last change of self
	requestedState    wire.State // requested through SetState
	table             *membership.Table

	signedBundle *bundle.Signed
	bundleRaw    []byte
	bundleDigest string
	intents      bundle.Intents
	intentsRaw   []byte
	intentsHash  uint64
	zonesOut     map[string]bool
	vmsOut       map[string]bool
	returnedAt   map[string]time.Time // last return to service, by intent key

	confirmation confirmation
	gossip       gossip
	reports      reports
	storeSync    storeState
	platformVMs  vmList

	endpoints   map[string]*Endpoint   // agents that report to this node
	peerConfigs map[string]wire.Config // last announced configuration state, by node ID
	fetch       fetchState

	started             time.Time
	lastTick            time.Time
	lastSweep           time.Time
	reportingEndpoints  int // endpoints seen within endpointTimeout, as of the last sweep
	lastHeartbeat       time.Time
	publishNow          bool // publish after the current event
	publishLater        bool // publish once minPublishInterval has passed since lastPublish
	lastPublish         time.Time
	newIncarnationTimes []time.Time // when incarnations were generated, within newIncarnationWindow
	duplicateIDLoggedAt time.Time
}

// New returns a Loop with a first snapshot. Run starts it.
func New(cfg Config) *Loop {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	l := &Loop{
		cfg:            cfg,
		clock:          cfg.Clock,
		log:            cfg.Log.WithName("control"),
		events:         make(chan event, eventQueueSize),
		done:           make(chan struct{}),
		ctx:            context.Background(),
		self:           cfg.Self,
		requestedState: wire.StateReady,
		table:          membership.NewTable(),
		intents:        bundle.Intents{Targets: map[string]bundle.Intent{}},
		returnedAt:     make(map[string]time.Time),
		endpoints:      make(map[string]*Endpoint),
		peerConfigs:    make(map[string]wire.Config),
	}
	now := l.clock.Now()
	if l.self.Incarnation == 0 {
		l.self.Incarnation = membership.NewIncarnation(now, 0)
	}
	l.self.Seq, l.self.ContentSeq, l.selfChangeCounter = 1, 1, l.table.BumpCounter()
	l.self.State = wire.StateStarting
	l.confirmation.zoneAt = make(map[string]time.Time)
	l.gossip.peers = make(map[string]*peerCursor)
	l.reports.targets = make(map[string]*reportTarget)
	l.started, l.lastTick, l.lastHeartbeat = now, now, now
	l.publish(now)
	return l
}

// Run processes events until ctx is cancelled, then waits for running calls. It
// returns an error if the configuration is incomplete.
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
		l.publishIfDue()
	}
}

// spawn runs f in a separate goroutine. Its context ends with the loop, and Run
// waits for it.
func (l *Loop) spawn(f func(ctx context.Context)) {
	ctx := l.ctx
	l.calls.Add(1)
	go func() {
		defer l.calls.Done()
		f(ctx)
	}()
}

// send queues an event for the loop and blocks while the queue is full. It reports
// false once the loop has ended.
func (l *Loop) send(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
		return false
	}
}

// sendAndWait sends an event and waits for its reply on the channel, for
// loopReplyTimeout at most.
func sendAndWait[T any](ctx context.Context, l *Loop, e event, reply <-chan T) (T, error) {
	var zero T
	if !l.send(e) {
		return zero, trace.ConnectionProblem(nil, "the node is stopping; use another one")
	}
	timer := time.NewTimer(loopReplyTimeout)
	defer timer.Stop()
	select {
	case v := <-reply:
		return v, nil
	case <-l.done:
		return zero, trace.ConnectionProblem(nil, "the node is stopping; use another one")
	case <-ctx.Done():
		return zero, trace.Wrap(ctx.Err())
	case <-timer.C:
		return zero, trace.ConnectionProblem(nil, "the node is too busy to answer; use another one")
	}
}

// callPeer makes one call to a peer. After a failed call the reply is not read,
// since net/rpc may still write to it after a timeout.
func callPeer[T any](ctx context.Context, p *peer.Pool, addr, method string, args any) (T, error) {
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

// tick runs the periodic work of the loop.
func (l *Loop) tick(now time.Time) {
	if gap := now.Sub(l.lastTick); gap > clockJumpThreshold {
		l.log.Info("Clock jumped; the view is unconfirmed until the next confirmation.", "gap_ms", gap.Milliseconds())
		l.confirmation.reset(now)
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

// sweep removes nodes whose heartbeats have expired. It requests a new snapshot
// if the number of reporting endpoints has changed or the last snapshot is
// maxPublishInterval old.
func (l *Loop) sweep(now time.Time) {
	l.lastSweep = now
	agentLimit := membership.RemoveAfter
	if _, entries := l.entryList(); len(entries) > maxReportTargets {
		agentLimit = membership.RemoveIndirectAfter
	}
	for _, n := range l.table.Expire(now, agentLimit) {
		l.log.Info("Node removed: no heartbeat.", "node", n.ID, "role", n.Role, "zone", n.Zone)
		l.forgetNode(n)
	}
	reporting := 0
	for _, e := range l.endpoints {
		if now.Sub(e.LastSeen) <= endpointTimeout {
			reporting++
		}
	}
	if reporting != l.reportingEndpoints || now.Sub(l.lastPublish) >= maxPublishInterval {
		l.publishLater = true
	}
	l.reportingEndpoints = reporting
}

// forgetNode discards everything kept about a removed node but its tombstone.
func (l *Loop) forgetNode(n wire.Node) {
	delete(l.endpoints, n.ID)
	delete(l.peerConfigs, n.ID)
	delete(l.gossip.peers, n.ID)
	if l.cfg.Pool != nil && n.RPCAddr != "" {
		l.cfg.Pool.Disconnect(n.RPCAddr)
	}
	l.publishNow = true
}

// announceSelfChange marks the content of this node's record as changed and
// schedules its announcement without delay.
func (l *Loop) announceSelfChange() {
	l.self.Seq++
	l.self.ContentSeq = l.self.Seq
	l.selfChangeCounter = l.table.BumpCounter()
	l.publishNow = true
	l.scheduleAllReports()
}

// sleep waits for d on the loop's clock, or until ctx is cancelled.
func (l *Loop) sleep(ctx context.Context, d time.Duration) {
	t := l.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.Chan():
	}
}
