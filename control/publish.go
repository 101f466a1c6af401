package control

import (
	"time"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/membership"
	"github.com/wasabinotch/wasabinotch/wire"
)

// endpointTimeout is the time without a report after which an agent's endpoint is
// not selected for requests.
const endpointTimeout = 2 * time.Second

// entryTimeout is the minimum time without a heartbeat after which an entry is
// not listed. Heartbeats may arrive through several other entries, so about three
// heartbeat intervals are allowed.
const entryTimeout = 5 * time.Second

// Snapshot implements View.
func (l *Loop) Snapshot() *Snapshot {
	return l.snapshot.Load()
}

// publishIfDue publishes a new snapshot if an event requested one and, unless it
// is to be published at once, minPublishInterval has passed since the last one.
func (l *Loop) publishIfDue() {
	if !l.publishNow && !l.publishLater {
		return
	}
	now := l.clock.Now()
	if !l.publishNow && now.Sub(l.lastPublish) < minPublishInterval {
		return
	}
	l.publish(now)
}

// refreshConfirmed publishes a changed confirmation time or store status without
// rebuilding the rest of the snapshot.
func (l *Loop) refreshConfirmed(now time.Time) {
	old := l.snapshot.Load()
	at := l.confirmedAt(now)
	ok := l.storeOK(now)
	metricConfirmed.Set(ageMS(now, at))
	if at.Equal(old.ConfirmedAt) && ok == old.StoreOK {
		return
	}
	if l.updateState(at) {
		return // a full snapshot follows
	}
	next := *old
	next.ConfirmedAt = at
	next.StoreOK = ok
	l.snapshot.Store(&next)
}

// ageMS returns the age of at in milliseconds, or -1 if at is zero.
func ageMS(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// storeOK reports whether the store confirmed the view, directly or through a
// peer, within MaxConfirmationAge.
func (l *Loop) storeOK(now time.Time) bool {
	return !l.confirmation.storeAt.IsZero() && now.Sub(l.confirmation.storeAt) <= MaxConfirmationAge
}

// updateState derives the announced state from the requested one and reports
// whether it changed. A node is starting until it has a bundle and its view has
// been confirmed once. Leaving takes precedence.
func (l *Loop) updateState(confirmedAt time.Time) bool {
	state := l.requestedState
	started := l.self.State != wire.StateStarting
	if state == wire.StateReady && !started && (l.signedBundle == nil || confirmedAt.IsZero()) {
		state = wire.StateStarting
	}
	if state == l.self.State {
		return false
	}
	l.self.State = state
	l.log.Info("State of this node changed.", "state", state)
	l.announceSelfChange()
	l.pushSelf()
	return true
}

// publish builds and publishes a full snapshot.
func (l *Loop) publish(now time.Time) {
	at := l.confirmedAt(now)
	l.updateState(at)
	l.publishNow, l.publishLater, l.lastPublish = false, false, now
	metricSnapshots.Add(1)
	s := &Snapshot{
		Self:         l.self,
		BundleDigest: l.bundleDigest,
		Endpoints:    make(map[string][]*Endpoint),
		AgentByID:    make(map[string]*Endpoint),
		ZonesOut:     l.zonesOut,
		VMsOut:       l.platformVMs.withLeaving(l.vmsOut, now),
		Intents:      l.intents,
		StoreOK:      l.storeOK(now),
		ConfirmedAt:  at,
	}
	l.indexBundle(s)
	l.indexNodes(s, now)
	l.snapshot.Store(s)
}

// indexBundle sets the bundle and its indexes in s. It reuses the indexes of the
// previous snapshot if the bundle is the same.
func (l *Loop) indexBundle(s *Snapshot) {
	if l.signedBundle == nil {
		return
	}
	s.Bundle = &l.signedBundle.Bundle
	if old := l.snapshot.Load(); old != nil && old.Bundle == s.Bundle {
		s.Services, s.Organisations, s.KeyOwner = old.Services, old.Organisations, old.KeyOwner
		return
	}
	s.Services = make(map[string]*bundle.Service, len(s.Bundle.Services))
	for i := range s.Bundle.Services {
		s.Services[s.Bundle.Services[i].Name] = &s.Bundle.Services[i]
	}
	s.Organisations = make(map[string]*bundle.Organisation, len(s.Bundle.Organisations))
	s.KeyOwner = make(map[string]string)
	for i := range s.Bundle.Organisations {
		o := &s.Bundle.Organisations[i]
		s.Organisations[o.Name] = o
		for _, d := range o.KeyDigests {
			s.KeyOwner[d] = o.Name
		}
	}
}

// indexNodes sets the entries, agents and endpoints in s.
func (l *Loop) indexNodes(s *Snapshot, now time.Time) {
	timeout := max(entryTimeout, entryTimeout+2*l.heartbeatInterval())
	for _, r := range l.table.All() {
		if r.Node.Role == wire.RoleEntry {
			if r.Node.State != wire.StateLeaving && now.Sub(r.LastSeen) <= timeout {
				s.Entries = append(s.Entries, Entry{Node: r.Node, LastSeen: r.LastSeen})
			}
			continue
		}
		s.AgentByID[r.Node.ID] = l.endpointOf(r)
	}
	for _, e := range s.AgentByID {
		reporting := now.Sub(e.LastSeen) <= endpointTimeout && e.Load.NodeID != ""
		if reporting && e.Node.State == wire.StateReady {
			s.Endpoints[e.Node.Service] = append(s.Endpoints[e.Node.Service], e)
		}
	}
}

// endpointOf returns the endpoint of an agent as last reported to this node, or
// an endpoint without load if the agent reports only to other entries.
func (l *Loop) endpointOf(r *membership.Record) *Endpoint {
	if e := l.endpoints[r.Node.ID]; e != nil && e.Node.Incarnation == r.Node.Incarnation {
		return e
	}
	return &Endpoint{Node: r.Node, LastSeen: r.LastSeen, ReturnedAt: l.returnedAtOf(r.Node)}
}
