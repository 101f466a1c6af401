package node

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/pause"
	"github.com/wasabinotch/wasabinotch/placement"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/rankgroup"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/upstream"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// loadPollInterval is the interval at which an agent polls its engine's load;
	// an endpoint gets a new request about as often.
	loadPollInterval = 100 * time.Millisecond
	// publishIntervalPerEntry is the interval between reports for each subscribed
	// entry. It bounds the share of a narrow link that reports take to a few
	// percent when there are many entries.
	publishIntervalPerEntry = 4 * time.Millisecond
	// maxPreparedWait bounds how long a coordinator may make an agent wait until
	// a map is prepared.
	maxPreparedWait = time.Second
	// unchangedLoadInterval is the interval at which an unchanged load is sent
	// again, because entries discard a load after one second.
	unchangedLoadInterval = 450 * time.Millisecond
)

// Agent is the process beside a model engine. It reports the engine's load to
// the entries, serves the coordinator of its rank group, and becomes the
// coordinator if no other agent is.
type Agent struct {
	cfg        settings.PlatformAgent
	log        logr.Logger
	client     *upstream.Client
	store      *platform.Store
	rank       *localRank
	leadership leadership
	metrics    *metrics.Set
	// limitedLog is log with a rate limit, for faults that can occur very often.
	limitedLog logr.Logger
	bounds     *bounds

	mu          sync.Mutex
	subscribers map[string]subscriber
	// endpointID is the ID under which the entries know the endpoint; it comes
	// with their subscriptions.
	endpointID string
	// backlog is the reading of the long prompts that entries sent to the endpoint.
	backlog placement.Backlog
	// backlogGrew has an item when a report of it is due at once.
	backlogGrew chan struct{}
	// coordinating is true while this agent runs a coordinator.
	coordinating bool
	// directLimit bounds how often this agent, as a coordinator, concludes from missing
	// replies that another agent is silent.
	directLimit *rate.Limiter
}

type subscriber struct {
	addr     net.Addr
	lastSeen time.Time
}

// NewAgent returns an agent that is started with Run.
func NewAgent(s settings.PlatformAgent, log logr.Logger) *Agent {
	a := &Agent{cfg: s, log: log, client: newClient(&s.PlatformNode), subscribers: make(map[string]subscriber), backlogGrew: make(chan struct{}, 1),
		metrics: metrics.NewSet(), limitedLog: logs.Limit(log, faultLinesPerSecond, faultLineBurst),
		directLimit: rate.NewLimiter(silentAgentsPerSecond, silentAgentsBurst)}
	a.bounds = newBounds(&s.PlatformNode, a.metrics, logs.Limit(log.WithName("limits"), faultLinesPerSecond, faultLineBurst))
	a.store = platform.NewStore(s.StoreAddr, a.client)
	a.rank = &localRank{Engine: platform.NewEngine(s.EndpointAddr, a.client)}
	return a
}

// peerAddr returns the address at which the agent serves coordinators (HTTP)
// and receives subscriptions (UDP).
func (a *Agent) peerAddr() string {
	return net.JoinHostPort(a.cfg.IP, strconv.Itoa(a.cfg.PeerPort+agentPortOffset))
}

// Metrics returns the agent's metrics.
func (a *Agent) Metrics() *metrics.Set { return a.metrics }

// Run runs the agent until ctx ends. It returns an error only if a port can't
// be opened.
func (a *Agent) Run(ctx context.Context) error {
	a.log.Info("Agent starts.", "id", a.cfg.ID, "endpoint", a.cfg.EndpointAddr)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathRank, a.serveRank)
	mux.HandleFunc("GET "+pathMetrics, metricsPage(a.metrics))
	defer serveMetrics(a.cfg.MetricsAddr, a.metrics, a.bounds, a.log).Close()
	ln, err := settings.Listen("peer_port", a.peerAddr())
	if err != nil {
		return err
	}
	server := newInternalServer(mux)
	go serve(server, ln, a.bounds.internal(), a.log)
	defer server.Close()
	conn, err := net.ListenPacket("udp", a.peerAddr())
	if err != nil {
		return &settings.Error{Field: "peer_port", Reason: err.Error(), Remedy: "set it to the first of four consecutive free ports"}
	}
	defer conn.Close()
	go a.receiveSubscriptions(conn)
	a.reportLoads(ctx, conn)
	a.log.Info("Agent stopped.", "id", a.cfg.ID)
	return nil
}

