package node

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/forward"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/routing"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/store"
	"github.com/wasabinotch/wasabinotch/wire"
)

// storeFollower dispatches changes in the store by key prefix. One watch of all
// keys takes a third of the calls of three watches.
type storeFollower struct {
	watchMonitor
	byPrefix map[string]prefixFollower
}

// prefixFollower handles the keys below one prefix.
type prefixFollower interface {
	// Reset replaces all that is known with the listed keys as of a position.
	Reset(entries []store.KeyValue, at store.Position)
	// Apply handles one change.
	Apply(e store.Event)
}

func (e *Entry) newStoreFollower() *storeFollower {
	e.feed.readUrgent = e.readOperator
	return &storeFollower{watchMonitor: watchMonitor{health: e.health, feed: e.feed, cuts: e.metrics.NewCounter("wasabinotch_store_watch_cut_total"), log: e.log.WithName("store")}, byPrefix: map[string]prefixFollower{
		platform.PrefixOperator: e.operator, platform.PrefixEndpoints: e.endpoints, platform.PrefixEntries: e.peers,
		platform.PrefixQuarantine: e.holds,
	}}
}

// readOperator reads the operator's state by itself while a listing of all keys takes long:
// other writers may leave so many large records that the listing takes longer than a
// configuration may take until it is in force.
func (e *Entry) readOperator(ctx context.Context) {
	ctx, cancel := operatorReads.Start(ctx)
	defer cancel()
	e.metrics.GetOrCreateCounter("wasabinotch_store_urgent_reads_total").Inc()
	kvs, at, err := e.store.List(ctx, platform.PrefixOperator)
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return // the listing has ended
	}
	if err != nil {
		e.limitedLog.Info("Operator state not read during a long listing.", "cause", err.Error())
		return
	}
	e.limitedLog.Info("Operator state read during a long listing.", "era", at.Era, "revision", at.Revision)
	e.operator.Reset(kvs, at)
}

// operatorReads bounds a read of the operator's state during a listing.
var operatorReads = store.ReadTimeouts{First: store.ReadStallTimeout, Stall: store.ReadStallTimeout, Total: store.MaxReadTime}

// Reset implements store.ChangeHandler.
func (f *storeFollower) Reset(kvs []store.KeyValue, at store.Position) {
	f.log.Info("Keys listed.", "era", at.Era, "revision", at.Revision, "keys", len(kvs))
	for prefix, p := range f.byPrefix {
		var matching []store.KeyValue
		for _, kv := range kvs {
			if strings.HasPrefix(kv.Key, prefix) {
				matching = append(matching, kv)
			}
		}
		p.Reset(matching, at)
	}
}

// Apply implements store.ChangeHandler.
func (f *storeFollower) Apply(e store.Event) {
	for prefix, p := range f.byPrefix {
		if strings.HasPrefix(e.Key, prefix) {
			p.Apply(e)
		}
	}
}

// operatorFollower applies what the operator writes: the configuration and the
// availability zones that are out of service.
type operatorFollower struct {
	handler *forward.Handler
	fleet   *fleet.Fleet
	bounds  settings.Bounds
	log     logr.Logger
	// outdated and returned, by zone, keep a restore of the store from changing the zones
	// that are out of service before the operator has written again.
	outdated outdatedKeys
	returned removedKeys

	// changes is held while a change is derived from the state and applied. It is locked
	// before the locks of outdated and mu.
	changes sync.Mutex
	mu      sync.Mutex
	state   wire.OperatorState
}

// Reset implements prefixFollower.
func (o *operatorFollower) Reset(kvs []store.KeyValue, at store.Position) {
	next := wire.OperatorState{Era: at.Era, Revision: at.Revision}
	for _, kv := range kvs {
		if zone, ok := platform.ZoneOutOfService(kv.Key); ok {
			next.ZonesOut = append(next.ZonesOut, zone)
		} else if platform.IsConfig(kv.Key) {
			next.Config = kv.Value
		}
	}
	o.adoptState(next, "listing")
}

