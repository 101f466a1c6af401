package node

import (
	"context"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/pause"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/rankgroup"
)

// localRank is the rank beside this agent.
type localRank struct {
	*platform.Engine

	mu    sync.Mutex
	meter rankgroup.SelectionMeter
	// prepared holds the last maps that coordinators had prepared through this agent.
	prepared rankgroup.MapHistory
	// heldFor is the last step that another agent's coordinator had held through this agent.
	heldFor uint64
	// armedBy is the last Arm of another agent's coordinator, preparedBy the version and owner
	// of its last Prepare.
	armedBy, preparedBy rankgroup.Armed
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

// Report returns the engine's report, with the owner of a map that was prepared or armed
// through this agent.
func (l *localRank) Report(ctx context.Context) (rankgroup.Report, error) {
	report, err := l.Engine.Report(ctx)
	if err != nil {
		return report, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if report.PreparedVersion != 0 && report.PreparedVersion == l.preparedBy.Version {
		report.PreparedOwner = l.preparedBy.Owner
	}
	if report.Armed != nil && report.Armed.Version == l.armedBy.Version && report.Armed.Step == l.armedBy.Step {
		report.Armed.Owner = l.armedBy.Owner
	}
	return report, nil
}

// relayPrepare records a Prepare for another agent's coordinator.
func (l *localRank) relayPrepare(c *rankgroup.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.preparedBy = rankgroup.Armed{Version: c.Version, Owner: c.Owner}
}

// relayArm records an Arm for another agent's coordinator.
func (l *localRank) relayArm(c *rankgroup.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.armedBy = rankgroup.Armed{Version: c.Version, Step: c.Step, Owner: c.Owner}
}

// knownMap returns a map that was prepared through this agent, nil if it isn't kept.
func (l *localRank) knownMap(version uint64) *rankgroup.Map {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.prepared.Get(version)
}

// relayHold records a Hold for another agent's coordinator.
func (l *localRank) relayHold(step uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldFor = step
}

// relayedHold reports whether a step is held for another agent's coordinator, and not for
// one that ran beside this rank before a restart.
func (l *localRank) relayedHold(step uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldFor == step
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
	if c.Operation == rankgroup.Prepare {
		r.keepMap(c.Version, c.Map)
	}
	return r.localRank.Send(ctx, c)
}
