package control

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/logs"
	"github.com/wasabinotch/wasabinotch/peer"
	"github.com/wasabinotch/wasabinotch/wire"
)

// node is a Loop with its net/rpc server. stop ends both.
type node struct {
	*Loop
	stop func()
}

// cluster is a fleet of nodes in one process with a common in-memory store.
type cluster struct {
	t           testing.TB
	store       *memStore
	peerKey     []byte             // shared key of the connections between nodes
	memberKey   ed25519.PrivateKey // signs bundles
	operatorKey ed25519.PrivateKey // signs intents
	members     []bundle.PublicKey // verify bundles
	operators   []bundle.PublicKey // verify intents
	seeds       []string
	nodes       []*node
	log         io.Writer // receives the logs of nodes started later; nil for none
}

// agentService is the net/rpc service of an agent node.
type agentService struct{ l *Loop }

func (a *agentService) Notify(args *wire.NotifyArgs, reply *wire.NotifyReply) error {
	*reply = a.l.HandleNotify(*args)
	return nil
}

func newKey(name string) (bundle.PublicKey, ed25519.PrivateKey) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		panic(err)
	}
	return bundle.PublicKey{Name: name, Public: base64.StdEncoding.EncodeToString(public)}, private
}

func newCluster(t testing.TB) *cluster {
	c := &cluster{t: t, store: newMemStore(), peerKey: make([]byte, 32)}
	member, private := newKey("batinah")
	c.members, c.memberKey = []bundle.PublicKey{member}, private
	operator, private := newKey("olive")
	c.operators, c.operatorKey = []bundle.PublicKey{operator}, private
	return c
}

// startNode starts a node with a generated ID. If incarnation is 0, the node
// generates one.
func (c *cluster) startNode(role wire.Role, zone string, incarnation uint64) *node {
	id := fmt.Sprintf("%s-%s-%d", role, zone, len(c.nodes))
	return c.startNodeAs(wire.Node{ID: id, Role: role, Zone: zone, VM: "vm-" + id, Incarnation: incarnation, Service: "stock"})
}

// startNodeAs starts a node with the given record; its RPC address is set here.
func (c *cluster) startNodeAs(self wire.Node) *node {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	self.RPCAddr = ln.Addr().String()
	pool := peer.NewPool(c.peerKey)
	cfg := Config{Self: self, Members: c.members, Threshold: 1, Pool: pool, Log: logr.Discard()}
	if c.log != nil {
		cfg.Log = logs.New(c.log)
	}
	server := peer.NewServer(c.peerKey, logr.Discard())
	if self.Role == wire.RoleEntry {
		cfg.Store = c.store
		c.seeds = append(c.seeds, self.RPCAddr)
	} else {
		cfg.Load = func() wire.Load { return wire.Load{Limit: 4, Served: map[string]float64{"north": 1}} }
	}
	cfg.Seeds = append([]string(nil), c.seeds...)
	l := New(cfg)
	if self.Role == wire.RoleEntry {
		err = l.Register(server)
	} else {
		err = server.Register(wire.AgentService, &agentService{l})
	}
	if err != nil {
		c.t.Fatal(err)
	}
	go server.Serve(ln)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = l.Run(ctx)
	}()
	n := &node{Loop: l}
	n.stop = func() {
		cancel()
		_ = ln.Close()
		server.Close()
		<-ended
		pool.Close()
	}
	c.nodes = append(c.nodes, n)
	c.t.Cleanup(n.stop)
	return n
}

// startEntries starts count entries in the zones a, b and c in turn.
func (c *cluster) startEntries(count int) []*node {
	var out []*node
	for i := range count {
		out = append(out, c.startNode(wire.RoleEntry, string(rune('a'+i%3)), 0))
	}
	return out
}

// bundle returns a signed bundle with one service.
func (c *cluster) bundle(version uint64, previous string) *bundle.Signed {
	b := bundle.Bundle{
		Version:       version,
		Previous:      previous,
		Organisations: []bundle.Organisation{{Name: "north"}},
		Services: []bundle.Service{{Name: "stock", Kind: bundle.KindPlain, ColdLimit: 1, WarmLimit: 4,
			TimeoutMS: 1000, Shares: map[string]float64{"north": 1}}},
		Zones:     []string{"a", "b", "c"},
		Operators: c.operators,
	}
	sig, err := b.Sign("batinah", c.memberKey)
	if err != nil {
		c.t.Fatal(err)
	}
	return &bundle.Signed{Bundle: b, Signatures: []bundle.Signature{sig}}
}

