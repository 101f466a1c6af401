package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/deploy"
	"github.com/wasabinotch/wasabinotch/lab/enginesim"
	"github.com/wasabinotch/wasabinotch/lab/kvsim"
	"github.com/wasabinotch/wasabinotch/lab/loadgen"
	"github.com/wasabinotch/wasabinotch/lab/ordersim"
	"github.com/wasabinotch/wasabinotch/settings"
)

// example is one deployment of the directory examples/, with the names of its
// services.
type example struct {
	name, modelService, plainService string
}

// Guards against example settings and bundles that the daemons reject, or with
// which requests or orders fail.
func TestExampleDeployments(t *testing.T) {
	for _, e := range []example{
		{"batinah", "repair-notes", "parts"},
		{"tidewrack", "knot-helper", "desk"},
	} {
		t.Run(e.name, func(t *testing.T) { e.run(t) })
	}
}

func (e example) run(t *testing.T) {
	c := &cluster{t: t, dir: t.TempDir(), linkRules: &linkRules{}, nodes: map[string]*node{},
		engines: map[string]*enginesim.Engine{}, orderEndpoints: map[string]*ordersim.Service{}, ledger: ordersim.NewLedger()}
	t.Cleanup(c.close)
	addr := deploy.FreeAddrs("127.0.0.1")
	free := func() string {
		a, err := addr()
		c.must(err)
		return a
	}
	kv, err := kvsim.Listen(free())
	c.must(err)
	c.kv = kv
	var b bundle.Bundle
	e.readFile(c, "bundle.json", &b)

	var entries, rpcs []string
	var list []*settings.Entry
	for i, zone := range b.Zones {
		s := &settings.Entry{}
		e.readFile(c, "entry.json", s)
		s.ID, s.VM, s.Zone = fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("vm-entry-%d", i+1), zone
		s.HTTPAddr, s.RPCAddr, s.StoreAddrs, s.VMListAddr = free(), free(), []string{kv.Addr()}, ""
		entries, rpcs = append(entries, s.HTTPAddr), append(rpcs, s.RPCAddr)
		list = append(list, s)
	}
	for _, s := range list {
		s.Entries = rpcs
		e.startNode(c, s.ID, "wasabinotch-entry", s)
	}
	for i, service := range []string{e.modelService, e.modelService, e.plainService, e.plainService} {
		s := &settings.Agent{}
		e.readFile(c, "agent-"+service+".json", s)
		s.ID, s.VM, s.Zone = fmt.Sprintf("agent-%d", i+1), fmt.Sprintf("vm-agent-%d", i+1), b.Zones[i%len(b.Zones)]
		s.HTTPAddr, s.RPCAddr, s.EndpointAddr, s.Entries = free(), free(), free(), rpcs
		c.startEndpoint(s, service == e.modelService)
		e.startNode(c, s.ID, "wasabinotch-agent", s)
	}
	e.checkServes(c, b, list[0].Node, entries)
}

func (e example) readFile(c *cluster, file string, into any) {
	c.t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "examples", e.name, file))
	c.must(err)
	c.must(json.Unmarshal(data, into))
}

func (e example) startNode(c *cluster, id, program string, s any) {
	data, err := json.Marshal(s)
	c.must(err)
	n := &node{id: id, program: program, settingsPath: filepath.Join(c.dir, id+".json")}
	c.must(os.WriteFile(n.settingsPath, data, 0o600))
	c.nodes[id] = n
	c.startNode(id)
}

func (c *cluster) startEndpoint(s *settings.Agent, model bool) {
	if model {
		engine, err := enginesim.Listen(s.EndpointAddr, enginesim.Options{})
		c.must(err)
		c.engines[s.ID] = engine
		return
	}
	endpoint, err := ordersim.Listen(s.EndpointAddr, ordersim.Options{Ledger: c.ledger})
	c.must(err)
	c.orderEndpoints[s.ID] = endpoint
}

// checkServes signs the bundle with the example keys, rolls it out, waits until
// all nodes are ready and checks that requests and orders are served.
func (e example) checkServes(c *cluster, b bundle.Bundle, nodeSettings settings.Node, entries []string) {
	c.t.Helper()
	plan := deploy.Plan{Name: e.name, Zones: b.Zones, Entries: 1, NextAddr: deploy.FreeAddrs("127.0.0.1"), ExampleKeys: true,
		ModelService: e.modelService, PlainService: e.plainService, ModelAgents: 1, OrderAgents: 1, Threshold: nodeSettings.Threshold}
	for _, m := range nodeSettings.Members {
		plan.Members = append(plan.Members, m.Name)
	}
	for _, o := range b.Operators {
		plan.Operators = append(plan.Operators, o.Name)
	}
	for _, o := range b.Organisations {
		plan.Organisations = append(plan.Organisations, o.Name)
	}
	d, err := plan.Build()
	c.must(err)
	signed := &bundle.Signed{Bundle: b}
	for _, m := range d.Members[:nodeSettings.Threshold] {
		sig, err := b.Sign(m.Name, m.Private())
		c.must(err)
		signed.Signatures = append(signed.Signatures, sig)
	}
	var result api.AdminResult
	c.eventually(10*time.Second, "the example bundle is rolled out", func() error {
		return c.postJSON(entries[0], api.PathAdminBundle, signed, &result)
	})
	c.organisations = d.Organisations
	c.eventually(15*time.Second, "all example nodes are ready", func() error {
		var s api.Status
		if err := c.getJSON(entries[0], api.PathStatus, &s); err != nil {
			return err
		}
		ready := 0
		for _, n := range s.Nodes {
			if n.State == "ready" {
				ready++
			}
		}
		if ready < len(c.nodes) {
			return fmt.Errorf("%d of %d nodes are ready", ready, len(c.nodes))
		}
		return nil
	})
	gen, err := loadgen.New(loadgen.Config{EntryAddrs: entries, Organisations: d.Organisations, Zones: b.Zones,
		ModelService: e.modelService, PlainService: e.plainService, ModelRate: 3, StockRate: 20, OrderRate: 20, CallerKeyFraction: 0.5,
		MaxTokens: 16, PromptPrefixBytes: 256, Duration: 3 * time.Second, Seed: 1})
	c.must(err)
	gen.Run(context.Background())
	c.checkSummary(c.t, gen.Summary(c.ledger.Counts()), 0)
}
