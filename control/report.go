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
// the interval grows with the number of entries to stay near a node's byte budget.
// It stays below endpointTimeout (2 s), after which an agent that does not report
// is not selected.
const (
	minReportInterval       = 250 * time.Millisecond
	reportIntervalPerTarget = 50 * time.Millisecond
	maxReportTargets        = 20
	// servedCostInterval is the interval at which a report includes the cost
	// served per organisation, which is large if there are many organisations.
	servedCostInterval = 5 * time.Second
	// unlistedEntryGrace is the time for which an agent keeps an entry that
	// replied to it but is missing from another entry's list.
	unlistedEntryGrace = 5 * time.Second
	// configOfferDelay is the time for which an entry must lack configuration
	// before an agent sends it the agent's copy.
	configOfferDelay = time.Second
	// seedRetryInterval is the minimum interval at which an agent contacts a
	// seed while it knows no entry or none replies.
	seedRetryInterval = 500 * time.Millisecond
)

// reports is the state of an agent's reports to entries. The list of entries and
// of those that watch the store, cached here, is used by entries as well.
type reports struct {
	targets           map[string]*reportTarget // by node ID
	targetsCounter    uint64                   // table's update counter when the targets were chosen
	targetsChosen     bool
	loadSeq           uint64
	cold              bool // whether the endpoint was cold at the last tick
	nextSeedContact   time.Time
	lastReplyAt       time.Time
	entriesHash       uint64
	entriesCounter    uint64 // table's update counter plus 1 when entries was cached; 0 if never
	targetsEntryCount int    // number of entries when the targets were chosen
	entries           []wire.Node
	watchers          map[string]bool // IDs of the entries that watch the store
}

// reportTarget is an entry that this agent reports to.
type reportTarget struct {
	node             wire.Node
	nextReport       time.Time
	inFlight         bool
	ackedSeq         uint64 // sequence number of the agent's full record that the entry has
	ackedIncarnation uint64
	nextServedCost   time.Time
	lacksConfigSince time.Time // since when the entry has lacked configuration of this agent; zero if it lacks none
}

// reportResult is the event for the reply to a report.
type reportResult struct {
	id         string
	sentAt     time.Time
	self       wire.Node
	fullRecord bool
	reply      wire.ReportReply
	err        error
}

// reportTick sends the reports that are due. It contacts a seed if no entry has
// replied for seedRetryInterval, and reports at once if the endpoint became cold
// or warm.
func (l *Loop) reportTick(now time.Time) {
	l.refreshConfirmed(now)
	l.chooseTargets(now)
	if now.Sub(l.reports.lastReplyAt) > seedRetryInterval && !now.Before(l.reports.nextSeedContact) {
		l.reports.nextSeedContact = now.Add(seedRetryInterval + rand.N(seedRetryInterval))
		l.exchangeWithSeed()
	}
	var load wire.Load
	if l.cfg.Load != nil {
		load = l.cfg.Load()
	}
	if load.Cold != l.reports.cold {
		l.reports.cold = load.Cold
		l.scheduleAllReports()
	}
	for id, t := range l.reports.targets {
		if !t.inFlight && !now.Before(t.nextReport) {
			l.sendReport(id, t, load, now)
		}
	}
}

// exchangeWithSeed starts an exchange with a random seed to learn the entries.
func (l *Loop) exchangeWithSeed() {
	if len(l.cfg.Seeds) > 0 {
		l.exchange("", l.cfg.Seeds[rand.IntN(len(l.cfg.Seeds))], true)
	}
}

// scheduleAllReports makes the reports to all targets due at the next tick.
func (l *Loop) scheduleAllReports() {
	for _, t := range l.reports.targets {
		t.nextReport = time.Time{}
	}
}

func (l *Loop) reportInterval() time.Duration {
	return max(minReportInterval, time.Duration(len(l.reports.targets))*reportIntervalPerTarget)
}

// chooseTargets selects the entries to report to: all if there are at most
// maxReportTargets, else a stable subset spread over the zones.
func (l *Loop) chooseTargets(now time.Time) {
	_, entries := l.entryList()
	if l.reports.targetsChosen && l.reports.targetsCounter == l.table.Counter() && len(entries) == l.reports.targetsEntryCount {
		return
	}
	l.reports.targetsChosen, l.reports.targetsCounter, l.reports.targetsEntryCount = true, l.table.Counter(), len(entries)
	chosen := make(map[string]*reportTarget)
	for _, n := range spreadOverZones(l.self.ID, entries, maxReportTargets) {
		t := l.reports.targets[n.ID]
		if t == nil || t.node.Incarnation != n.Incarnation {
			t = &reportTarget{nextReport: now}
		}
		t.node = n
		chosen[n.ID] = t
	}
	l.reports.targets = chosen
}

