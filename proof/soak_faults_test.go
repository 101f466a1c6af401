package proof

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
)

// event is something that a soak does at a time.
type event struct {
	at time.Time
	do func()
}

// chaos does faults and planned work, one after the other or at once, from the
// test's goroutine.
type chaos struct {
	*soak
	events []event
	// busy names what must not be touched by another fault now.
	busy map[string]bool
	// down is set while the store is.
	down bool
	// stopped are the processes that were asked to end.
	stopped map[string]bool
}

func newChaos(s *soak) *chaos {
	return &chaos{soak: s, busy: map[string]bool{}, stopped: map[string]bool{}}
}

// actions with their weights; a planned one is no fault.
var actions = []struct {
	name    string
	weight  int
	planned bool
	do      func(*chaos)
}{
	{"freeze a process", 4, false, (*chaos).freezeProcess},
	{"kill a process", 4, false, (*chaos).killProcess},
	{"kill all", 1, false, (*chaos).killAll},
	{"stop a process", 4, true, (*chaos).stopProcess},
	{"reload a process", 1, true, (*chaos).reload},
	{"store down", 2, false, (*chaos).storeDown},
	{"store loses its history", 1, false, (*chaos).compact},
	{"store slow", 1, false, (*chaos).storeSlow},
	{"store cut off from a process", 2, false, (*chaos).storeCut},
	{"link harmed", 4, false, (*chaos).harmLink},
	{"connections reset", 2, false, (*chaos).resetConnections},
	{"agent cut off", 2, false, (*chaos).cutAgent},
	{"endpoint crashes", 4, false, (*chaos).crashEndpoint},
	{"endpoint goes wrong", 6, false, (*chaos).faultyEndpoint},
	{"orders go astray", 7, false, (*chaos).loseOrders},
	{"zone taken out", 2, true, (*chaos).takeZoneOut},
	{"keys changed", 2, true, (*chaos).changeKeys},
	{"endpoint drains", 2, true, (*chaos).drainEndpoint},
	{"foreign record", 1, false, (*chaos).foreignRecord},
}

// meanPause is the mean pause between two actions; they last for longer, so
// that several overlap.
const meanPause = 300 * time.Millisecond

// run does actions for d, then undoes what is left.
func (c *chaos) run(d time.Duration, plannedOnly bool) {
	total := 0
	for _, a := range actions {
		if !plannedOnly || a.planned {
			total += a.weight
		}
	}
	end := time.Now().Add(d)
	next := time.Now()
	for time.Now().Before(end) || len(c.events) > 0 {
		time.Sleep(5 * time.Millisecond)
		c.due()
		c.watchProcesses()
		if now := time.Now(); now.Before(end) && now.After(next) {
			next = now.Add(time.Duration(c.rng.ExpFloat64() * float64(meanPause)))
			x := c.rng.IntN(total)
			for _, a := range actions {
				if plannedOnly && !a.planned {
					continue
				}
				if x -= a.weight; x < 0 {
					a.do(c)
					break
				}
			}
		}
	}
}

// due does the events whose time has come.
func (c *chaos) due() {
	now := time.Now()
	var later []event
	all := c.events
	c.events = nil
	for _, e := range all {
		if e.at.After(now) {
			later = append(later, e)
		} else {
			e.do()
		}
	}
	c.events = append(later, c.events...)
}

func (c *chaos) after(d time.Duration, do func()) {
	c.events = append(c.events, event{time.Now().Add(d), do})
}

// between returns a random time.
func (c *chaos) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)))
}

// claim reserves something until release; it returns false if it is taken.
func (c *chaos) claim(name string) (release func(), ok bool) {
	if c.busy[name] {
		return nil, false
	}
	c.busy[name] = true
	return func() { delete(c.busy, name) }, true
}

