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
	// wantedHeirs is the number of agents that get the order outcomes.
	wantedHeirs = 2
	// handOverBytes bounds one HandOver call.
	handOverBytes   = 512 << 10
	handOverTimeout = 5 * time.Second
	// askTimeout bounds the call that lists the agents of the service.
	askTimeout = time.Second
)

// drain announces that the agent leaves, finishes its work and hands the
// order outcomes over.
func (a *Agent) drain(ctx context.Context) {
	a.log.Info("leaving", "reason", "stop requested")
	a.gate.StopAdmitting()
	<-a.announced
	a.control.SetState(wire.StateLeaving)
	if err := a.gate.Drain(ctx); err != nil {
		a.log.Error(err, "drain ended early")
		return
	}
	a.handOver(ctx)
	select {
	case <-a.deps.Clock.After(linger):
	case <-ctx.Done():
	}
}

// handOver gives the order outcomes to two other agents of the service.
func (a *Agent) handOver(ctx context.Context) {
	snap := a.control.Snapshot()
	svc := snap.Services[snap.Self.Service]
	outcomes := a.orders.Outcomes()
	if len(outcomes) == 0 && (svc == nil || len(svc.NonIdempotentPaths) == 0) {
		return
	}
	var heirs []string
	for _, n := range heirCandidates(snap, a.agentsOfService(ctx, snap)) {
		if len(heirs) == wantedHeirs {
			break
		}
		if err := a.sendOutcomes(ctx, snap.Self, n.RPCAddr, outcomes); err != nil {
			a.log.Info("hand-over failed", "heir", n.ID, "reason", err.Error())
			continue
		}
		heirs = append(heirs, n.ID)
	}
	a.control.SetSuccessors(heirs)
	a.log.Info("order outcomes handed over", "outcomes", len(outcomes), "heirs", heirs)
}

// agentsOfService asks entries for the agents of the own service.
func (a *Agent) agentsOfService(ctx context.Context, snap *control.Snapshot) []wire.Node {
	for _, i := range rand.Perm(len(snap.Entries)) {
		n := snap.Entries[i].Node
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		var reply wire.AgentsReply
		err := a.pool.Call(callCtx, n.RPCAddr, wire.PeerService+".Agents", wire.AgentsArgs{Service: snap.Self.Service}, &reply)
		cancel()
		if err == nil {
			return reply.Agents
		}
		a.log.Info("entry did not list the agents", "entry", n.ID, "reason", err.Error())
	}
	return nil
}

// heirCandidates orders the other agents of the service, best first: in
// service before taken out, then another zone before the own, since a zone may
// be stopped as a whole. The first two are in different zones if possible.
func heirCandidates(snap *control.Snapshot, agents []wire.Node) []wire.Node {
	var list []wire.Node
	for _, n := range agents {
		if n.ID != snap.Self.ID && n.State != wire.StateLeaving {
			list = append(list, n)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	rank := func(n wire.Node) int {
		switch {
		case snap.OutOfService(n):
			return 2
		case n.Zone == snap.Self.Zone:
			return 1
		}
		return 0
	}
	sort.SliceStable(list, func(i, j int) bool { return rank(list[i]) < rank(list[j]) })
	for i := 1; i < len(list); i++ {
		if list[i].Zone != list[0].Zone && !snap.OutOfService(list[i]) {
			list[1], list[i] = list[i], list[1]
			break
		}
	}
	return list
}

// sendOutcomes sends all outcomes to one heir in bounded calls. The last call
// states that they are whole, which holds since every part before was stored.
func (a *Agent) sendOutcomes(ctx context.Context, self wire.Node, addr string, outcomes []wire.OrderOutcome) error {
	for {
		n, size := 0, 0
		for n < len(outcomes) && (n == 0 || size < handOverBytes) {
			size += len(outcomes[n].Identity) + len(outcomes[n].Body)
			n++
		}
		args := wire.HandOverArgs{From: self, Outcomes: outcomes[:n]}
		outcomes = outcomes[n:]
		if len(outcomes) == 0 {
			args.Whole = a.orders.Completeness()
		}
		if err := a.sendPart(ctx, addr, args); err != nil {
			return err
		}
		if len(outcomes) == 0 {
			return nil
		}
	}
}

func (a *Agent) sendPart(ctx context.Context, addr string, args wire.HandOverArgs) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	var reply wire.HandOverReply
	if err := a.pool.Call(ctx, addr, wire.AgentService+".HandOver", args, &reply); err != nil {
		return err
	}
	if reply.Stored < len(args.Outcomes) {
		return trace.LimitExceeded("the heir stored %d of %d outcomes; choose another", reply.Stored, len(args.Outcomes))
	}
	return nil
}
