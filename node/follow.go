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
	"github.com/wasabinotch/wasabinotch/placement"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/routing"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/share"
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
	// limitsChanged is called, if not nil, when other limits of requests are in force.
	limitsChanged func()
	fleet         *fleet.Fleet
	bounds        settings.Bounds
	log           logr.Logger
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
			MaxConnections: s.MaxConnections, Engine: placementEngine(s.Engine),
			// Only model engines are known to start the most urgent waiting request first.
			QueuesByPriority: s.Engine != nil && c.Ranks(s.Name) > 1,
		})
	})
	previous := o.handler.Config()
	if !o.handler.SetConfig(c) {
		return false
	}
	o.log.Info("Configuration in force.", "version", c.Version, "era", next.Era, "revision", next.Revision, "source", source)
	if l := c.Limits; previous == nil || previous.Limits != l {
		o.log.Info("Limits of requests in force.", "version", c.Version, "header_bytes", l.HeaderBytes, "body_bytes", l.BodyBytes,
			"header_timeout_ms", l.HeaderTimeout.Milliseconds(), "idle_timeout_ms", l.IdleTimeout.Milliseconds())
		if o.limitsChanged != nil {
			o.limitsChanged()
		}
	}
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
	// Capacity is what the entry's VM bears (share.Capacity), 0 if unknown.
	Capacity float64 `json:"capacity,omitempty"`
}

// weight returns the entry's weight among those that share limits. Entries of earlier
// versions don't tell theirs; all entries then count the same.
func (r entryRecord) weight() float64 { return share.Weight(r.Capacity) }

// namedWeight returns the entry's weight in the directory, 0 if its capacity is unknown.
func (r entryRecord) namedWeight() float64 {
	if r.Capacity <= 0 {
		return 0
	}
	return r.weight()
}

// errNotEntryRecord means that a record of an entry names no address to use.
var errNotEntryRecord = errors.New("an address is missing or invalid; ignored until it is written again")

// entryFollower keeps the records of the running entries, and tells the fleet which of them
// share the endpoints.
type entryFollower struct {
	recordTracker
	fleet *fleet.Fleet
	// self is this entry, by its store key.
	self share.Member
	// sendHold is how long an entry may send requests after its record is gone, and
	// retryHold how long its retries count.
	sendHold, retryHold time.Duration

	mu sync.Mutex
	// started is when this process started, or went on after it had stood still for so long
	// that others no longer counted it. refreshed is when refresh was called last.
	started, refreshed time.Time
	// known holds the records by store key.
	known   map[string]entryRecord
	members share.Members
	// settled is when the others know this entry, the zero time if it isn't registered.
	settled time.Time
	// told is the number of entries that share limits according to another one, 0 for none.
	told int
	// loggedMembers is the number of members that was logged last.
	loggedMembers int
}

// settleDelay is the time from an entry's registration until the others know it and it knows
// those that registered at the same time: a call of the watch, settleTime and the next call.
const settleDelay = 1500 * time.Millisecond

func newEntryFollower(f *fleet.Fleet, self share.Member, b settings.Bounds, health *storeHealth, log logr.Logger) *entryFollower {
	grace, window := time.Duration(b.GracePeriodS*float64(time.Second)), time.Duration(b.RetryWindowS*float64(time.Second))
	e := &entryFollower{fleet: f, self: self, sendHold: grace + restoreSlack, retryHold: grace + window + restoreSlack, started: time.Now(), known: make(map[string]entryRecord)}
	e.recordTracker = newRecordTracker(health, entryLeaseTTL, e.write, e.remove, log)
	e.refresh(e.started)
	return e
}

