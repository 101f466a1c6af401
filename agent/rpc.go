package agent

import (
	"context"
	"time"

	"github.com/wasabinotch/wasabinotch/wire"
)

// mapRequestTimeout bounds one Map call, including the requests to the rank. The rank
// continues to load a map after it.
const mapRequestTimeout = 5 * time.Second

// rpcService is the net/rpc service wire.AgentService.
type rpcService struct{ agent *Agent }

// Notify passes a configuration change to the control loop.
func (s *rpcService) Notify(args wire.NotifyArgs, reply *wire.NotifyReply) error {
	*reply = s.agent.control.HandleNotify(args)
	return nil
}

// HandOver stores order outcomes of a leaving agent. It accepts the statement that they
// are complete only if all outcomes of the call were stored.
func (s *rpcService) HandOver(args wire.HandOverArgs, reply *wire.HandOverReply) error {
	reply.Stored = s.agent.orders.ImportOutcomes(args.Outcomes)
	if reply.Stored == len(args.Outcomes) {
		s.agent.orders.ImportCompleteness(args.Whole)
	}
	s.agent.log.Info("Received order outcomes of a leaving agent.", "from", args.From.ID, "sent", len(args.Outcomes), "stored", reply.Stored)
	return nil
}

// Map passes an expert map to the rank and returns the state of the rank. It refuses the
// map if the agent is not in a rank group.
func (s *rpcService) Map(args wire.MapArgs, reply *wire.MapReply) error {
	if s.agent.mapLoader == nil {
		reply.Refused = true
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), mapRequestTimeout)
	defer cancel()
	var err error
	*reply, err = s.agent.mapLoader.Handle(ctx, args)
	return err
}
