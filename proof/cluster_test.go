package proof

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/enginesim"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
	"github.com/wasabinotch/wasabinotch/lab/loadgen"
	"github.com/wasabinotch/wasabinotch/lab/ordersim"
	"github.com/wasabinotch/wasabinotch/settings"
)

const (
	modelService = "knots"
	orderService = "desk"
	rankService  = "ranks"
	rankGroup    = "group"
)

// Ports of a node. Processes bind the listen ports; the proxies bind the
// announced ones.
const (
	portHTTP       = 7000
	portRPC        = 7001
	portHTTPListen = 7100
	portRPCListen  = 7101
	portEndpoint   = 7200
	portStore      = 8500
	portStoreReal  = 8501
)

var binaries struct {
	once sync.Once
	dir  string
	err  error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if binaries.dir != "" {
		_ = os.RemoveAll(binaries.dir)
	}
	os.Exit(code)
}

// binary builds the daemons once and returns the path of one.
func binary(t *testing.T, name string) string {
	t.Helper()
	binaries.once.Do(func() {
		binaries.dir, binaries.err = os.MkdirTemp("", "wasabinotch-proof")
		if binaries.err != nil {
			return
		}
		build := exec.Command("go", "build", "-o", binaries.dir, "../cmd/wasabinotch-entry", "../cmd/wasabinotch-agent")
		if out, err := build.CombinedOutput(); err != nil {
			binaries.err = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	if binaries.err != nil {
		t.Fatal(binaries.err)
	}
	return filepath.Join(binaries.dir, name)
}

// node is one daemon process.
type node struct {
	id, zone string
	ip       netip.Addr
	program  string
	settings string // path
	cmd      *exec.Cmd
	log      *os.File
	exited   chan struct{}
}

func (n *node) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// shape is the size of a cluster.
type shape struct {
	zones           []string
	entriesPerZone  int
	modelsPerZone   int
	desksPerZone    int
	engine          enginesim.Options
	desk            ordersim.Options
	service, orders func(*bundle.Service)
	// ranks is the number of ranks of a group that is spread over the zones.
	ranks int
}

func defaultShape() shape {
	return shape{zones: []string{"z1", "z2", "z3"}, entriesPerZone: 1, modelsPerZone: 1, desksPerZone: 1}
}

// firstSubnet and subnets bound the second byte of a cluster's loopback
// network, 127.SUBNET.0.0.
const (
	firstSubnet = 16
	subnets     = 200
)

type cluster struct {
	t       *testing.T
	shape   shape
	subnet  byte
	dir     string
	net     *network
	proxies []*proxy
	kv      *kvsim.Server
	ledger  *ordersim.Ledger
	nodes   map[string]*node
	order   []string
	engines map[string]*enginesim.Engine
	desks   map[string]*ordersim.Service

	member   ed25519.PrivateKey
	operator ed25519.PrivateKey
	bundle   bundle.Bundle
	orgs     []loadgen.Organisation
	authKey  string
	revision uint64
}

// newCluster starts the stand-ins and all daemons, rolls a bundle and waits
// until every node is ready.
func newCluster(t *testing.T, s shape) *cluster {
	t.Helper()
	c := prepareCluster(t, s)
	for _, id := range c.order {
		c.start(id)
	}
	c.awaitStarted()
	c.roll()
	c.awaitReady(c.order...)
	return c
}

func prepareCluster(t *testing.T, s shape) *cluster {
	t.Helper()
	c := &cluster{
		t: t, shape: s, dir: t.TempDir(), net: &network{},
		nodes: map[string]*node{}, engines: map[string]*enginesim.Engine{}, desks: map[string]*ordersim.Service{},
		ledger: ordersim.NewLedger(), authKey: base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, 32)),
	}
	c.member = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{1}, ed25519.SeedSize))
	c.operator = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{2}, ed25519.SeedSize))
	c.startStore()
	c.addNodes()
	c.bundle = c.newBundle()
	t.Cleanup(c.stop)
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

func (c *cluster) proxy(announced, target string) {
	p, err := startProxy(announced, target, c.net)
	c.must(err)
	c.proxies = append(c.proxies, p)
}

func (c *cluster) storeAddr() string { return fmt.Sprintf("%s:%d", c.ip(0, 1), portStore) }

