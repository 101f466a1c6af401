package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/pause"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/rankgroup"
	"github.com/wasabinotch/wasabinotch/upstream"
	"github.com/wasabinotch/wasabinotch/wire"
)

// localRank is the rank beside this agent.
type localRank struct {
	*platform.Engine

	mu    sync.Mutex
	meter rankgroup.SelectionMeter
	// prepared holds the last maps that coordinators had prepared through this agent.
	prepared rankgroup.MapHistory
}

// Poll implements rankgroup.Engine.
func (l *localRank) Poll(ctx context.Context, window rankgroup.WindowRequest) (rankgroup.Report, rankgroup.SelectionWindow, error) {
	report, err := l.Report(ctx)
	if err != nil || window == rankgroup.NoWindow {
		return report, rankgroup.SelectionWindow{}, err
	}
	counts, err := l.SelectionCounts(ctx)
	if err != nil {
		return report, rankgroup.SelectionWindow{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	selections := l.meter.Window(report.Incarnation, counts)
	if window == rankgroup.StartWindow {
		selections = rankgroup.SelectionWindow{}
	}
	return report, selections, nil
}

// keepMap keeps a map that is prepared at the rank, to which later ones are described by
// their differences.
func (l *localRank) keepMap(version uint64, m *rankgroup.Map) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepared.Add(version, m)
}

// resolveMap returns the map that a delta describes.
func (l *localRank) resolveMap(d *rankgroup.MapDelta) (*rankgroup.Map, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.prepared.Resolve(d)
}

const (
	// localCommandTimeout bounds one attempt to send a command to the engine on
	// the same VM. The engine responds within a few milliseconds; each lost
	// response costs this time.
	localCommandTimeout = 20 * time.Millisecond
	// localPrepareTimeout is localCommandTimeout for Prepare, which carries a map.
	localPrepareTimeout = 60 * time.Millisecond
	// localRetryInterval is the interval between attempts.
	localRetryInterval = 5 * time.Millisecond
)

// Send implements rankgroup.Engine.Send without the check that this agent leads
// (see fencedLocalRank). It retries a command without a response at short
// intervals until ctx ends, since the group may be held until the command is
// carried out.
func (l *localRank) Send(ctx context.Context, c rankgroup.Command) (rankgroup.Result, error) {
	timeout := localCommandTimeout
	if c.Operation == rankgroup.Prepare {
		timeout = localPrepareTimeout
	}
	for attempts := 0; ; attempts++ {
		attemptCtx, cancel := context.WithTimeout(ctx, timeout)
		result, err := l.Engine.Send(attemptCtx, c)
		cancel()
		if err != nil && ctx.Err() == nil {
			pause.For(ctx, localRetryInterval) // requests to an engine that is down fail immediately
			continue
		}
		if result == rankgroup.Refused && attempts > 0 && c.Operation == rankgroup.Prepare {
			// An earlier attempt was carried out; an engine accepts a version once.
			result = rankgroup.Accepted
		}
		return result, err
	}
}

// AwaitPrepared implements rankgroup.Engine.
func (l *localRank) AwaitPrepared(ctx context.Context, version uint64) error {
	return rankgroup.AwaitPrepared(ctx, l, version)
}

// fencedLocalRank is the rank beside the coordinator. It accepts commands only
// while this agent leads, as other ranks' agents do: a superseded coordinator must
// not hold or release a step here.
type fencedLocalRank struct {
	*localRank
	leadership *leadership
	term       uint64
}

// Send implements rankgroup.Engine.
func (r *fencedLocalRank) Send(ctx context.Context, c rankgroup.Command) (rankgroup.Result, error) {
	if !r.leadership.leading(r.term) {
		return rankgroup.Superseded, nil
	}
	return r.localRank.Send(ctx, c)
}

// remoteRank is a rank on another VM, reached through its agent. Reports
// that the agent reads are up to date and selection counts are free there. If the
// agent can't be reached, the engine is called directly.
type remoteRank struct {
	agentAddr string
	group     string
	engine    *platform.Engine
	client    *upstream.Client
	term      uint64
	rank      int
}

// maxRankReplyBytes bounds an agent's reply.
const maxRankReplyBytes = 4 << 20

// call sends a request to the agent. reached is false if the request certainly
// wasn't sent.
func (r *remoteRank) call(ctx context.Context, args wire.RankArgs) (reply wire.RankReply, reached bool, err error) {
	args.Group, args.Term, args.Rank = r.group, r.term, r.rank
	body, err := json.Marshal(args)
	if err != nil {
		return reply, true, err
	}
	req := &upstream.Request{Method: http.MethodPost, Target: wire.PathRank, Host: r.agentAddr, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
	status, response, err := r.client.Call(ctx, r.agentAddr, req, maxRankReplyBytes)
	if err != nil {
		return reply, !upstream.NotSent(err), err
	}
	if status != http.StatusOK {
		return reply, true, fmt.Errorf("agent %s responded with status %d; it may run another version", r.agentAddr, status)
	}
	if err := json.Unmarshal(response, &reply); err != nil {
		return reply, true, err
	}
	if reply.Superseded {
		return reply, true, rankgroup.ErrSuperseded
	}
	if reply.Error != "" {
		return reply, true, errors.New(reply.Error)
	}
	return reply, true, nil
}

// Report implements rankgroup.Engine.
func (r *remoteRank) Report(ctx context.Context) (rankgroup.Report, error) {
	reply, reached, err := r.call(ctx, wire.RankArgs{Kind: wire.RankRequestReport})
	if !reached {
		return r.engine.Report(ctx)
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
	if window == rankgroup.ReadWindow {
		args.Kind = wire.RankRequestWindow
	}
	reply, reached, err := r.call(ctx, args)
	if !reached {
		// Reading selection counts from another VM is expensive and makes the group
		// pause, so they are left out.
		report, err := r.engine.Report(ctx)
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
	reply, reached, err := r.call(ctx, wire.RankArgs{Kind: wire.RankRequestExperts})
	if !reached {
		return r.engine.Experts(ctx)
	}
	return reply.Experts, reply.Version, err
}

// Send implements rankgroup.Engine.
func (r *remoteRank) Send(ctx context.Context, c rankgroup.Command) (rankgroup.Result, error) {
	reply, reached, err := r.sendCommand(ctx, c)
	switch {
	case !reached && ctx.Err() == nil:
		return r.engine.Send(ctx, c)
	case errors.Is(err, rankgroup.ErrSuperseded):
		return rankgroup.Superseded, nil
	case err != nil:
		return rankgroup.NoReply, err
	}
	return reply.Result, nil
}

// sendCommand sends a command to the agent. A map with a delta is sent as that first,
// and whole if the agent lacks the base of the delta.
func (r *remoteRank) sendCommand(ctx context.Context, c rankgroup.Command) (reply wire.RankReply, reached bool, err error) {
	if c.Delta != nil {
		short := c
		short.Map = nil
		reply, reached, err = r.call(ctx, wire.RankArgs{Kind: wire.RankRequestCommand, Command: &short, Delta: c.Delta})
		if !reached || err != nil || !reply.NeedMap {
			return reply, reached, err
		}
	}
	return r.call(ctx, wire.RankArgs{Kind: wire.RankRequestCommand, Command: &c})
}

// AwaitPrepared implements rankgroup.Engine. Only an agent can wait beside the
// engine; if it can't be reached, the report in the next round shows the result.
func (r *remoteRank) AwaitPrepared(ctx context.Context, version uint64) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return rankgroup.ErrNotPrepared
	}
	// The agent replies before the deadline so that the reply still arrives.
	wait := time.Until(deadline) - replyMargin
	_, _, err := r.call(ctx, wire.RankArgs{Kind: wire.RankRequestPrepared, Version: version, WaitMS: wait.Milliseconds()})
	return err
}

// replyMargin is the time allowed for an agent's reply to cross the network.
const replyMargin = 50 * time.Millisecond