func (e *entryFollower) remove(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if _, ok := e.known[key]; ok {
		delete(e.known, key)
		e.departed.add(key, 0)
		e.members.Leave(key, now)
		e.log.Info("Entry removed.", "entry", key)
		e.updateFleet(now)
	}
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
	now := time.Now()
	old, ok := e.known[kv.Key]
	changed := !ok || old != r
	if changed {
		e.known[kv.Key] = r
		e.members.Join(share.Member{ID: kv.Key, Weight: r.weight()})
		e.log.Info("Entry added or changed.", "entry", kv.Key, "callers", r.Callers, "capacity", r.Capacity)
	}
	if kv.Key == e.self.ID && e.settled.IsZero() {
		e.settled = now.Add(settleDelay)
		changed = true
	}
	if changed {
		e.updateFleet(now)
	}
}

// heard records that another entry serves although its record may be gone.
func (e *entryFollower) heard(m share.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.ID == e.self.ID {
		return
	}
	now := time.Now()
	e.members.Heard(m, now)
	e.updateFleet(now)
}

// refresh tells the fleet which entries share the endpoints now: those that left count for
// some time.
func (e *entryFollower) refresh(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.refreshed.IsZero() && now.UnixNano()-e.refreshed.UnixNano() > int64(e.sendHold) {
		e.log.Info("This process stood still, or its clock was set; others may not count it.", "ms", (now.UnixNano()-e.refreshed.UnixNano())/1e6)
		e.started, e.settled, e.told = now, now.Add(settleDelay), 0
	}
	e.refreshed = now
	e.members.Forget(e.retryHold, now)
	members := e.updateFleet(now)
	if n := len(members); n != e.loggedMembers {
		e.loggedMembers = n
		e.log.Info("Entries that share limits changed.", "counted", n, "registered", e.members.Present(), "part", e.self.Weight/share.Total(members))
	}
}

// updateFleet tells the fleet which entries share the endpoints, and returns those. The
// caller holds mu.
func (e *entryFollower) updateFleet(now time.Time) []share.Member {
	e.members.Join(e.self) // registered or not
	v := share.View{Self: e.self, Members: e.members.Within(e.sendHold, now), AtLeast: e.told, CautiousUntil: e.settled}
	switch {
	case e.settled.IsZero():
		v.CautiousUntil = now.Add(settleDelay)
	case e.told > 0 && now.Before(e.settled):
		v.AtLeast++ // the others may not count this one
	case e.told > 0:
		v.CautiousUntil = e.knowsAll() // it doesn't know those that left before it started
	}
	retrying := e.members.Within(e.retryHold, now)
	v.Retry = share.Part{Fraction: e.self.Weight / share.Total(retrying), Since: e.started}
	if now.Before(e.knowsAll()) && e.told > len(retrying) {
		v.Retry.Fraction *= float64(len(retrying)) / float64(e.told)
	}
	e.fleet.SetView(v)
	return v.Members
}

// knowsAll returns when this entry has seen the end of all that may serve on without a
// record. The caller holds mu.
func (e *entryFollower) knowsAll() time.Time { return e.started.Add(e.sendHold) }

// wantsCount reports whether this entry should ask others how many share the limits.
func (e *entryFollower) wantsCount(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.knowsAll())
}

// tellCount records the number of entries that share limits according to another one.
func (e *entryFollower) tellCount(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.told = n
	e.updateFleet(time.Now())
}

// count returns the number of entries that share limits, 0 if this one can't tell yet.
func (e *entryFollower) count(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settled.IsZero() || now.Before(e.settled) {
		return 0
	}
	n := len(e.members.Within(e.sendHold, now))
	if now.Before(e.knowsAll()) {
		n = max(n, e.told)
	}
	return n
}

// registered returns the number of entries that have a record.
func (e *entryFollower) registered() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.known)
}

// all returns a copy of the records by store key.
func (e *entryFollower) all() map[string]entryRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.known)
}

// placementEngine returns the figures of an engine by which requests differ in cost.
func placementEngine(e *routing.Engine) placement.Engine {
	if e == nil {
		return placement.Engine{}
	}
	return placement.Engine{
		ReadPerSecond: e.PromptTokensPerSecond,
		MeanPrompt:    e.MeanPromptTokens, MeanResponse: e.MeanResponseTokens,
	}
}
