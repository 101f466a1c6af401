package control

import (
	"context"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/membership"
	"github.com/wasabinotch/wasabinotch/peer"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Register makes the Peer service of an entry callable.
func (l *Loop) Register(s *peer.Server) error {
	return s.Register(wire.PeerService, &service{l})
}

// service is the receiver of the Peer net/rpc service.
type service struct {
	loop *Loop
}

type exchangeRequest struct {
	args      *wire.ExchangeArgs
	candidate *candidate
	intents   *bundle.Intents
	answer    chan wire.ExchangeReply
}

// Exchange answers one anti-entropy round.
func (s *service) Exchange(args *wire.ExchangeArgs, reply *wire.ExchangeReply) error {
	l := s.loop
	req := exchangeRequest{
		args:      args,
		candidate: l.checkBundle(args.Bundle, args.From.ID),
		intents:   l.checkIntents(args.Intents, args.From.ID),
		answer:    make(chan wire.ExchangeReply, 1),
	}
	out, err := ask(context.Background(), l, req, req.answer)
	*reply = out
	return err
}

// apply merges a peer's state and answers with this node's.
func (r exchangeRequest) apply(l *Loop) {
	now := l.clock.Now()
	from, known := l.resolve(r.args.From, now)
	l.applyBundle(r.candidate, from.ID)
	l.mergeIntents(r.intents, from.ID)
	l.heardConfig(from.ID, r.args.Config)
	cursor := l.requestCursor(r.args)
	same := r.args.TableHash != 0 && r.args.TableHash == l.table.Hash(l.self)
	if same {
		cursor = l.table.Counter()
	}
	reply := wire.ExchangeReply{From: l.selfSince(cursor), Config: l.config(now), Cursor: l.table.Counter(), WantNode: !known}
	hot := now.Add(-membership.HeartbeatRelayTime)
	switch {
	case same:
		reply.Updates = l.table.RecentHeartbeats(from.ID, hot)
	case from.Role == wire.RoleEntry:
		reply.Updates = l.table.UpdatesSince(cursor, from.ID, hot)
	}
	reply.Updates = append(reply.Updates, l.conflicting(from)...)
	bundleMissing, intentsMissing := l.lacks(r.args.Config)
	if bundleMissing {
		reply.Bundle = l.signedRaw
	}
	if intentsMissing {
		reply.Intents = l.intentsRaw
	}
	r.answer <- reply
	// A fetch is not answered by another one: two nodes that do not accept each
	// other's content would call each other without end.
	if !r.args.WantBundle {
		l.fetchIfBehind(r.args.Config, from)
	}
}

// requestCursor returns the cursor to answer from; cursors of another
// incarnation are void.
func (l *Loop) requestCursor(args *wire.ExchangeArgs) uint64 {
	if args.CursorOf != l.self.Incarnation {
		return 0
	}
	return args.Cursor
}

// conflicting returns the record under which from's ID is known if that has a
// higher incarnation, so that from draws a new one.
func (l *Loop) conflicting(from wire.Node) []wire.Node {
	r := l.table.Get(from.ID)
	if r != nil && r.Node.Incarnation > from.Incarnation {
		return []wire.Node{r.Node}
	}
	return nil
}

// Agents lists the ready agents of a service. Agents hear only from entries, so
// a leaving agent finds successors for its order outcomes here.
func (s *service) Agents(args *wire.AgentsArgs, reply *wire.AgentsReply) error {
	for _, e := range s.loop.Snapshot().Endpoints[args.Service] {
		reply.Agents = append(reply.Agents, e.Node)
	}
	return nil
}

type reportRequest struct {
	args   *wire.ReportArgs
	answer chan wire.ReportReply
}

// Report takes an agent's report.
func (s *service) Report(args *wire.ReportArgs, reply *wire.ReportReply) error {
	req := reportRequest{args: args, answer: make(chan wire.ReportReply, 1)}
	out, err := ask(context.Background(), s.loop, req, req.answer)
	*reply = out
	return err
}

// apply updates the endpoint of the reporting agent.
func (r reportRequest) apply(l *Loop) {
	now := l.clock.Now()
	node := r.args.Node
	l.resolve(node, now)
	l.heardConfig(node.ID, r.args.Config)
	reply := wire.ReportReply{Incarnation: l.self.Incarnation, Config: l.config(now)}
	known := l.table.Get(node.ID)
	switch {
	case known == nil || known.Node.Incarnation < node.Incarnation:
		reply.WantNode = true
	case known.Node.Incarnation == node.Incarnation && known.Node.ContentSeq < node.ContentSeq:
		reply.WantNode = true
	case known.Node.Incarnation > node.Incarnation:
		reply.Entries = l.conflicting(node)
	default:
		load := r.args.Load
		load.NodeID, load.Incarnation = node.ID, node.Incarnation
		l.updateEndpoint(known.Node, load)
	}
	if hash, entries := l.entryList(); hash != r.args.EntriesHash {
		reply.Entries = append(reply.Entries, entries...)
	}
	r.answer <- reply
}

func (l *Loop) updateEndpoint(n wire.Node, load wire.Load) {
	old := l.endpoints[n.ID]
	if old != nil && old.Load.Incarnation == load.Incarnation && load.Seq < old.Load.Seq {
		return // overtaken by a later report
	}
	if load.Served == nil && old != nil {
		load.Served = old.Load.Served
	}
	l.endpoints[n.ID] = &Endpoint{Node: n, Load: load, LastSeen: l.clock.Now(), ReturnedAt: l.inSinceOf(n)}
	l.publishLater = true
	if old == nil || old.Node.State != n.State {
		l.publishNow = true
	}
}

type notifyRequest struct {
	args      wire.NotifyArgs
	candidate *candidate
	intents   *bundle.Intents
	answer    chan wire.NotifyReply
}

// HandleNotify applies a configuration change that an entry announced.
func (l *Loop) HandleNotify(args wire.NotifyArgs) wire.NotifyReply {
	req := notifyRequest{
		args:      args,
		candidate: l.checkBundle(args.Bundle, args.From.ID),
		intents:   l.checkIntents(args.Intents, args.From.ID),
		answer:    make(chan wire.NotifyReply, 1),
	}
	reply, err := ask(context.Background(), l, req, req.answer)
	if err != nil {
		l.log.Info("could not handle a notification", "from", args.From.ID, "reason", err.Error())
	}
	return reply
}

func (r notifyRequest) apply(l *Loop) {
	l.applyNode(r.args.From, r.args.From.ID, l.clock.Now())
	l.applyBundle(r.candidate, r.args.From.ID)
	l.mergeIntents(r.intents, r.args.From.ID)
	r.answer <- wire.NotifyReply{Config: l.config(l.clock.Now())}
	l.fetchIfBehind(r.args.Config, r.args.From)
}

type stateChange struct{ state wire.State }

// SetState implements Lifecycle.
func (l *Loop) SetState(s wire.State) {
	l.send(stateChange{s})
}

func (c stateChange) apply(l *Loop) {
	l.wanted = c.state
	l.updateState(l.confirmedAt(l.clock.Now()))
}

type heirsChange struct{ ids []string }

// SetSuccessors implements Lifecycle.
func (l *Loop) SetSuccessors(ids []string) {
	l.send(heirsChange{append([]string(nil), ids...)})
}

func (c heirsChange) apply(l *Loop) {
	l.self.Heirs = c.ids
	l.selfChanged()
}