// startStore also claims a loopback network that no other cluster uses, in
// this test run or in another at the same time.
func (c *cluster) startStore() {
	for range subnets {
		c.subnet = byte(firstSubnet + rand.IntN(subnets))
		kv, err := kvsim.Listen(fmt.Sprintf("%s:%d", c.ip(0, 1), portStoreReal))
		if err != nil {
			continue
		}
		c.kv = kv
		c.proxy(c.storeAddr(), kv.Addr())
		return
	}
	c.t.Fatal("no free loopback network; end other test runs")
}

func (c *cluster) addNodes() {
	for z, zone := range c.shape.zones {
		host := 1
		for i := range c.shape.entriesPerZone {
			c.addNode(fmt.Sprintf("entry-%s-%d", zone, i+1), zone, c.ip(z+1, host), "wasabinotch-entry")
			host++
		}
		for i := range c.shape.modelsPerZone {
			n := c.addNode(fmt.Sprintf("model-%s-%d", zone, i+1), zone, c.ip(z+1, host), "wasabinotch-agent")
			e, err := enginesim.Listen(n.addr(portEndpoint), c.shape.engine)
			c.must(err)
			c.engines[n.id] = e
			host++
		}
		for i := range c.shape.desksPerZone {
			n := c.addNode(fmt.Sprintf("desk-%s-%d", zone, i+1), zone, c.ip(z+1, host), "wasabinotch-agent")
			opt := c.shape.desk
			opt.Ledger = c.ledger
			s, err := ordersim.Listen(n.addr(portEndpoint), opt)
			c.must(err)
			c.desks[n.id] = s
			host++
		}
	}
	for r := range c.shape.ranks {
		z := r % len(c.shape.zones)
		c.addNode(rankID(r), c.shape.zones[z], c.ip(z+1, 100+r), "wasabinotch-agent")
	}
	for i, id := range c.order {
		c.writeSettings(c.nodes[id], i)
	}
}

func (c *cluster) addNode(id, zone string, ip netip.Addr, program string) *node {
	n := &node{id: id, zone: zone, ip: ip, program: program}
	c.nodes[id] = n
	c.order = append(c.order, id)
	c.proxy(n.addr(portHTTP), n.addr(portHTTPListen))
	c.proxy(n.addr(portRPC), n.addr(portRPCListen))
	return n
}

