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

	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/rankgroup"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/upstream"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// loadPollInterval is the interval at which an agent reads its endpoint's
	// load; an endpoint gets a new request about as often.
	loadPollInterval = 100 * time.Millisecond
	// publishIntervalPerEntry bounds the rate of reports with many entries, so that
	// they take a few parts in a hundred of a narrow link.
	publishIntervalPerEntry = 4 * time.Millisecond
	// maxPreparedWait bounds the time for which a coordinator may have an agent wait.
	maxPreparedWait = time.Second
	// unchangedLoadInterval is when an unchanged load is sent again; entries forget a
	// load after a second.
	unchangedLoadInterval = 450 * time.Millisecond
)

// Agent is the process beside a model engine. It reports the engine's load to
// the entries, serves coordinators, and coordinates its rank group if no other
// agent does.
type Agent struct {
	cfg        settings.PlatformAgent
	log        logr.Logger
	client     *upstream.Client
	store      *platform.Store
	rank       *localRank
	leadership leadership
	metrics    *metrics.Set
	limitedLog logr.Logger

	mu          sync.Mutex
	subscribers map[string]subscriber
	endpointID  string
	// coordinating is set while a coordinator runs.
	coordinating bool
}

type subscriber struct {
	addr     net.Addr
	lastSeen time.Time
}

// NewAgent assembles an agent.
func NewAgent(s settings.PlatformAgent, log logr.Logger) *Agent {
	a := &Agent{cfg: s, log: log, client: newClient(&s.PlatformNode), subscribers: make(map[string]subscriber),
		metrics: metrics.NewSet(), limitedLog: logs.Limit(log, faultLinesPerSecond, faultLineBurst)}
	a.store = platform.NewStore(s.StoreAddr, a.client)
	a.rank = &localRank{Engine: platform.NewEngine(s.EndpointAddr, a.client)}
	return a
}

func (a *Agent) peerAddr() string {
	return net.JoinHostPort(a.cfg.IP, strconv.Itoa(a.cfg.PeerPort+agentPortOffset))
}

// Metrics returns the agent's metrics.
func (a *Agent) Metrics() *metrics.Set { return a.metrics }

// Run works until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	a.log.Info("Agent starts.", "id", a.cfg.ID, "endpoint", a.cfg.EndpointAddr)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathRank, a.serveRank)
	mux.HandleFunc("GET "+pathMetrics, metricsPage(a.metrics))
	defer serveMetrics(a.cfg.MetricsAddr, a.metrics, a.log).Close()
	ln, err := settings.Listen("peer_port", a.peerAddr())
	if err != nil {
		return err
	}
	server := newServer(mux)
	go serve(server, ln, a.log)
	defer server.Close()
	conn, err := net.ListenPacket("udp", a.peerAddr())
	if err != nil {
		return &settings.Error{Field: "peer_port", Reason: err.Error(), Remedy: "use the first of four free ports"}
	}
	defer conn.Close()
	go a.receiveSubscriptions(conn)
	a.reportLoads(ctx, conn)
	a.log.Info("Agent ended.", "id", a.cfg.ID)
	return nil
}

func (a *Agent) receiveSubscriptions(conn net.PacketConn) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFrom(buf)
		if err != nil {
			a.log.Info("Subscriptions end.", "cause", err.Error())
			return
		}
		var s wire.LoadSubscription
		if err := json.Unmarshal(buf[:n], &s); err != nil || s.Endpoint == "" {
			a.limitedLog.Info("Datagram ignored.", "from", from.String())
			continue
		}
		a.mu.Lock()
		a.subscribers[from.String()] = subscriber{addr: from, lastSeen: time.Now()}
		a.endpointID = s.Endpoint
		a.mu.Unlock()
	}
}

// reportLoads reads the engine's load at short intervals, sends it to the
// entries, and watches over the group's coordination.
func (a *Agent) reportLoads(ctx context.Context, conn net.PacketConn) {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	var last wire.LoadReport
	var monitor stepMonitor
	var lastPublished time.Time
	lost := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
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
		stalled := monitor.observe(report, time.Now())
		next := wire.LoadReport{Endpoint: a.endpointID, Running: report.Running, Waiting: report.Waiting,
			Stalled: report.Group != "" && (!report.Open || stalled), StepTimeMS: monitor.stepTimeMS(), ColdRemainingMS: report.ColdFor.Milliseconds()}
		a.mu.Unlock()
		since, interval := time.Since(lastPublished), a.publishInterval()
		if urgent := next.Stalled != last.Stalled; urgent || since >= interval && next != last || since >= unchangedLoadInterval {
			a.publish(conn, next)
			last, lastPublished = next, time.Now()
		}
		if report.Group != "" && report.Open {
			if term, ok := a.leadership.claim(report.Group, report.Rank, report.HeldStep != nil); ok {
				a.startCoordinating(ctx, term, report)
			}
		}
	}
}

