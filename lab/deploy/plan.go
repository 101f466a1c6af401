// Package deploy generates the configuration of small deployments on loopback
// addresses: the settings of the daemons, a version 1 bundle, keys, and the
// addresses of the simulators of the store, the VM list and the endpoints.
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

// Plan holds the parameters of a deployment.
type Plan struct {
	// Name is the prefix of the names of nodes and VMs. It must not contain dots,
	// since order identities use dots as separators.
	Name  string
	Zones []string
	// Entries, ModelAgents and OrderAgents are numbers of nodes. Agents of
	// ModelService are model agents, agents of PlainService order agents.
	Entries       int
	ModelAgents   int
	OrderAgents   int
	Organisations []string
	// LargeShareCount is the number of organisations with a large share; they are the
	// first of Organisations.
	LargeShareCount int
	// Members are the names of the parties that sign bundles; Threshold is the
	// number of signatures that a bundle needs.
	Members      []string
	Threshold    int
	Operators    []string
	ModelService string
	PlainService string
	// Group makes the model agents the ranks of one rank group; nil for none.
	Group *bundle.Group
	// NextAddr returns the next unused address (IP:port).
	NextAddr func() (string, error)
	// ExampleKeys selects keys that are marked as examples instead of random keys.
	ExampleKeys bool
}

// Simulator holds the addresses and the location of one simulated service.
type Simulator struct {
	Addr        string `json:"addr"`    // IP:port of the service
	ControlAddr string `json:"control"` // IP:port of the fault control API
	Zone        string `json:"zone,omitempty"`
	VM          string `json:"vm,omitempty"`
}

// Simulators holds the simulators of a deployment: the store, the list of VMs, and
// the endpoints behind the agents.
type Simulators struct {
	Store         Simulator   `json:"store"`
	VMList        Simulator   `json:"vm_list"`
	Engines       []Simulator `json:"engines"`
	OrderServices []Simulator `json:"orders"`
}

// Deployment is the configuration of all parts of a deployment.
type Deployment struct {
	Entries       []settings.Entry
	Agents        []settings.Agent
	Bundle        bundle.Bundle
	Members       []Key
	Operators     []Key
	Organisations []loadgen.Organisation
	Simulators    Simulators
}

// Limits of the services in the bundle: concurrent requests of a cold and a warm
// endpoint, queued requests, and the request timeout. They match the defaults of
// the simulators, so that an agent that enforces them never overloads its endpoint.
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

// Shares of an organisation in each service.
const (
	largeShare = 4
	smallShare = 1
)

// seedEntryCount bounds the entries that a node contacts when it starts.
const seedEntryCount = 3

// Build returns the deployment that the plan describes, or an error if the plan is
// incomplete, no address is left or a node's settings are invalid.
func (p Plan) Build() (*Deployment, error) {
	if len(p.Zones) == 0 || p.Entries < 1 || p.NextAddr == nil {
		return nil, trace.BadParameter("a plan needs at least one zone, at least one entry and a function that returns addresses")
	}
	b := &builder{plan: p, deployment: &Deployment{}}
	for _, step := range []func() error{b.addSimulators, b.addKeys, b.addOrganisations, b.addEntries, b.addAgents} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	b.setSeeds()
	b.setBundle()
	return b.deployment, b.validate()
}

// builder fills in a Deployment step by step.
type builder struct {
	plan       Plan
	deployment *Deployment
	authKey    string
}

// newSimulator allocates the two addresses of a simulator.
func (b *builder) newSimulator() (Simulator, error) {
	addr, err := b.plan.NextAddr()
	if err != nil {
		return Simulator{}, err
	}
	control, err := b.plan.NextAddr()
	return Simulator{Addr: addr, ControlAddr: control}, err
}

func (b *builder) addSimulators() (err error) {
	if b.deployment.Simulators.Store, err = b.newSimulator(); err != nil {
		return err
	}
	b.deployment.Simulators.VMList, err = b.newSimulator()
	return err
}

func (b *builder) zone(i int) string { return b.plan.Zones[i%len(b.plan.Zones)] }

// newNode returns the settings common to all roles for the i-th node of a role,
// with newly allocated addresses.
func (b *builder) newNode(role string, i int) (settings.Node, error) {
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
	for _, m := range b.deployment.Members {
		n.Members = append(n.Members, m.Public())
	}
	return n, nil
}

