package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/membership"
	"github.com/wasabinotch/wasabinotch/wire"
)

// inlineBytes is the size up to which a changed bundle or intents record is
// sent along at once. The receiver fetches larger content if it lacks it, so
// that content which several peers announce crosses the network once.
const inlineBytes = 4 << 10

// Contacts to seeds that are not among the known entries. They go on after the
// start, so that parts of the fleet that lost each other meet again.
const (
	seedStart    = 30 * time.Second
	seedInterval = 10 * time.Second
)

// confirmAge is the age of the store's confirmation from which a gossip round
// includes an entry that watches the store.
const confirmAge = time.Second

// gossip is the state of exchanges with other entries.
type gossip struct {
	next     time.Time
	nextSeed time.Time
	peers    map[string]*peerCursor // by node ID
}

// peerCursor says how far two nodes have exchanged their records.
type peerCursor struct {
	incarnation uint64
	received    uint64 // the peer's counter up to which this node has its records
	sent        uint64 // this node's counter at the last exchange that carried its own record
}

// exchangeResult is the answer to an exchange that this node started.
type exchangeResult struct {
	id, addr  string
	sentAt    time.Time
	counter   uint64 // own update counter when the call was made
	config    wire.Config
	reply     wire.ExchangeReply
	candidate *candidate
	intents   *bundle.Intents
	err       error
}

// gossipTick exchanges with two random entries, one of them in another zone.
func (l *Loop) gossipTick(now time.Time) {
	l.refreshConfirmed(now)
	if now.Before(l.gossip.next) {
		return
	}
	l.gossip.next = now.Add(gossipInterval*9/10 + rand.N(gossipInterval/5))
	entries := l.liveEntries()
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	for _, n := range l.pickTwo(entries, now) {
		l.exchange(n.ID, n.RPCAddr, false)
	}
	l.contactSeed(now, entries)
}

func (l *Loop) pickTwo(entries []wire.Node, now time.Time) []wire.Node {
	var picked []wire.Node
	take := func(fits func(n wire.Node) bool) {
		for _, n := range entries {
			if fits(n) && (len(picked) == 0 || picked[0].ID != n.ID) {
				picked = append(picked, n)
				return
			}
		}
	}
	take(func(n wire.Node) bool { return n.Zone != l.self.Zone })
	before := len(picked)
	if age := l.confirm.storeAge(now); age < 0 || age > confirmAge.Milliseconds() {
		take(func(n wire.Node) bool { return l.watches(n) })
	}
	if len(picked) == before {
		take(func(wire.Node) bool { return true })
	}
	return picked
}

// contactSeed exchanges with a random seed that is not among the known entries,
// in each round at first and at seedInterval later. Entries that start at once
// would otherwise form groups that do not know each other.
func (l *Loop) contactSeed(now time.Time, entries []wire.Node) {
	if now.Before(l.gossip.nextSeed) {
		return
	}
	known := map[string]bool{l.self.RPCAddr: true}
	for _, n := range entries {
		known[n.RPCAddr] = true
	}
	var unknown []string
	for _, s := range l.cfg.Seeds {
		if !known[s] {
			unknown = append(unknown, s)
		}
	}
	if len(unknown) == 0 {
		return
	}
	if len(entries) >= 2 && now.Sub(l.started) > seedStart {
		l.gossip.nextSeed = now.Add(seedInterval)
	}
	l.exchange("", unknown[rand.IntN(len(unknown))], false)
}

// liveEntries returns the other entries that have not been removed.
func (l *Loop) liveEntries() []wire.Node {
	var out []wire.Node
	for _, r := range l.table.All() {
		if r.Node.Role == wire.RoleEntry && r.Node.RPCAddr != l.self.RPCAddr {
			out = append(out, r.Node)
		}
	}
	return out
}

// exchange starts an exchange; id is "" if only the address is known. With
// want, the peer is asked for what this node lacks.
func (l *Loop) exchange(id, addr string, want bool) {
	now := l.clock.Now()
	cursor := l.gossip.peers[id]
	args := wire.ExchangeArgs{From: l.selfSince(sentCursor(cursor)), Config: l.config(now), WantBundle: want, WantIntents: want}
	if cursor != nil {
		args.Cursor, args.CursorOf = cursor.received, cursor.incarnation
	}
	if l.isEntry() {
		// Records travel in replies only; entries pull often enough, and equal
		// tables, the common case, are recognised by their hash.
		args.TableHash = l.table.Hash(l.self)
	}
	if known, found := l.configs[id]; found {
		l.attach(&args.Bundle, &args.Intents, known)
	}
	result := exchangeResult{id: id, addr: addr, sentAt: now, counter: l.table.Counter(), config: args.Config}
	l.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		result.reply, result.err = call[wire.ExchangeReply](ctx, l.cfg.Pool, addr, wire.PeerService+".Exchange", &args)
		result.candidate = l.checkBundle(result.reply.Bundle, addr)
		result.intents = l.checkIntents(result.reply.Intents, addr)
		l.send(result)
	})
}