// watchProcesses notes processes that ended though nobody asked them to.
func (c *chaos) watchProcesses() {
	for id, n := range c.nodes {
		select {
		case <-n.exited:
			if !c.stopped[id] {
				c.stopped[id] = true
				c.problems = append(c.problems, fmt.Sprintf("%s ended by itself; its log is kept", id))
			}
		default:
		}
	}
}

func (c *chaos) anyProcess() *node {
	if c.rng.IntN(2) == 0 {
		return c.entries[c.rng.IntN(len(c.entries))]
	}
	return c.agents[c.rng.IntN(len(c.agents))]
}

func (c *chaos) freezeProcess() {
	n := c.anyProcess()
	release, ok := c.claim(n.id)
	if !ok {
		return
	}
	d := c.between(100*time.Millisecond, 5*time.Second)
	c.note("%s freezes for %v", n.id, d)
	ended := c.disturb(&c.faults, n.id)
	c.freeze(n.id)
	c.after(d, func() { c.thaw(n.id); ended(); release() })
}

func (c *chaos) killProcess() {
	if n := c.anyProcess(); !c.busy[n.id] {
		c.killFor(n, c.between(50*time.Millisecond, 2*time.Second))
	}
}

func (c *chaos) killFor(n *node, d time.Duration) {
	release, _ := c.claim(n.id)
	c.note("%s is killed and starts again after %v", n.id, d)
	ended := c.disturb(&c.faults, n.id)
	c.stopped[n.id] = true
	c.kill(n.id)
	c.after(d, func() { c.restart(n); ended(); release() })
}

func (c *chaos) restart(n *node) {
	_ = n.log.Close()
	c.start(n.id)
	c.stopped[n.id] = false
}

func (c *chaos) killAll() {
	c.note("all processes are killed")
	for _, id := range c.order {
		if !c.busy[id] {
			c.killFor(c.nodes[id], c.between(100*time.Millisecond, time.Second))
		}
	}
}

// exitSlack is how long after its grace period a process may take to end.
const exitSlack = 500 * time.Millisecond

func (c *chaos) stopProcess() {
	n := c.anyProcess()
	release, ok := c.claim(n.id)
	if !ok {
		return
	}
	c.note("%s is asked to end", n.id)
	ended := c.disturb(&c.stops, n.id)
	c.stopped[n.id] = true
	c.signal(n.id, syscall.SIGTERM)
	limit := time.Now().Add(soakGrace + exitSlack)
	var wait func()
	wait = func() {
		select {
		case <-n.exited:
			c.note("%s has ended and starts again", n.id)
			c.restart(n)
			ended()
			release()
			return
		default:
		}
		if time.Now().After(limit) {
			c.problems = append(c.problems, n.id+" still runs after its grace period")
			c.kill(n.id)
		}
		c.after(50*time.Millisecond, wait)
	}
	wait()
}

func (c *chaos) reload() {
	n := c.anyProcess()
	if c.busy[n.id] {
		return
	}
	c.note("%s reads its settings again", n.id)
	c.signal(n.id, syscall.SIGHUP)
}

func (c *chaos) storeDown() {
	release, ok := c.claim("store")
	if !ok {
		return
	}
	d := c.between(200*time.Millisecond, 4*time.Second)
	c.note("the store is down for %v", d)
	ended := c.disturb(&c.faults, "")
	c.down = true
	c.store.SetDown(true)
	c.after(d, func() { c.store.SetDown(false); c.down = false; ended(); release() })
}

func (c *chaos) compact() {
	c.note("the store loses its history")
	ended := c.disturb(&c.faults, "")
	c.store.Compact()
	ended()
}

func (c *chaos) storeSlow() {
	release, ok := c.claim("store")
	if !ok {
		return
	}
	d, delay := c.between(500*time.Millisecond, 3*time.Second), c.between(50*time.Millisecond, 500*time.Millisecond)
	c.note("the store is %v slow for %v", delay, d)
	ended := c.disturb(&c.faults, "")
	heal := c.net.add(func(_ netip.Addr, target string) (link, bool) {
		return link{delay: delay}, netip.MustParseAddrPort(target).Port() == portStore
	})
	c.after(d, func() { heal(); ended(); release() })
}

