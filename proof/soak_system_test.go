package proof

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
	"github.com/wasabinotch/wasabinotch/rankgroup"
	"github.com/wasabinotch/wasabinotch/settings"
)

// Parts of a soak's loopback network: the third byte of the IP numbers.
const (
	netStore   = 0 // the store
	netEntry   = 1 // entries
	netAgent   = 2 // agents and their engines
	netPublic  = 3 // announced addresses of endpoints
	netDesk    = 4 // endpoints without agents
	netCaller  = 5 // entries as callers reach them
	netStoreOf = 9 // the store as each process reaches it
)

// Ports of a soak's processes.
const (
	portCallers   = 8000
	portReady     = 8001
	portDirectory = 8002
	portPeer      = 7300
	portAgent     = portPeer + 2
	portRank      = 7200
)

// Bounds that a soak checks; those of the platform's sheets, with shorter
// drains so that a run holds several.
const (
	soakGrace      = 4 * time.Second
	soakStable     = 4 * time.Second
	soakApply      = 3 * time.Second
	soakEvacuate   = 5 * time.Second
	soakLeaving    = 3 * time.Second
	soakRecovery   = 15 * time.Second
	soakLossSlack  = 200 * time.Millisecond
	soakTTL        = 2 * time.Second
	soakRatio      = 0.2
	soakSlack      = 60
	soakWindow     = 10 * time.Second
	soakColdRate   = 8.0
	soakColdOver   = 1.5
	soakColdSlack  = 5.0
	soakColdTime   = 3 * time.Second
	soakRouteLimit = 4 * time.Second
)

// soakShape is the size of a soak.
type soakShape struct{ entries, groups, ranks, desks int }

var soakZones = []string{"z0", "z1", "z2"}

// soak is a system of real entries and agents among stand-ins, and what is done
// to it.
type soak struct {
	*cluster
	seed    uint64
	rng     *rand.Rand
	shape   soakShape
	store   *platformsim.Store
	ledger  *platformsim.Ledger
	groups  []*platformsim.Group
	desks   []*platformsim.Endpoint
	relays  []*relay
	entries []*node
	agents  []*node
	// stores is the proxy in front of the store for each process.
	stores map[string]*proxy
	began  time.Time

	mu     sync.Mutex
	faults []disturbance
	// stops are the planned stops; a stopping process isn't in touch.
	stops    []disturbance
	timeline []string
	version  int
	configs  []configChange
	zoneOuts []zoneOut
	leaving  []departure
	problems []string
}

// disturbance is a span in which something was wrong with a process, or with
// all if node is empty.
type disturbance struct {
	node     string
	from, to time.Time // to is zero while it lasts
}

type configChange struct {
	version int
	at      time.Time
	keys    map[string]string // key to organisation
}

type zoneOut struct {
	zone     string
	from, to time.Time
}

type departure struct {
	endpoint string
	at       time.Time
}

func newSoak(t *testing.T, seed uint64, shape soakShape) *soak {
	t.Helper()
	s := &soak{
		cluster: &cluster{t: t, dir: t.TempDir(), net: &network{}, nodes: map[string]*node{}},
		seed:    seed, rng: rand.New(rand.NewPCG(seed, 11)), shape: shape, ledger: platformsim.NewLedger(), stores: map[string]*proxy{},
	}
	s.claimNetwork()
	t.Cleanup(s.end)
	s.configure(map[string]string{"key-a-1": "menders", "key-b-1": "riggers"})
	s.startEndpoints()
	for i := range shape.entries {
		s.entries = append(s.entries, s.addProcess(fmt.Sprintf("entry-%d", i+1), "entry", s.zone(i), s.ip(netEntry, i+1), nil))
	}
	for _, n := range append(append([]*node(nil), s.entries...), s.agents...) {
		s.start(n.id)
	}
	s.began = time.Now()
	return s
}

func (s *soak) zone(i int) string { return soakZones[i%len(soakZones)] }

