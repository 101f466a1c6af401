// Package fleet chooses the endpoint for each request when several entries share the
// endpoints and no gate in front of an endpoint admits their requests. The load of an
// endpoint is known from reports that are fractions of a second old; requests that this
// entry sent since the report are added to it.
package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/admission"
	"github.com/wasabinotch/wasabinotch/placement"
	"github.com/wasabinotch/wasabinotch/share"
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
	// MemoryTotal is the engine's memory in tokens, MemoryShare the fraction of it that is
	// in use at most. Not every report names the total; 0 leaves the known one.
	MemoryTotal int
	MemoryShare float64
	// Reading is the time until the endpoint has read the long prompts of which entries have
	// told its agent.
	Reading time.Duration
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
	// tieNoise is the random cost that spreads the entries' choices over nearly equal
	// endpoints, in the unit of placement.Score.
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
	// own is what this entry's requests in progress take there.
	own ownWork
	// memory is what is known of the engine's memory.
	memory endpointMemory
	// reading is what entries have told the agent of long prompts.
	reading endpointReading
	// beginnings are the beginnings of prompts that the endpoint holds.
	beginnings placement.Beginnings
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
	// that was used last if an entry's share of the rate that a cold endpoint sustains
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
	// Engine holds the figures by which requests differ in cost.
	Engine placement.Engine
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
	// entries is the number of entries that may send requests to the endpoints, entryIndex
	// the place of this one among them; view is what this one knows of them, and ring their
	// turns, nil until it is needed.
	entries    int
	entryIndex int
	view       share.View
	ring       *share.Ring
	turnUse    turnUse
	queues     map[string]*queue
	reuse      placement.Reuse
	// tellReading is called with each long prompt that is sent to an endpoint with an agent.
	tellReading func(endpoint Record, reading time.Duration)
	counts      PlacementCounts
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
	f := &Fleet{
		zone: zone, onRemove: onRemove, reuse: placement.Reuse{Weight: placement.DefaultReuseWeight},
		byID: make(map[string]*Endpoint), byService: make(map[string][]*Endpoint), latestAtAddress: make(map[string]*Endpoint),
		zonesOut: make(map[string]bool), limits: make(map[string]Limits), queues: make(map[string]*queue), notices: make(map[string]*notice),
	}
	f.SetEntries(initialEntries, rand.N(initialEntries))
	return f
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

// SetEntries sets the number of entries that share the endpoints in equal parts, at least
// 1, and the place of this one among them, from 0.
func (f *Fleet) SetEntries(n, index int) {
	n = max(1, n)
	members := make([]share.Member, n)
	for i := range members {
		members[i] = share.Member{ID: strconv.Itoa(i), Weight: 1}
	}
	f.SetView(share.View{Self: members[index%n], Members: members, Retry: share.Part{Fraction: 1 / float64(n)}})
}

// SetView sets which entries share the endpoints, and their parts.
func (f *Fleet) SetView(v share.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Self != v.Self {
		f.ring = nil
	}
	f.view = v
	f.entries = max(1, len(v.Members))
	f.entryIndex = max(0, slices.IndexFunc(v.Members, func(m share.Member) bool { return m.ID == v.Self.ID }))
	if f.ring != nil {
		f.ring.Set(v.Members)
		f.ring.AssumeAtLeast(v.AtLeast)
	}
}

// shares returns the entries' turns and parts, and whether this entry takes few of them
// since it may not know all others yet.
func (f *Fleet) shares(now time.Time) (r *share.Ring, cautious bool) {
	if f.ring == nil {
		f.ring = share.NewRing(f.view.Self)
		f.ring.Set(f.view.Members)
		f.ring.AssumeAtLeast(f.view.AtLeast)
	}
	return f.ring, now.Before(f.view.CautiousUntil)
}

// RetryPart returns this entry's part of the retry budgets.
func (f *Fleet) RetryPart() share.Part {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Retry
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
		ep.memory.record(l, ep.agentReportAt)
		ep.reading = endpointReading{left: l.Reading, at: ep.agentReportAt}
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
	// OutOfMemory means that an endpoint with a free slot lacks memory for the request.
	// One that needs less may find room.
	OutOfMemory
	// NotInTime means that the usable endpoints are busy and none is expected to come free
	// for the request within its MaxWait.
	NotInTime
	// Displaced means that the request was refused for more urgent ones since the queue was
	// full.
	Displaced
	// TooLarge means that the prompt exceeds the memory of every endpoint of the service,
	// so that none can ever take the request.
	TooLarge
)

