package control

import (
	"time"

	"github.com/wasabinotch/wasabinotch/membership"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Limits on drawing new incarnations. One replaced process needs one; two
// processes with the same ID would otherwise outbid each other for ever.
const (
	redrawLimit  = 3
	redrawWindow = time.Minute
	// duplicateWindow is the time within which two incarnations of one ID at
	// different addresses count as running at once.
	duplicateWindow = 2 * time.Second
	duplicateRemedy = "give each process its own id in the settings"
)

// heardOfSelf handles a record of this node's ID. A higher incarnation is that
// of an earlier process whose clock was ahead, or of a second process.
func (l *Loop) heardOfSelf(n wire.Node, now time.Time) {
	if n.Incarnation <= l.self.Incarnation {
		return
	}
	recent := l.redraws[:0]
	for _, t := range l.redraws {
		if now.Sub(t) < redrawWindow {
			recent = append(recent, t)
		}
	}
	l.redraws = recent
	if len(l.redraws) >= redrawLimit {
		l.logDuplicate(n, now)
		return
	}
	l.redraws = append(l.redraws, now)
	old := l.self.Incarnation
	l.self.Incarnation = membership.NewIncarnation(now, n.Incarnation)
	l.self.Seq = 0
	l.log.Info("new incarnation: the node ID was seen under a higher one",
		"old", old, "seen", n.Incarnation, "new", l.self.Incarnation)
	l.selfChanged()
	l.announce()
}

// replaced handles a node ID seen under a new incarnation.
func (l *Loop) replaced(old *membership.Record, n wire.Node, now time.Time) {
	delete(l.endpoints, n.ID)
	delete(l.configs, n.ID)
	delete(l.gossip.peers, n.ID)
	sameAddr := old.Node.RPCAddr == n.RPCAddr
	if !sameAddr {
		l.cfg.Pool.Forget(old.Node.RPCAddr)
	}
	if !sameAddr && old.Node.State != wire.StateLeaving && now.Sub(old.LastSeen) < duplicateWindow {
		l.logDuplicate(n, now)
	}
}

func (l *Loop) logDuplicate(n wire.Node, now time.Time) {
	if now.Sub(l.duplicateLog) < redrawWindow {
		return
	}
	l.duplicateLog = now
	l.log.Info("two processes may have the same node ID; "+duplicateRemedy,
		"node", n.ID, "incarnation", n.Incarnation, "address", n.RPCAddr)
}