// adoptState adopts a state that was not delivered change by change: a listing, or that
// of another entry.
func (o *operatorFollower) adoptState(next wire.OperatorState, source string) {
	o.changes.Lock()
	defer o.changes.Unlock()
	if !position(next).Before(position(o.snapshot())) && o.outdated.listed(position(next)) {
		next.ZonesOut = o.holdBackZones(next.ZonesOut)
	}
	o.adopt(next, source)
}

// holdBackZones returns the zones out of service according to a state that may be
// outdated, without the changes that contradict what is known. These are held back.
func (o *operatorFollower) holdBackZones(zones []string) []string {
	known := o.snapshot().ZonesOut
	var out []string
	for _, zone := range zones {
		if !slices.Contains(known, zone) && o.returned.has(zone, 0) {
			o.outdated.holdBack(zone, func() { o.setZone(zone, true) })
			continue
		}
		out = append(out, zone)
	}
	for _, zone := range known {
		if !slices.Contains(zones, zone) {
			o.outdated.holdBack(zone, func() { o.setZone(zone, false) })
			out = append(out, zone)
		}
	}
	return out
}

// applyHeldBack does what was held back once the window after a restore has ended.
func (o *operatorFollower) applyHeldBack() {
	o.changes.Lock()
	defer o.changes.Unlock()
	o.outdated.applyDue()
}

// setZone takes a zone out of service or returns it, as the restored store says. The
// caller holds changes.
func (o *operatorFollower) setZone(zone string, outOfService bool) {
	next := o.snapshot()
	next.ZonesOut = changeZone(next.ZonesOut, zone, outOfService)
	o.adopt(next, "restored store")
}

// changeZone returns the zones with or without a zone.
func changeZone(zones []string, zone string, outOfService bool) []string {
	zones = slices.DeleteFunc(slices.Clone(zones), func(z string) bool { return z == zone })
	if outOfService {
		zones = append(zones, zone)
	}
	return zones
}

// Apply implements prefixFollower. A change that the state of another entry already
// included is ignored.
func (o *operatorFollower) Apply(e store.Event) {
	o.changes.Lock()
	defer o.changes.Unlock()
	if zone, ok := platform.ZoneOutOfService(e.Key); ok {
		o.outdated.changed(zone)
	}
	next := o.snapshot()
	if known := position(next); e.Position().Before(known) {
		o.log.Info("Change ignored; a newer state is known.", "key", e.Key, "era", e.Era, "revision", e.Revision, "known_era", known.Era, "known_revision", known.Revision)
		return
	}
	next.Era, next.Revision = e.Era, e.Revision
	if zone, ok := platform.ZoneOutOfService(e.Key); ok {
		next.ZonesOut = changeZone(next.ZonesOut, zone, !e.Deleted)
	} else if platform.IsConfig(e.Key) && !e.Deleted {
		next.Config = e.Value
	}
	o.adopt(next, "watch")
}

// position returns the position of the newest write in a state.
func position(s wire.OperatorState) store.Position {
	return store.Position{Era: s.Era, Revision: s.Revision}
}

func (o *operatorFollower) snapshot() wire.OperatorState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state
}

// storedState returns the state as the store says, which is what other entries are told:
// each of them holds back by itself what contradicts its own knowledge.
func (o *operatorFollower) storedState() wire.OperatorState {
	o.changes.Lock()
	defer o.changes.Unlock()
	state := o.snapshot()
	for _, zone := range o.outdated.heldBackKeys() {
		state.ZonesOut = changeZone(state.ZonesOut, zone, !slices.Contains(state.ZonesOut, zone))
	}
	return state
}

// configVersion returns the version of the configuration in force, 0 without one.
func (o *operatorFollower) configVersion() uint64 {
	if c := o.handler.Config(); c != nil {
		return c.Version
	}
	return 0
}

