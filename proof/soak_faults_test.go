package proof

import (
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
	"github.com/wasabinotch/wasabinotch/rankgroup"
)

// scheduledAction is a function that a soak run calls when it is due.
type scheduledAction struct {
	due time.Time
	run func()
}

// chaosRunner injects faults and carries out planned operations, which may overlap.
// It starts and ends all of them from the test's goroutine.
type chaosRunner struct {
	*soak
	scheduled []scheduledAction
	// reserved are the names of processes, endpoints and other targets of a fault
	// or operation in progress that excludes others on the same target. Endpoints
	// are reserved by pointer, since their IDs change when they restart.
	reserved map[string]bool
	// storeIsDown is set while the store rejects all calls.
	storeIsDown bool
	// exitExpected are the IDs of processes that were killed or asked to exit, or
	// whose unexpected exit is already recorded.
	exitExpected map[string]bool
}

func newChaosRunner(s *soak) *chaosRunner {
	return &chaosRunner{soak: s, reserved: map[string]bool{}, exitExpected: map[string]bool{}}
}

// chaosActions are the actions to choose from. Each is chosen with a probability
// proportional to its weight. Planned operations, such as a graceful stop, are not
// faults; some seeds run no other actions.
var chaosActions = []struct {
	name    string
	weight  int
	planned bool
	run     func(*chaosRunner)
}{
	{"freeze a process", 4, false, (*chaosRunner).freezeProcess},
	{"kill a process", 4, false, (*chaosRunner).killProcess},
	{"kill all", 1, false, (*chaosRunner).killAll},
	{"stop a process", 4, true, (*chaosRunner).stopProcess},
	{"reload a process", 1, true, (*chaosRunner).reloadProcess},
	{"store down", 2, false, (*chaosRunner).takeStoreDown},
	{"store compacts its history", 1, false, (*chaosRunner).compactStore},
	{"store restored from a copy", 2, false, (*chaosRunner).restoreStore},
	{"endpoint names a rate limit", 3, true, (*chaosRunner).limitEndpoint},
	{"endpoint leaves", 2, true, (*chaosRunner).endpointLeaves},
	{"endpoint asks for a pause", 3, true, (*chaosRunner).endpointSheds},
	{"store slow", 1, false, (*chaosRunner).slowStore},
	{"link from a process to the store impaired", 2, false, (*chaosRunner).impairStoreLink},
	{"link from an entry to an endpoint impaired", 4, false, (*chaosRunner).impairEndpointLink},
	{"connections reset", 2, false, (*chaosRunner).resetConnections},
	{"links from an agent to other agents impaired", 2, false, (*chaosRunner).impairAgentLinks},
	{"endpoint crashes", 4, false, (*chaosRunner).crashEndpoint},
	{"endpoint misbehaves", 6, false, (*chaosRunner).setEndpointFaults},
	{"commands to a rank group lost or delayed", 7, false, (*chaosRunner).disruptCommands},
	{"zone taken out of service", 2, true, (*chaosRunner).takeZoneOut},
	{"keys changed", 2, true, (*chaosRunner).changeKeys},
	{"endpoint drains", 2, true, (*chaosRunner).drainEndpoint},
	{"invalid endpoint record", 1, false, (*chaosRunner).writeInvalidRecord},
	{"coordinator freezes in a switch", 3, false, (*chaosRunner).freezeCoordinator},
	{"crowd at an entry", 6, false, (*chaosRunner).crowdEntry},
}

// meanActionInterval is the mean time between the starts of two actions. Most
// actions last longer, so that several overlap.
const meanActionInterval = 300 * time.Millisecond

// run starts random actions for d, then waits until those in progress have ended.
func (c *chaosRunner) run(d time.Duration, plannedOnly bool) {
	total := 0
	for _, a := range chaosActions {
		if !plannedOnly || a.planned {
			total += a.weight
		}
	}
	end := time.Now().Add(d)
	next := time.Now()
	for time.Now().Before(end) || len(c.scheduled) > 0 {
		time.Sleep(5 * time.Millisecond)
		c.runDue()
		c.recordUnexpectedExits()
		if now := time.Now(); now.Before(end) && now.After(next) {
			next = now.Add(time.Duration(c.rng.ExpFloat64() * float64(meanActionInterval)))
			x := c.rng.IntN(total)
			for _, a := range chaosActions {
				if plannedOnly && !a.planned {
					continue
				}
				if x -= a.weight; x < 0 {
					a.run(c)
					break
				}
			}
		}
	}
}

