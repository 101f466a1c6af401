package agent

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// wantedSuccessors is the number of agents that receive the order outcomes.
	wantedSuccessors = 2
	// maxHandoverBytes bounds the total size of the identities and bodies in one
	// HandOver call, in bytes. A call may exceed it by its last outcome.
	maxHandoverBytes = 512 << 10
	handoverTimeout  = 5 * time.Second
	// agentListTimeout bounds a call that requests the agents of the service.
	agentListTimeout = time.Second
)

// drain sets the state leaving, finishes queued and running work, and hands the order
// outcomes over. It returns early if ctx ends.
func (a *Agent) drain(ctx context.Context) {
	a.log.Info("Agent is leaving.", "reason", "stop requested")
	a.gate.StopAdmitting()
	<-a.announceDone
	a.control.SetState(wire.StateLeaving)
	if err := a.gate.Drain(ctx); err != nil {
		a.log.Error(err, "Drain ended early.")
		return
	}
	a.handOverOutcomes(ctx)
	select {
	case <-a.deps.Clock.After(successorAnnounceTime):
	case <-ctx.Done():
	}
}

// handOverOutcomes sends the order outcomes to wantedSuccessors other agents of the
// service and announces them as successors.
func (a *Agent) handOverOutcomes(ctx context.Context) {
	snap := a.control.Snapshot()
	svc := snap.Services[snap.Self.Service]
	outcomes := a.orders.Outcomes()
	if len(outcomes) == 0 && (svc == nil || len(svc.NonIdempotentPaths) == 0) {
		return
	}
	var successors []string
	for _, n := range successorCandidates(snap, a.agentsOfService(ctx, snap)) {
		if len(successors) == wantedSuccessors {
			break
		}
		if err := a.sendOutcomes(ctx, snap.Self, n.RPCAddr, outcomes); err != nil {
			a.log.Info("Handover of order outcomes failed.", "heir", n.ID, "reason", err.Error())
			continue
		}
		successors = append(successors, n.ID)
	}
	a.control.SetSuccessors(successors)
	a.log.Info("Handed over order outcomes.", "outcomes", len(outcomes), "heirs", successors)
}

// agentsOfService requests the agents of this agent's service from the entries, in
// random order, until one replies. It returns nil if none does.
func (a *Agent) agentsOfService(ctx context.Context, snap *control.Snapshot) []wire.Node {
	for _, i := range rand.Perm(len(snap.Entries)) {
		n := snap.Entries[i].Node
		callCtx, cancel := context.WithTimeout(ctx, agentListTimeout)
		var reply wire.AgentsReply
		err := a.pool.Call(callCtx, n.RPCAddr, wire.PeerService+".Agents", wire.AgentsArgs{Service: snap.Self.Service}, &reply)
		cancel()
		if err == nil {
			return reply.Agents
		}
		a.log.Info("Entry did not list the agents.", "entry", n.ID, "reason", err.Error())
	}
	return nil
}

// successorCandidates returns the other agents of the service that are not leaving, in
// order of preference: agents in service before those taken out of service, then agents
// in other zones before those in this agent's zone, since a zone may be stopped as a
// whole. The first two are in different zones if possible.
func successorCandidates(snap *control.Snapshot, agents []wire.Node) []wire.Node {
	var list []wire.Node
	for _, n := range agents {
		if n.ID != snap.Self.ID && n.State != wire.StateLeaving {
			list = append(list, n)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	preference := func(n wire.Node) int {
		switch {
		case snap.OutOfService(n):
			return 2
		case n.Zone == snap.Self.Zone:
			return 1
		}
		return 0
	}
	sort.SliceStable(list, func(i, j int) bool { return preference(list[i]) < preference(list[j]) })
	for i := 1; i < len(list); i++ {
		if list[i].Zone != list[0].Zone && !snap.OutOfService(list[i]) {
			list[1], list[i] = list[i], list[1]
			break
		}
	}
	return list
}

// sendOutcomes sends all outcomes to one successor in calls of bounded size. The last
// call states that the successor has all of them, which is true since it confirmed each
// earlier batch.
func (a *Agent) sendOutcomes(ctx context.Context, self wire.Node, addr string, outcomes []wire.OrderOutcome) error {
	for {
		n, size := 0, 0
		for n < len(outcomes) && (n == 0 || size < maxHandoverBytes) {
			size += len(outcomes[n].Identity) + len(outcomes[n].Body)
			n++
		}
		args := wire.HandOverArgs{From: self, Outcomes: outcomes[:n]}
		outcomes = outcomes[n:]
		if len(outcomes) == 0 {
			args.Whole = a.orders.Completeness()
		}
		if err := a.sendOutcomeBatch(ctx, addr, args); err != nil {
			return err
		}
		if len(outcomes) == 0 {
			return nil
		}
	}
}

func (a *Agent) sendOutcomeBatch(ctx context.Context, addr string, args wire.HandOverArgs) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var reply wire.HandOverReply
	if err := a.pool.Call(ctx, addr, wire.AgentService+".HandOver", args, &reply); err != nil {
		return err
	}
	if reply.Stored < len(args.Outcomes) {
		return trace.LimitExceeded("the successor stored %d of %d outcomes; choose another", reply.Stored, len(args.Outcomes))
	}
	return nil
}
