package entry

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/wire"
)

// status handles PathStatus: it returns the state of this entry and the nodes it knows.
func (e *Entry) status(*http.Request) (any, *api.Refusal) {
	snap := e.deps.Control.Snapshot()
	now := e.deps.Clock.Now()
	s := &api.Status{
		NodeID:         snap.Self.ID,
		Incarnation:    snap.Self.Incarnation,
		Zone:           snap.Self.Zone,
		State:          string(snap.Self.State),
		BundleDigest:   snap.BundleDigest,
		IntentsRev:     snap.Intents.Revision,
		ZonesOut:       sortedNames(snap.ZonesOut),
		VMsOut:         sortedNames(snap.VMsOut),
		StoreOK:        snap.StoreOK,
		ConfirmedAgeMS: -1,
		Nodes:          nodeStatuses(snap, now),
	}
	if snap.Bundle != nil {
		s.BundleVersion = snap.Bundle.Version
	}
	if !snap.ConfirmedAt.IsZero() {
		s.ConfirmedAgeMS = now.Sub(snap.ConfirmedAt).Milliseconds()
	}
	return s, nil
}

// explain handles PathExplain: it returns the recent routing decisions on one request.
func (e *Entry) explain(r *http.Request) (any, *api.Refusal) {
	return e.pipeline.Decisions().Explain(strings.TrimPrefix(r.URL.Path, api.PathExplain)), nil
}

// sortedNames returns the names that are true in set, sorted.
func sortedNames(set map[string]bool) []string {
	list := []string{}
	for name, out := range set {
		if out {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// nodeStatuses returns the status of this entry, the other entries and all agents.
func nodeStatuses(snap *control.Snapshot, now time.Time) []api.NodeStatus {
	list := []api.NodeStatus{nodeStatus(snap.Self, 0)}
	for _, other := range snap.Entries {
		if other.Node.ID != snap.Self.ID {
			list = append(list, nodeStatus(other.Node, now.Sub(other.LastSeen)))
		}
	}
	agents := slices.SortedFunc(maps.Values(snap.AgentByID), func(x, y *control.Endpoint) int {
		return cmp.Compare(x.Node.ID, y.Node.ID)
	})
	for _, agent := range agents {
		list = append(list, nodeStatus(agent.Node, now.Sub(agent.LastSeen)))
	}
	return list
}

func nodeStatus(n wire.Node, age time.Duration) api.NodeStatus {
	return api.NodeStatus{
		NodeID:        n.ID,
		Role:          string(n.Role),
		Zone:          n.Zone,
		VM:            n.VM,
		State:         string(n.State),
		Service:       n.Service,
		Address:       n.HTTPAddr,
		BundleVersion: n.BundleVersion,
		BundleDigest:  n.BundleDigest,
		IntentsRev:    n.IntentsRev,
		LastSeenAgeMS: age.Milliseconds(),
	}
}
