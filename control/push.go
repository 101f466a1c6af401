package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wasabinotch/wasabinotch/wire"
)

// pushFanOut is the number of entries to which a node pushes a change. Each entry
// that applies the change pushes it in turn, so a fleet of 60 entries needs two
// hops.
const pushFanOut = 8

// fetchTimeout is the time after which another fetch may start although the
// running one has no result.
const fetchTimeout = 2 * time.Second

// fetchState limits a node to one fetch at a time, so that it does not fetch the
// same content from every peer that announces it.
type fetchState struct {
	addr          string // address of the peer of the running fetch; "" for none
	expiresAt     time.Time
	pendingPeer   wire.Node // last peer that announced missing content during the running fetch
	pendingConfig wire.Config
}

// pushConfig sends the changed configuration to entries that lack it and to the
// agents that report to this node.
func (l *Loop) pushConfig() {
	for _, n := range l.pushTargets() {
		l.exchange(n.ID, n.RPCAddr, false)
	}
	now := l.clock.Now()
	for id, e := range l.endpoints {
		if now.Sub(e.LastSeen) <= endpointTimeout {
			l.notifyAgent(id, e.Node.RPCAddr)
		}
	}
}

// pushSelf sends this entry's record to pushFanOut entries without waiting for the
// next gossip round. Agents send theirs in reports instead.
func (l *Loop) pushSelf() {
	if !l.isEntry() {
		return
	}
	for _, n := range spreadOverZones(l.self.ID, l.otherEntries(), pushFanOut) {
		l.exchange(n.ID, n.RPCAddr, false)
	}
}

// pushTargets returns up to pushFanOut random entries that are not known to have
// the current configuration, spread over the zones so that each zone confirms
// early.
func (l *Loop) pushTargets() []wire.Node {
	byZone := make(map[string][]wire.Node)
	var zones []string
	entries := l.otherEntries()
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	for _, n := range entries {
		bundleMissing, intentsMissing := l.missingFrom(l.peerConfigs[n.ID])
		if !bundleMissing && !intentsMissing {
			continue
		}
		if len(byZone[n.Zone]) == 0 {
			zones = append(zones, n.Zone)
		}
		byZone[n.Zone] = append(byZone[n.Zone], n)
	}
	var out []wire.Node
	for i := 0; len(out) < pushFanOut; i++ {
		before := len(out)
		for _, z := range zones {
			if i < len(byZone[z]) && len(out) < pushFanOut {
				out = append(out, byZone[z][i])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}

// notifyResult is the event for an agent's reply to a notification.
type notifyResult struct {
	id     string
	config wire.Config
}

func (r notifyResult) apply(l *Loop) {
	l.recordPeerConfig(r.id, r.config)
}

// notifyAgent announces the configuration to an agent that lacks it.
func (l *Loop) notifyAgent(id, addr string) {
	known := l.peerConfigs[id]
	bundleMissing, intentsMissing := l.missingFrom(known)
	if !bundleMissing && !intentsMissing {
		return
	}
	args := wire.NotifyArgs{From: l.self, Config: l.config(l.clock.Now())}
	l.attachConfig(&args.Bundle, &args.Intents, known)
	l.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		// If the call fails, the agent learns of the change from the reply to its
		// next report.
		reply, err := callPeer[wire.NotifyReply](ctx, l.cfg.Pool, addr, wire.AgentService+".Notify", &args)
		if err == nil {
			l.send(notifyResult{id, reply.Config})
		}
	})
}

// fetchIfBehind fetches the bundle or intents that this node lacks from an entry
// with configuration c. If a fetch is running, it notes the entry for later.
func (l *Loop) fetchIfBehind(c wire.Config, from wire.Node) {
	// A node with an older intents record merges this node's record in an
	// exchange that it starts, and then announces what this node lacks.
	older := c.BundleVersion <= l.self.BundleVersion && c.IntentsRev < l.intents.Revision
	if l.covers(c) || older || from.RPCAddr == "" || from.Role != wire.RoleEntry {
		return
	}
	now := l.clock.Now()
	if l.fetch.addr != "" && now.Before(l.fetch.expiresAt) {
		l.fetch.pendingPeer, l.fetch.pendingConfig = from, c
		return
	}
	l.fetch = fetchState{addr: from.RPCAddr, expiresAt: now.Add(fetchTimeout)}
	l.exchange(from.ID, from.RPCAddr, true)
}

// done ends the fetch to which r belongs and, if a peer announced missing content
// meanwhile, schedules the next one.
func (f *fetchState) done(l *Loop, r exchangeResult) {
	if f.addr != r.addr {
		return
	}
	peer, config := f.pendingPeer, f.pendingConfig
	*f = fetchState{}
	if peer.RPCAddr == "" {
		return
	}
	// The content of r is applied after done returns. Compare with the peer's
	// configuration in a later event, when this node has that content.
	l.spawn(func(context.Context) { l.send(nextFetch{config, peer}) })
}

// nextFetch is the event that starts a fetch noted during the previous one.
type nextFetch struct {
	config wire.Config
	from   wire.Node
}

func (m nextFetch) apply(l *Loop) {
	l.fetchIfBehind(m.config, m.from)
}
