// Package fleet chooses the endpoint for each request when several entries share the
// endpoints and no gate in front of an endpoint admits their requests. The load of an
// endpoint is known from reports that are fractions of a second old; requests that this
// entry sent since the report are added to it.
package fleet

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/admission"
)

// Record is what an endpoint publishes about itself in the store.
type Record struct {
	ID, Service, Address, Zone string
	// Slots is the number of requests that the endpoint can run at the same time.
	Slots    int
	Draining bool
	// ColdFor is the time for which the endpoint stays cold and sustains little load.
	ColdFor time.Duration
	// Incarnation identifies one run of the endpoint; a restart under the same ID has
	// a greater one.
	Incarnation int64
}

// Load is a report of an endpoint's load.
type Load struct {
	Running, Waiting, Slots int
	// Stalled is set if the rank group of the endpoint can't run requests.
	Stalled bool
	// StepTime is the duration of an engine step of the endpoint's rank group, 0 if
	// unknown.
	StepTime time.Duration
	// ColdFor is the time for which the endpoint stays cold and sustains little load.
	ColdFor time.Duration
	// Pace is how many times longer the endpoint takes for the same work than it should, 0
	// if unknown.
	Pace float64
}

const (
	// reportValidity is the age at which a load report becomes less accurate than the
	// count of this entry's requests at the endpoint.
	reportValidity = time.Second
	// reportSilence is the age of an agent's last report from which its endpoint may be
	// frozen or cut off. Agents report at least every 0.45 s, so one report is missing.
	reportSilence = 600 * time.Millisecond
	// backoffMin and backoffMax bound the backoff after a request to which an endpoint
	// didn't respond; the backoff doubles with each consecutive failure.
	backoffMin = 500 * time.Millisecond
	backoffMax = 4 * time.Second
	// failureWeight is the weight of one request in the moving average of failures,
	// so that an endpoint that fails 4 of 10 requests is detected within about ten.
	failureWeight = 0.15
	// failureHalfLife is the time after which the failure rate of an endpoint that gets
	// no requests has halved.
	failureHalfLife = 4 * time.Second
	// failureCost is the load, as a fraction of the slots, at which an endpoint without
	// failures costs as much as an idle one that always fails.
	failureCost = 3.0
	// zoneCost is the cost of sending a request to another availability zone, in the
	// same unit; traffic between zones is billed, but a slower response costs more.
	zoneCost = 0.1
	// tieNoise is the random cost that spreads the entries' choices over nearly equal
	// endpoints.
	tieNoise = 0.06
	// sampleSize is the number of endpoints that are compared for one request. Reports
	// are as old as the time in which many entries choose; if each compared all
	// endpoints, they would all choose the same one.
	sampleSize = 4
	// maxStepShare is the fraction of the target event gap that an engine step of a
	// rank group may take; expert copies and prompts make some steps longer.
	maxStepShare = 0.8
	// slowPace is the pace from which a rank gets requests only if no other endpoint can
	// take any: all ranks of its group wait for it in each step.
	slowPace = 1.5
	// movePace is the pace from which a rank's requests are moved to other endpoints: steps
	// that take so much longer miss the target gap of all streams of the group.
	movePace = 3.0
	// minSlotShare is the least fraction of the slots that is used in a slow group.
	minSlotShare = 0.4
)

