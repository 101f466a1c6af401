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

// resolve handles PathResolve: it lists the entries that a caller should use and, for a
// service with non-idempotent paths, returns an order identity and the order epoch.
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
		zone = e.settings.Zone
	}
	now := e.deps.Clock.Now()
	confirmed := snap.Confirmed(now)
	offerSelf := confirmed && snap.Self.State == wire.StateReady && !snap.OutOfService(snap.Self)
	response := &api.ResolveResponse{
		Service:       service.Name,
		Entries:       balance.Entries(snap, zone, offerSelf, now),
		ValidMS:       api.ResolveValidity.Milliseconds(),
		BundleVersion: snap.Bundle.Version,
		BundleDigest:  snap.BundleDigest,
	}
	if len(response.Entries) == 0 {
		return nil, api.NotRun(api.KindNoEndpoint, "no entry can take work", "ask again in a second, or ask another entry")
	}
	if len(service.NonIdempotentPaths) > 0 {
		response.OrderEpoch = e.deps.Binder.JournalEpoch(service.Name)
		if response.OrderEpoch == 0 && e.withinEpochReadTimeout(now) {
			return nil, api.NotRun(api.KindNoEndpoint, "this entry is starting and has not read the order epoch", "ask another entry")
		}
		if confirmed {
			response.OrderIdentity = e.issueIdentity(snap, service.Name)
		}
	}
	return response, nil
}

// epochReadTimeout is how long resolve requests are refused while the journal has not
// read the order epoch, since an Idempotency-Key with epoch 0 is refused permanently.
// Issued identities need no epoch, so resolve responses are sent after the timeout even
// if the store is down. A starting journal checks every 250 ms for services whose epochs
// it has to read.
const epochReadTimeout = 3 * time.Second

// withinEpochReadTimeout reports whether less than epochReadTimeout has passed since the
// order epoch was first found missing.
func (e *Entry) withinEpochReadTimeout(now time.Time) bool {
	e.epochMissingSince.CompareAndSwap(nil, &now)
	return now.Sub(*e.epochMissingSince.Load()) < epochReadTimeout
}

// issueIdentity returns an order identity bound to the current incarnation of an agent
// that can take the order, or "" if there is none.
func (e *Entry) issueIdentity(snap *control.Snapshot, service string) string {
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