func (c *cluster) entries() []*node {
	var out []*node
	for _, id := range c.order {
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

func (c *cluster) writeSettings(n *node, index int) {
	common := settings.Node{
		ID: n.id, VM: "vm-" + n.id, Zone: n.zone,
		HTTPAddr: n.addr(portHTTP), RPCAddr: n.addr(portRPC),
		HTTPListen: n.addr(portHTTPListen), RPCListen: n.addr(portRPCListen), SourceIP: n.ip.String(),
		Members:   []bundle.Key{{Name: "member", Public: base64.StdEncoding.EncodeToString(c.member.Public().(ed25519.PublicKey))}},
		Threshold: 1, AuthKey: c.authKey,
	}
	for _, e := range c.entries() {
		common.Entries = append(common.Entries, e.addr(portRPC))
	}
	var v any = settings.Entry{Node: common, StoreAddrs: []string{c.storeAddr()}, MapIntervalMS: mapInterval.Milliseconds()}
	if n.program == "wasabinotch-agent" {
		service := modelService
		if strings.HasPrefix(n.id, "desk-") {
			service = orderService
		}
		a := settings.Agent{Node: common, Service: service, EndpointAddr: n.addr(portEndpoint)}
		if _, err := fmt.Sscanf(n.id, rankFormat, &a.Rank); err == nil {
			a.Service, a.Group = rankService, rankGroup
		}
		v = a
	}
	data, err := json.Marshal(v)
	c.must(err)
	n.settings = filepath.Join(c.dir, fmt.Sprintf("%02d-%s.json", index, n.id))
	c.must(os.WriteFile(n.settings, data, 0o600))
}

func (c *cluster) newBundle() bundle.Bundle {
	c.orgs = []loadgen.Organisation{{Name: "batinah", Key: "key-batinah"}, {Name: "tidewrack", Key: "key-tidewrack"}}
	b := bundle.Bundle{
		Version: 1, Zones: c.shape.zones, Groups: c.groups(),
		Operators: []bundle.Key{{Name: "operator", Public: base64.StdEncoding.EncodeToString(c.operator.Public().(ed25519.PublicKey))}},
	}
	shares := map[string]float64{}
	for _, o := range c.orgs {
		sum := sha256.Sum256([]byte(o.Key))
		b.Organisations = append(b.Organisations, bundle.Organisation{Name: o.Name, KeyDigests: []string{hex.EncodeToString(sum[:])}})
		shares[o.Name] = 1
	}
	model := bundle.Service{Name: modelService, Kind: bundle.KindModel, ColdLimit: 2, WarmLimit: 16, QueueLimit: 64, TimeoutMS: 20000, Shares: shares}
	orders := bundle.Service{Name: orderService, Kind: bundle.KindPlain, NonIdempotentPaths: []string{"/orders"},
		ColdLimit: 4, WarmLimit: 8, QueueLimit: 256, TimeoutMS: 10000, Shares: shares}
	if c.shape.service != nil {
		c.shape.service(&model)
	}
	if c.shape.orders != nil {
		c.shape.orders(&orders)
	}
	b.Services = []bundle.Service{model, orders}
	if c.shape.ranks > 0 {
		b.Services = append(b.Services, bundle.Service{Name: rankService, Kind: bundle.KindModel,
			ColdLimit: 1, WarmLimit: 1, QueueLimit: 1, TimeoutMS: 1000, Shares: shares})
	}
	return b
}

func (c *cluster) start(id string) {
	c.t.Helper()
	n := c.nodes[id]
	log, err := os.OpenFile(filepath.Join(c.dir, id+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	c.must(err)
	n.log = log
	n.cmd = exec.Command(binary(c.t, n.program), "--settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	c.must(n.cmd.Start())
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(n.cmd, n.exited)
}

func (c *cluster) signal(id string, s syscall.Signal) { _ = c.nodes[id].cmd.Process.Signal(s) }

func (c *cluster) kill(id string) {
	c.signal(id, syscall.SIGKILL)
	<-c.nodes[id].exited
}

func (c *cluster) freeze(id string) { c.signal(id, syscall.SIGSTOP) }
func (c *cluster) thaw(id string)   { c.signal(id, syscall.SIGCONT) }

// terminate asks for a graceful shutdown and waits for the exit.
func (c *cluster) terminate(id string, within time.Duration) {
	c.t.Helper()
	c.signal(id, syscall.SIGTERM)
	select {
	case <-c.nodes[id].exited:
	case <-time.After(within):
		c.t.Fatalf("%s did not stop within %v of SIGTERM", id, within)
	}
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.exited
			_ = n.log.Close()
		}
	}
	for _, p := range c.proxies {
		p.close()
	}
	for _, e := range c.engines {
		e.Close()
	}
	for _, d := range c.desks {
		d.Close()
	}
	c.kv.Close()
	if keep := os.Getenv("PROOF_KEEP_LOGS"); keep != "" && c.t.Failed() {
		target := filepath.Join(keep, c.t.Name())
		_ = os.RemoveAll(target)
		_ = os.CopyFS(target, os.DirFS(c.dir))
	}
}

// cutZone parts a zone from all others and from the store; traffic within the
// zone goes on. It returns the function that heals the cut.
func (c *cluster) cutZone(zone string) func() {
	inZone := map[netip.Addr]bool{}
	for _, n := range c.nodes {
		inZone[n.ip] = n.zone == zone
	}
	return c.net.add(func(source netip.Addr, target string) (link, bool) {
		from, known := inZone[source]
		if !known {
			return link{}, false // callers are in no zone
		}
		to := inZone[netip.MustParseAddrPort(target).Addr()]
		return link{cut: true}, from != to
	})
}

// cutTo holds all traffic from one node to another.
func (c *cluster) cutTo(from, to string) func() {
	source, target := c.nodes[from].ip, c.nodes[to].ip
	return c.net.add(func(s netip.Addr, announced string) (link, bool) {
		return link{cut: true}, s == source && netip.MustParseAddrPort(announced).Addr() == target
	})
}

func (c *cluster) post(entry, path string, body, answer any) error {
	data, err := json.Marshal(body)
	c.must(err)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(data))
	c.must(err)
	return c.roundTrip(req, answer)
}

func (c *cluster) get(entry, path string, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+path, nil)
	c.must(err)
	req.Header.Set("Authorization", "Bearer "+c.orgs[0].Key)
	return c.roundTrip(req, answer)
}

func (c *cluster) roundTrip(req *http.Request, answer any) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return json.NewDecoder(resp.Body).Decode(answer)
	}
	r := &api.Refusal{}
	if err := json.NewDecoder(resp.Body).Decode(r); err != nil {
		return fmt.Errorf("%s: %s", req.URL, resp.Status)
	}
	return r
}