// Endpoint is this entry's state of one endpoint. Its fields are protected by the
// fleet's lock.
type Endpoint struct {
	Record
	removed   bool
	coldUntil time.Time
	inFlight  int
	// report is the last load report, received at reportAt; inFlightAtReport is inFlight
	// at that time.
	report           Load
	reportAt         time.Time
	inFlightAtReport int
	// claims is the number of places that waiting requests may still take of those that the
	// last report shows as free.
	claims int
	// agentReportAt is when the endpoint's agent last reported, zero if it never did.
	agentReportAt       time.Time
	consecutiveFailures int
	backoffUntil        time.Time
	failureRate         float64
	failureRateAt       time.Time
	// sentAt lists the send times of the last second's requests. lastColdTurn is the turn
	// that was used last if this entry's share of the rate that a cold endpoint sustains
	// is below one request a second (see Fleet.nextTurn).
	sentAt       []time.Time
	lastColdTurn time.Time
	// rateLimit is the limit that the endpoint named last, lastTurn the turn at it that
	// was used last.
	rateLimit  RateLimit
	lastTurn   time.Time
	turnOffset int64
	// rateLimitToldAt is when this entry or another one last told all entries the limit,
	// or the agent did.
	rateLimitToldAt time.Time
	// notice is what the endpoint has said of itself, nil for nothing.
	notice *notice
	// stalled is closed and replaced when the endpoint's group stalls, or waits for this
	// endpoint in each step.
	stalled chan struct{}
}

// Limits bound the load of a service's endpoints.
type Limits struct {
	// ColdPerSecond is the request rate that a cold endpoint sustains, 0 for no limit.
	ColdPerSecond float64
	// ColdBurst is the number of requests that all entries together may send to an
	// endpoint within one second. It applies if ColdPerSecond is set.
	ColdBurst float64
	// MaxConnections is the largest number of requests that all entries together may
	// have in progress at an endpoint, 0 for no limit.
	MaxConnections int
	// TargetGap is the longest interval between two streamed events that meets the
	// service's target, 0 for no target.
	TargetGap time.Duration
	// QueuesByPriority is set if the endpoints queue requests beyond their slots and start
	// the most urgent one first, by the priority that is sent with each request.
	QueuesByPriority bool
}

// Fleet holds the state of the endpoints. It is safe for concurrent use.
type Fleet struct {
	zone string

	mu        sync.Mutex
	byID      map[string]*Endpoint
	byService map[string][]*Endpoint
	// latestAtAddress is the endpoint at each address according to outranks. Records of
	// earlier ones stay in the store until they expire.
	latestAtAddress map[string]*Endpoint
	zonesOut        map[string]bool
	limits          map[string]Limits
	// entries is the number of entries that share the endpoints, entryIndex the place of
	// this one among them.
	entries    int
	entryIndex int
	queues     map[string]*queue
	// notices holds what endpoints have said of themselves, by ID. They outlast records
	// that expire or are outdated.
	notices  map[string]*notice
	onRemove func(addr string)
}

// initialEntries is the number of entries that is assumed until they are counted;
// shared limits are divided by it.
const initialEntries = 64

// New returns an empty fleet for an entry in zone. onRemove is called with the address
// of each endpoint that is removed.
func New(zone string, onRemove func(addr string)) *Fleet {
	return &Fleet{
		zone: zone, onRemove: onRemove, entries: initialEntries, entryIndex: rand.N(initialEntries),
		byID: make(map[string]*Endpoint), byService: make(map[string][]*Endpoint), latestAtAddress: make(map[string]*Endpoint),
		zonesOut: make(map[string]bool), limits: make(map[string]Limits), queues: make(map[string]*queue), notices: make(map[string]*notice),
	}
}

// Update adds or changes an endpoint. It reports whether the endpoint is new, restarted,
// or started or stopped draining.
func (f *Fleet) Update(r Record) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ep := f.byID[r.ID]
	if ep != nil && (ep.Incarnation != r.Incarnation || ep.Address != r.Address || ep.Service != r.Service) {
		f.remove(ep)
		ep = nil
	}
	changed := ep == nil
	if ep == nil {
		ep = &Endpoint{Record: r, stalled: make(chan struct{}), turnOffset: turnOffset(r.ID)}
		f.byID[r.ID] = ep
		f.byService[r.Service] = append(f.byService[r.Service], ep)
	}
	changed = changed || ep.Draining != r.Draining
	// The other fields are the same. Requests read them without the lock.
	ep.Zone, ep.Slots, ep.Draining, ep.ColdFor = r.Zone, r.Slots, r.Draining, r.ColdFor
	f.attachNotice(ep)
	ep.coldUntil = time.Now().Add(r.ColdFor)
	if at := f.latestAtAddress[r.Address]; at == nil || !f.outranks(at, ep) {
		f.latestAtAddress[r.Address] = ep
	}
	f.assignWaiting(r.Service)
	return changed
}

