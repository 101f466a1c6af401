package control

import (
	"time"

	"github.com/wasabinotch/wasabinotch/membership"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Limits on generating new incarnations: at most maxNewIncarnations within
// newIncarnationWindow. A restarted process needs one at most; without a limit, two
// processes with the same ID would raise their incarnations in turn without end.
const (
	maxNewIncarnations   = 3
	newIncarnationWindow = time.Minute
	// duplicateIDWindow is the time within which two incarnations of one ID seen
	// at different addresses count as two running processes.
	duplicateIDWindow = 2 * time.Second
	duplicateIDRemedy = "give each process its own id in the settings."
)

// applySelfRecord handles a record with this node's ID received from a peer. A
// higher incarnation than this process has comes from an earlier process whose
// clock was ahead, or from a second process with the same ID.
func (l *Loop) applySelfRecord(n wire.Node, now time.Time) {
	if n.Incarnation <= l.self.Incarnation {
		return
	}
	recent := l.newIncarnationTimes[:0]
	for _, t := range l.newIncarnationTimes {
		if now.Sub(t) < newIncarnationWindow {
			recent = append(recent, t)
		}
	}
	l.newIncarnationTimes = recent
	if len(l.newIncarnationTimes) >= maxNewIncarnations {
		l.logDuplicateID(n, now)
		return
	}
	l.newIncarnationTimes = append(l.newIncarnationTimes, now)
	old := l.self.Incarnation
	l.self.Incarnation = membership.NewIncarnation(now, n.Incarnation)
	l.self.Seq = 0
	l.log.Info("New incarnation: the node ID was seen with a higher one.",
		"old", old, "seen", n.Incarnation, "new", l.self.Incarnation)
	l.announceSelfChange()
	l.pushSelf()
}

// incarnationChanged discards the state kept for the previous incarnation of a
// node, and logs the node ID as a duplicate if both seem to be running.
func (l *Loop) incarnationChanged(old *membership.Record, n wire.Node, now time.Time) {
	delete(l.endpoints, n.ID)
	delete(l.peerConfigs, n.ID)
	delete(l.gossip.peers, n.ID)
	sameAddr := old.Node.RPCAddr == n.RPCAddr
	if !sameAddr {
		l.cfg.Pool.Disconnect(old.Node.RPCAddr)
	}
	if !sameAddr && old.Node.State != wire.StateLeaving && now.Sub(old.LastSeen) < duplicateIDWindow {
		l.logDuplicateID(n, now)
	}
}

// logDuplicateID logs that two processes may have the same ID, at most once per
// newIncarnationWindow.
func (l *Loop) logDuplicateID(n wire.Node, now time.Time) {
	if now.Sub(l.duplicateIDLoggedAt) < newIncarnationWindow {
		return
	}
	l.duplicateIDLoggedAt = now
	l.log.Info("Two processes may have the same node ID; "+duplicateIDRemedy,
		"node", n.ID, "incarnation", n.Incarnation, "address", n.RPCAddr)
}