// stallTimeout is the time without a new pass after which a group with work is
// taken to stand still. The longest passes take a quarter of it.
const stallTimeout = 500 * time.Millisecond

// stepMonitor watches whether a rank's group gets on.
type stepMonitor struct {
	step  uint64
	since time.Time
	// stepTime is the moving average of the time of a stepTime.
	stepTime time.Duration
}

// stepTimeGain is the part of the newest measurement in the time of a pass, and
// stepUnitMS the unit in which it is reported, so that reports seldom differ by
// it alone.
const (
	stepTimeGain = 0.3
	stepUnitMS   = 8
)

// observe takes a report and tells whether the group has work and begins no pass.
func (p *stepMonitor) observe(r rankgroup.Report, now time.Time) bool {
	idle := r.Running+r.Waiting == 0
	if r.Step > p.step && !idle && !p.since.IsZero() {
		measured := now.Sub(p.since) / time.Duration(r.Step-p.step)
		p.stepTime += time.Duration(stepTimeGain * float64(measured-p.stepTime))
	}
	if idle {
		p.stepTime = 0
	}
	if r.Step != p.step || idle {
		p.step, p.since = r.Step, now
	}
	return now.Sub(p.since) > stallTimeout
}

func (p *stepMonitor) stepTimeMS() int64 { return p.stepTime.Milliseconds() / stepUnitMS * stepUnitMS }

// publishInterval returns the least time between two reports to the entries.
func (a *Agent) publishInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(len(a.subscribers))*publishIntervalPerEntry - loadPollInterval/2
}

func (a *Agent) publish(conn net.PacketConn, r wire.LoadReport) {
	datagram, err := json.Marshal(r)
	if err != nil {
		a.log.Error(err, "Load not sent.")
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

// serveRank answers a coordinator.
func (a *Agent) serveRank(w http.ResponseWriter, r *http.Request) {
	var args wire.RankArgs
	if err := json.NewDecoder(r.Body).Decode(&args); err != nil {
		http.Error(w, "the call can't be read; send a RankArgs object", http.StatusBadRequest)
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
		a.limitedLog.Info("Answer not sent.", "cause", err.Error())
	}
}

func (a *Agent) handleRankRequest(ctx context.Context, args *wire.RankArgs, reply *wire.RankReply) (err error) {
	switch args.Kind {
	case wire.RankRequestReport:
		var report rankgroup.Report
		report, err = a.rank.Report(ctx)
		reply.Report = &report
	case wire.RankRequestWindow:
		var report rankgroup.Report
		var window rankgroup.SelectionWindow
		report, window, err = a.rank.Poll(ctx, true)
		reply.Report, reply.Window = &report, &window
	case wire.RankRequestExperts:
		reply.Experts, reply.Version, err = a.rank.Experts(ctx)
	case wire.RankRequestPrepared:
		ctx, cancel := context.WithTimeout(ctx, min(time.Duration(args.WaitMS)*time.Millisecond, maxPreparedWait))
		defer cancel()
		err = a.rank.AwaitPrepared(ctx, args.Version)
	case wire.RankRequestCommand:
		if args.Command == nil || !args.Command.Operation.Valid() {
			return errors.New("the call has no known order; the coordinator may run another version")
		}
		reply.Result, err = a.rank.Send(ctx, *args.Command)
		a.metrics.GetOrCreateCounter(`wasabinotch_orders_total{operation="` + string(args.Command.Operation) + `",result="` + reply.Result.String() + `"}`).Inc()
		a.log.Info("Order given.", "operation", string(args.Command.Operation), "version", args.Command.Version, "step", args.Command.Step,
			"result", reply.Result.String(), "term", args.Term, "coordinator", args.Rank)
	default:
		err = errors.New("unknown question; the coordinator may run another version")
	}
	return err
}
