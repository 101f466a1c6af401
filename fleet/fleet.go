// Package fleet decides which endpoint gets a request when several entries
// share the endpoints and none of them has a gate of its own in front of one.
// Load is known from reports that are fractions of a second old; what this
// entry sent since is added to them.
package fleet

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Record is what an endpoint says about itself in the store.
type Record struct {
	ID, Service, Address, Zone string
	Slots                      int
	Draining                   bool
	// ColdFor is how much longer the endpoint bears little load.
	ColdFor time.Duration
	// Incarnation tells two starts under one ID apart.
	Incarnation int64
}

// Load is a report of an endpoint's load.
type Load struct {
	Running, Waiting, Slots int
	// Stalled says that the endpoint's rank group can't serve.
	Stalled bool
	// StepTime is the time of a pass of the endpoint's rank group, 0 if unknown.
	StepTime time.Duration
	// ColdFor is how much longer the endpoint bears little load.
	ColdFor time.Duration
}

const (
	// reportValidity is the age at which a load report says less about an
	// endpoint than this entry's own requests there.
	reportValidity = time.Second
	// avoidMin and avoidMax bound the pause after an endpoint that didn't
	// answer; the pause doubles with each failure in a row.
	avoidMin = 500 * time.Millisecond
	avoidMax = 4 * time.Second
	// failureGain is the part of one answer in the moving average of failures,
	// so that an endpoint that fails 4 of 10 requests shows within about ten.
	failureGain = 0.15
	// failureHalfLife forgets failures of an endpoint that gets no requests.
	failureHalfLife = 4 * time.Second
	// failureCost is the load, in parts of the slots, at which an endpoint
	// without failures is as good as an idle one that always fails.
	failureCost = 3.0
	// zoneCost is what crossing a zone costs in the same unit; traffic between
	// zones is priced, but a slower answer costs more than that.
	zoneCost = 0.1
	// tieNoise spreads the entries' choices between nearly equal endpoints.
	tieNoise = 0.06
	// sampleSize is the number of endpoints that one choice compares. Reports
	// are as old as the time in which many entries choose; comparing all would
	// send all of them to the same endpoint.
	sampleSize = 4
	// passShare is the part of the longest pause between events that a pass of a
	// rank group may take; copies and prompts make some passes longer.
	passShare = 0.8
	// minSlotShare bounds from below the slots that are used in a slow group.
	minSlotShare = 0.4
)

// Endpoint is one endpoint as this entry knows it. Its fields are protected by
// the fleet's lock.
type Endpoint struct {
	Record
	gone      bool
	coldUntil time.Time
	inFlight  int
	// report is the last load report; inFlightThen is inFlight at that time.
	report       Load
	reportAt     time.Time
	inFlightThen int
	failures     int
	avoidUntil   time.Time
	failureRate  float64
	failureAt    time.Time
	// sent are the requests of the last second, nextAt is when the next may go
	// if this entry's part of the limit is below one a second.
	sent   []time.Time
	nextAt time.Time
	// broken is closed and replaced when the endpoint's group stands still.
	broken chan struct{}
}

// Limits are the figures of a service that bound its endpoints' load.
type Limits struct {
	// ColdPerSecond is the request rate that a cold endpoint bears, 0 for any.
	ColdPerSecond float64
	// ColdBurst is the number of requests in one second that no cold endpoint
	// may exceed, over all entries.
	ColdBurst      float64
	MaxConnections int
	// TargetGap is the longest pause between events that is on time, 0 for none.
	TargetGap time.Duration
}

// Fleet holds the endpoints. It is safe for concurrent use.
type Fleet struct {
	zone string

	mu        sync.Mutex
	byID      map[string]*Endpoint
	byService map[string][]*Endpoint
	// atAddress is the endpoint that started last at each address. Records of
	// earlier ones stay in the store until they expire.
	atAddress map[string]*Endpoint
	evacuated map[string]bool
	limits    map[string]Limits
	entries   int
	queues    map[string]*queue
	onGone    func(addr string)
}

// entriesUnknown is the number of entries assumed before they are counted;
// shared limits are divided by it.
const entriesUnknown = 64