// runDue calls the scheduled functions that are due. These may schedule further
// ones.
func (c *chaosRunner) runDue() {
	now := time.Now()
	var later []scheduledAction
	all := c.scheduled
	c.scheduled = nil
	for _, e := range all {
		if e.due.After(now) {
			later = append(later, e)
		} else {
			e.run()
		}
	}
	c.scheduled = append(later, c.scheduled...)
}

func (c *chaosRunner) schedule(d time.Duration, run func()) {
	c.scheduled = append(c.scheduled, scheduledAction{time.Now().Add(d), run})
}

// randomDuration returns a uniformly distributed duration from low up to high,
// without high.
func (c *chaosRunner) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)))
}

// reserve reserves a name until release is called; ok is false if it is already
// reserved.
func (c *chaosRunner) reserve(name string) (release func(), ok bool) {
	if c.reserved[name] {
		return nil, false
	}
	c.reserved[name] = true
	return func() { delete(c.reserved, name) }, true
}

// recordUnexpectedExits records processes that exited without being killed or asked
// to exit.
func (c *chaosRunner) recordUnexpectedExits() {
	for id, n := range c.nodes {
		select {
		case <-n.exited:
			if !c.exitExpected[id] {
				c.exitExpected[id] = true
				c.processFailures = append(c.processFailures, fmt.Sprintf("%s exited unexpectedly; see its log", id))
			}
		default:
		}
	}
}

func (c *chaosRunner) randomProcess() *node {
	if c.rng.IntN(2) == 0 {
		return c.entries[c.rng.IntN(len(c.entries))]
	}
	return c.agents[c.rng.IntN(len(c.agents))]
}

func (c *chaosRunner) freezeProcess() {
	n := c.randomProcess()
	release, ok := c.reserve(n.id)
	if !ok {
		return
	}
	d := c.randomDuration(100*time.Millisecond, 5*time.Second)
	c.logEvent("%s is frozen for %v", n.id, d)
	recordEnd := c.recordDisturbance(&c.faults, n.id)
	c.freezeNode(n.id)
	c.schedule(d, func() { c.resumeNode(n.id); recordEnd(); release() })
}

// freezeCoordinator freezes the agent beside a rank, or its whole VM, at one of the commands
// of the next switch that it coordinates, if there is one soon.
func (c *chaosRunner) freezeCoordinator() {
	group, rank := c.rng.IntN(c.size.groups), 0
	if c.rng.IntN(3) == 0 {
		rank = c.rng.IntN(c.size.ranks)
	}
	host := group*c.size.ranks + rank
	n, vm, at := c.agents[host], c.rng.IntN(2) == 0, c.rng.IntN(c.size.ranks+1)
	releaseGroup, ok := c.reserve(fmt.Sprint("coordinator of group ", group))
	if !ok {
		return
	}
	release, ok := c.reserve(n.id)
	if !ok {
		releaseGroup()
		return
	}
	d := c.randomDuration(2*time.Second, 6*time.Second)
	c.logEvent("%s, whole VM %t, freezes at command %d of its next switch, until %v from now", n.id, vm, at, d)
	recordEnd := c.recordDisturbance(&c.faults, n.id)
	var frozen atomic.Bool
	address := c.ip(netPublic, host+1)
	endFault := c.linkRules.add(func(_ netip.Addr, target string) (linkFault, bool) {
		return linkFault{blocked: true}, vm && frozen.Load() && netip.MustParseAddrPort(target).Addr() == address
	})
	sim := c.groups[group].RankSim
	watch := &switchWatch{ranks: c.size.ranks, coordinator: -1}
	sim.Lock()
	sim.Delivered = func(r int, command rankgroup.Command, result rankgroup.Result) {
		if result == rankgroup.Accepted {
			watch.observe(r, command, at, func() {
				if watch.coordinator == rank {
					frozen.Store(true)
					c.freezeNode(n.id)
				}
			})
		}
	}
	sim.Unlock()
	c.schedule(d, func() {
		sim.Lock()
		sim.Delivered = nil
		sim.Unlock()
		c.resumeNode(n.id)
		endFault()
		recordEnd()
		releaseGroup()
		release()
	})
}