// String implements fmt.Stringer.
func (a Availability) String() string {
	return [...]string{"available", "all_busy", "unavailable", "rate_limited", "paused", "out_of_memory", "not_in_time", "displaced", "too_large"}[a]
}

// choose returns the endpoint with the lowest cost among a random sample of a service's
// endpoints, and counts the request there. room is how much of an endpoint the request may
// use, queued whether it has waited in the queue.
func (f *Fleet) choose(request *Request, room admission.Room, queued bool) (*Pick, Availability) {
	now := time.Now()
	p := f.newPlacing(request, room, queued, now)
	best, availability := f.compare(p, now)
	if availability == OutOfMemory {
		f.counts.MemoryShort++
	}
	if best.endpoint == nil {
		return nil, availability
	}
	return f.claim(&best, p, now), Available
}

// compare returns the best endpoint of a random sample. Its endpoint is nil if none can take
// the request now; availability says why.
func (f *Fleet) compare(p *placing, now time.Time) (best assessment, availability Availability) {
	var fallback assessment
	availability = Unavailable
	all := f.byService[p.request.Service]
	holders := f.moveHoldersFirst(all, p, now)
	compared := 0
	for i := 0; i < len(all) && compared < sampleSize; i++ {
		if i >= holders {
			// Shuffles the slice as far as it is read; its order has no meaning.
			j := i + rand.IntN(len(all)-i)
			all[i], all[j] = all[j], all[i]
		}
		a := f.assess(all[i], p, now)
		switch {
		case a.obstacle == notInService:
			continue
		case a.obstacle == noMemory:
			availability = OutOfMemory
			continue
		case a.obstacle != none:
			if availability == Unavailable {
				availability = AllBusy
			}
			continue
		}
		a.cost += tieNoise * rand.Float64()
		if a.lastResort != noReason {
			if fallback.endpoint == nil || a.cost < fallback.cost {
				fallback = a
			}
			continue
		}
		if i >= holders {
			compared++
		}
		if best.endpoint == nil || a.cost < best.cost {
			best = a
		}
	}
	if best.endpoint == nil && availability == Unavailable {
		// Only endpoints in backoff after a recent failure, slow or silent ones are left.
		best = fallback
	}
	return best, availability
}

// claim counts the request at the endpoint that was chosen for it.
func (f *Fleet) claim(a *assessment, p *placing, now time.Time) *Pick {
	ep := a.endpoint
	pick := &Pick{Endpoint: ep, fleet: f, chosenAt: now, Load: a.load, ReportAge: NoReport, StepTime: ep.report.StepTime, RateLimit: ep.rateLimit, Stalled: ep.stalled, Score: a.score}
	if !ep.reportAt.IsZero() {
		pick.ReportAge = now.Sub(ep.reportAt)
	}
	if a.score.Held > 0 {
		f.counts.Reused++
	}
	f.recordSend(ep, p.limits, now)
	f.beginWork(pick, p, a.held, now)
	return pick
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
func (f *Fleet) belowConnectionLimit(ep *Endpoint, l Limits, now time.Time) bool {
	if l.MaxConnections <= 0 {
		return true
	}
	ring, cautious := f.shares(now)
	return ep.inFlight < max(1, wholePart(float64(l.MaxConnections), ring.Fraction(cautious)))
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
	if f.takesTurns(allowed, now) {
		return !f.nextTurn(ep, coldTurns(allowed), ep.lastColdTurn, now).After(now)
	}
	ep.sentAt = slices.DeleteFunc(ep.sentAt, func(t time.Time) bool { return now.Sub(t) > time.Second })
	ring, cautious := f.shares(now)
	return len(ep.sentAt) < wholePart(allowed, ring.Fraction(cautious))
}

// takesTurns reports whether the entries take turns at an endpoint that bears the given
// number of requests within one second, since the part of some entry is less than one.
func (f *Fleet) takesTurns(perSecond float64, now time.Time) bool {
	ring, cautious := f.shares(now)
	return wholePart(perSecond, ring.LeastFraction(cautious)) < 1
}

// wholePart returns a part of a limit for all entries, rounded down. A rounding error of the
// fraction must not cost a whole request.
func wholePart(limit, fraction float64) int {
	return int(math.Floor(limit)*fraction + 1e-9)
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
	if allowed := ep.coldRate(l, now); f.takesTurns(allowed, now) {
		ep.lastColdTurn = f.nextTurn(ep, coldTurns(allowed), ep.lastColdTurn, now)
		f.turnUse.used++
	}
	ep.sentAt = slices.DeleteFunc(ep.sentAt, func(t time.Time) bool { return now.Sub(t) > time.Second })
	ep.sentAt = append(ep.sentAt, now)
}