// New returns an empty fleet for an entry in zone. onGone is called with the
// address of each endpoint that is removed.
func New(zone string, onGone func(addr string)) *Fleet {
	return &Fleet{
		zone: zone, onGone: onGone, entries: entriesUnknown,
		byID: make(map[string]*Endpoint), byService: make(map[string][]*Endpoint), atAddress: make(map[string]*Endpoint),
		evacuated: make(map[string]bool), limits: make(map[string]Limits), queues: make(map[string]*queue),
	}
}

// Update adds or changes an endpoint and reports whether it became known,
// began to drain or started again.
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
		ep = &Endpoint{broken: make(chan struct{})}
		f.byID[r.ID] = ep
		f.byService[r.Service] = append(f.byService[r.Service], ep)
	}
	changed = changed || ep.Draining != r.Draining
	ep.Record = r
	ep.coldUntil = time.Now().Add(r.ColdFor)
	if at := f.atAddress[r.Address]; at == nil || at.Incarnation <= r.Incarnation {
		f.atAddress[r.Address] = ep
	}
	f.wake(r.Service)
	return changed
}

// Remove drops an endpoint and reports whether it was known.
func (f *Fleet) Remove(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ep := f.byID[id]
	if ep != nil {
		f.remove(ep)
	}
	return ep != nil
}

func (f *Fleet) remove(ep *Endpoint) {
	ep.gone = true
	delete(f.byID, ep.ID)
	f.byService[ep.Service] = slices.DeleteFunc(f.byService[ep.Service], func(e *Endpoint) bool { return e == ep })
	if f.atAddress[ep.Address] == ep {
		f.findAt(ep.Address)
	}
	if f.onGone != nil {
		f.onGone(ep.Address)
	}
}

// findAt sets the endpoint that started last at an address.
func (f *Fleet) findAt(address string) {
	delete(f.atAddress, address)
	for _, ep := range f.byID {
		if ep.Address != address {
			continue
		}
		if at := f.atAddress[address]; at == nil || at.Incarnation < ep.Incarnation {
			f.atAddress[address] = ep
		}
	}
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

// SetEvacuated takes a zone's endpoints out of use or back.
func (f *Fleet) SetEvacuated(zone string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if out {
		f.evacuated[zone] = true
	} else {
		delete(f.evacuated, zone)
	}
}

// SetLimits sets a service's limits.
func (f *Fleet) SetLimits(service string, l Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits[service] = l
}

// SetEntries sets the number of entries that share the endpoints.
func (f *Fleet) SetEntries(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = max(1, n)
}

// Entries returns the number of entries that share the endpoints.
func (f *Fleet) Entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries
}

// RecordLoad records a load report.
func (f *Fleet) RecordLoad(id string, l Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ep := f.byID[id]; ep != nil {
		f.record(ep, l)
	}
}

func (f *Fleet) record(ep *Endpoint, l Load) {
	now := time.Now()
	if l.Stalled && !ep.report.Stalled {
		close(ep.broken)
		ep.broken = make(chan struct{})
	}
	ep.report, ep.reportAt, ep.inFlightThen = l, now, ep.inFlight
	if l.ColdFor > 0 {
		ep.coldUntil = now.Add(l.ColdFor)
	}
	f.wake(ep.Service)
}

// fresh reports whether the endpoint's last report still counts.
func (ep *Endpoint) fresh(now time.Time) bool { return now.Sub(ep.reportAt) <= reportValidity }

// load estimates the requests at the endpoint.
func (ep *Endpoint) load(now time.Time) int {
	if !ep.fresh(now) {
		return ep.inFlight
	}
	return max(ep.inFlight, ep.report.Running+ep.report.Waiting+ep.inFlight-ep.inFlightThen)
}

// Availability says whether a service had room for a request, and if not, why.
type Availability int

// The cases.
const (
	// Available means that an endpoint was chosen.
	Available Availability = iota
	// AllBusy means that all endpoints have their slots taken.
	AllBusy
	// Unavailable means that there is no endpoint that could take the request, now or soon.
	Unavailable
)