func (c *chaosRunner) killProcess() {
	if n := c.randomProcess(); !c.reserved[n.id] {
		c.killAndRestart(n, c.randomDuration(50*time.Millisecond, 2*time.Second))
	}
}

// killAndRestart kills a process, which must not be reserved, and restarts it after
// d.
func (c *chaosRunner) killAndRestart(n *node, d time.Duration) {
	release, _ := c.reserve(n.id)
	c.logEvent("%s is killed and restarts after %v", n.id, d)
	recordEnd := c.recordDisturbance(&c.faults, n.id)
	c.exitExpected[n.id] = true
	c.killNode(n.id)
	c.schedule(d, func() { c.restartProcess(n); recordEnd(); release() })
}

func (c *chaosRunner) restartProcess(n *node) {
	_ = n.logFile.Close()
	c.startNode(n.id)
	c.exitExpected[n.id] = false
}

func (c *chaosRunner) killAll() {
	c.logEvent("all processes are killed")
	for _, id := range c.nodeIDs {
		if !c.reserved[id] {
			c.killAndRestart(c.nodes[id], c.randomDuration(100*time.Millisecond, time.Second))
		}
	}
}

// gracePeriodSlack is how long after its grace period a process may take to exit.
const gracePeriodSlack = 500 * time.Millisecond

func (c *chaosRunner) stopProcess() {
	n := c.randomProcess()
	release, ok := c.reserve(n.id)
	if !ok {
		return
	}
	c.logEvent("%s gets SIGTERM", n.id)
	recordEnd := c.recordDisturbance(&c.plannedStops, n.id)
	c.exitExpected[n.id] = true
	c.signalNode(n.id, syscall.SIGTERM)
	limit := time.Now().Add(soakGracePeriod + gracePeriodSlack)
	var wait func()
	wait = func() {
		select {
		case <-n.exited:
			c.logEvent("%s has exited and restarts", n.id)
			c.restartProcess(n)
			recordEnd()
			release()
			return
		default:
		}
		if time.Now().After(limit) {
			c.processFailures = append(c.processFailures, n.id+" still runs after its grace period")
			c.killNode(n.id)
		}
		c.schedule(50*time.Millisecond, wait)
	}
	wait()
}

func (c *chaosRunner) reloadProcess() {
	n := c.randomProcess()
	if c.reserved[n.id] {
		return
	}
	c.logEvent("%s reloads its settings", n.id)
	c.signalNode(n.id, syscall.SIGHUP)
}

func (c *chaosRunner) takeStoreDown() {
	release, ok := c.reserve("store")
	if !ok {
		return
	}
	d := c.randomDuration(200*time.Millisecond, 4*time.Second)
	c.logEvent("the store is down for %v", d)
	recordEnd := c.recordDisturbance(&c.faults, "")
	c.storeIsDown = true
	c.store.SetDown(true)
	c.schedule(d, func() { c.store.SetDown(false); c.storeIsDown = false; recordEnd(); release() })
}

func (c *chaosRunner) compactStore() {
	c.logEvent("the store compacts its history")
	recordEnd := c.recordDisturbance(&c.faults, "")
	c.store.Compact()
	recordEnd()
}

// restoreStore takes the store down some time after a copy of it was taken, and restores
// it from the copy. The operator and the endpoints write again at once what it lacks.
func (c *chaosRunner) restoreStore() {
	copied := c.store.Copy()
	age, d := c.randomDuration(500*time.Millisecond, 4*time.Second), c.randomDuration(100*time.Millisecond, 1500*time.Millisecond)
	c.schedule(age, func() {
		release, ok := c.reserve("store")
		if !ok {
			return
		}
		c.logEvent("the store is down for %v and comes back from a copy that is %v old", d, age)
		recordEnd := c.recordDisturbance(&c.faults, "")
		c.storeIsDown = true
		c.store.SetDown(true)
		c.schedule(d, func() {
			c.store.RestoreRewritten(copied, "op/", "servers/")
			c.store.SetDown(false)
			c.storeIsDown = false
			recordEnd()
			release()
		})
	})
}

