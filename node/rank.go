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
}

// Poll implements rankgroup.Engine.
func (l *localRank) Poll(ctx context.Context, window bool) (rankgroup.Report, rankgroup.SelectionWindow, error) {
	report, err := l.Report(ctx)
	if err != nil || !window {
		return report, rankgroup.SelectionWindow{}, err
	}
	counts, err := l.SelectionCounts(ctx)
	if err != nil {
		return report, rankgroup.SelectionWindow{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return report, l.meter.Window(report.Incarnation, counts), nil
}

const (
	// localCommandTimeout bounds one try of an order to the engine on the same VM, which
	// answers within a few ms; an answer that is lost costs that much.
	localCommandTimeout = 20 * time.Millisecond
	// localPrepareTimeout is nearOrder for an order that carries a map.
	localPrepareTimeout = 60 * time.Millisecond
	// localRetryInterval is the pause before an order is given again.
	localRetryInterval = 5 * time.Millisecond
)

// Send implements rankgroup.Engine. An order that isn't answered is given
// again at once: while it is under way elsewhere, a group may be held.
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
			pause.For(ctx, localRetryInterval) // an engine that is down fails at once
			continue
		}
		if result == rankgroup.Refused && attempts > 0 && c.Operation == rankgroup.Prepare {
			// An earlier try was carried out, and a version is taken only once.
			result = rankgroup.Accepted
		}
		return result, err
	}
}

// AwaitPrepared implements rankgroup.Engine.
func (l *localRank) AwaitPrepared(ctx context.Context, version uint64) error {
	return rankgroup.AwaitPrepared(ctx, l, version)
}

// fencedLocalRank is the rank beside the coordinator itself. It takes orders only while
// this agent leads, as the other ranks' agents do: a coordinator that another one
// replaced must not hold or release a pass here.
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

// remoteRank is a rank on another VM, reached through its agent. Reports are
// fresh there and counts free of charge. If the agent can't be reached, the
// engine is asked directly.
type remoteRank struct {
	agent  string
	group  string
	direct *platform.Engine
	client *upstream.Client
	term   uint64
	rank   int
}

// maxRankReplyBytes bounds an agent's answer in bytes.
const maxRankReplyBytes = 4 << 20

// call asks the agent. reached is false if the agent never got the question.
func (r *remoteRank) call(ctx context.Context, args wire.RankArgs) (reply wire.RankReply, reached bool, err error) {
	args.Group, args.Term, args.Rank = r.group, r.term, r.rank
	body, err := json.Marshal(args)
	if err != nil {
		return reply, true, err
	}
	req := &upstream.Request{Method: http.MethodPost, Target: wire.PathRank, Host: r.agent, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
	status, response, err := r.client.Call(ctx, r.agent, req, maxRankReplyBytes)
	if err != nil {
		return reply, !upstream.NotSent(err), err
	}
	if status != http.StatusOK {
		return reply, true, fmt.Errorf("agent %s answered status %d; it may run another version", r.agent, status)
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
		return r.direct.Report(ctx)
	}
	if err != nil || reply.Report == nil {
		return rankgroup.Report{}, errors.Join(err, missingReportError(reply.Report == nil))
	}
	return *reply.Report, nil
}

func missingReportError(missing bool) error {
	if missing {
		return errors.New("the agent's answer has no report; it may run another version")
	}
	return nil
}

// Poll implements rankgroup.Engine.
func (r *remoteRank) Poll(ctx context.Context, window bool) (rankgroup.Report, rankgroup.SelectionWindow, error) {
	request := wire.RankRequestReport
	if window {
		request = wire.RankRequestWindow
	}
	reply, reached, err := r.call(ctx, wire.RankArgs{Kind: request})
	if !reached {
		// Counts from afar are dear and make the group pause; they are left out.
		report, err := r.direct.Report(ctx)
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
		return r.direct.Experts(ctx)
	}
	return reply.Experts, reply.Version, err
}

// Send implements rankgroup.Engine.
func (r *remoteRank) Send(ctx context.Context, c rankgroup.Command) (rankgroup.Result, error) {
	reply, reached, err := r.call(ctx, wire.RankArgs{Kind: wire.RankRequestCommand, Command: &c})
	switch {
	case !reached && ctx.Err() == nil:
		return r.direct.Send(ctx, c)
	case errors.Is(err, rankgroup.ErrSuperseded):
		return rankgroup.Superseded, nil
	case err != nil:
		return rankgroup.Unanswered, err
	}
	return reply.Result, nil
}

// AwaitPrepared implements rankgroup.Engine. Only an agent can wait beside the
// engine; without one the next round's report tells.
func (r *remoteRank) AwaitPrepared(ctx context.Context, version uint64) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return rankgroup.ErrNotPrepared
	}
	// The agent answers a little earlier, so that its answer isn't cut off.
	wait := time.Until(deadline) - replyMargin
	_, _, err := r.call(ctx, wire.RankArgs{Kind: wire.RankRequestPrepared, Version: version, WaitMS: wait.Milliseconds()})
	return err
}

// replyMargin is the time in which an agent's answer crosses the network.
const replyMargin = 50 * time.Millisecond
