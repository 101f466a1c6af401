package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabinotch/wasabinotch/membership"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Limits of an agent's reports. A report and its reply take about 120 bytes, so
// the interval grows with the number of entries to stay near the byte budget of
// a node, and stays below the 2 s after which a silent agent is not chosen.
const (
	reportMin       = 250 * time.Millisecond
	reportPerTarget = 50 * time.Millisecond
	reportTargets   = 20
	// servedInterval is the interval at which reports carry the cost served by
	// organisation, which is large with many organisations.
	servedInterval = 5 * time.Second
	// listGrace is the time for which an agent keeps an entry that answers it
	// although another entry does not list it.
	listGrace = 5 * time.Second
	// offerAfter is the time for which an entry lacks configuration before an
	// agent sends it its copy.
	offerAfter = time.Second
	// reseedInterval is the interval at which an agent tries its seeds while it
	// knows no entries or none answers.
	reseedInterval = 500 * time.Millisecond
)

// reports is the state of an agent's reports to entries.
type reports struct {
	targets    map[string]*reportTarget // by node ID
	counter    uint64                   // table counter from which targets were chosen
	chosen     bool
	loadSeq    uint64
	cold       bool
	nextSeed   time.Time
	lastAnswer time.Time
	listHash   uint64
	listCount  uint64
	listLen    int
	list       []wire.Node
	watchers   map[string]bool // IDs of the entries that watch the store
}

// reportTarget is one entry that gets reports.
type reportTarget struct {
	node       wire.Node
	next       time.Time
	busy       bool
	ackedSeq   uint64 // own sequence whose whole record the entry has
	ackedInc   uint64
	nextServed time.Time
	behind     time.Time // since when the entry lacks configuration of this agent; zero if it does not
}

// reportResult is the answer to a report.
type reportResult struct {
	id     string
	sentAt time.Time
	self   wire.Node
	whole  bool
	reply  wire.ReportReply
	err    error
}

// reportTick sends the reports that are due.
func (l *Loop) reportTick(now time.Time) {
	l.refreshConfirmed(now)
	l.chooseTargets(now)
	if now.Sub(l.reports.lastAnswer) > reseedInterval && !now.Before(l.reports.nextSeed) {
		l.reports.nextSeed = now.Add(reseedInterval + rand.N(reseedInterval))
		l.trySeed()
	}
	var load wire.Load
	if l.cfg.Load != nil {
		load = l.cfg.Load()
	}
	if load.Cold != l.reports.cold {
		l.reports.cold = load.Cold
		l.reportAllNow()
	}
	for id, t := range l.reports.targets {
		if !t.busy && !now.Before(t.next) {
			l.report(id, t, load, now)
		}
	}
}

// trySeed learns entries through an exchange with a random seed.
func (l *Loop) trySeed() {
	if len(l.cfg.Seeds) > 0 {
		l.exchange("", l.cfg.Seeds[rand.IntN(len(l.cfg.Seeds))], true)
	}
}

func (l *Loop) reportAllNow() {
	for _, t := range l.reports.targets {
		t.next = time.Time{}
	}
}

func (l *Loop) reportInterval() time.Duration {
	return max(reportMin, time.Duration(len(l.reports.targets))*reportPerTarget)
}

// chooseTargets selects the entries to report to: all up to reportTargets,
// else a subset that is stable and spread over the zones.
func (l *Loop) chooseTargets(now time.Time) {
	_, entries := l.entryList()
	if l.reports.chosen && l.reports.counter == l.table.Counter() && len(entries) == l.reports.listLen {
		return
	}
	l.reports.chosen, l.reports.counter, l.reports.listLen = true, l.table.Counter(), len(entries)
	chosen := make(map[string]*reportTarget)
	for _, n := range spread(l.self.ID, entries, reportTargets) {
		t := l.reports.targets[n.ID]
		if t == nil || t.node.Incarnation != n.Incarnation {
			t = &reportTarget{next: now}
		}
		t.node = n
		chosen[n.ID] = t
	}
	l.reports.targets = chosen
}

// entryList returns the entries of the fleet and a hash of them, by which an
// agent and an entry compare what they know.
func (l *Loop) entryList() (uint64, []wire.Node) {
	if l.reports.listCount == l.table.Counter()+1 {
		return l.reports.listHash, l.reports.list
	}
	entries := l.liveEntries()
	if l.isEntry() {
		entries = append(entries, l.self)
	}
	sum := uint64(0)
	for _, n := range entries {
		var d xxhash.Digest
		d.ResetWithSeed(n.Incarnation)
		_, _ = d.WriteString(n.ID + "\n" + n.RPCAddr)
		sum ^= d.Sum64()
	}
	l.reports.listHash, l.reports.list, l.reports.listCount = sum, entries, l.table.Counter()+1
	l.reports.watchers = chooseWatchers(entries)
	return sum, entries
}