// claimNetwork claims a loopback network that no other run uses.
func (s *soak) claimNetwork() {
	for range subnets {
		s.subnet = byte(firstSubnet + rand.IntN(subnets))
		store, err := platformsim.Listen(fmt.Sprintf("%s:%d", s.ip(netStore, 1), portStoreReal))
		if err == nil {
			s.store = store
			return
		}
	}
	s.t.Fatal("no free loopback network; end other test runs")
}

func (s *soak) addr(ip netip.Addr, port int) string {
	return netip.AddrPortFrom(ip, uint16(port)).String()
}

func (s *soak) startEndpoints() {
	host := 0
	for g := range s.shape.groups {
		var ranks []platformsim.EndpointConfig
		for range s.shape.ranks {
			host++
			engine, announced := s.addr(s.ip(netAgent, host), portRank), s.addr(s.ip(netPublic, host), portRank)
			s.proxy(announced, engine)
			s.proxy(s.addr(s.ip(netPublic, host), portAgent), s.addr(s.ip(netAgent, host), portAgent))
			r, err := startRelay(s.addr(s.ip(netPublic, host), portAgent), s.addr(s.ip(netAgent, host), portAgent), s.net)
			s.must(err)
			s.relays = append(s.relays, r)
			ranks = append(ranks, platformsim.EndpointConfig{ID: fmt.Sprintf("m%d", host), Service: "model", Zone: s.zone(host),
				Addr: engine, AnnouncedAddr: announced, Slots: 6, ColdTime: soakColdTime, Store: s.store, Ledger: s.ledger, Seed: s.seed + uint64(host)})
		}
		group, err := platformsim.StartGroup(platformsim.GroupConfig{Name: fmt.Sprintf("g%d", g), Seed: s.seed + uint64(g),
			Dimensions: rankgroup.Dimensions{Sets: 2, Experts: 8, ExpertSlots: 5, SpareSlots: 2, CopyTime: 30 * time.Millisecond},
			StepTime:   25 * time.Millisecond, StallTime: 700 * time.Millisecond, FormTime: 300 * time.Millisecond}, ranks)
		s.must(err)
		s.groups = append(s.groups, group)
	}
	for i := range host {
		agent := s.addProcess(fmt.Sprintf("agent-%d", i+1), "agent", s.zone(i+1), s.ip(netAgent, i+1),
			func(d *settings.PlatformNode) {
				d.EndpointAddr, d.Service = s.addr(s.ip(netAgent, i+1), portRank), "model"
			})
		s.agents = append(s.agents, agent)
	}
	for i := range s.shape.desks {
		listen, announced := s.addr(s.ip(netDesk, i+1), portRank), s.addr(s.ip(netPublic, 200+i), portRank)
		s.proxy(announced, listen)
		e, err := platformsim.StartEndpoint(platformsim.EndpointConfig{ID: fmt.Sprintf("d%d", i+1), Service: "desk", Zone: s.zone(i),
			Addr: listen, AnnouncedAddr: announced, Slots: 6, MeanRunTime: 30 * time.Millisecond, Store: s.store, Ledger: s.ledger, Seed: s.seed + 100 + uint64(i)})
		s.must(err)
		s.desks = append(s.desks, e)
	}
}