// limitEndpoint makes an endpoint name a rate limit for some seconds, or until it
// restarts.
func (c *chaosRunner) limitEndpoint() {
	e := c.plainEndpoints[c.rng.IntN(len(c.plainEndpoints))]
	if c.rng.IntN(2) == 0 {
		e = c.randomEndpoint()
	}
	release, ok := c.reserve(fmt.Sprintf("%p", e))
	if !ok {
		return
	}
	id, perSecond, d := e.ID(), 0.5+c.rng.Float64(), c.randomDuration(4*time.Second, 8*time.Second)
	c.logEvent("endpoint %s names a limit of %v requests a second for %v", id, perSecond, d)
	e.SetRateLimit(fmt.Sprint(perSecond))
	c.mu.Lock()
	c.rateLimits = append(c.rateLimits, rateLimit{endpoint: id, perSecond: perSecond, from: time.Now(), to: time.Now().Add(d)})
	c.mu.Unlock()
	c.schedule(d, func() { e.SetRateLimit(""); release() })
}

func (c *chaosRunner) slowStore() {
	release, ok := c.reserve("store")
	if !ok {
		return
	}
	d, delay := c.randomDuration(500*time.Millisecond, 3*time.Second), c.randomDuration(50*time.Millisecond, 500*time.Millisecond)
	c.logEvent("each chunk to and from the store is delayed by %v for %v", delay, d)
	recordEnd := c.recordDisturbance(&c.faults, "")
	endFault := c.linkRules.add(func(_ netip.Addr, target string) (linkFault, bool) {
		return linkFault{delay: delay}, netip.MustParseAddrPort(target).Port() == portStore
	})
	c.schedule(d, func() { endFault(); recordEnd(); release() })
}

func (c *chaosRunner) impairStoreLink() {
	n := c.randomProcess()
	target := c.storeProxies[n.id].ln.Addr().String()
	d, fault := c.randomDuration(300*time.Millisecond, 4*time.Second), c.randomLinkFault()
	c.logEvent("link from %s to the store: %+v for %v", n.id, fault, d)
	recordEnd := c.recordDisturbance(&c.faults, n.id)
	endFault := c.linkRules.add(func(_ netip.Addr, to string) (linkFault, bool) { return fault, to == target })
	c.schedule(d, func() { endFault(); recordEnd() })
}

func (c *chaosRunner) randomLinkFault() linkFault {
	switch c.rng.IntN(3) {
	case 0:
		return linkFault{blocked: true}
	case 1:
		return linkFault{repliesBlocked: true}
	}
	return linkFault{delay: c.randomDuration(20*time.Millisecond, 400*time.Millisecond)}
}

// randomPublicIP returns the announced IP address of a random endpoint.
func (c *chaosRunner) randomPublicIP() netip.Addr {
	if ranks := c.size.groups * c.size.ranks; c.rng.IntN(2) == 0 {
		return c.ip(netPublic, 1+c.rng.IntN(ranks))
	}
	return c.ip(netPublic, 200+c.rng.IntN(c.size.plainEndpoints))
}

func (c *chaosRunner) impairEndpointLink() {
	n, ip, fault := c.entries[c.rng.IntN(len(c.entries))], c.randomPublicIP(), c.randomLinkFault()
	d := c.randomDuration(100*time.Millisecond, 4*time.Second)
	c.logEvent("link from %s to endpoint %v: %+v for %v", n.id, ip, fault, d)
	recordEnd := c.recordDisturbance(&c.faults, n.id)
	endFault := c.linkRules.add(func(source netip.Addr, target string) (linkFault, bool) {
		return fault, source == n.ip && netip.MustParseAddrPort(target).Addr() == ip
	})
	c.schedule(d, func() { endFault(); recordEnd() })
}

func (c *chaosRunner) resetConnections() {
	p := c.proxies[c.rng.IntN(len(c.proxies))]
	c.logEvent("connections to %v are reset", p.ln.Addr())
	recordEnd := c.recordDisturbance(&c.faults, "")
	p.resetConnections()
	recordEnd()
}