// receiveSubscriptions records the entries that subscribe to load reports until
// conn is closed.
func (a *Agent) receiveSubscriptions(conn net.PacketConn) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFrom(buf)
		if err != nil {
			a.log.Info("Load subscriptions are no longer received.", "cause", err.Error())
			return
		}
		var s wire.LoadSubscription
		if err := json.Unmarshal(buf[:n], &s); err != nil || s.Endpoint == "" {
			a.limitedLog.Info("Malformed load subscription ignored.", "from", from.String())
			continue
		}
		a.mu.Lock()
		a.subscribers[from.String()] = subscriber{addr: from, lastSeen: time.Now()}
		a.endpointID = s.Endpoint
		if s.ReadingMS > 0 {
			a.backlog.Add(time.Duration(min(s.ReadingMS, maxReadingMS))*time.Millisecond, time.Now())
		}
		a.mu.Unlock()
		if s.ReadingMS > 0 {
			select {
			case a.backlogGrew <- struct{}{}:
			default: // a report is due already
			}
		}
	}
}

// reportLoads polls the engine until ctx ends, sends its load to the subscribed
// entries, and starts a coordinator when no agent coordinates the rank group.
func (a *Agent) reportLoads(ctx context.Context, conn net.PacketConn) {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	var last wire.LoadReport
	var monitor stepMonitor
	var holds holdMonitor
	var lastPublished, memoryPublished time.Time
	rateLimit := "" // as in wire.LoadReport
	lost := false
	var incarnation int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.backlogGrew:
			// Short prompts are kept away only by a report that arrives before them.
			pause.For(ctx, backlogReportInterval-time.Since(lastPublished))
		}
		report, err := a.rank.Report(ctx)
		if err != nil {
			a.metrics.GetOrCreateCounter("wasabinotch_reports_failed_total").Inc()
		}
		if err != nil && !lost && ctx.Err() == nil {
			a.log.Info("Engine lost.", "endpoint", a.cfg.EndpointAddr, "cause", err.Error())
		} else if err == nil && lost {
			a.log.Info("Engine regained.", "endpoint", a.cfg.EndpointAddr, "born", report.Incarnation)
		}
		if lost = err != nil; lost {
			continue
		}
		a.mu.Lock()
		still := monitor.observe(report, time.Now())
		unaccounted := holds.unaccounted(report.HeldStep)
		stalled, standing := still > stallTimeout, still > standingTimeout
		if limit := a.rank.RateLimit(); limit.Named || rateLimit != "" {
			rateLimit = encodeRateLimit(limit)
		}
		next := wire.LoadReport{Endpoint: a.endpointID, Running: report.Running, Waiting: report.Waiting,
			Stalled: report.Group != "" && (!report.Open || stalled), StepTimeMS: monitor.stepTimeMS(), ColdRemainingMS: report.ColdFor.Milliseconds(),
			RateLimit: rateLimit, PacePercent: pacePercent(report.Pace)}
		if report.Incarnation != incarnation {
			incarnation, a.backlog = report.Incarnation, placement.Backlog{} // what another run read is gone
		}
		next.ReadingMS = a.backlog.Left(time.Now()).Milliseconds() / readingUnitMS * readingUnitMS
		if a.rank.Leaving() {
			next.Leaving, next.Incarnation = true, report.Incarnation
		}
		a.mu.Unlock()
		next.MemoryUsed = memoryUnits(report)
		since, interval := time.Since(lastPublished), a.publishInterval()
		if urgent := next.Stalled != last.Stalled || next.RateLimit != last.RateLimit || next.Leaving != last.Leaving || next.PacePercent != last.PacePercent || next.ReadingMS > last.ReadingMS; urgent || since >= interval && next != last || since >= unchangedLoadInterval {
			now := time.Now()
			sent := next
			if now.Sub(memoryPublished) >= memoryInterval {
				sent.MemoryTotal, memoryPublished = report.MemoryTotal, now
			}
			a.publish(conn, sent)
			last, lastPublished = next, now
		}
		if report.Group != "" && report.Open {
			state := rankState{group: report.Group, rank: report.Rank, holdsStep: unaccounted && !a.rank.relayedHold(*report.HeldStep), standing: standing}
			if term, ok := a.leadership.claim(state); ok {
				a.startCoordinating(ctx, term, report)
			}
		}
	}
}