// Remove removes an endpoint and returns its record. known is false if there was none.
func (f *Fleet) Remove(id string) (r Record, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ep := f.byID[id]
	if ep == nil {
		return Record{}, false
	}
	f.remove(ep)
	return ep.Record, true
}

func (f *Fleet) remove(ep *Endpoint) {
	ep.removed = true
	delete(f.byID, ep.ID)
	f.byService[ep.Service] = slices.DeleteFunc(f.byService[ep.Service], func(e *Endpoint) bool { return e == ep })
	if f.latestAtAddress[ep.Address] == ep {
		f.resetLatestAt(ep.Address)
	}
	if f.onRemove != nil {
		f.onRemove(ep.Address)
	}
}

// resetLatestAt determines anew which endpoint is at an address.
func (f *Fleet) resetLatestAt(address string) {
	delete(f.latestAtAddress, address)
	for _, ep := range f.byID {
		if ep.Address != address {
			continue
		}
		if at := f.latestAtAddress[address]; at == nil || f.outranks(ep, at) {
			f.latestAtAddress[address] = ep
		}
	}
}

// outranks reports whether the record of an endpoint decides who is at an address rather
// than that of another one: the one of a configured service does, and of two, the one
// that was started later.
func (f *Fleet) outranks(ep, other *Endpoint) bool {
	_, configured := f.limits[ep.Service]
	_, otherConfigured := f.limits[other.Service]
	if configured != otherConfigured {
		return configured
	}
	return ep.Incarnation > other.Incarnation
}

// Records returns the records of all endpoints.
func (f *Fleet) Records() []Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Record, 0, len(f.byID))
	for _, ep := range f.byID {
		all = append(all, ep.Record)
	}
	return all
}

// SetZoneOutOfService takes a zone's endpoints out of service or returns them to service.
func (f *Fleet) SetZoneOutOfService(zone string, outOfService bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if outOfService {
		f.zonesOut[zone] = true
	} else {
		delete(f.zonesOut, zone)
	}
}

// SetLimits replaces the limits of a service, which is configured from then on.
func (f *Fleet) SetLimits(service string, l Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, configured := f.limits[service]
	f.limits[service] = l
	if configured {
		return
	}
	for _, ep := range f.byService[service] {
		f.resetLatestAt(ep.Address)
	}
}

// SetEntries sets the number of entries that share the endpoints, at least 1, and the
// place of this one among them, from 0.
func (f *Fleet) SetEntries(n, index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = max(1, n)
	f.entryIndex = index % f.entries
}

// Entries returns the number of entries that share the endpoints.
func (f *Fleet) Entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries
}

// RecordLoad records a load report of an endpoint.
func (f *Fleet) RecordLoad(id string, l Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ep := f.byID[id]; ep != nil {
		ep.agentReportAt = time.Now()
		f.applyLoad(ep, l)
	}
}

// isSilent reports whether the reports of an endpoint's agent are missing although
// those of most agents of the service arrive. If they don't, the network or this entry
// is at fault.
func (f *Fleet) isSilent(ep *Endpoint, now time.Time) bool {
	return ep.missesReports(now) && f.mostReport(ep.Service, now)
}

// missesReports reports whether the reports of the endpoint's agent are missing.
func (ep *Endpoint) missesReports(now time.Time) bool {
	return !ep.agentReportAt.IsZero() && now.Sub(ep.agentReportAt) > reportSilence
}

// mostReport reports whether the reports of most agents of a service arrive.
func (f *Fleet) mostReport(service string, now time.Time) bool {
	balance := 0
	for _, ep := range f.byService[service] {
		switch {
		case ep.agentReportAt.IsZero():
		case ep.missesReports(now):
			balance--
		default:
			balance++
		}
	}
	return balance > 0
}

