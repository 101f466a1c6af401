package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/rankgroup"
	"github.com/wasabinotch/wasabinotch/upstream"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// agentSilence is the time without a reply, after calls that got none, from which an
	// agent counts as silent and its engine is called over the network instead.
	// commandSilence is used for commands, for which a held group waits; it is well below the
	// target of 1.5 s for a failed switch. An agent that hasn't replied yet counts as silent
	// after one call: another one may have failed with it.
	agentSilence   = time.Second
	commandSilence = 250 * time.Millisecond
	// agentCallTimeout bounds a call of an agent, which mostly replies within a few ms, and
	// directMargin is what a call leaves of its caller's time for the engine. Replies with
	// windows of selections share a narrow link and use all the rest.
	agentCallTimeout = 150 * time.Millisecond
	directMargin     = 100 * time.Millisecond
	// agentRetryInterval is the interval at which a silent agent is tried again, for
	// agentRetryTimeout.
	agentRetryInterval = 500 * time.Millisecond
	agentRetryTimeout  = 50 * time.Millisecond
	// directReportInterval is the least interval between two reports of an engine over the
	// network: these calls are billed, and such reports lag by some hundred ms anyway.
	directReportInterval = 100 * time.Millisecond
	// silentAgentsPerSecond and silentAgentsBurst bound how many agents are found silent. If
	// more agents don't reply at once, this VM or its link is more likely to be at fault, and
	// calls to all engines would add to it.
	silentAgentsPerSecond = 8
	silentAgentsBurst     = 8
	// directCommandsPerSecond and directCommandsBurst bound the commands that one engine gets
	// over the network: they are billed, and a switch retries a command without a reply every
	// few ms for as long as it takes. A switch without faults sends two, the rollback of one
	// about four to each rank.
	directCommandsPerSecond = 20
	directCommandsBurst     = 10
)

// remoteRank is a rank on another VM, reached through its agent. Reports
// that the agent reads are up to date and selection counts are free there. If the
// agent can't be reached or is silent, the engine is called directly.
type remoteRank struct {
	agentAddr string
	group     string
	engine    *platform.Engine
	client    *upstream.Client
	term      uint64
	rank      int
	limit     *rate.Limiter
	// commands bounds the commands that are sent to the engine itself.
	commands *rate.Limiter
	metrics  *metrics.Set
	log      logr.Logger

	mu sync.Mutex
	// silence follows the agent's replies.
	silence agentMonitor
	// direct is the engine's last report over the network, directAt the time of it.
	direct   rankgroup.Report
	directAt time.Time
}

// agentMonitor decides whether an agent is called or, since it is silent, its engine. It
// answers a coordinator that waits for one frozen VM while its group is held.
type agentMonitor struct {
	// lastReply and lastFailure are the times of the last reply and of the last call
	// without one.
	lastReply, lastFailure time.Time
	// silent is set from the time at which the agent is found silent until it replies.
	silent bool
}

// attempt reports whether the agent is to be called now.
func (m *agentMonitor) attempt(now time.Time) bool {
	return !m.silent || now.Sub(m.lastFailure) >= agentRetryInterval
}

// replied records a reply and reports whether it ends a silence.
func (m *agentMonitor) replied(now time.Time) bool {
	ended := m.silent
	m.lastReply, m.silent = now, false
	return ended
}

// failed records a call without a reply. refused is set if the agent's port is closed, so
// that there is no agent. It reports whether a silence begins: if no reply has arrived for
// the time given, unless allow prevents it.
func (m *agentMonitor) failed(now time.Time, refused bool, silence time.Duration, allow func() bool) bool {
	m.lastFailure = now
	if m.silent || !refused && (now.Sub(m.lastReply) < silence || !allow()) {
		return false
	}
	m.silent = true
	return true
}

func newCommandLimit() *rate.Limiter {
	return rate.NewLimiter(directCommandsPerSecond, directCommandsBurst)
}

// Direct reports whether the engine is called in place of its agent.
func (r *remoteRank) Direct() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silence.silent
}

// maxRankReplyBytes bounds an agent's reply.
const maxRankReplyBytes = 4 << 20

// errAgentSilent means that the agent wasn't called or didn't reply in time.
var errAgentSilent = errors.New("the agent doesn't reply; its engine is called directly")