func (c *chaos) storeCut() {
	n := c.anyProcess()
	target := c.stores[n.id].ln.Addr().String()
	d, harm := c.between(300*time.Millisecond, 4*time.Second), c.harm()
	c.note("%s and the store: %+v for %v", n.id, harm, d)
	ended := c.disturb(&c.faults, n.id)
	heal := c.net.add(func(_ netip.Addr, to string) (link, bool) { return harm, to == target })
	c.after(d, func() { heal(); ended() })
}

// harm is a random kind of harm to a link.
func (c *chaos) harm() link {
	switch c.rng.IntN(3) {
	case 0:
		return link{cut: true}
	case 1:
		return link{mute: true}
	}
	return link{delay: c.between(20*time.Millisecond, 400*time.Millisecond)}
}

// public returns the announced IP number of a random endpoint.
func (c *chaos) public() netip.Addr {
	if ranks := c.shape.groups * c.shape.ranks; c.rng.IntN(2) == 0 {
		return c.ip(netPublic, 1+c.rng.IntN(ranks))
	}
	return c.ip(netPublic, 200+c.rng.IntN(c.shape.desks))
}

func (c *chaos) harmLink() {
	n, ip, harm := c.entries[c.rng.IntN(len(c.entries))], c.public(), c.harm()
	d := c.between(100*time.Millisecond, 4*time.Second)
	c.note("%s and endpoint %v: %+v for %v", n.id, ip, harm, d)
	ended := c.disturb(&c.faults, n.id)
	heal := c.net.add(func(source netip.Addr, target string) (link, bool) {
		return harm, source == n.ip && netip.MustParseAddrPort(target).Addr() == ip
	})
	c.after(d, func() { heal(); ended() })
}

func (c *chaos) resetConnections() {
	p := c.proxies[c.rng.IntN(len(c.proxies))]
	c.note("connections to %v are reset", p.ln.Addr())
	ended := c.disturb(&c.faults, "")
	p.reset()
	ended()
}

func (c *chaos) cutAgent() {
	n := c.agents[c.rng.IntN(len(c.agents))]
	d, harm := c.between(300*time.Millisecond, 4*time.Second), c.harm()
	c.note("%s and other agents: %+v for %v", n.id, harm, d)
	ended := c.disturb(&c.faults, n.id)
	heal := c.net.add(func(source netip.Addr, target string) (link, bool) {
		return harm, source == n.ip && netip.MustParseAddrPort(target).Port() == portAgent
	})
	c.after(d, func() { heal(); ended() })
}

// endpointFault is the name under which faults of endpoints are noted; they
// don't excuse an entry.
const endpointFault = "endpoints"

func (c *chaos) anyEndpoint() *platformsim.Endpoint {
	if c.rng.IntN(2) == 0 {
		return c.desks[c.rng.IntN(len(c.desks))]
	}
	g := c.groups[c.rng.IntN(len(c.groups))]
	return g.Ranks[c.rng.IntN(len(g.Ranks))]
}

func (c *chaos) crashEndpoint() {
	if e := c.anyEndpoint(); !c.busy[fmt.Sprintf("%p", e)] {
		c.crashFor(e, c.between(200*time.Millisecond, 3*time.Second))
	}
}

func (c *chaos) crashFor(e *platformsim.Endpoint, d time.Duration) {
	release, _ := c.claim(fmt.Sprintf("%p", e))
	c.note("endpoint %s crashes and starts again after %v", e.ID(), d)
	ended := c.disturb(&c.faults, endpointFault)
	e.Crash()
	c.after(d, func() { c.must(e.Restart()); ended(); release() })
}