func (f *Fleet) applyLoad(ep *Endpoint, l Load) {
	now := time.Now()
	if l.Stalled && !ep.report.Stalled || l.Pace >= movePace && ep.report.Pace < movePace {
		close(ep.stalled)
		ep.stalled = make(chan struct{})
	}
	ep.report, ep.reportAt, ep.inFlightAtReport = l, now, ep.inFlight
	f.renewClaims(ep, now)
	if l.ColdFor > 0 {
		ep.coldUntil = now.Add(l.ColdFor)
	}
	f.assignWaiting(ep.Service)
}

// hasFreshReport reports whether the endpoint's last report is still valid.
func (ep *Endpoint) hasFreshReport(now time.Time) bool { return now.Sub(ep.reportAt) <= reportValidity }

// isSlow reports whether the last report, if it is still valid, names a pace of slowPace or
// more.
func (ep *Endpoint) isSlow(now time.Time) bool {
	return ep.hasFreshReport(now) && ep.report.Pace >= slowPace
}

// load estimates the number of requests at the endpoint.
func (ep *Endpoint) load(now time.Time) int {
	if !ep.hasFreshReport(now) {
		return ep.inFlight
	}
	return max(ep.inFlight, ep.report.Running+ep.report.Waiting+ep.inFlight-ep.inFlightAtReport)
}

// Availability says whether a service had an endpoint for a request, and if not, why.
type Availability int

// The values of Availability.
const (
	// Available means that an endpoint was chosen.
	Available Availability = iota
	// AllBusy means that the usable endpoints have no free slot or are at a limit.
	AllBusy
	// Unavailable means that no endpoint can take the request, now or soon.
	Unavailable
	// RateLimited means that the rate limits that the usable endpoints name leave no room
	// for the request within its MaxWait.
	RateLimited
	// Paused means that all endpoints that could take the request have asked for a pause
	// that outlasts its MaxWait.
	Paused
	// NotInTime means that the usable endpoints are busy and none is expected to come free
	// for the request within its MaxWait.
	NotInTime
	// Displaced means that the request was refused for more urgent ones since the queue was
	// full.
	Displaced
)

// String implements fmt.Stringer.
func (a Availability) String() string {
	return [...]string{"available", "all_busy", "unavailable", "rate_limited", "paused", "not_in_time", "displaced"}[a]
}

// choose returns the endpoint with the lowest cost among a random sample of a service's
// endpoints, and counts the request there. room is how much of an endpoint the request may
// use, queued whether it has waited in the queue.
func (f *Fleet) choose(r *Request, room admission.Room, queued bool) (*Pick, Availability) {
	now := time.Now()
	service, exclude := r.Service, r.Exclude
	limits := f.limits[service]
	var best, fallback *Endpoint
	var bestCost, fallbackCost float64
	availability := Unavailable
	all := f.byService[service]
	compared := 0
	for _, i := range rand.Perm(len(all)) {
		if compared >= sampleSize {
			break
		}
		ep := all[i]
		if !f.usable(ep, exclude, now) {
			continue
		}
		load := ep.load(now)
		if load >= f.roomAt(ep, room, limits, now) || !f.belowConnectionLimit(ep, limits) || queued && !ep.mayClaim(now) || !ep.testedSincePause() || !f.withinRateLimit(ep, limits, now) || !f.withinNamedLimit(ep, now) {
			availability = AllBusy
			continue
		}
		cost := float64(load)/float64(ep.Slots) + failureCost*ep.decayedFailureRate(now) + tieNoise*rand.Float64()
		if ep.Zone != f.zone {
			cost += zoneCost
		}
		if now.Before(ep.backoffUntil) || ep.isSlow(now) || f.isSilent(ep, now) {
			if fallback == nil || cost < fallbackCost {
				fallback, fallbackCost = ep, cost
			}
			continue
		}
		compared++
		if best == nil || cost < bestCost {
			best, bestCost = ep, cost
		}
	}
	if best == nil && availability == Unavailable {
		// Only endpoints in backoff after a recent failure, slow or silent ones are left.
		best = fallback
	}
	if best == nil {
		return nil, availability
	}
	p := &Pick{Endpoint: best, fleet: f, chosenAt: now, Load: best.load(now), ReportAge: NoReport, StepTime: best.report.StepTime, RateLimit: best.rateLimit, Stalled: best.stalled}
	if !best.reportAt.IsZero() {
		p.ReportAge = now.Sub(best.reportAt)
	}
	f.recordSend(best, limits, now)
	return p, Available
}

