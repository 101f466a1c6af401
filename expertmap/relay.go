package expertmap

import (
	"context"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/wasabinotch/wasabinotch/wire"
)

// Numbers of agents to which a map is sent by the coordinator and by each
// agent. A map of 256 ranks has 55 kB, so that sending it to each rank from one
// process would take 14 MB per map.
const (
	coordinatorFanOut = 1
	agentFanOut       = 2
)

// relay sends a map to addrs: to the first of each of fanOut parts, which
// passes it on to the rest of its part.
func relay(ctx context.Context, pool RPCClient, fanOut int, addrs []string, args wire.MapArgs, log logr.Logger) {
	var eg errgroup.Group
	for k := range fanOut {
		part := addrs[k*len(addrs)/fanOut : (k+1)*len(addrs)/fanOut]
		if len(part) == 0 {
			continue
		}
		next := args
		next.Relay = part[1:]
		eg.Go(func() error {
			callMap(ctx, pool, part[0], next, log)
			return nil
		})
	}
	_ = eg.Wait() // the next poll shows which ranks hold the map
}

// relayEach sends a map to every address directly.
func relayEach(ctx context.Context, pool RPCClient, addrs []string, args wire.MapArgs, log logr.Logger) {
	var eg errgroup.Group
	eg.SetLimit(parallelCalls)
	for _, addr := range addrs {
		eg.Go(func() error {
			callMap(ctx, pool, addr, args, log)
			return nil
		})
	}
	_ = eg.Wait() // the next poll shows which ranks hold the map
}

// callMap calls Agent.Map; NotReady is set if there is no answer.
func callMap(ctx context.Context, pool RPCClient, addr string, args wire.MapArgs, log logr.Logger) wire.MapReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.MapReply
	if err := pool.Call(ctx, addr, wire.AgentService+".Map", args, &reply); err != nil {
		log.V(1).Info("agent did not answer", "agent", addr, "reason", err.Error())
		return wire.MapReply{NotReady: true}
	}
	return reply
}