// call sends a request to the agent unless it is silent. direct is set if the engine is to
// be called instead.
func (r *remoteRank) call(ctx context.Context, args wire.RankArgs, timeout time.Duration) (reply wire.RankReply, direct bool, err error) {
	r.mu.Lock()
	attempt, silent := r.silence.attempt(time.Now()), r.silence.silent
	r.mu.Unlock()
	if !attempt {
		return reply, true, errAgentSilent
	}
	if silent {
		timeout = agentRetryTimeout
	}
	silence := agentSilence
	if args.Kind == wire.RankRequestCommand {
		silence = commandSilence
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, replied, refused, err := r.callAgent(callCtx, args)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if replied {
		if r.silence.replied(now) {
			r.log.Info("Agent replies again.", "agent", r.agentAddr)
		}
		return reply, false, err
	}
	silentFor := now.Sub(r.silence.lastReply)
	if r.silence.failed(now, refused, silence, r.limit.Allow) {
		r.metrics.GetOrCreateCounter("wasabinotch_agents_silent_total").Inc()
		r.log.Info("Agent silent; its engine is called directly.", "agent", r.agentAddr, "refused", refused, "silent_ms", min(silentFor, time.Minute).Milliseconds(), "cause", err.Error())
	}
	return reply, (refused || r.silence.silent) && ctx.Err() == nil, err
}

// callAgent sends a request to the agent. refused is set if the request certainly wasn't
// sent.
func (r *remoteRank) callAgent(ctx context.Context, args wire.RankArgs) (reply wire.RankReply, replied, refused bool, err error) {
	args.Group, args.Term, args.Rank = r.group, r.term, r.rank
	body, err := json.Marshal(args)
	if err != nil {
		return reply, true, false, err
	}
	req := &upstream.Request{Method: http.MethodPost, Target: wire.PathRank, Host: r.agentAddr, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
	status, response, err := r.client.Call(ctx, r.agentAddr, req, maxRankReplyBytes)
	if err != nil {
		return reply, false, upstream.NotSent(err) && ctx.Err() == nil, err
	}
	if status != http.StatusOK {
		return reply, true, false, fmt.Errorf("agent %s responded with status %d; it may run another version", r.agentAddr, status)
	}
	if err := json.Unmarshal(response, &reply); err != nil {
		return reply, true, false, err
	}
	if reply.Superseded {
		return reply, true, false, rankgroup.ErrSuperseded
	}
	if reply.Error != "" {
		return reply, true, false, errors.New(reply.Error)
	}
	return reply, true, false, nil
}

// countDirect counts a call to the engine in place of its agent.
func (r *remoteRank) countDirect(call string) {
	r.metrics.GetOrCreateCounter(`wasabinotch_engine_calls_total{call="` + call + `"}`).Inc()
}

// directReport reads the engine's report over the network, at most once in
// directReportInterval.
func (r *remoteRank) directReport(ctx context.Context) (rankgroup.Report, error) {
	r.mu.Lock()
	last, at := r.direct, r.directAt
	r.mu.Unlock()
	if time.Since(at) < directReportInterval {
		return last, nil
	}
	r.countDirect("report")
	report, err := r.engine.Report(ctx)
	if err != nil {
		return report, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.direct, r.directAt = report, time.Now()
	return report, nil
}

// Report implements rankgroup.Engine.
func (r *remoteRank) Report(ctx context.Context) (rankgroup.Report, error) {
	reply, direct, err := r.call(ctx, wire.RankArgs{Kind: wire.RankRequestReport}, agentCallTimeout)
	if direct {
		return r.directReport(ctx)
	}
	if err != nil || reply.Report == nil {
		return rankgroup.Report{}, errors.Join(err, missingReportError(reply.Report == nil))
	}
	return *reply.Report, nil
}

// missingReportError returns an error if missing is true.
func missingReportError(missing bool) error {
	if missing {
		return errors.New("the agent's reply has no report; it may run another version")
	}
	return nil
}

// Poll implements rankgroup.Engine.
func (r *remoteRank) Poll(ctx context.Context, window rankgroup.WindowRequest) (rankgroup.Report, rankgroup.SelectionWindow, error) {
	args := wire.RankArgs{Kind: wire.RankRequestReport, StartWindow: window == rankgroup.StartWindow}
	timeout := agentCallTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(timeout, time.Until(deadline)-directMargin)
	}
	if window == rankgroup.ReadWindow {
		args.Kind = wire.RankRequestWindow
	}
	reply, direct, err := r.call(ctx, args, timeout)
	if direct {
		// Reading selection counts from another VM is expensive and makes the group
		// pause, so they are left out.
		report, err := r.directReport(ctx)
		return report, rankgroup.SelectionWindow{}, err
	}
	if err != nil || reply.Report == nil {
		return rankgroup.Report{}, rankgroup.SelectionWindow{}, errors.Join(err, missingReportError(reply.Report == nil))
	}
	if reply.Window == nil {
		reply.Window = &rankgroup.SelectionWindow{}
	}
	return *reply.Report, *reply.Window, nil
}

// Experts implements rankgroup.Engine.
func (r *remoteRank) Experts(ctx context.Context) ([][]int, uint64, error) {
	reply, direct, err := r.call(ctx, wire.RankArgs{Kind: wire.RankRequestExperts}, agentCallTimeout)
	if direct {
		r.countDirect("experts")
		return r.engine.Experts(ctx)
	}
	return reply.Experts, reply.Version, err
}

// Send implements rankgroup.Engine. A command that a silent agent got and didn't reply to
// may be carried out late, as any command without a reply.
func (r *remoteRank) Send(ctx context.Context, c rankgroup.Command) (rankgroup.Result, error) {
	reply, direct, err := r.sendCommand(ctx, c)
	switch {
	case direct:
		if err := r.commands.Wait(ctx); err != nil {
			return rankgroup.NoReply, err
		}
		r.countDirect(string(c.Operation))
		result, err := r.engine.Send(ctx, c)
		r.log.Info("Order given directly.", "agent", r.agentAddr, "operation", string(c.Operation), "version", c.Version, "step", c.Step, "result", result.String(), "term", r.term)
		return result, err
	case errors.Is(err, rankgroup.ErrSuperseded):
		return rankgroup.Superseded, nil
	case err != nil:
		return rankgroup.NoReply, err
	}
	return reply.Result, nil
}

// directCommandTimeout bounds one attempt to send a command to an engine over the network; a
// reply takes a few ms, and the group may be held meanwhile.
const directCommandTimeout = 20 * time.Millisecond

// SendDirect sends a command to the engine itself.
func (r *remoteRank) SendDirect(ctx context.Context, c rankgroup.Command) (rankgroup.Result, error) {
	if err := r.commands.Wait(ctx); err != nil {
		return rankgroup.NoReply, err
	}
	ctx, cancel := context.WithTimeout(ctx, directCommandTimeout)
	defer cancel()
	r.countDirect(string(c.Operation))
	return r.engine.Send(ctx, c)
}

// commandBound bounds a command beyond the bound of its caller.
const commandBound = 5 * time.Second

// sendCommand sends a command to the agent. A map with a delta is sent as that first,
// and whole if the agent lacks the base of the delta.
func (r *remoteRank) sendCommand(ctx context.Context, c rankgroup.Command) (reply wire.RankReply, direct bool, err error) {
	if c.Delta != nil {
		short := c
		short.Map = nil
		reply, direct, err = r.call(ctx, wire.RankArgs{Kind: wire.RankRequestCommand, Command: &short, Delta: c.Delta}, commandBound)
		if direct || err != nil || !reply.NeedMap {
			return reply, direct, err
		}
	}
	return r.call(ctx, wire.RankArgs{Kind: wire.RankRequestCommand, Command: &c}, commandBound)
}

// AwaitPrepared implements rankgroup.Engine. Only an agent can wait beside the
// engine; if it can't be reached, the report in the next round shows the result.
func (r *remoteRank) AwaitPrepared(ctx context.Context, version uint64) error {
	deadline, ok := ctx.Deadline()
	if !ok || r.Direct() {
		return rankgroup.ErrNotPrepared
	}
	// The agent replies before the deadline so that the reply still arrives.
	wait := time.Until(deadline) - replyMargin
	_, direct, err := r.call(ctx, wire.RankArgs{Kind: wire.RankRequestPrepared, Version: version, WaitMS: wait.Milliseconds()}, wait+replyMargin)
	if direct {
		return rankgroup.ErrNotPrepared
	}
	return err
}

// replyMargin is the time allowed for an agent's reply to cross the network.
const replyMargin = 50 * time.Millisecond