// addProcess writes the settings of a process with a way of its own to the store.
func (s *soak) addProcess(id, role, zone string, ip netip.Addr, change func(*settings.PlatformNode)) *node {
	storeAddr := s.addr(s.ip(netStoreOf, len(s.nodes)+1), portStore)
	s.proxy(storeAddr, s.store.Addr())
	s.stores[id] = s.proxies[len(s.proxies)-1]
	d := settings.PlatformNode{ID: id, Zone: zone, IP: ip.String(), SourceIP: ip.String(), PeerPort: portPeer, StoreAddr: storeAddr, MemoryLimitMB: 100,
		CallersAddr: s.addr(ip, portCallers), ReadyAddr: s.addr(ip, portReady), DirectoryAddr: s.addr(ip, portDirectory),
		Bounds: settings.Bounds{GracePeriodS: soakGrace.Seconds(), RetryRatio: soakRatio, RetrySlack: soakSlack, RetryWindowS: soakWindow.Seconds(),
			ColdBurstFactor: soakColdOver, ColdBurstSlack: soakColdSlack, DirectoryTTLS: soakTTL.Seconds()}}
	if change != nil {
		change(&d)
	}
	if role == "entry" {
		s.proxy(s.addr(s.ip(netCaller, int(ip.As4()[3])), portCallers), d.CallersAddr)
	}
	b, err := json.Marshal(d)
	s.must(err)
	path := filepath.Join(s.dir, id+".json")
	s.must(os.WriteFile(path, b, 0o600))
	n := &node{id: id, zone: zone, ip: ip, program: "wasabinotch-node", args: []string{role}, settings: path}
	s.nodes[id] = n
	s.order = append(s.order, id)
	return n
}

// configure writes a configuration with the given keys.
func (s *soak) configure(keys map[string]string) {
	s.version++
	type route = map[string]any
	routes := []route{
		{"name": "draft", "host": "soak.example", "prefix": "/draft/", "kind": "streaming", "timeout_ms": soakRouteLimit.Milliseconds(),
			"target_latency_ms": 400, "target_gap_ms": 200, "priority": 1, "service": "model", "max_attempts": 3, "resumable": true},
		{"name": "order", "host": "soak.example", "prefix": "/order/", "kind": "non_idempotent", "timeout_ms": 1500,
			"target_latency_ms": 200, "priority": 0, "service": "desk", "max_attempts": 2},
		{"name": "lookup", "host": "soak.example", "prefix": "/lookup/", "kind": "idempotent", "timeout_ms": 1500,
			"target_latency_ms": 200, "priority": 0, "service": "desk", "max_attempts": 3},
	}
	byName := map[string][]string{}
	for key, name := range keys {
		byName[name] = append(byName[name], key)
	}
	var tenants []map[string]any
	for name, list := range byName {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": list})
	}
	b, err := json.Marshal(map[string]any{"version": s.version, "routes": routes, "tenants": tenants, "services": []map[string]any{
		{"name": "desk", "max_connections": 200},
		{"name": "model", "max_connections": 200, "cold_per_s": soakColdRate, "engine": map[string]any{"slots": 6, "step_ms": 10,
			"expert_sets": 2, "experts": 8, "placements": 5, "spares": 2, "expert_mb": 3, "link_mbps": 800}},
	}})
	s.must(err)
	s.store.Put("op/config", b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configs = append(s.configs, configChange{version: s.version, at: time.Now(), keys: keys})
}

// note adds a line to the timeline.
func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeline = append(s.timeline, fmt.Sprintf("%6.2f s  ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// disturb notes that something is wrong with a process; the returned function
// notes the end.
func (s *soak) disturb(list *[]disturbance, id string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	*list = append(*list, disturbance{node: id, from: time.Now()})
	at := len(*list) - 1
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		(*list)[at].to = time.Now()
	}
}

// calm reports whether nothing was wrong with a process, nor with the store,
// and it wasn't stopped, from the time of stability before from until to.
func (s *soak) calm(id string, from, to time.Time) bool {
	return quiet(s.faults, id, from, to) && quiet(s.stops, id, from, to)
}

func quiet(list []disturbance, id string, from, to time.Time) bool {
	from = from.Add(-soakStable)
	for _, d := range list {
		if d.node != "" && d.node != id {
			continue
		}
		if d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return false
		}
	}
	return true
}

// entryAt returns the entry with an IP number, empty if none has it.
func (s *soak) entryAt(ip string) string {
	for _, n := range s.entries {
		if n.ip.String() == ip {
			return n.id
		}
	}
	return ""
}

func (s *soak) end() {
	for _, g := range s.groups {
		g.Close()
	}
	for _, d := range s.desks {
		d.Close()
	}
	for _, r := range s.relays {
		r.close()
	}
	s.stop()
	s.store.Close()
}
