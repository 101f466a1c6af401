// Package deploy plans small deployments on loopback addresses: the settings
// of the daemons, a version 1 bundle, keys, and the addresses of the stand-ins.
package deploy

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"net"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/loadgen"
	"github.com/wasabinotch/wasabinotch/settings"
)

// Plan describes a deployment.
type Plan struct {
	// Name prefixes the names of nodes and VMs. It contains no dots, since
	// order identities use them as separators.
	Name          string
	Zones         []string
	Entries       int
	ModelAgents   int
	OrderAgents   int
	Organisations []string
	// LargeShareCount is the number of leading organisations with a large share.
	LargeShareCount int
	Members         []string
	Threshold       int
	Operators       []string
	ModelService    string
	PlainService    string
	// Group makes the model agents the ranks of one group; nil for none.
	Group *bundle.Group
	// NextAddr returns the next free address (IP:port).
	NextAddr func() (string, error)
	// ExampleKeys uses keys that are marked as examples instead of random ones.
	ExampleKeys bool
}

// Simulator is the place of one stand-in.
type Simulator struct {
	Addr        string `json:"addr"`    // IP:port of the service
	ControlAddr string `json:"control"` // IP:port of the fault controls
	Zone        string `json:"zone,omitempty"`
	VM          string `json:"vm,omitempty"`
}

// Simulators are the places of all stand-ins.
type Simulators struct {
	Store         Simulator   `json:"store"`
	VMList        Simulator   `json:"vm_list"`
	Engines       []Simulator `json:"engines"`
	OrderServices []Simulator `json:"orders"`
}

// Deployment is a planned deployment.
type Deployment struct {
	Entries    []settings.Entry
	Agents     []settings.Agent
	Bundle     bundle.Bundle
	Members    []Key
	Operators  []Key
	Callers    []loadgen.Organisation
	Simulators Simulators
}

// Limits of the services in the bundle. They match the defaults of the
// stand-ins, so that an agent that keeps to them never overloads its endpoint.
const (
	modelColdLimit  = 2
	modelWarmLimit  = 16
	modelQueueLimit = 64
	modelTimeoutMS  = 60_000
	plainColdLimit  = 4
	plainWarmLimit  = 8
	plainQueueLimit = 64
	plainTimeoutMS  = 10_000
)

// Shares of organisations.
const (
	largeShare = 4
	smallShare = 1
)

// seedEntries is the number of entries that a node contacts at its start.
const seedEntries = 3

// Build returns the deployment of a plan.
func (p Plan) Build() (*Deployment, error) {
	if len(p.Zones) == 0 || p.Entries < 1 || p.NextAddr == nil {
		return nil, trace.BadParameter("a plan needs zones, at least one entry and a source of addresses")
	}
	b := &builder{plan: p, d: &Deployment{}}
	for _, step := range []func() error{b.standIns, b.keys, b.callers, b.entries, b.agents} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	b.seed()
	b.bundle()
	return b.d, b.validate()
}

type builder struct {
	plan    Plan
	d       *Deployment
	authKey string
}

// standIn draws the two addresses of a stand-in.
func (b *builder) standIn() (Simulator, error) {
	addr, err := b.plan.NextAddr()
	if err != nil {
		return Simulator{}, err
	}
	control, err := b.plan.NextAddr()
	return Simulator{Addr: addr, ControlAddr: control}, err
}

func (b *builder) standIns() (err error) {
	if b.d.Simulators.Store, err = b.standIn(); err != nil {
		return err
	}
	b.d.Simulators.VMList, err = b.standIn()
	return err
}

func (b *builder) zone(i int) string { return b.plan.Zones[i%len(b.plan.Zones)] }

// node draws the common settings of the i-th node of a role.
func (b *builder) node(role string, i int) (settings.Node, error) {
	http, err := b.plan.NextAddr()
	if err != nil {
		return settings.Node{}, err
	}
	rpc, err := b.plan.NextAddr()
	if err != nil {
		return settings.Node{}, err
	}
	n := settings.Node{
		ID:        fmt.Sprintf("%s-%s-%d", b.plan.Name, role, i+1),
		VM:        fmt.Sprintf("%s-vm-%s-%d", b.plan.Name, role, i+1),
		Zone:      b.zone(i),
		HTTPAddr:  http,
		RPCAddr:   rpc,
		Threshold: b.plan.Threshold,
		AuthKey:   b.authKey,
	}
	for _, m := range b.d.Members {
		n.Members = append(n.Members, m.Public())
	}
	return n, nil
}