func (c *cluster) signed(b bundle.Bundle) *bundle.Signed {
	sig, err := b.Sign("member", c.member)
	c.must(err)
	return &bundle.Signed{Bundle: b, Signatures: []bundle.Signature{sig}}
}

// roll rolls out the cluster's bundle at the first entry that takes it.
func (c *cluster) roll() {
	c.t.Helper()
	var result api.AdminResult
	c.eventually(10*time.Second, "bundle rolled out", func() error {
		return c.post(c.entryAddrs()[0], api.PathAdminBundle, c.signed(c.bundle), &result)
	})
}

// next returns the successor of the bundle in force.
func (c *cluster) next() bundle.Bundle {
	digest, err := c.bundle.Digest()
	c.must(err)
	b := c.bundle
	b.Version++
	b.Previous = digest
	return b
}

func (c *cluster) intent(kind, target string, out bool, revision uint64) bundle.Intent {
	in := bundle.Intent{Kind: kind, Target: target, Out: out, Revision: revision}
	c.must(in.Sign("operator", c.operator))
	return in
}

// move takes a zone or VM out or in through an entry.
func (c *cluster) move(entry, kind, target string, out bool) (api.AdminResult, error) {
	c.revision++
	var result api.AdminResult
	err := c.post(entry, api.PathAdminIntents, c.intent(kind, target, out, c.revision), &result)
	return result, err
}

func (c *cluster) status(id string) (api.Status, error) {
	var s api.Status
	err := c.get(c.nodes[id].addr(portHTTP), api.PathStatus, &s)
	return s, err
}

func (c *cluster) eventually(within time.Duration, what string, check func() error) {
	c.t.Helper()
	deadline := time.Now().Add(within)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %v: %s: %v", within, what, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *cluster) awaitStarted() {
	c.t.Helper()
	for _, n := range c.entries() {
		c.eventually(10*time.Second, n.id+" serves", func() error {
			_, err := c.status(n.id)
			return err
		})
	}
}

// awaitReady waits until every running entry sees the named nodes ready with
// the cluster's bundle.
func (c *cluster) awaitReady(ids ...string) {
	c.t.Helper()
	for _, e := range c.entries() {
		select {
		case <-e.exited:
			continue
		default:
		}
		c.eventually(15*time.Second, "all nodes ready at "+e.id, func() error { return c.checkReady(e.id, ids) })
	}
}

func (c *cluster) checkReady(at string, ids []string) error {
	s, err := c.status(at)
	if err != nil {
		return err
	}
	ready := map[string]bool{}
	if s.State == "ready" && s.BundleVersion >= c.bundle.Version {
		ready[s.NodeID] = true
	}
	for _, n := range s.Nodes {
		if n.State == "ready" && n.BundleVersion >= c.bundle.Version {
			ready[n.NodeID] = true
		}
	}
	var errs []error
	for _, id := range ids {
		if !ready[id] {
			errs = append(errs, fmt.Errorf("%s is not ready", id))
		}
	}
	return errors.Join(errs...)
}

// load returns a load configuration for the cluster.
func (c *cluster) load() loadgen.Config {
	return loadgen.Config{
		Entries: c.entryAddrs(), Organisations: c.orgs, Zones: c.shape.zones,
		ModelService: modelService, PlainService: orderService,
		ModelRate: 20, StockRate: 20, OrderRate: 20, OwnKeyShare: 0.5, MaxTokens: 16, PreambleBytes: 256, Seed: 1,
	}
}
