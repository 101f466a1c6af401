package control

import (
	"time"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/membership"
	"github.com/wasabinotch/wasabinotch/wire"
)

// endpointAlive is the silence after which an agent is not chosen.
const endpointAlive = 2 * time.Second

// entrySilent is the least silence after which an entry is not listed. Far from
// an entry, its heartbeats arrive through others, so three intervals are allowed.
const entrySilent = 5 * time.Second

// Snapshot implements View.
func (l *Loop) Snapshot() *Snapshot {
	return l.snap.Load()
}

// maybePublish publishes a new snapshot if one is due.
func (l *Loop) maybePublish() {
	if !l.publishNow && !l.publishLater {
		return
	}
	now := l.clock.Now()
	if !l.publishNow && now.Sub(l.lastPublish) < publishInterval {
		return
	}
	l.publish(now)
}

// refreshConfirmed publishes a changed confirmation without rebuilding the
// rest of the snapshot.
func (l *Loop) refreshConfirmed(now time.Time) {
	old := l.snap.Load()
	at := l.confirmedAt(now)
	ok := l.storeOK(now)
	metricConfirmed.Set(ageMS(now, at))
	if at.Equal(old.ConfirmedAt) && ok == old.StoreOK {
		return
	}
	if l.updateState(at) {
		return // a whole snapshot follows
	}
	next := *old
	next.ConfirmedAt = at
	next.StoreOK = ok
	l.snap.Store(&next)
}

func ageMS(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

func (l *Loop) storeOK(now time.Time) bool {
	return !l.confirm.store.IsZero() && now.Sub(l.confirm.store) <= MaxConfirmationAge
}

// updateState derives the announced state: a node is starting until it has a
// bundle and its view has been confirmed once. Leaving takes precedence.
func (l *Loop) updateState(confirmedAt time.Time) bool {
	state := l.wanted
	started := l.self.State != wire.StateStarting
	if state == wire.StateReady && !started && (l.signed == nil || confirmedAt.IsZero()) {
		state = wire.StateStarting
	}
	if state == l.self.State {
		return false
	}
	l.self.State = state
	l.log.Info("own state changed", "state", state)
	l.selfChanged()
	l.announce()
	return true
}

// publish builds and publishes a snapshot.
func (l *Loop) publish(now time.Time) {
	at := l.confirmedAt(now)
	l.updateState(at)
	l.publishNow, l.publishLater, l.lastPublish = false, false, now
	metricSnapshots.Add(1)
	s := &Snapshot{
		Self:         l.self,
		BundleDigest: l.digest,
		Endpoints:    make(map[string][]*Endpoint),
		AgentByID:    make(map[string]*Endpoint),
		ZonesOut:     l.zonesOut,
		VMsOut:       l.vms.withHints(l.vmsOut, now),
		Intents:      l.intents,
		StoreOK:      l.storeOK(now),
		ConfirmedAt:  at,
	}
	l.indexBundle(s)
	l.indexNodes(s, now)
	l.snap.Store(s)
}

// indexBundle reuses the previous snapshot's indexes while the bundle is the same.
func (l *Loop) indexBundle(s *Snapshot) {
	if l.signed == nil {
		return
	}
	s.Bundle = &l.signed.Bundle
	if old := l.snap.Load(); old != nil && old.Bundle == s.Bundle {
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

func (l *Loop) indexNodes(s *Snapshot, now time.Time) {
	silent := max(entrySilent, entrySilent+2*l.heartbeatInterval())
	for _, r := range l.table.All() {
		if r.Node.Role == wire.RoleEntry {
			if r.Node.State != wire.StateLeaving && now.Sub(r.LastSeen) <= silent {
				s.Entries = append(s.Entries, Entry{Node: r.Node, LastSeen: r.LastSeen})
			}
			continue
		}
		s.AgentByID[r.Node.ID] = l.endpointOf(r)
	}
	for _, e := range s.AgentByID {
		alive := now.Sub(e.LastSeen) <= endpointAlive && e.Load.NodeID != ""
		if alive && e.Node.State == wire.StateReady {
			s.Endpoints[e.Node.Service] = append(s.Endpoints[e.Node.Service], e)
		}
	}
}

// endpointOf returns the endpoint as reported, or without load for an agent
// that reports to other entries only.
func (l *Loop) endpointOf(r *membership.Record) *Endpoint {
	if e := l.endpoints[r.Node.ID]; e != nil && e.Node.Incarnation == r.Node.Incarnation {
		return e
	}
	return &Endpoint{Node: r.Node, LastSeen: r.LastSeen, ReturnedAt: l.inSinceOf(r.Node)}
}