// selfSince returns the own record, shortened if it has not changed since cursor.
func (l *Loop) selfSince(cursor uint64) wire.Node {
	if cursor >= l.selfChange {
		return membership.ToHeartbeat(l.self)
	}
	return l.self
}

// resolve returns the whole record of a node that announced itself; false if
// only the short form is known.
func (l *Loop) resolve(n wire.Node, now time.Time) (wire.Node, bool) {
	l.applyNode(n, n.ID, now)
	l.table.MarkSeen(n.ID, n.Incarnation, now)
	if !membership.IsHeartbeat(n) {
		return n, true
	}
	r := l.table.Get(n.ID)
	if r == nil || r.Node.Incarnation != n.Incarnation {
		return n, false
	}
	return r.Node, true
}

// cursorOf returns the cursor of a peer; records exchanged with an earlier
// incarnation are exchanged again.
func (l *Loop) cursorOf(from wire.Node) *peerCursor {
	c := l.gossip.peers[from.ID]
	if c == nil || c.incarnation != from.Incarnation {
		c = &peerCursor{incarnation: from.Incarnation}
		l.gossip.peers[from.ID] = c
	}
	return c
}

func sentCursor(c *peerCursor) uint64 {
	if c == nil {
		return 0
	}
	return c.sent
}

// attach adds the bundle and intents that a node with configuration c lacks,
// if they are small. Agents, from which entries cannot fetch, always send them.
func (l *Loop) attach(bundleRaw, intentsRaw *[]byte, c wire.Config) {
	bundleMissing, intentsMissing := l.lacks(c)
	if bundleMissing && (len(l.signedRaw) <= inlineBytes || !l.isEntry()) {
		*bundleRaw = l.signedRaw
	}
	if intentsMissing && (len(l.intentsRaw) <= inlineBytes || !l.isEntry()) {
		*intentsRaw = l.intentsRaw
	}
}

// apply merges what a peer answered.
func (r exchangeResult) apply(l *Loop) {
	l.fetch.done(l, r)
	if r.err != nil {
		metricExchanges.Add("failed", 1)
		return
	}
	metricExchanges.Add("ok", 1)
	now := l.clock.Now()
	from, known := l.resolve(r.reply.From, now)
	l.applyBundle(r.candidate, from.ID)
	l.mergeIntents(r.intents, from.ID)
	l.heardConfig(from.ID, r.reply.Config)
	l.updateCursors(r, from)
	if c := l.gossip.peers[from.ID]; c != nil && !known {
		c.received = 0
	}
	l.confirmBy(r, from)
	l.refreshConfirmed(now)
}

func (l *Loop) updateCursors(r exchangeResult, from wire.Node) {
	if !l.isEntry() {
		l.applyNodes(r.reply.Updates, from.ID)
		return
	}
	c := l.cursorOf(from)
	c.sent = max(c.sent, r.counter)
	c.received = max(c.received, r.reply.Cursor)
	if r.reply.WantNode {
		c.sent = 0
	}
	if l.applyNodes(r.reply.Updates, from.ID) {
		c.received = 0
	}
}

// confirmBy counts the answer as a confirmation if this node has all of the
// configuration that the peer had when it answered.
func (l *Loop) confirmBy(r exchangeResult, from wire.Node) {
	if l.self.BundleVersion < r.reply.Config.BundleVersion {
		return
	}
	same := r.config.IntentsHash == r.reply.Config.IntentsHash || l.intentsHash == r.reply.Config.IntentsHash
	if r.intents == nil && !same {
		return
	}
	if from.Role == wire.RoleEntry {
		l.confirm.byPeer(from.Zone, r.sentAt, r.reply.Config.ConfirmedAgeMS)
	}
}

// applyNodes merges records; it reports whether one could not be used because
// the whole record is needed.
func (l *Loop) applyNodes(nodes []wire.Node, from string) bool {
	now := l.clock.Now()
	missing := false
	for _, n := range nodes {
		if l.applyNode(n, from, now) == membership.RecordNeeded {
			missing = true
		}
	}
	return missing
}

func (l *Loop) applyNode(n wire.Node, from string, now time.Time) membership.ApplyResult {
	if n.ID == "" {
		return membership.Stale
	}
	if n.ID == l.self.ID {
		l.heardOfSelf(n, now)
		return membership.Stale
	}
	old := l.table.Get(n.ID)
	result := l.table.Apply(n, from, now)
	if result != membership.Changed {
		return result
	}
	l.publishLater = true
	if old == nil || old.Node.State != n.State || old.Node.Incarnation != n.Incarnation {
		l.publishNow = true
		l.log.Info("node state", "node", n.ID, "role", n.Role, "zone", n.Zone, "state", n.State, "incarnation", n.Incarnation)
	}
	if old != nil && old.Node.Incarnation != n.Incarnation {
		l.replaced(old, n, now)
	}
	if n.Role == wire.RoleEntry && n.BundleVersion > l.self.BundleVersion {
		l.fetchIfBehind(wire.Config{BundleVersion: n.BundleVersion, IntentsHash: l.intentsHash}, n)
	}
	return result
}