// choose returns the best endpoint of a service.
func (f *Fleet) choose(service string, exclude []*Endpoint) (*Pick, Availability) {
	now := time.Now()
	limits := f.limits[service]
	var best, fallback *Endpoint
	var bestCost, fallbackCost float64
	why := Unavailable
	all := f.byService[service]
	compared := 0
	for _, i := range rand.Perm(len(all)) {
		if compared >= sampleSize {
			break
		}
		ep := all[i]
		if ep.Draining || f.evacuated[ep.Zone] || f.atAddress[ep.Address] != ep || slices.Contains(exclude, ep) {
			continue
		}
		if ep.fresh(now) && ep.report.Stalled {
			continue
		}
		load := ep.load(now)
		if load >= ep.usable(limits, now) || !f.mayConnect(ep, limits) || !f.withinRate(ep, limits, now) {
			why = AllBusy
			continue
		}
		cost := float64(load)/float64(ep.Slots) + failureCost*ep.failing(now) + tieNoise*rand.Float64()
		if ep.Zone != f.zone {
			cost += zoneCost
		}
		if now.Before(ep.avoidUntil) {
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
	if best == nil && why == Unavailable {
		// Only endpoints that failed a moment ago are left.
		best = fallback
	}
	if best == nil {
		return nil, why
	}
	p := &Pick{Endpoint: best, fleet: f, Load: best.load(now), ReportAge: NoReport, Stalled: best.broken}
	if !best.reportAt.IsZero() {
		p.ReportAge = now.Sub(best.reportAt)
	}
	f.place(best, limits, now)
	return p, Available
}

// usable returns the slots that may be taken. The more requests a rank group
// runs, the longer its passes; beyond a point all its streams are late, so a
// group with long passes takes fewer.
func (ep *Endpoint) usable(l Limits, now time.Time) int {
	if l.TargetGap <= 0 || ep.report.StepTime <= 0 || !ep.fresh(now) {
		return ep.Slots
	}
	share := passShare * float64(l.TargetGap) / float64(ep.report.StepTime)
	if share >= 1 {
		return ep.Slots
	}
	return max(1, int(float64(ep.Slots)*max(share, minSlotShare)))
}

func (f *Fleet) mayConnect(ep *Endpoint, l Limits) bool {
	return l.MaxConnections <= 0 || ep.inFlight < max(1, l.MaxConnections/f.entries)
}

// withinRate keeps this entry's part of the rate that a cold endpoint bears. The
// burst limit holds for warm endpoints too, since any may turn cold unnoticed.
func (f *Fleet) withinRate(ep *Endpoint, l Limits, now time.Time) bool {
	if l.ColdPerSecond <= 0 {
		ep.sent = ep.sent[:0]
		return true
	}
	share := f.share(ep, l, now)
	if share < 1 {
		// More entries than requests a second: each sends one in a longer time,
		// the first one at a random moment of it.
		if ep.nextAt.IsZero() {
			ep.nextAt = now.Add(rand.N(2 * spacing(share)))
		}
		return !now.Before(ep.nextAt)
	}
	ep.sent = slices.DeleteFunc(ep.sent, func(t time.Time) bool { return now.Sub(t) > time.Second })
	return len(ep.sent) < int(share)
}

// share returns the requests a second that this entry may send to an endpoint.
func (f *Fleet) share(ep *Endpoint, l Limits, now time.Time) float64 {
	allowed := l.ColdBurst
	if now.Before(ep.coldUntil) {
		allowed = min(allowed, l.ColdPerSecond)
	}
	return max(allowed/float64(f.entries), minShare)
}

// spacing returns the time between two requests at a share below one a second.
func spacing(share float64) time.Duration { return time.Duration(float64(time.Second) / share) }

// place counts a request that is sent to an endpoint.
func (f *Fleet) place(ep *Endpoint, l Limits, now time.Time) {
	ep.inFlight++
	if l.ColdPerSecond <= 0 {
		return
	}
	ep.sent = append(ep.sent, now)
	if share := f.share(ep, l, now); share < 1 {
		// The random part keeps the entries from sending in step. At half of the
		// limit on average, chance doesn't lift one second above it.
		ep.nextAt = now.Add(spacing(share) + rand.N(2*spacing(share)))
	}
}

// minShare bounds the longest spacing, in requests a second.
const minShare = 0.01
