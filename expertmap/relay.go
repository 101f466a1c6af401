package expertmap

import (
	"context"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/wasabinotch/wasabinotch/wire"
)

// Numbers of agents to which the coordinator and each relaying agent send a map.
// Maps are relayed because a map of 256 ranks takes 55 kB, so that sending it to
// every rank from one process would take 14 MB.
const (
	coordinatorFanOut = 1
	agentFanOut       = 2
)

// sendThroughRelays divides addrs into fanOut parts and sends a map to the first
// agent of each part, which relays it to the rest of its part.
func sendThroughRelays(ctx context.Context, pool RPCClient, fanOut int, addrs []string, args wire.MapArgs, log logr.Logger) {
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

// sendDirectly sends a map to every agent in addrs, without relays.
func sendDirectly(ctx context.Context, pool RPCClient, addrs []string, args wire.MapArgs, log logr.Logger) {
	var eg errgroup.Group
	eg.SetLimit(maxConcurrentCalls)
	for _, addr := range addrs {
		eg.Go(func() error {
			callMap(ctx, pool, addr, args, log)
			return nil
		})
	}
	_ = eg.Wait() // the next poll shows which ranks hold the map
}

// callMap calls the RPC method Agent.Map. If the call fails, the reply has NotReady
// set.
func callMap(ctx context.Context, pool RPCClient, addr string, args wire.MapArgs, log logr.Logger) wire.MapReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.MapReply
	if err := pool.Call(ctx, addr, wire.AgentService+".Map", args, &reply); err != nil {
		log.V(1).Info("Call to an agent failed.", "agent", addr, "reason", err.Error())
		return wire.MapReply{NotReady: true}
	}
	return reply
}