// adopt applies a state. Its zones are ignored if a newer state is known, its
// configuration if that in force has the same or a higher version: after a restore, the
// store holds an older one until the operator writes again. The log names the source.
func (o *operatorFollower) adopt(next wire.OperatorState, source string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if next.Config != nil && string(next.Config) != string(o.state.Config) && o.configure(next, source) {
		o.state.Config = next.Config
	}
	if known := position(o.state); position(next).Before(known) {
		o.log.Info("Operator state ignored; a newer one is known.", "era", next.Era, "revision", next.Revision, "known_era", known.Era, "known_revision", known.Revision, "source", source)
		return
	}
	for _, zone := range o.state.ZonesOut {
		if !slices.Contains(next.ZonesOut, zone) {
			o.fleet.SetZoneOutOfService(zone, false)
			o.returned.add(zone, 0)
			o.log.Info("Zone returned to service.", "zone", zone, "era", next.Era, "revision", next.Revision, "source", source)
		}
	}
	for _, zone := range next.ZonesOut {
		if !slices.Contains(o.state.ZonesOut, zone) {
			o.fleet.SetZoneOutOfService(zone, true)
			o.log.Info("Zone taken out of service.", "zone", zone, "era", next.Era, "revision", next.Revision, "source", source)
		}
	}
	next.Config = o.state.Config
	o.state = next
}

// configure applies the configuration of a state and reports whether it is in force now.
// One that can't be decoded or isn't newer than that in force is ignored.
func (o *operatorFollower) configure(next wire.OperatorState, source string) bool {
	c, err := platform.DecodeConfig(next.Config)
	if err != nil {
		o.log.Error(err, "Configuration ignored.", "era", next.Era, "revision", next.Revision)
		return false
	}
	if known := o.configVersion(); c.Version <= known {
		o.log.Info("Configuration ignored; it isn't newer.", "version", c.Version, "known_version", known, "era", next.Era, "revision", next.Revision, "source", source)
		return false
	}
	gaps := c.TargetGaps()
	c.EachService(func(s *routing.Service) {
		o.fleet.SetLimits(s.Name, fleet.Limits{
			TargetGap:     gaps[s.Name],
			ColdPerSecond: s.ColdPerSecond, ColdBurst: s.ColdPerSecond*o.bounds.ColdBurstFactor + o.bounds.ColdBurstSlack,
			MaxConnections: s.MaxConnections,
		})
	})
	if !o.handler.SetConfig(c) {
		return false
	}
	o.log.Info("Configuration in force.", "version", c.Version, "era", next.Era, "revision", next.Revision, "source", source)
	return true
}

// endpointFollower updates the fleet from the endpoints' records.
type endpointFollower struct {
	recordTracker
	fleet *fleet.Fleet
}

func newEndpointFollower(f *fleet.Fleet, heartbeat time.Duration, health *storeHealth, log logr.Logger) *endpointFollower {
	e := &endpointFollower{fleet: f}
	e.recordTracker = newRecordTracker(health, heartbeatsToExpiry*heartbeat, e.write, e.remove, log)
	return e
}

func (e *endpointFollower) remove(key string) {
	if r, known := e.fleet.Remove(platform.EndpointID(key)); known {
		e.departed.add(key, r.Incarnation)
		e.log.Info("Endpoint is gone.", "endpoint", r.ID)
	}
}

// Reset implements prefixFollower.
func (e *endpointFollower) Reset(kvs []store.KeyValue, at store.Position) {
	records := make(map[string]fleet.Record)
	for _, r := range e.fleet.Records() {
		records[platform.PrefixEndpoints+r.ID] = r
	}
	e.applyListing(kvs, at, slices.Collect(maps.Keys(records)), func(kv store.KeyValue) bool {
		known, ok := records[kv.Key]
		return e.contradicts(kv, known, ok)
	})
}