func (c *chaosRunner) impairAgentLinks() {
	n := c.agents[c.rng.IntN(len(c.agents))]
	d, fault := c.randomDuration(300*time.Millisecond, 4*time.Second), c.randomLinkFault()
	c.logEvent("links from %s to other agents: %+v for %v", n.id, fault, d)
	recordEnd := c.recordDisturbance(&c.faults, n.id)
	endFault := c.linkRules.add(func(source netip.Addr, target string) (linkFault, bool) {
		return fault, source == n.ip && netip.MustParseAddrPort(target).Port() == portAgent
	})
	c.schedule(d, func() { endFault(); recordEnd() })
}

// endpointFault stands for a node ID in the disturbances of endpoints. As it is no
// entry's ID, bounds that hold for an undisturbed entry also hold while endpoints
// fail.
const endpointFault = "endpoints"

func (c *chaosRunner) randomEndpoint() *platformsim.Endpoint {
	if c.rng.IntN(2) == 0 {
		return c.plainEndpoints[c.rng.IntN(len(c.plainEndpoints))]
	}
	g := c.groups[c.rng.IntN(len(c.groups))]
	return g.Ranks[c.rng.IntN(len(g.Ranks))]
}

func (c *chaosRunner) crashEndpoint() {
	if e := c.randomEndpoint(); !c.reserved[fmt.Sprintf("%p", e)] {
		c.crashAndRestart(e, c.randomDuration(200*time.Millisecond, 3*time.Second))
	}
}

// crashAndRestart crashes an endpoint, which must not be reserved, and restarts it
// after d.
func (c *chaosRunner) crashAndRestart(e *platformsim.Endpoint, d time.Duration) {
	release, _ := c.reserve(fmt.Sprintf("%p", e))
	c.logEvent("endpoint %s crashes and restarts after %v", e.ID(), d)
	recordEnd := c.recordDisturbance(&c.faults, endpointFault)
	e.Crash()
	c.schedule(d, func() { c.must(e.Restart()); recordEnd(); release() })
}

// setEndpointFaults gives an endpoint one kind of fault, for a random fraction of
// its requests.
func (c *chaosRunner) setEndpointFaults() {
	e := c.randomEndpoint()
	release, ok := c.reserve(fmt.Sprintf("%p", e))
	if !ok {
		return
	}
	p := 0.2 + 0.6*c.rng.Float64()
	f := []platformsim.Faults{{Hang: p}, {Truncate: p}, {Fail: p}, {WrongRequestID: p}, {Reject: p}}[c.rng.IntN(5)]
	d := c.randomDuration(500*time.Millisecond, 4*time.Second)
	c.logEvent("endpoint %s: %+v for %v", e.ID(), f, d)
	recordEnd := c.recordDisturbance(&c.faults, endpointFault)
	e.SetFaults(f)
	c.schedule(d, func() { e.SetFaults(platformsim.Faults{}); recordEnd(); release() })
}

// disruptCommands drops and delays commands to the ranks of a group and drops their
// replies, with random probabilities.
func (c *chaosRunner) disruptCommands() {
	g := c.groups[c.rng.IntN(len(c.groups))]
	d := c.randomDuration(2*time.Second, 6*time.Second)
	c.logEvent("commands to group %p are lost or delayed for %v", g, d)
	set := func(loss, replyLoss, delay float64) {
		g.RankSim.Lock()
		defer g.RankSim.Unlock()
		g.RankSim.LossProbability, g.RankSim.ReplyLossProbability, g.RankSim.DelayProbability = loss, replyLoss, delay
	}
	set(0.2*c.rng.Float64(), 0.2*c.rng.Float64(), 0.4*c.rng.Float64())
	recordEnd := c.recordDisturbance(&c.faults, endpointFault)
	c.schedule(d, func() { set(0, 0, 0); recordEnd() })
}

func (c *chaosRunner) takeZoneOut() {
	if c.storeIsDown {
		return // the operator's write would not be acknowledged
	}
	release, ok := c.reserve("zone")
	if !ok {
		return
	}
	zone := soakZones[c.rng.IntN(len(soakZones))]
	d := soakZoneOutBound + c.randomDuration(time.Second, 3*time.Second)
	c.logEvent("zone %s is taken out of service for %v", zone, d)
	c.store.Put("op/evacuate/"+zone, []byte("{}"))
	c.mu.Lock()
	at := len(c.zoneOuts)
	c.zoneOuts = append(c.zoneOuts, zoneOut{zone: zone, from: time.Now()})
	c.mu.Unlock()
	c.schedule(d, func() {
		c.mu.Lock()
		c.zoneOuts[at].to = time.Now()
		c.mu.Unlock()
		c.store.Remove("op/evacuate/" + zone)
		release()
	})
}

