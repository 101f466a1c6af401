package proof

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/enginesim"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
	"github.com/wasabinotch/wasabinotch/lab/loadgen"
	"github.com/wasabinotch/wasabinotch/lab/ordersim"
)

const (
	modelService = "knots"
	orderService = "desk"
	rankService  = "ranks"
	rankGroup    = "group"
)

// Ports of a node and of the store. Processes bind the ports named "Listen", the
// fault-injecting proxies bind the announced ones. Simulated endpoints bind
// portEndpoint, without a proxy.
const (
	portHTTP        = 7000
	portRPC         = 7001
	portHTTPListen  = 7100
	portRPCListen   = 7101
	portEndpoint    = 7200
	portStore       = 8500
	portStoreListen = 8501
)

// clusterOptions is the size of a cluster and the behaviour of its simulated
// endpoints.
type clusterOptions struct {
	zones                                  []string
	entriesPerZone                         int
	modelAgentsPerZone                     int
	orderAgentsPerZone                     int
	engineOptions                          enginesim.Options
	orderOptions                           ordersim.Options
	changeModelService, changeOrderService func(*bundle.Service)
	// ranks is the number of ranks of the rank group, which is spread over the
	// zones; 0 for no group.
	ranks int
}

func defaultOptions() clusterOptions {
	return clusterOptions{zones: []string{"z1", "z2", "z3"}, entriesPerZone: 1, modelAgentsPerZone: 1, orderAgentsPerZone: 1}
}

// firstSubnet and subnetCount give the range of the second byte of a cluster's
// loopback network, 127.SUBNET.0.0/16.
const (
	firstSubnet = 16
	subnetCount = 200
)

// cluster is a system of daemon processes with simulated endpoints and store, and
// the proxies between them. A soak uses only its processes, proxies and link rules.
type cluster struct {
	t              *testing.T
	options        clusterOptions
	subnet         byte
	dir            string
	linkRules      *linkRules
	proxies        []*proxy
	kv             *kvsim.Server
	ledger         *ordersim.Ledger
	nodes          map[string]*node
	nodeIDs        []string
	engines        map[string]*enginesim.Engine
	orderEndpoints map[string]*ordersim.Service

	memberKey      ed25519.PrivateKey
	operatorKey    ed25519.PrivateKey
	bundle         bundle.Bundle
	organisations  []loadgen.Organisation
	authKey        string
	intentRevision uint64
}

// newCluster starts the simulated endpoints and store and all daemons, rolls out
// a bundle and waits until every node is ready.
func newCluster(t *testing.T, s clusterOptions) *cluster {
	t.Helper()
	c := prepareCluster(t, s)
	for _, id := range c.nodeIDs {
		c.startNode(id)
	}
	c.awaitEntriesServe()
	c.rollOut()
	c.awaitReady(c.nodeIDs...)
	return c
}

// prepareCluster starts the simulated endpoints and store and writes the settings
// of the daemons, which the caller starts.
func prepareCluster(t *testing.T, s clusterOptions) *cluster {
	t.Helper()
	c := &cluster{
		t: t, options: s, dir: t.TempDir(), linkRules: &linkRules{},
		nodes: map[string]*node{}, engines: map[string]*enginesim.Engine{}, orderEndpoints: map[string]*ordersim.Service{},
		ledger: ordersim.NewLedger(), authKey: base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, 32)),
	}
	c.memberKey = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{1}, ed25519.SeedSize))
	c.operatorKey = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{2}, ed25519.SeedSize))
	c.startStore()
	c.addNodes()
	c.bundle = c.newBundle()
	t.Cleanup(c.close)
	return c
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) ip(zone, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, c.subnet, byte(zone), byte(host)})
}

func (c *cluster) addProxy(announced, target string) {
	p, err := startProxy(announced, target, c.linkRules)
	c.must(err)
	c.proxies = append(c.proxies, p)
}

func (c *cluster) storeAddr() string { return fmt.Sprintf("%s:%d", c.ip(0, 1), portStore) }

