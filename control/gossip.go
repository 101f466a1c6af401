package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/membership"
	"github.com/wasabinotch/wasabinotch/wire"
)

// maxInlineBytes is the size up to which a changed bundle or intents record is
// sent along with its announcement. Larger content is fetched by the receiver if
// it lacks it, so that it is transferred once even if several peers announce it.
const maxInlineBytes = 4 << 10

// Timing of exchanges with seeds that are not among the known entries. They
// continue after the start, so that a fleet that was partitioned for so long that
// the parts removed each other's nodes joins again.
const (
	// seedStartPeriod is the time after the start during which each round
	// contacts a seed; afterwards one is contacted every seedInterval.
	seedStartPeriod = 30 * time.Second
	seedInterval    = 10 * time.Second
)

// watcherPeerAge is the age of the store's last confirmation above which
// a gossip round includes an entry that watches the store.
const watcherPeerAge = time.Second

// gossip is the state of the exchanges with other entries.
type gossip struct {
	nextRound       time.Time
	nextSeedContact time.Time
	peers           map[string]*peerCursor // by node ID
}

// peerCursor records up to which update this node and a peer have exchanged
// records.
type peerCursor struct {
	incarnation uint64
	received    uint64 // peer's update counter up to which this node has the peer's records
	sent        uint64 // this node's update counter at the last exchange after which the peer had this node's record
}

// exchangeResult is the event for the reply to an exchange that this node started.
type exchangeResult struct {
	id, addr     string
	sentAt       time.Time
	tableCounter uint64      // this node's update counter when the call was made
	config       wire.Config // this node's when the call was made
	reply        wire.ExchangeReply
	candidate    *candidate
	intents      *bundle.Intents
	err          error
}

// gossipTick starts, about every gossipInterval, exchanges with two random
// entries, one of them in another zone, and with a seed if one is due.
func (l *Loop) gossipTick(now time.Time) {
	l.refreshConfirmed(now)
	if now.Before(l.gossip.nextRound) {
		return
	}
	l.gossip.nextRound = now.Add(gossipInterval*9/10 + rand.N(gossipInterval/5))
	entries := l.otherEntries()
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	for _, n := range l.choosePeers(entries, now) {
		l.exchange(n.ID, n.RPCAddr, false)
	}
	l.contactSeed(now, entries)
}

// choosePeers selects two of the entries: one in another zone and, if the store's
// last confirmation is old, one that watches the store, else any.
func (l *Loop) choosePeers(entries []wire.Node, now time.Time) []wire.Node {
	var chosen []wire.Node
	chooseFirst := func(eligible func(n wire.Node) bool) {
		for _, n := range entries {
			if eligible(n) && (len(chosen) == 0 || chosen[0].ID != n.ID) {
				chosen = append(chosen, n)
				return
			}
		}
	}
	chooseFirst(func(n wire.Node) bool { return n.Zone != l.self.Zone })
	before := len(chosen)
	if age := l.confirmation.storeAge(now); age < 0 || age > watcherPeerAge.Milliseconds() {
		chooseFirst(func(n wire.Node) bool { return l.watches(n) })
	}
	if len(chosen) == before {
		chooseFirst(func(wire.Node) bool { return true })
	}
	return chosen
}

// contactSeed starts an exchange with a random seed that is not among the known
// entries: in each round during seedStartPeriod or while fewer than two other
// entries are known, later every seedInterval. Without it, entries that start at
// the same time could form groups that do not know each other.
func (l *Loop) contactSeed(now time.Time, entries []wire.Node) {
	if now.Before(l.gossip.nextSeedContact) {
		return
	}
	known := map[string]bool{l.self.RPCAddr: true}
	for _, n := range entries {
		known[n.RPCAddr] = true
	}
	var unknownSeeds []string
	for _, s := range l.cfg.Seeds {
		if !known[s] {
			unknownSeeds = append(unknownSeeds, s)
		}
	}
	if len(unknownSeeds) == 0 {
		return
	}
	if len(entries) >= 2 && now.Sub(l.started) > seedStartPeriod {
		l.gossip.nextSeedContact = now.Add(seedInterval)
	}
	l.exchange("", unknownSeeds[rand.IntN(len(unknownSeeds))], false)
}

// otherEntries returns the records of all other entries in the table.
func (l *Loop) otherEntries() []wire.Node {
	var out []wire.Node
	for _, r := range l.table.All() {
		if r.Node.Role == wire.RoleEntry && r.Node.RPCAddr != l.self.RPCAddr {
			out = append(out, r.Node)
		}
	}
	return out
}

// exchange starts an exchange with the entry at addr; id is "" if only the address
// is known. With wantConfig, it requests the bundle and intents that this node
// lacks.
func (l *Loop) exchange(id, addr string, wantConfig bool) {
	now := l.clock.Now()
	cursor := l.gossip.peers[id]
	args := wire.ExchangeArgs{From: l.selfSince(sentCursor(cursor)), Config: l.config(now), WantBundle: wantConfig, WantIntents: wantConfig}
	if cursor != nil {
		args.Cursor, args.CursorOf = cursor.received, cursor.incarnation
	}
	if l.isEntry() {
		// Records are sent in replies only: entries pull often enough, and the
		// hash shows whether the tables are equal, which is the common case.
		args.TableHash = l.table.Hash(l.self)
	}
	if known, found := l.peerConfigs[id]; found {
		l.attachConfig(&args.Bundle, &args.Intents, known)
	}
	result := exchangeResult{id: id, addr: addr, sentAt: now, tableCounter: l.table.Counter(), config: args.Config}
	l.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		result.reply, result.err = callPeer[wire.ExchangeReply](ctx, l.cfg.Pool, addr, wire.PeerService+".Exchange", &args)
		result.candidate = l.checkBundle(result.reply.Bundle, addr)
		result.intents = l.checkIntents(result.reply.Intents, addr)
		l.send(result)
	})
}