// changeKeys writes a configuration with new API keys only, which removes all
// earlier keys.
func (c *chaosRunner) changeKeys() {
	if c.storeIsDown {
		return // the operator's write would not be acknowledged
	}
	n := c.configVersion + 1
	c.logEvent("API keys change with configuration %d", n)
	c.writeConfig(map[string]string{fmt.Sprintf("key-a-%d", n): "menders", fmt.Sprintf("key-b-%d", n): "riggers"})
}

// drainEndpoint makes an endpoint announce that it drains. After soakDrainBound, from
// which on no new request may reach it, and a random time, the endpoint crashes and
// restarts.
func (c *chaosRunner) drainEndpoint() {
	if c.storeIsDown {
		return // the endpoint's write would not be acknowledged
	}
	e := c.plainEndpoints[c.rng.IntN(len(c.plainEndpoints))]
	release, ok := c.reserve(fmt.Sprintf("%p", e))
	if !ok {
		return
	}
	id := e.ID()
	c.logEvent("endpoint %s starts to drain", id)
	e.Drain()
	c.mu.Lock()
	c.drainStarts = append(c.drainStarts, drainStart{endpoint: id, at: time.Now()})
	c.mu.Unlock()
	c.schedule(soakDrainBound+c.randomDuration(500*time.Millisecond, 2*time.Second), func() {
		release()
		c.crashAndRestart(e, c.randomDuration(200*time.Millisecond, time.Second))
	})
}

// endpointLeaves makes an endpoint say in its responses, but not in the store, that it
// leaves. Later it ends and starts again.
func (c *chaosRunner) endpointLeaves() {
	e := c.plainEndpoints[c.rng.IntN(len(c.plainEndpoints))]
	release, ok := c.reserve(fmt.Sprintf("%p", e))
	if !ok {
		return
	}
	c.logEvent("endpoint %s says that it leaves", e.ID())
	e.Leave()
	c.schedule(soakDrainBound+c.randomDuration(500*time.Millisecond, 2*time.Second), func() {
		release()
		c.crashAndRestart(e, c.randomDuration(200*time.Millisecond, time.Second))
	})
}

// endpointSheds makes an endpoint reject all requests and ask for a pause.
func (c *chaosRunner) endpointSheds() {
	e := c.plainEndpoints[c.rng.IntN(len(c.plainEndpoints))]
	if c.rng.IntN(2) == 0 {
		e = c.randomEndpoint()
	}
	release, ok := c.reserve(fmt.Sprintf("%p", e))
	if !ok {
		return
	}
	d := c.randomDuration(time.Second, 4*time.Second)
	c.logEvent("endpoint %s rejects requests and asks for a pause of %v", e.ID(), d)
	e.Shed(d)
	c.schedule(d, release)
}

// writeInvalidRecord writes an invalid record, which processes must ignore, under the
// key prefix of the endpoint records, and removes it a second later.
func (c *chaosRunner) writeInvalidRecord() {
	values := []string{"", "torn", strings.Repeat("[", 1<<20), `{"service":"desk","address":"127.0.0.1:70000","zone":"z0","slots":9,"state":"ready","cold_remaining_ms":0}`,
		`{"service":"desk","address":"127.0.0.1:1","zone":"z0","slots":9,"state":"ready","cold_remaining_ms":1e300,"born":9000000000000000000}`, `{"service":"desk"}`, `{"service":"desk","address":"127.0.0.1:1","zone":"z0","slots":-1,"state":"ready","cold_remaining_ms":0}`}
	c.logEvent("an invalid endpoint record is written")
	key := fmt.Sprintf("servers/foreign-%d", c.rng.IntN(3))
	c.store.Put(key, []byte(values[c.rng.IntN(len(values))]))
	c.schedule(time.Second, func() { c.store.Remove(key) })
}