// usableSlots returns the number of slots that may be occupied. The more requests a
// rank group runs, the longer its steps take; beyond some number all its streams miss
// the target gap, so a group with long steps gets fewer requests.
func (ep *Endpoint) usableSlots(l Limits, now time.Time) int {
	if l.TargetGap <= 0 || ep.report.StepTime <= 0 || !ep.hasFreshReport(now) {
		return ep.Slots
	}
	share := maxStepShare * float64(l.TargetGap) / float64(ep.report.StepTime)
	if share >= 1 {
		return ep.Slots
	}
	return max(1, int(float64(ep.Slots)*max(share, minSlotShare)))
}

// roomAt returns the load up to which a request with the given room may be sent to an
// endpoint.
func (f *Fleet) roomAt(ep *Endpoint, room admission.Room, l Limits, now time.Time) int {
	waiting := 0
	if ep.hasFreshReport(now) {
		waiting = ep.report.Waiting
	}
	return room.Of(ep.usableSlots(l, now), ep.stepShare(l, now), waiting)
}

// stepShare returns the part of the target gap that a step of the endpoint takes, 0 if
// unknown.
func (ep *Endpoint) stepShare(l Limits, now time.Time) float64 {
	if l.TargetGap <= 0 || !ep.hasFreshReport(now) {
		return 0
	}
	return float64(ep.report.StepTime) / float64(l.TargetGap)
}

// belowConnectionLimit reports whether this entry's share of the connection limit
// allows another request.
func (f *Fleet) belowConnectionLimit(ep *Endpoint, l Limits) bool {
	return l.MaxConnections <= 0 || ep.inFlight < max(1, l.MaxConnections/f.entries)
}

// withinRateLimit enforces this entry's share of the rate that a cold endpoint
// sustains. The burst limit applies to warm endpoints too, since any of them may become
// cold before a report shows it.
func (f *Fleet) withinRateLimit(ep *Endpoint, l Limits, now time.Time) bool {
	if l.ColdPerSecond <= 0 {
		ep.sentAt = ep.sentAt[:0]
		return true
	}
	allowed := ep.coldRate(l, now)
	if int(allowed) < f.entries {
		return !f.nextTurn(ep, coldTurns(allowed), ep.lastColdTurn, now).After(now)
	}
	ep.sentAt = slices.DeleteFunc(ep.sentAt, func(t time.Time) bool { return now.Sub(t) > time.Second })
	return len(ep.sentAt) < int(allowed)/f.entries
}

// coldRate returns the requests a second that all entries together may send to an
// endpoint which may be cold.
func (ep *Endpoint) coldRate(l Limits, now time.Time) float64 {
	if now.Before(ep.coldUntil) {
		return min(l.ColdBurst, l.ColdPerSecond)
	}
	return l.ColdBurst
}

// recordSend counts a request that is sent to an endpoint.
func (f *Fleet) recordSend(ep *Endpoint, l Limits, now time.Time) {
	ep.inFlight++
	ep.claims = max(0, ep.claims-1)
	if ep.rateLimit.Named {
		ep.lastTurn = f.nextTurn(ep, ep.rateLimit.turns(), ep.lastTurn, now)
	}
	if l.ColdPerSecond <= 0 {
		return
	}
	if allowed := ep.coldRate(l, now); int(allowed) < f.entries {
		ep.lastColdTurn = f.nextTurn(ep, coldTurns(allowed), ep.lastColdTurn, now)
		return
	}
	ep.sentAt = append(ep.sentAt, now)
}