// selfSince returns this node's record, reduced to a heartbeat if its content has
// not changed since cursor.
func (l *Loop) selfSince(cursor uint64) wire.Node {
	if cursor >= l.selfChangeCounter {
		return membership.ToHeartbeat(l.self)
	}
	return l.self
}

// resolveNode applies a record or heartbeat that a node sent of itself and returns
// its full record. It returns false if only the heartbeat is known.
func (l *Loop) resolveNode(n wire.Node, now time.Time) (wire.Node, bool) {
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

// cursorOf returns the cursor of a peer. For a new incarnation it starts a new
// cursor, so that all records are exchanged again.
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

// attachConfig sets the bundle and intents that a node with configuration c lacks
// if they are at most maxInlineBytes. Agents set them whatever their size, since
// entries cannot fetch from agents.
func (l *Loop) attachConfig(bundleRaw, intentsRaw *[]byte, c wire.Config) {
	bundleMissing, intentsMissing := l.missingFrom(c)
	if bundleMissing && (len(l.bundleRaw) <= maxInlineBytes || !l.isEntry()) {
		*bundleRaw = l.bundleRaw
	}
	if intentsMissing && (len(l.intentsRaw) <= maxInlineBytes || !l.isEntry()) {
		*intentsRaw = l.intentsRaw
	}
}

// apply merges the reply of a peer.
func (r exchangeResult) apply(l *Loop) {
	l.fetch.done(l, r)
	if r.err != nil {
		metricExchanges.Add("failed", 1)
		return
	}
	metricExchanges.Add("ok", 1)
	now := l.clock.Now()
	from, known := l.resolveNode(r.reply.From, now)
	l.applyBundle(r.candidate, from.ID)
	l.mergeIntents(r.intents, from.ID)
	l.recordPeerConfig(from.ID, r.reply.Config)
	l.updateCursors(r, from)
	if c := l.gossip.peers[from.ID]; c != nil && !known {
		c.received = 0
	}
	l.confirmFromReply(r, from)
	l.refreshConfirmed(now)
}

// updateCursors applies the records of a reply and, on an entry, moves the peer's
// cursor. A cursor goes back to zero to exchange full records again.
func (l *Loop) updateCursors(r exchangeResult, from wire.Node) {
	if !l.isEntry() {
		l.applyNodes(r.reply.Updates, from.ID)
		return
	}
	c := l.cursorOf(from)
	c.sent = max(c.sent, r.tableCounter)
	c.received = max(c.received, r.reply.Cursor)
	if r.reply.WantNode {
		c.sent = 0
	}
	if l.applyNodes(r.reply.Updates, from.ID) {
		c.received = 0
	}
}

// confirmFromReply records a confirmation if this node has all of the
// configuration that the peer had when it replied.
func (l *Loop) confirmFromReply(r exchangeResult, from wire.Node) {
	if l.self.BundleVersion < r.reply.Config.BundleVersion {
		return
	}
	same := r.config.IntentsHash == r.reply.Config.IntentsHash || l.intentsHash == r.reply.Config.IntentsHash
	if r.intents == nil && !same {
		return
	}
	if from.Role == wire.RoleEntry {
		l.confirmation.byPeer(from.Zone, r.sentAt, r.reply.Config.ConfirmedAgeMS)
	}
}

// applyNodes merges records from a peer. It reports whether one of them was a
// heartbeat that cannot be applied without the full record.
func (l *Loop) applyNodes(nodes []wire.Node, source string) bool {
	now := l.clock.Now()
	missing := false
	for _, n := range nodes {
		if l.applyNode(n, source, now) == membership.RecordNeeded {
			missing = true
		}
	}
	return missing
}

// applyNode merges a record learned from the node with the ID source and handles a
// change of the node's state, incarnation or bundle version.
func (l *Loop) applyNode(n wire.Node, source string, now time.Time) membership.ApplyResult {
	if n.ID == "" {
		return membership.Stale
	}
	if n.ID == l.self.ID {
		l.applySelfRecord(n, now)
		return membership.Stale
	}
	old := l.table.Get(n.ID)
	result := l.table.Apply(n, source, now)
	if result != membership.Changed {
		return result
	}
	l.publishLater = true
	if old == nil || old.Node.State != n.State || old.Node.Incarnation != n.Incarnation {
		l.publishNow = true
		l.log.Info("Node state changed.", "node", n.ID, "role", n.Role, "zone", n.Zone, "state", n.State, "incarnation", n.Incarnation)
	}
	if old != nil && old.Node.Incarnation != n.Incarnation {
		l.incarnationChanged(old, n, now)
	}
	if n.Role == wire.RoleEntry && n.BundleVersion > l.self.BundleVersion {
		l.fetchIfBehind(wire.Config{BundleVersion: n.BundleVersion, IntentsHash: l.intentsHash}, n)
	}
	return result
}