// contradicts reports whether a listed record contradicts newer knowledge of its
// endpoint: it drains, has left or was started again. known is its record if ok is set.
func (e *endpointFollower) contradicts(kv store.KeyValue, known fleet.Record, ok bool) bool {
	r, err := platform.DecodeEndpoint(kv.Key, kv.Value)
	if err != nil {
		return false
	}
	if !ok {
		return e.departed.has(kv.Key, r.Incarnation)
	}
	return r.Incarnation < known.Incarnation || r.Incarnation == known.Incarnation && known.Draining && !r.Draining
}

// write applies an endpoint's record.
func (e *endpointFollower) write(kv store.KeyValue) {
	r, err := platform.DecodeEndpoint(kv.Key, kv.Value)
	if err != nil {
		e.ignored.add(kv.Key, err)
		e.remove(kv.Key)
		return
	}
	e.ignored.valid(kv.Key)
	if e.fleet.Update(r) {
		e.log.Info("Endpoint changed.", "endpoint", r.ID, "service", r.Service, "address", r.Address, "zone", r.Zone,
			"draining", r.Draining, "cold_ms", r.ColdFor.Milliseconds(), "revision", kv.Revision)
	}
}

// entryRecord is the record that an entry writes to the store.
type entryRecord struct {
	Callers string `json:"callers"` // address at which the entry serves callers
	Peer    string `json:"peer"`    // address at which it serves other entries
	Zone    string `json:"zone"`
}

// errNotEntryRecord means that a record of an entry names no address to use.
var errNotEntryRecord = errors.New("an address is missing or invalid; ignored until it is written again")

// entryFollower keeps the records of the running entries.
type entryFollower struct {
	recordTracker
	fleet *fleet.Fleet
	// self is the store key of this entry.
	self string

	mu sync.Mutex
	// known holds the records by store key.
	known map[string]entryRecord
}

func newEntryFollower(f *fleet.Fleet, self string, health *storeHealth, log logr.Logger) *entryFollower {
	e := &entryFollower{fleet: f, self: self, known: make(map[string]entryRecord)}
	e.recordTracker = newRecordTracker(health, entryLeaseTTL, e.write, e.remove, log)
	return e
}

func (e *entryFollower) remove(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.known[key]; ok {
		delete(e.known, key)
		e.departed.add(key, 0)
		e.log.Info("Entry removed.", "entry", key)
	}
	e.updateFleet()
}

// Reset implements prefixFollower.
func (e *entryFollower) Reset(kvs []store.KeyValue, at store.Position) {
	known := e.all()
	e.applyListing(kvs, at, slices.Collect(maps.Keys(known)), func(kv store.KeyValue) bool {
		_, ok := known[kv.Key]
		return !ok && e.departed.has(kv.Key, 0)
	})
}

// write applies an entry's record.
func (e *entryFollower) write(kv store.KeyValue) {
	var r entryRecord
	err := json.Unmarshal(kv.Value, &r)
	if err == nil && !(platform.IsAddress(r.Callers) && platform.IsAddress(r.Peer)) {
		err = errNotEntryRecord
	}
	if err != nil {
		e.ignored.add(kv.Key, err)
		e.remove(kv.Key)
		return
	}
	e.ignored.valid(kv.Key)
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, ok := e.known[kv.Key]; !ok || old != r {
		e.known[kv.Key] = r
		e.log.Info("Entry added or changed.", "entry", kv.Key, "callers", r.Callers)
	}
	e.updateFleet()
}

// updateFleet tells the fleet the number of entries and the place of this one among
// them. The caller holds mu.
func (e *entryFollower) updateFleet() {
	keys := slices.Sorted(maps.Keys(e.known))
	index, _ := slices.BinarySearch(keys, e.self)
	e.fleet.SetEntries(len(keys), index)
}

// all returns a copy of the records by store key.
func (e *entryFollower) all() map[string]entryRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.known)
}
