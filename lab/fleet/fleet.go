package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
	"github.com/wasabinotch/wasabinotch/peer"
	"github.com/wasabinotch/wasabinotch/store"
	"github.com/wasabinotch/wasabinotch/wire"
)

// seedCount is the number of entries that each node contacts on start.
const seedCount = 3

// Size is the size of a measured fleet.
type Size struct {
	Entries, Agents, Zones, Organisations int
}

// fleet is a set of running nodes with their store.
type fleet struct {
	size    Size
	keys    signingKeys
	authKey []byte
	store   *kvsim.Server
	seeds   []string
	entries []*node
	agents  []*node
	traffic map[wire.Role]*traffic
	// storeTraffic counts the bytes between entries and the store.
	storeTraffic traffic
}

// node is one control loop with its net/rpc server.
type node struct {
	loop *control.Loop
	role wire.Role
	stop func()
}

// agentService serves the RPC method by which an agent receives notifications.
type agentService struct{ loop *control.Loop }

// Notify handles a notification of changed configuration.
func (a *agentService) Notify(args *wire.NotifyArgs, reply *wire.NotifyReply) error {
	*reply = a.loop.HandleNotify(*args)
	return nil
}

func startFleet(size Size) (*fleet, error) {
	keys, err := newSigningKeys()
	if err != nil {
		return nil, err
	}
	f := &fleet{size: size, keys: keys, authKey: make([]byte, 32),
		traffic: map[wire.Role]*traffic{wire.RoleEntry: {}, wire.RoleAgent: {}}}
	if f.store, err = kvsim.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for i := range size.Entries {
		if err := f.addNode(wire.RoleEntry, i); err != nil {
			f.close()
			return nil, err
		}
	}
	for i := range size.Agents {
		if err := f.addNode(wire.RoleAgent, i); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) addNode(role wire.Role, i int) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return trace.Wrap(err)
	}
	roleTraffic := f.traffic[role]
	pool := peer.NewPoolWithDialer(f.authKey, roleTraffic.dial)
	name := fmt.Sprintf("fleet-%s-%d", role, i)
	self := wire.Node{ID: name, VM: "vm-" + name, Role: role, Zone: zoneName(i % f.size.Zones), RPCAddr: ln.Addr().String(), HTTPAddr: "127.0.0.1:8080"}
	cfg := control.Config{Members: f.keys.memberKeys(), Threshold: 1, Pool: pool, Log: logr.Discard()}
	if role == wire.RoleEntry {
		cfg.Store = store.NewConsul(store.ConsulConfig{Addrs: []string{f.store.Addr()}, Dial: f.storeTraffic.dial,
			CallsPerSecond: store.DefaultCallsPerSecond, Burst: store.DefaultBurst})
		if i < seedCount {
			f.seeds = append(f.seeds, self.RPCAddr)
		}
	} else {
		self.Service = serviceName(i % serviceCount)
		cfg.Load = f.agentLoad
	}
	cfg.Self, cfg.Seeds = self, f.seeds[:len(f.seeds):len(f.seeds)]
	loop := control.New(cfg)
	server := peer.NewServer(f.authKey, logr.Discard())
	if role == wire.RoleEntry {
		err = loop.Register(server)
	} else {
		err = server.Register(wire.AgentService, &agentService{loop})
	}
	if err != nil {
		return trace.Wrap(err)
	}
	f.runNode(&node{loop: loop, role: role}, server, pool, countedListener{ln, roleTraffic})
	return nil
}

// runNode starts the node's control loop and RPC server.
func (f *fleet) runNode(n *node, server *peer.Server, pool *peer.Pool, ln net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { server.Serve(ln) })
	running.Go(func() { _ = n.loop.Run(ctx) }) // returns when ctx ends
	n.stop = func() {
		cancel()
		_ = ln.Close()
		server.Close()
		running.Wait()
		pool.Close()
	}
	if n.role == wire.RoleEntry {
		f.entries = append(f.entries, n)
	} else {
		f.agents = append(f.agents, n)
	}
}

// agentLoad returns the load report of a busy agent, which serves requests of
// several organisations.
func (f *fleet) agentLoad() wire.Load {
	const served = 10 // organisations with requests at one endpoint
	l := wire.Load{Limit: 16, InFlight: 8, Served: make(map[string]float64, served)}
	for i := range min(served, f.size.Organisations) {
		l.Served[fmt.Sprintf("organisation-%03d", i)] = 1000
	}
	return l
}

func (f *fleet) nodes() []*node {
	return append(f.entries[:len(f.entries):len(f.entries)], f.agents...)
}

func (f *fleet) close() {
	for _, n := range f.agents {
		n.stop()
	}
	for _, n := range f.entries {
		n.stop()
	}
	f.store.Close()
}

// await waits until ok is true on all nodes and returns how long that took. It
// fails after limit.
func await(nodes []*node, limit time.Duration, what string, ok func(*control.Snapshot) bool) (time.Duration, error) {
	const poll = 2 * time.Millisecond
	began := time.Now()
	for _, n := range nodes {
		for !ok(n.loop.Snapshot()) {
			if time.Since(began) > limit {
				return 0, trace.LimitExceeded("%s: condition is not met on %s after %v", what, n.loop.Snapshot().Self.ID, limit)
			}
			time.Sleep(poll)
		}
	}
	return time.Since(began), nil
}