// intent returns an intent, signed by the operator, that takes the zone out of
// service or, if out is false, returns it to service.
func (c *cluster) intent(zone string, out bool, revision uint64) bundle.Intent {
	in := bundle.Intent{Kind: bundle.TargetZone, Target: zone, Out: out, Revision: revision}
	if err := in.Sign("olive", c.operatorKey); err != nil {
		c.t.Fatal(err)
	}
	return in
}

// rollOut rolls out, at the node n, the successor of its bundle in force.
func (c *cluster) rollOut(n *node) api.AdminResult {
	c.t.Helper()
	s := n.Snapshot()
	result, err := n.RollOutBundle(context.Background(), c.bundle(s.Self.BundleVersion+1, s.BundleDigest))
	if err != nil {
		c.t.Fatal(err)
	}
	return result
}

// waitFor checks the nodes one after the other, waiting for each until ok holds, and
// returns how long that took. It fails the test after limit; what names the condition
// in the message.
func (c *cluster) waitFor(limit time.Duration, what string, nodes []*node, ok func(s *Snapshot) bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for _, n := range nodes {
		for !ok(n.Snapshot()) {
			if time.Since(start) > limit {
				c.t.Fatalf("%s: condition does not hold on node %s after %v", what, n.Snapshot().Self.ID, limit)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}

func hasBundleVersion(v uint64) func(s *Snapshot) bool {
	return func(s *Snapshot) bool { return s.Self.BundleVersion == v }
}

// isViewConfirmed reports whether the store or a majority of zones confirmed the
// node's view recently enough for new work.
func isViewConfirmed(s *Snapshot) bool { return s.Confirmed(time.Now()) }

func zoneOutOfService(z string) func(s *Snapshot) bool {
	return func(s *Snapshot) bool { return s.ZonesOut[z] }
}

// kindOf returns the kind of a refusal, or the text of any other error.
func kindOf(err error) api.Kind {
	var r *api.Refusal
	if errors.As(err, &r) {
		return r.Kind
	}
	return api.Kind(strings.TrimSpace(fmt.Sprint(err)))
}

// bundleInForce returns the signed bundle in force on the node.
func (n *node) bundleInForce() *bundle.Signed {
	q := configQuery{make(chan configState, 1)}
	n.send(q)
	return (<-q.reply).signedBundle
}

// waitForEntries waits until each of the nodes, which are all the entries, lists as
// many entries as there are others.
func (c *cluster) waitForEntries(nodes []*node) {
	c.t.Helper()
	took := c.waitFor(10*time.Second, "list of entries", nodes, func(s *Snapshot) bool {
		return len(s.Entries) >= len(nodes)-1
	})
	c.t.Logf("%d entries list each other after %v", len(nodes), took)
}

// Guards against a bundle that is rolled out at one entry but does not reach every
// node in time, and against an error when the same roll-out is retried.
func TestRollReachesAll(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	entries := c.startEntries(17)
	c.waitForEntries(entries)
	for _, z := range []string{"a", "b", "c"} {
		c.startNode(wire.RoleAgent, z, 0)
	}
	result := c.rollOut(entries[0])
	for range 3 { // on a loaded machine, confirmTimeout may pass before all zones confirm
		if len(result.ConfirmedZones) < 3 {
			retried, err := entries[0].RollOutBundle(context.Background(), entries[0].bundleInForce())
			is.NoErr(err)
			result = retried
		}
	}
	is.Equal(result.ConfirmedZones, []string{"a", "b", "c"})
	c.waitFor(3*time.Second, "version 1", c.nodes, hasBundleVersion(1))
	c.waitFor(3*time.Second, "ready", c.nodes, func(s *Snapshot) bool { return s.Self.State == wire.StateReady })
	c.waitFor(3*time.Second, "endpoints", entries, func(s *Snapshot) bool { return len(s.Endpoints["stock"]) == 3 })
	for v := uint64(2); v <= 6; v++ {
		s := entries[1].Snapshot()
		next := c.bundle(v, s.BundleDigest)
		start := time.Now()
		go func() { _, _ = entries[1].RollOutBundle(context.Background(), next) }()
		c.waitFor(2*time.Second, "next version", c.nodes, hasBundleVersion(v))
		t.Logf("bundle %d in force on %d nodes after %v; exchanges by result: %v", v, len(c.nodes), time.Since(start), metricExchanges)
		_, err := entries[2].RollOutBundle(context.Background(), next)
		is.NoErr(err) // a retried roll-out succeeds
	}
}
