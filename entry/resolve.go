package entry

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/balance"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/wire"
)

// resolve answers which entries a caller should use.
func (e *Entry) resolve(r *http.Request) (any, *api.Refusal) {
	if r.Method != http.MethodGet {
		return nil, api.NotRun(api.KindBadRequest, "method is "+r.Method, "use GET")
	}
	snap := e.deps.Control.Snapshot()
	if snap.Bundle == nil {
		return nil, api.NotRun(api.KindNoBundle, "this entry has no bundle yet", "ask another entry")
	}
	query := r.URL.Query()
	service := snap.Services[query.Get("service")]
	if service == nil || len(query["service"]) > 1 || len(query["zone"]) > 1 {
		return nil, api.NotRun(api.KindUnknownService, "the query names no service of the bundle", "use ?service=S[&zone=Z] with each name once")
	}
	zone := query.Get("zone")
	if zone == "" {
		zone = e.set.Zone
	}
	now := e.deps.Clock.Now()
	confirmed := snap.Confirmed(now)
	self := confirmed && snap.Self.State == wire.StateReady && !snap.OutOfService(snap.Self)
	answer := &api.ResolveResponse{
		Service:       service.Name,
		Entries:       balance.Entries(snap, zone, self, now),
		ValidMS:       api.ResolveValidity.Milliseconds(),
		BundleVersion: snap.Bundle.Version,
		BundleDigest:  snap.BundleDigest,
	}
	if len(answer.Entries) == 0 {
		return nil, api.NotRun(api.KindNoEndpoint, "no entry can take work", "ask again in a second, or ask another entry")
	}
	if len(service.NonIdempotentPaths) > 0 {
		answer.OrderEpoch = e.deps.Binder.JournalEpoch(service.Name)
		if answer.OrderEpoch == 0 && e.mayReadEpoch(now) {
			return nil, api.NotRun(api.KindNoEndpoint, "this entry is starting and has not read the order epoch", "ask another entry")
		}
		if confirmed {
			answer.OrderIdentity = e.issue(snap, service.Name)
		}
	}
	return answer, nil
}

// epochWait is the time for which resolve is refused because the order epoch was
// not read. Keys of epoch 0 are refused for good; issued identities need no
// epoch, so that they are served after it although the store is down. A starting
// journal looks every 250 ms for the services whose epochs it reads.
const epochWait = 3 * time.Second

// mayReadEpoch reports whether the order epoch was first missed a short time ago.
func (e *Entry) mayReadEpoch(now time.Time) bool {
	e.epochMissed.CompareAndSwap(nil, &now)
	return now.Sub(*e.epochMissed.Load()) < epochWait
}

// issue returns an order identity bound to a live, ready agent, or "" if
// there is none.
func (e *Entry) issue(snap *control.Snapshot, service string) string {
	pick := e.balancer.Choose(snap, balance.Request{
		Service:    service,
		QueueLimit: snap.Services[service].QueueLimit,
		Now:        e.deps.Clock.Now(),
	})
	if pick == nil {
		return ""
	}
	defer pick.Release()
	node := pick.Endpoint.Node
	binding := order.Binding{AgentID: node.ID, Incarnation: node.Incarnation}
	return order.FormatIssued(binding, pick.Endpoint.Load.OrderEpoch, uuid.NewString())
}