// pacePercent returns the form of an engine's pace in load reports.
func pacePercent(pace float64) int64 {
	const unit = 25 // so that successive reports seldom differ only in it
	percent := int64(pace*100) / unit * unit
	if percent <= 100 {
		return 0
	}
	return percent
}

const (
	// readingUnitMS is the unit in milliseconds to which the reported backlog is rounded
	// down, so that it is left out when little remains.
	readingUnitMS = 10
	// backlogReportInterval bounds the reports of a backlog that grows.
	backlogReportInterval = 20 * time.Millisecond
	// maxReadingMS bounds what one datagram can add.
	maxReadingMS = 60_000
)

// memoryInterval is the interval at which reports name the size of the engine's memory, for
// entries that have started since.
const memoryInterval = time.Second

// memoryUnits returns the form of the memory in use in load reports.
func memoryUnits(r rankgroup.Report) int {
	if r.MemoryTotal <= 0 {
		return 0
	}
	return min(r.MemoryUsed, r.MemoryTotal) * wire.MemoryUnits / r.MemoryTotal
}

// stallTimeout is the time without a new step after which a rank group with
// requests counts as stalled. The longest steps take a quarter of it.
const stallTimeout = 500 * time.Millisecond

// standingTimeout is the time without a new step after which a rank group with requests
// counts as standing, so that the silence of its coordinator is urgent. Steps at full load
// take up to 120 ms, and reports are read every 100 ms.
const standingTimeout = 300 * time.Millisecond

// holdMonitor tells a step that was held at the rank when the agent started from later ones.
// The agent may have sent a Release before its start only for the former. Later ones are held
// for a coordinator on another VM, which calls the engine itself; a group of two ranks waits
// for this agent if that VM is frozen.
type holdMonitor struct {
	// started is set after the first report; initial is the step that it showed as held and
	// that has been held since, nil for none.
	started bool
	initial *uint64
}

// unaccounted adds the held step of a report and reports whether the agent can't know what
// it did for it.
func (m *holdMonitor) unaccounted(held *uint64) bool {
	if !m.started {
		m.started, m.initial = true, held
	}
	if m.initial != nil && (held == nil || *held != *m.initial) {
		m.initial = nil
	}
	return m.initial != nil
}

// stepMonitor derives the step time of a rank group, and for how long it has
// stood, from successive reports.
type stepMonitor struct {
	step uint64
	// since is the time at which step was first reported or the group was last
	// reported idle.
	since time.Time
	// stepTime is the moving average of the step time, 0 while the group is idle.
	stepTime time.Duration
}

const (
	// stepTimeGain is the weight of the newest measurement in the moving average.
	stepTimeGain = 0.3
	// stepUnitMS is the unit in milliseconds to which the reported step time is
	// rounded down, so that successive reports seldom differ only in it.
	stepUnitMS = 8
)

// observe adds a report and returns for how long the group has had requests and begun no
// step.
func (m *stepMonitor) observe(r rankgroup.Report, now time.Time) time.Duration {
	idle := r.Running+r.Waiting == 0
	if r.Step > m.step && !idle && !m.since.IsZero() {
		measured := now.Sub(m.since) / time.Duration(r.Step-m.step)
		m.stepTime += time.Duration(stepTimeGain * float64(measured-m.stepTime))
	}
	if idle {
		m.stepTime = 0
	}
	if r.Step != m.step || idle {
		m.step, m.since = r.Step, now
	}
	return now.Sub(m.since)
}

func (m *stepMonitor) stepTimeMS() int64 { return m.stepTime.Milliseconds() / stepUnitMS * stepUnitMS }