func (c *chaos) faultyEndpoint() {
	e := c.anyEndpoint()
	release, ok := c.claim(fmt.Sprintf("%p", e))
	if !ok {
		return
	}
	p := 0.2 + 0.6*c.rng.Float64()
	f := []platformsim.Faults{{Hang: p}, {Truncate: p}, {Fail: p}, {WrongRequestID: p}, {Reject: p}}[c.rng.IntN(5)]
	d := c.between(500*time.Millisecond, 4*time.Second)
	c.note("endpoint %s: %+v for %v", e.ID(), f, d)
	ended := c.disturb(&c.faults, endpointFault)
	e.SetFaults(f)
	c.after(d, func() { e.SetFaults(platformsim.Faults{}); ended(); release() })
}

func (c *chaos) loseOrders() {
	g := c.groups[c.rng.IntN(len(c.groups))]
	d := c.between(2*time.Second, 6*time.Second)
	c.note("orders to group %p go astray for %v", g, d)
	set := func(lost, mute, late float64) {
		g.RankSim.Lock()
		defer g.RankSim.Unlock()
		g.RankSim.LossProbability, g.RankSim.ReplyLossProbability, g.RankSim.DelayProbability = lost, mute, late
	}
	set(0.2*c.rng.Float64(), 0.2*c.rng.Float64(), 0.4*c.rng.Float64())
	ended := c.disturb(&c.faults, endpointFault)
	c.after(d, func() { set(0, 0, 0); ended() })
}

func (c *chaos) takeZoneOut() {
	if c.down {
		return // the operator's write would not be acknowledged
	}
	release, ok := c.claim("zone")
	if !ok {
		return
	}
	zone := soakZones[c.rng.IntN(len(soakZones))]
	d := soakEvacuate + c.between(time.Second, 3*time.Second)
	c.note("zone %s is taken out for %v", zone, d)
	c.store.Put("op/evacuate/"+zone, []byte("{}"))
	c.mu.Lock()
	at := len(c.zoneOuts)
	c.zoneOuts = append(c.zoneOuts, zoneOut{zone: zone, from: time.Now()})
	c.mu.Unlock()
	c.after(d, func() {
		c.mu.Lock()
		c.zoneOuts[at].to = time.Now()
		c.mu.Unlock()
		c.store.Remove("op/evacuate/" + zone)
		release()
	})
}

func (c *chaos) changeKeys() {
	if c.down {
		return // the operator's write would not be acknowledged
	}
	n := c.version + 1
	c.note("keys are changed: configuration %d", n)
	c.configure(map[string]string{fmt.Sprintf("key-a-%d", n): "menders", fmt.Sprintf("key-b-%d", n): "riggers"})
}

func (c *chaos) drainEndpoint() {
	if c.down {
		return // the endpoint's write would not be acknowledged
	}
	e := c.desks[c.rng.IntN(len(c.desks))]
	release, ok := c.claim(fmt.Sprintf("%p", e))
	if !ok {
		return
	}
	id := e.ID()
	c.note("endpoint %s drains", id)
	e.Drain()
	c.mu.Lock()
	c.leaving = append(c.leaving, departure{endpoint: id, at: time.Now()})
	c.mu.Unlock()
	c.after(soakLeaving+c.between(500*time.Millisecond, 2*time.Second), func() {
		release()
		c.crashFor(e, c.between(200*time.Millisecond, time.Second))
	})
}

func (c *chaos) foreignRecord() {
	values := []string{"", "torn", `{"service":"desk"}`, `{"service":"desk","address":"127.0.0.1:1","zone":"z0","slots":-1,"state":"ready","cold_remaining_ms":0}`}
	c.note("a foreign record is written")
	key := fmt.Sprintf("servers/foreign-%d", c.rng.IntN(3))
	c.store.Put(key, []byte(values[c.rng.IntN(len(values))]))
	c.after(time.Second, func() { c.store.Remove(key) })
}