func (l *Loop) report(id string, t *reportTarget, load wire.Load, now time.Time) {
	hash, _ := l.entryList()
	l.reports.loadSeq++
	load.NodeID, load.Incarnation = "", 0 // the receiver takes them from the node record
	load.Seq = l.reports.loadSeq
	if now.Before(t.nextServed) {
		load.Served = nil
	} else {
		t.nextServed = now.Add(servedInterval)
	}
	args := wire.ReportArgs{Node: l.self, Load: load, Config: l.config(now), EntriesHash: hash}
	whole := t.ackedInc != l.self.Incarnation || t.ackedSeq < l.self.ContentSeq
	if !whole {
		args.Node = membership.ToHeartbeat(l.self)
	}
	t.busy = true
	t.next = now.Add(l.reportInterval()*9/10 + rand.N(l.reportInterval()/5))
	result := reportResult{id: id, sentAt: now, self: l.self, whole: whole}
	addr := t.node.RPCAddr
	l.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		result.reply, result.err = call[wire.ReportReply](ctx, l.cfg.Pool, addr, wire.PeerService+".Report", &args)
		l.send(result)
	})
}

// apply takes the entry's answer to a report.
func (r reportResult) apply(l *Loop) {
	t := l.reports.targets[r.id]
	if t != nil {
		t.busy = false
	}
	if r.err != nil {
		metricReports.Add("failed", 1)
		return
	}
	metricReports.Add("ok", 1)
	now := l.clock.Now()
	l.reports.lastAnswer = now
	l.takeEntries(r.reply.Entries, now)
	if t == nil || t.node.Incarnation != r.reply.Incarnation {
		return // replaced; the list of entries will name its successor
	}
	l.table.MarkSeen(r.id, r.reply.Incarnation, now)
	l.acknowledge(t, r)
	l.heardConfig(r.id, r.reply.Config)
	l.offer(t, r.reply.Config, now)
	if l.covers(r.reply.Config) {
		l.confirm.byPeer(t.node.Zone, r.sentAt, r.reply.Config.ConfirmedAgeMS)
		l.refreshConfirmed(now)
		return
	}
	l.fetchIfBehind(r.reply.Config, t.node)
}

func (l *Loop) acknowledge(t *reportTarget, r reportResult) {
	if r.reply.WantNode {
		t.ackedInc, t.next = 0, time.Time{}
		return
	}
	if r.whole {
		t.ackedInc, t.ackedSeq = r.self.Incarnation, r.self.Seq
	}
}

// offer sends the configuration to an entry that has lacked it for offerAfter.
// The entries get a new bundle from each other first; they need the agents'
// copies only if all entries were replaced while the store is down.
func (l *Loop) offer(t *reportTarget, c wire.Config, now time.Time) {
	bundleMissing, intentsMissing := l.lacks(c)
	switch {
	case !bundleMissing && !intentsMissing:
		t.behind = time.Time{}
	case t.behind.IsZero():
		t.behind = now
	case now.Sub(t.behind) > offerAfter:
		t.behind = time.Time{}
		l.exchange(t.node.ID, t.node.RPCAddr, false)
	}
}

// takeEntries replaces the known entries by an entry's list. An entry that is
// not listed but answers this agent is kept for a while, since entries learn of
// each other at different times.
func (l *Loop) takeEntries(list []wire.Node, now time.Time) {
	if len(list) == 0 {
		for _, n := range l.liveEntries() {
			// The sender knows the same entries; it drops those that are gone.
			if t := l.reports.targets[n.ID]; t == nil {
				l.table.MarkSeen(n.ID, n.Incarnation, now)
			}
		}
		return
	}
	listed := make(map[string]bool)
	for _, n := range list {
		listed[n.ID] = true
		l.applyNode(n, "", now)
		l.table.MarkSeen(n.ID, n.Incarnation, now)
	}
	if len(list) == 1 && list[0].ID == l.self.ID {
		return
	}
	for _, rec := range l.table.All() {
		if !listed[rec.Node.ID] && now.Sub(rec.LastSeen) > listGrace {
			l.table.Remove(rec.Node.ID, now)
			l.forget(rec.Node)
		}
	}
}