// publishInterval returns the least time between two load reports to the
// entries: publishIntervalPerEntry for each subscriber, less half a poll
// interval, since reports are sent only after a poll.
func (a *Agent) publishInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(len(a.subscribers))*publishIntervalPerEntry - loadPollInterval/2
}

// publish sends a load report to all subscribers and removes those whose
// subscription has expired.
func (a *Agent) publish(conn net.PacketConn, r wire.LoadReport) {
	datagram, err := json.Marshal(r)
	if err != nil {
		a.log.Error(err, "Load report not encoded.")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, s := range a.subscribers {
		if time.Since(s.lastSeen) > subscriptionTTL {
			delete(a.subscribers, key)
			continue
		}
		sendDatagram(conn, datagram, s.addr, a.metrics, a.limitedLog)
	}
}

// maxRankArgsBytes bounds the call of a coordinator. A whole map of 256 ranks is smaller.
const maxRankArgsBytes = 1 << 20

// serveRank serves requests of coordinators.
func (a *Agent) serveRank(w http.ResponseWriter, r *http.Request) {
	var args wire.RankArgs
	claim, ok := a.bounds.decodeBody(w, r, maxRankArgsBytes, &args, "the call can't be read; send a RankArgs object")
	defer claim.Release()
	if !ok {
		return
	}
	var reply wire.RankReply
	var admitted bool
	if reply.Term, admitted = a.leadership.admit(&args); !admitted {
		reply.Superseded = true
	} else if err := a.handleRankRequest(r.Context(), &args, &reply); err != nil {
		reply.Error = err.Error()
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(&reply); err != nil {
		a.limitedLog.Info("Reply not sent.", "cause", err.Error())
	}
}

// handleRankRequest carries out a coordinator's request and stores the results
// in reply.
func (a *Agent) handleRankRequest(ctx context.Context, args *wire.RankArgs, reply *wire.RankReply) (err error) {
	switch args.Kind {
	case wire.RankRequestReport:
		window := rankgroup.NoWindow
		if args.StartWindow {
			window = rankgroup.StartWindow
		}
		var report rankgroup.Report
		report, _, err = a.rank.Poll(ctx, window)
		reply.Report = &report
	case wire.RankRequestWindow:
		var report rankgroup.Report
		var window rankgroup.SelectionWindow
		report, window, err = a.rank.Poll(ctx, rankgroup.ReadWindow)
		reply.Report, reply.Window = &report, &window
	case wire.RankRequestExperts:
		reply.Experts, reply.Version, err = a.rank.Experts(ctx)
	case wire.RankRequestPrepared:
		ctx, cancel := context.WithTimeout(ctx, min(time.Duration(args.WaitMS)*time.Millisecond, maxPreparedWait))
		defer cancel()
		err = a.rank.AwaitPrepared(ctx, args.Version)
	case wire.RankRequestCommand:
		if args.Command == nil || !args.Command.Operation.Valid() {
			return errors.New("the request has no valid command; the coordinator may run another version")
		}
		if args.Command.Operation == rankgroup.Prepare {
			if args.Delta != nil {
				m, ok := a.rank.resolveMap(args.Delta)
				if !ok {
					reply.NeedMap = true
					return nil
				}
				args.Command.Map = m
			}
			if args.Command.Map == nil {
				return errors.New("the request has no map; the coordinator may run another version")
			}
			a.rank.keepMap(args.Command.Version, args.Command.Map)
		}
		switch args.Command.Operation {
		case rankgroup.Hold:
			a.rank.relayHold(args.Command.Step)
		case rankgroup.Arm:
			a.rank.relayArm(args.Command)
		case rankgroup.Prepare:
			a.rank.relayPrepare(args.Command)
		}
		reply.Result, err = a.rank.Send(ctx, *args.Command)
		a.metrics.GetOrCreateCounter(`wasabinotch_orders_total{operation="` + string(args.Command.Operation) + `",result="` + reply.Result.String() + `"}`).Inc()
		a.log.Info("Order given.", "operation", string(args.Command.Operation), "version", args.Command.Version, "step", args.Command.Step,
			"result", reply.Result.String(), "term", args.Term, "coordinator", args.Rank)
	default:
		err = errors.New("unknown kind of request; the coordinator may run another version")
	}
	return err
}