// entryList returns a hash of the known entries and the entries themselves,
// including this node if it is one. An agent and an entry compare the hashes to
// detect different lists. The result is cached until the table changes.
func (l *Loop) entryList() (uint64, []wire.Node) {
	if l.reports.entriesCounter == l.table.Counter()+1 {
		return l.reports.entriesHash, l.reports.entries
	}
	entries := l.otherEntries()
	if l.isEntry() {
		entries = append(entries, l.self)
	}
	hash := uint64(0)
	for _, n := range entries {
		var d xxhash.Digest
		d.ResetWithSeed(n.Incarnation)
		_, _ = d.WriteString(n.ID + "\n" + n.RPCAddr)
		hash ^= d.Sum64()
	}
	l.reports.entriesHash, l.reports.entries, l.reports.entriesCounter = hash, entries, l.table.Counter()+1
	l.reports.watchers = chooseWatchers(entries)
	return hash, entries
}

// sendReport sends a report to one target. It includes the full node record if the
// target does not have it yet, and the served cost every servedCostInterval.
func (l *Loop) sendReport(id string, t *reportTarget, load wire.Load, now time.Time) {
	hash, _ := l.entryList()
	l.reports.loadSeq++
	load.NodeID, load.Incarnation = "", 0 // the receiver takes them from the node record
	load.Seq = l.reports.loadSeq
	if now.Before(t.nextServedCost) {
		load.Served = nil
	} else {
		t.nextServedCost = now.Add(servedCostInterval)
	}
	args := wire.ReportArgs{Node: l.self, Load: load, Config: l.config(now), EntriesHash: hash}
	fullRecord := t.ackedIncarnation != l.self.Incarnation || t.ackedSeq < l.self.ContentSeq
	if !fullRecord {
		args.Node = membership.ToHeartbeat(l.self)
	}
	t.inFlight = true
	t.nextReport = now.Add(l.reportInterval()*9/10 + rand.N(l.reportInterval()/5))
	result := reportResult{id: id, sentAt: now, self: l.self, fullRecord: fullRecord}
	addr := t.node.RPCAddr
	l.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		result.reply, result.err = callPeer[wire.ReportReply](ctx, l.cfg.Pool, addr, wire.PeerService+".Report", &args)
		l.send(result)
	})
}

// apply processes an entry's reply to a report.
func (r reportResult) apply(l *Loop) {
	t := l.reports.targets[r.id]
	if t != nil {
		t.inFlight = false
	}
	if r.err != nil {
		metricReports.Add("failed", 1)
		return
	}
	metricReports.Add("ok", 1)
	now := l.clock.Now()
	l.reports.lastReplyAt = now
	l.applyEntryList(r.reply.Entries, now)
	if t == nil || t.node.Incarnation != r.reply.Incarnation {
		return // the entry was replaced; the list of entries will have the new one
	}
	l.table.MarkSeen(r.id, r.reply.Incarnation, now)
	l.acknowledge(t, r)
	l.recordPeerConfig(r.id, r.reply.Config)
	l.offerConfig(t, r.reply.Config, now)
	if l.covers(r.reply.Config) {
		l.confirmation.byPeer(t.node.Zone, r.sentAt, r.reply.Config.ConfirmedAgeMS)
		l.refreshConfirmed(now)
		return
	}
	l.fetchIfBehind(r.reply.Config, t.node)
}

// acknowledge records that the entry has this agent's full record, or schedules
// a report at once if the entry requested it.
func (l *Loop) acknowledge(t *reportTarget, r reportResult) {
	if r.reply.WantNode {
		t.ackedIncarnation, t.nextReport = 0, time.Time{}
		return
	}
	if r.fullRecord {
		t.ackedIncarnation, t.ackedSeq = r.self.Incarnation, r.self.Seq
	}
}

// offerConfig sends the configuration to an entry that has lacked it for
// configOfferDelay. Entries normally get a new bundle from each other; they need
// an agent's copy only if all entries were replaced while the store was down.
func (l *Loop) offerConfig(t *reportTarget, c wire.Config, now time.Time) {
	bundleMissing, intentsMissing := l.missingFrom(c)
	switch {
	case !bundleMissing && !intentsMissing:
		t.lacksConfigSince = time.Time{}
	case t.lacksConfigSince.IsZero():
		t.lacksConfigSince = now
	case now.Sub(t.lacksConfigSince) > configOfferDelay:
		t.lacksConfigSince = time.Time{}
		l.exchange(t.node.ID, t.node.RPCAddr, false)
	}
}

// applyEntryList replaces the known entries by the list in a reply; an empty list
// means that the sender knows the same entries. An entry that is not listed but
// was seen within unlistedEntryGrace is kept, since entries learn of each other at
// different times.
func (l *Loop) applyEntryList(list []wire.Node, now time.Time) {
	if len(list) == 0 {
		for _, n := range l.otherEntries() {
			// The sender removes entries that are unreachable, so those that
			// this agent does not report to count as seen.
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
		return // not a list of entries, but a newer record with this node's ID
	}
	for _, rec := range l.table.All() {
		if !listed[rec.Node.ID] && now.Sub(rec.LastSeen) > unlistedEntryGrace {
			l.table.Remove(rec.Node.ID, now)
			l.forgetNode(rec.Node)
		}
	}
}