// startStore starts the simulated store. Its port also reserves a loopback
// network that no other cluster uses, in this test run or in a concurrent one.
func (c *cluster) startStore() {
	for range subnetCount {
		c.subnet = byte(firstSubnet + rand.IntN(subnetCount))
		kv, err := kvsim.Listen(fmt.Sprintf("%s:%d", c.ip(0, 1), portStoreListen))
		if err != nil {
			continue
		}
		c.kv = kv
		c.addProxy(c.storeAddr(), kv.Addr())
		return
	}
	c.t.Fatal("no free loopback network; wait until other test runs have ended")
}

func (c *cluster) addNodes() {
	for z, zone := range c.options.zones {
		host := 1
		for i := range c.options.entriesPerZone {
			c.addNode(fmt.Sprintf("entry-%s-%d", zone, i+1), zone, c.ip(z+1, host), "wasabinotch-entry")
			host++
		}
		for i := range c.options.modelAgentsPerZone {
			n := c.addNode(fmt.Sprintf("model-%s-%d", zone, i+1), zone, c.ip(z+1, host), "wasabinotch-agent")
			e, err := enginesim.Listen(n.addr(portEndpoint), c.options.engineOptions)
			c.must(err)
			c.engines[n.id] = e
			host++
		}
		for i := range c.options.orderAgentsPerZone {
			n := c.addNode(fmt.Sprintf("desk-%s-%d", zone, i+1), zone, c.ip(z+1, host), "wasabinotch-agent")
			opt := c.options.orderOptions
			opt.Ledger = c.ledger
			s, err := ordersim.Listen(n.addr(portEndpoint), opt)
			c.must(err)
			c.orderEndpoints[n.id] = s
			host++
		}
	}
	for r := range c.options.ranks {
		z := r % len(c.options.zones)
		c.addNode(rankID(r), c.options.zones[z], c.ip(z+1, 100+r), "wasabinotch-agent")
	}
	for i, id := range c.nodeIDs {
		c.writeSettings(c.nodes[id], i)
	}
}

func (c *cluster) addNode(id, zone string, ip netip.Addr, program string) *node {
	n := &node{id: id, zone: zone, ip: ip, program: program}
	c.nodes[id] = n
	c.nodeIDs = append(c.nodeIDs, id)
	c.addProxy(n.addr(portHTTP), n.addr(portHTTPListen))
	c.addProxy(n.addr(portRPC), n.addr(portRPCListen))
	return n
}

func (c *cluster) entries() []*node {
	var out []*node
	for _, id := range c.nodeIDs {
		if strings.HasPrefix(id, "entry-") {
			out = append(out, c.nodes[id])
		}
	}
	return out
}

func (c *cluster) entryAddrs() []string {
	var out []string
	for _, n := range c.entries() {
		out = append(out, n.addr(portHTTP))
	}
	return out
}

// close ends all processes. With PROOF_KEEP_LOGS set to a directory, the settings
// and logs of a failed test are copied there.
func (c *cluster) close() {
	for _, n := range c.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.exited
			_ = n.logFile.Close()
		}
	}
	for _, p := range c.proxies {
		p.close()
	}
	for _, e := range c.engines {
		e.Close()
	}
	for _, d := range c.orderEndpoints {
		d.Close()
	}
	if c.kv != nil {
		c.kv.Close()
	}
	if keep := os.Getenv("PROOF_KEEP_LOGS"); keep != "" && c.t.Failed() {
		target := filepath.Join(keep, c.t.Name())
		_ = os.RemoveAll(target)
		_ = os.CopyFS(target, os.DirFS(c.dir))
	}
}

// loadConfig returns the default load: model requests, stock lookups and orders
// through all entries, 20 of each a second.
func (c *cluster) loadConfig() loadgen.Config {
	return loadgen.Config{
		EntryAddrs: c.entryAddrs(), Organisations: c.organisations, Zones: c.options.zones,
		ModelService: modelService, PlainService: orderService,
		ModelRate: 20, StockRate: 20, OrderRate: 20, CallerKeyFraction: 0.5, MaxTokens: 16, PromptPrefixBytes: 256, Seed: 1,
	}
}
