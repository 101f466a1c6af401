package agent

import (
	"context"
	"time"

	"github.com/wasabinotch/wasabinotch/wire"
)

// mapTimeout bounds one order to the rank; loading goes on after it.
const mapTimeout = 5 * time.Second

// rpcService is the net/rpc service Agent.
type rpcService struct{ agent *Agent }

// Notify passes a configuration change to the control loop.
func (s *rpcService) Notify(args wire.NotifyArgs, reply *wire.NotifyReply) error {
	*reply = s.agent.control.HandleNotify(args)
	return nil
}

// HandOver stores order outcomes of a leaving agent.
func (s *rpcService) HandOver(args wire.HandOverArgs, reply *wire.HandOverReply) error {
	reply.Stored = s.agent.orders.ImportOutcomes(args.Outcomes)
	if reply.Stored == len(args.Outcomes) {
		s.agent.orders.ImportCompleteness(args.Whole)
	}
	s.agent.log.Info("inherited order outcomes", "from", args.From.ID, "sent", len(args.Outcomes), "stored", reply.Stored)
	return nil
}

// Map passes an expert map to the rank.
func (s *rpcService) Map(args wire.MapArgs, reply *wire.MapReply) error {
	if s.agent.rank == nil {
		reply.Refused = true
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), mapTimeout)
	defer cancel()
	var err error
	*reply, err = s.agent.rank.Handle(ctx, args)
	return err
}
