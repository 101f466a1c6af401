package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wasabinotch/wasabinotch/wire"
)

// fanOut is the number of entries to which a node pushes a change. Each entry
// that takes over the change pushes it on, so a fleet of 60 needs two hops.
const fanOut = 8

// fetchTimeout is the time after which a fetch counts as lost.
const fetchTimeout = 2 * time.Second

// fetchState keeps a node from fetching the same content from every peer that
// announces it.
type fetchState struct {
	addr  string // of the running fetch; "" for none
	until time.Time
	next  wire.Node // last peer that announced more while a fetch was running
	more  wire.Config
}

// push sends the changed configuration to entries and to the agents that
// report to this node.
func (l *Loop) push() {
	for _, n := range l.pushTargets() {
		l.exchange(n.ID, n.RPCAddr, false)
	}
	now := l.clock.Now()
	for id, e := range l.endpoints {
		if now.Sub(e.LastSeen) <= endpointAlive {
			l.notify(id, e.Node.RPCAddr)
		}
	}
}

// announce sends the own record to several entries at once. Agents report it
// to their entries instead.
func (l *Loop) announce() {
	if !l.isEntry() {
		return
	}
	for _, n := range spread(l.self.ID, l.liveEntries(), fanOut) {
		l.exchange(n.ID, n.RPCAddr, false)
	}
}

// pushTargets returns up to fanOut entries not known to have the current
// configuration, spread over zones so that each zone confirms soon.
func (l *Loop) pushTargets() []wire.Node {
	byZone := make(map[string][]wire.Node)
	var zones []string
	entries := l.liveEntries()
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	for _, n := range entries {
		bundleMissing, intentsMissing := l.lacks(l.configs[n.ID])
		if !bundleMissing && !intentsMissing {
			continue
		}
		if len(byZone[n.Zone]) == 0 {
			zones = append(zones, n.Zone)
		}
		byZone[n.Zone] = append(byZone[n.Zone], n)
	}
	var out []wire.Node
	for i := 0; len(out) < fanOut; i++ {
		before := len(out)
		for _, z := range zones {
			if i < len(byZone[z]) && len(out) < fanOut {
				out = append(out, byZone[z][i])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}

// notifyResult is an agent's answer to a notification.
type notifyResult struct {
	id     string
	config wire.Config
}

func (r notifyResult) apply(l *Loop) {
	l.heardConfig(r.id, r.config)
}

func (l *Loop) notify(id, addr string) {
	known := l.configs[id]
	bundleMissing, intentsMissing := l.lacks(known)
	if !bundleMissing && !intentsMissing {
		return
	}
	args := wire.NotifyArgs{From: l.self, Config: l.config(l.clock.Now())}
	l.attach(&args.Bundle, &args.Intents, known)
	l.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		// An agent that misses this learns of the change from its next report.
		reply, err := call[wire.NotifyReply](ctx, l.cfg.Pool, addr, wire.AgentService+".Notify", &args)
		if err == nil {
			l.send(notifyResult{id, reply.Config})
		}
	})
}

// fetchIfBehind fetches the bundle or intents that a peer has and this node lacks.
func (l *Loop) fetchIfBehind(c wire.Config, from wire.Node) {
	// A node with an older record merges this node's on its own exchange and
	// announces what this node lacks.
	older := c.BundleVersion <= l.self.BundleVersion && c.IntentsRev < l.intents.Revision
	if l.covers(c) || older || from.RPCAddr == "" || from.Role != wire.RoleEntry {
		return
	}
	now := l.clock.Now()
	if l.fetch.addr != "" && now.Before(l.fetch.until) {
		l.fetch.next, l.fetch.more = from, c
		return
	}
	l.fetch = fetchState{addr: from.RPCAddr, until: now.Add(fetchTimeout)}
	l.exchange(from.ID, from.RPCAddr, true)
}

// done ends a fetch and starts the next one if more was announced meanwhile.
func (f *fetchState) done(l *Loop, r exchangeResult) {
	if f.addr != r.addr {
		return
	}
	next, more := f.next, f.more
	*f = fetchState{}
	if next.RPCAddr == "" {
		return
	}
	// The result is applied right after this event; compare only then.
	l.spawn(func(context.Context) { l.send(fetchMore{more, next}) })
}

type fetchMore struct {
	config wire.Config
	from   wire.Node
}

func (m fetchMore) apply(l *Loop) {
	l.fetchIfBehind(m.config, m.from)
}