func (b *builder) addEntries() error {
	for i := range b.plan.Entries {
		n, err := b.newNode("entry", i)
		if err != nil {
			return err
		}
		b.deployment.Entries = append(b.deployment.Entries, settings.Entry{
			Node:       n,
			StoreAddrs: []string{b.deployment.Simulators.Store.Addr},
			VMListAddr: b.deployment.Simulators.VMList.Addr,
		})
	}
	return nil
}

func (b *builder) addAgents() error {
	for i := range b.plan.ModelAgents {
		a, s, err := b.newAgent("model", b.plan.ModelService, i)
		if err != nil {
			return err
		}
		if b.plan.Group != nil {
			a.Group, a.Rank = b.plan.Group.Name, i
		}
		b.deployment.Agents = append(b.deployment.Agents, a)
		b.deployment.Simulators.Engines = append(b.deployment.Simulators.Engines, s)
	}
	for i := range b.plan.OrderAgents {
		a, s, err := b.newAgent("order", b.plan.PlainService, i)
		if err != nil {
			return err
		}
		b.deployment.Agents = append(b.deployment.Agents, a)
		b.deployment.Simulators.OrderServices = append(b.deployment.Simulators.OrderServices, s)
	}
	return nil
}

func (b *builder) newAgent(role, service string, i int) (settings.Agent, Simulator, error) {
	n, err := b.newNode(role, i)
	if err != nil {
		return settings.Agent{}, Simulator{}, err
	}
	s, err := b.newSimulator()
	s.Zone, s.VM = n.Zone, n.VM
	return settings.Agent{Node: n, Service: service, EndpointAddr: s.Addr}, s, err
}

// setSeeds sets the entries that each node contacts when it starts: the first
// seedEntryCount entries, without the node itself. Entries are assigned to the zones
// in turn, so the first ones are in different zones.
func (b *builder) setSeeds() {
	for i := range b.deployment.Entries {
		for j := range min(seedEntryCount, len(b.deployment.Entries)) {
			if i != j {
				b.deployment.Entries[i].Entries = append(b.deployment.Entries[i].Entries, b.deployment.Entries[j].RPCAddr)
			}
		}
	}
	for i := range b.deployment.Agents {
		for j := range min(seedEntryCount, len(b.deployment.Entries)) {
			b.deployment.Agents[i].Entries = append(b.deployment.Agents[i].Entries, b.deployment.Entries[j].RPCAddr)
		}
	}
}

// addKeys creates the authentication key of the nodes and the keys of the members
// and operators.
func (b *builder) addKeys() error {
	auth := make([]byte, authKeyBytes)
	if _, err := rand.Read(auth); err != nil {
		return trace.Wrap(err)
	}
	if b.plan.ExampleKeys {
		auth = []byte(exampleAuthKey)
	}
	b.authKey = base64.StdEncoding.EncodeToString(auth)
	for _, name := range b.plan.Members {
		b.deployment.Members = append(b.deployment.Members, newKey(name, b.plan.ExampleKeys))
	}
	for _, name := range b.plan.Operators {
		b.deployment.Operators = append(b.deployment.Operators, newKey(name, b.plan.ExampleKeys))
	}
	return nil
}

func (b *builder) addOrganisations() error {
	for i, name := range b.plan.Organisations {
		b.deployment.Organisations = append(b.deployment.Organisations, loadgen.Organisation{Name: name, APIKey: newAPIKey(name, b.plan.ExampleKeys), Weight: b.organisationShare(i)})
	}
	return nil
}

func (b *builder) organisationShare(i int) float64 {
	if i < b.plan.LargeShareCount {
		return largeShare
	}
	return smallShare
}

func (b *builder) validate() error {
	for i := range b.deployment.Entries {
		if err := b.deployment.Entries[i].Validate(); err != nil {
			return trace.Wrap(err)
		}
	}
	for i := range b.deployment.Agents {
		if err := b.deployment.Agents[i].Validate(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// SequentialAddrs returns a function that returns addresses on ip with consecutive
// ports from first upward, and an error after port 65535.
func SequentialAddrs(ip string, first int) func() (string, error) {
	next := first
	return func() (string, error) {
		const maxPort = 65535
		if next > maxPort {
			return "", trace.LimitExceeded("no ports are left; choose a first port lower than %d", first)
		}
		addr := net.JoinHostPort(ip, strconv.Itoa(next))
		next++
		return addr, nil
	}
}

// FreeAddrs returns a function that returns addresses on ip with different ports
// that are free at the time of the call.
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