func (b *builder) entries() error {
	for i := range b.plan.Entries {
		n, err := b.node("entry", i)
		if err != nil {
			return err
		}
		b.d.Entries = append(b.d.Entries, settings.Entry{
			Node:       n,
			StoreAddrs: []string{b.d.Simulators.Store.Addr},
			VMListAddr: b.d.Simulators.VMList.Addr,
		})
	}
	return nil
}

func (b *builder) agents() error {
	for i := range b.plan.ModelAgents {
		a, s, err := b.agent("model", b.plan.ModelService, i)
		if err != nil {
			return err
		}
		if b.plan.Group != nil {
			a.Group, a.Rank = b.plan.Group.Name, i
		}
		b.d.Agents = append(b.d.Agents, a)
		b.d.Simulators.Engines = append(b.d.Simulators.Engines, s)
	}
	for i := range b.plan.OrderAgents {
		a, s, err := b.agent("order", b.plan.PlainService, i)
		if err != nil {
			return err
		}
		b.d.Agents = append(b.d.Agents, a)
		b.d.Simulators.OrderServices = append(b.d.Simulators.OrderServices, s)
	}
	return nil
}

func (b *builder) agent(role, service string, i int) (settings.Agent, Simulator, error) {
	n, err := b.node(role, i)
	if err != nil {
		return settings.Agent{}, Simulator{}, err
	}
	s, err := b.standIn()
	s.Zone, s.VM = n.Zone, n.VM
	return settings.Agent{Node: n, Service: service, EndpointAddr: s.Addr}, s, err
}

// seed lists for each node some entries to contact, other than itself. The
// first entries are in different zones.
func (b *builder) seed() {
	for i := range b.d.Entries {
		for j := range min(seedEntries, len(b.d.Entries)) {
			if i != j {
				b.d.Entries[i].Entries = append(b.d.Entries[i].Entries, b.d.Entries[j].RPCAddr)
			}
		}
	}
	for i := range b.d.Agents {
		for j := range min(seedEntries, len(b.d.Entries)) {
			b.d.Agents[i].Entries = append(b.d.Agents[i].Entries, b.d.Entries[j].RPCAddr)
		}
	}
}

func (b *builder) keys() error {
	auth := make([]byte, exampleKeyBytes)
	if _, err := rand.Read(auth); err != nil {
		return trace.Wrap(err)
	}
	if b.plan.ExampleKeys {
		auth = []byte(exampleAuthKey)
	}
	b.authKey = base64.StdEncoding.EncodeToString(auth)
	for _, name := range b.plan.Members {
		b.d.Members = append(b.d.Members, newKey(name, b.plan.ExampleKeys))
	}
	for _, name := range b.plan.Operators {
		b.d.Operators = append(b.d.Operators, newKey(name, b.plan.ExampleKeys))
	}
	return nil
}

func (b *builder) callers() error {
	for i, name := range b.plan.Organisations {
		b.d.Callers = append(b.d.Callers, loadgen.Organisation{Name: name, APIKey: newAPIKey(name, b.plan.ExampleKeys), Weight: b.share(i)})
	}
	return nil
}

func (b *builder) share(i int) float64 {
	if i < b.plan.LargeShareCount {
		return largeShare
	}
	return smallShare
}

func (b *builder) validate() error {
	for i := range b.d.Entries {
		if err := b.d.Entries[i].Validate(); err != nil {
			return trace.Wrap(err)
		}
	}
	for i := range b.d.Agents {
		if err := b.d.Agents[i].Validate(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// SequentialAddrs returns addresses on ip with ports from first upward.
func SequentialAddrs(ip string, first int) func() (string, error) {
	next := first
	return func() (string, error) {
		const maxPort = 65535
		if next > maxPort {
			return "", trace.LimitExceeded("ports are used up; start at a lower port than %d", first)
		}
		addr := net.JoinHostPort(ip, strconv.Itoa(next))
		next++
		return addr, nil
	}
}

// FreeAddrs returns addresses on ip with ports that are free now.
func FreeAddrs(ip string) func() (string, error) {
	seen := make(map[string]bool)
	return func() (string, error) {
		for {
			ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
			if err != nil {
				return "", trace.Wrap(err)
			}
			addr := ln.Addr().String()
			_ = ln.Close()
			if !seen[addr] {
				seen[addr] = true
				return addr, nil
			}
		}
	}
}
