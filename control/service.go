package control

import (
	"context"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/membership"
	"github.com/wasabinotch/wasabinotch/peer"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Register registers the Peer service of an entry with the RPC server.
func (l *Loop) Register(s *peer.Server) error {
	return s.Register(wire.PeerService, &peerService{l})
}

// peerService is the receiver of the net/rpc service Peer.
type peerService struct {
	loop *Loop
}

// exchangeRequest is the event for a peer's call of Exchange.
type exchangeRequest struct {
	args      *wire.ExchangeArgs
	candidate *candidate
	intents   *bundle.Intents
	reply     chan wire.ExchangeReply
}

// Exchange merges a peer's state and returns what the peer lacks, in one
// anti-entropy round.
func (s *peerService) Exchange(args *wire.ExchangeArgs, reply *wire.ExchangeReply) error {
	l := s.loop
	req := exchangeRequest{
		args:      args,
		candidate: l.checkBundle(args.Bundle, args.From.ID),
		intents:   l.checkIntents(args.Intents, args.From.ID),
		reply:     make(chan wire.ExchangeReply, 1),
	}
	out, err := sendAndWait(context.Background(), l, req, req.reply)
	*reply = out
	return err
}

// apply merges the peer's state and replies with this node's.
func (r exchangeRequest) apply(l *Loop) {
	now := l.clock.Now()
	from, known := l.resolveNode(r.args.From, now)
	l.applyBundle(r.candidate, from.ID)
	l.mergeIntents(r.intents, from.ID)
	l.recordPeerConfig(from.ID, r.args.Config)
	cursor := l.requestCursor(r.args)
	sameTable := r.args.TableHash != 0 && r.args.TableHash == l.table.Hash(l.self)
	if sameTable {
		cursor = l.table.Counter()
	}
	reply := wire.ExchangeReply{From: l.selfSince(cursor), Config: l.config(now), Cursor: l.table.Counter(), WantNode: !known}
	learnedSince := now.Add(-membership.HeartbeatRelayTime)
	switch {
	case sameTable:
		reply.Updates = l.table.RecentHeartbeats(from.ID, learnedSince)
	case from.Role == wire.RoleEntry:
		reply.Updates = l.table.UpdatesSince(cursor, from.ID, learnedSince)
	}
	reply.Updates = append(reply.Updates, l.conflictingRecord(from)...)
	bundleMissing, intentsMissing := l.missingFrom(r.args.Config)
	if bundleMissing {
		reply.Bundle = l.bundleRaw
	}
	if intentsMissing {
		reply.Intents = l.intentsRaw
	}
	r.reply <- reply
	// Do not respond to a fetch with another fetch: two nodes that reject each
	// other's content would call each other without end.
	if !r.args.WantBundle {
		l.fetchIfBehind(r.args.Config, from)
	}
}

// requestCursor returns the cursor from which to send updates: 0, for all records,
// if the peer's cursor refers to another incarnation of this node.
func (l *Loop) requestCursor(args *wire.ExchangeArgs) uint64 {
	if args.CursorOf != l.self.Incarnation {
		return 0
	}
	return args.Cursor
}

// conflictingRecord returns the known record with the ID of from if it has a
// higher incarnation, so that from generates a new incarnation.
func (l *Loop) conflictingRecord(from wire.Node) []wire.Node {
	r := l.table.Get(from.ID)
	if r != nil && r.Node.Incarnation > from.Incarnation {
		return []wire.Node{r.Node}
	}
	return nil
}

// Agents lists the ready agents of a service. Agents receive no records of other
// agents, so a leaving agent calls this to find successors for its order outcomes.
func (s *peerService) Agents(args *wire.AgentsArgs, reply *wire.AgentsReply) error {
	for _, e := range s.loop.Snapshot().Endpoints[args.Service] {
		reply.Agents = append(reply.Agents, e.Node)
	}
	return nil
}

// reportRequest is the event for an agent's call of Report.
type reportRequest struct {
	args  *wire.ReportArgs
	reply chan wire.ReportReply
}

// Report handles an agent's report.
func (s *peerService) Report(args *wire.ReportArgs, reply *wire.ReportReply) error {
	req := reportRequest{args: args, reply: make(chan wire.ReportReply, 1)}
	out, err := sendAndWait(context.Background(), s.loop, req, req.reply)
	*reply = out
	return err
}

// apply updates the endpoint of the reporting agent. It requests the full record
// if it lacks it, and replies with the list of entries if the agent's differs.
func (r reportRequest) apply(l *Loop) {
	now := l.clock.Now()
	node := r.args.Node
	l.resolveNode(node, now)
	l.recordPeerConfig(node.ID, r.args.Config)
	reply := wire.ReportReply{Incarnation: l.self.Incarnation, Config: l.config(now)}
	known := l.table.Get(node.ID)
	switch {
	case known == nil || known.Node.Incarnation < node.Incarnation:
		reply.WantNode = true
	case known.Node.Incarnation == node.Incarnation && known.Node.ContentSeq < node.ContentSeq:
		reply.WantNode = true
	case known.Node.Incarnation > node.Incarnation:
		reply.Entries = l.conflictingRecord(node)
	default:
		load := r.args.Load
		load.NodeID, load.Incarnation = node.ID, node.Incarnation
		l.updateEndpoint(known.Node, load)
	}
	if hash, entries := l.entryList(); hash != r.args.EntriesHash {
		reply.Entries = append(reply.Entries, entries...)
	}
	r.reply <- reply
}

// updateEndpoint records an agent's load report. A report without the served cost
// keeps the previous one.
func (l *Loop) updateEndpoint(n wire.Node, load wire.Load) {
	old := l.endpoints[n.ID]
	if old != nil && old.Load.Incarnation == load.Incarnation && load.Seq < old.Load.Seq {
		return // a later report has already arrived
	}
	if load.Served == nil && old != nil {
		load.Served = old.Load.Served
	}
	l.endpoints[n.ID] = &Endpoint{Node: n, Load: load, LastSeen: l.clock.Now(), ReturnedAt: l.returnedAtOf(n)}
	l.publishLater = true
	if old == nil || old.Node.State != n.State {
		l.publishNow = true
	}
}

// notifyRequest is the event for an entry's notification.
type notifyRequest struct {
	args      wire.NotifyArgs
	candidate *candidate
	intents   *bundle.Intents
	reply     chan wire.NotifyReply
}

// HandleNotify applies a configuration change that an entry announced.
func (l *Loop) HandleNotify(args wire.NotifyArgs) wire.NotifyReply {
	req := notifyRequest{
		args:      args,
		candidate: l.checkBundle(args.Bundle, args.From.ID),
		intents:   l.checkIntents(args.Intents, args.From.ID),
		reply:     make(chan wire.NotifyReply, 1),
	}
	reply, err := sendAndWait(context.Background(), l, req, req.reply)
	if err != nil {
		l.log.Info("Notification not handled.", "from", args.From.ID, "reason", err.Error())
	}
	return reply
}

func (r notifyRequest) apply(l *Loop) {
	l.applyNode(r.args.From, r.args.From.ID, l.clock.Now())
	l.applyBundle(r.candidate, r.args.From.ID)
	l.mergeIntents(r.intents, r.args.From.ID)
	r.reply <- wire.NotifyReply{Config: l.config(l.clock.Now())}
	l.fetchIfBehind(r.args.Config, r.args.From)
}

type stateRequest struct{ state wire.State }

// SetState implements Lifecycle.
func (l *Loop) SetState(s wire.State) {
	l.send(stateRequest{s})
}

func (c stateRequest) apply(l *Loop) {
	l.requestedState = c.state
	l.updateState(l.confirmedAt(l.clock.Now()))
}

type successorsChange struct{ ids []string }

// SetSuccessors implements Lifecycle.
func (l *Loop) SetSuccessors(ids []string) {
	l.send(successorsChange{append([]string(nil), ids...)})
}

func (c successorsChange) apply(l *Loop) {
	l.self.Heirs = c.ids
	l.announceSelfChange()
}
