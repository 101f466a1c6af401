package fleet

import (
	"slices"
	"time"

	"github.com/wasabinotch/wasabinotch/placement"
)

// reportTransit is how long a request, or a report, may be on its way: what was sent that
// much before a report arrived may not be in it.
const reportTransit = 50 * time.Millisecond

// ownWork is what this entry's requests in progress take at an endpoint.
type ownWork struct {
	// tokens is the memory that they need, unread the length of the prompts that are not
	// known to be read.
	tokens, unread int
}

// endpointMemory is what is known of the memory of an endpoint's engine.
type endpointMemory struct {
	total int
	// share is the fraction in use, and running and waiting are the requests, at the last
	// report of the agent, which arrived at reportAt.
	share            float64
	running, waiting int
	reportAt         time.Time
	// changes lists what this entry's requests have taken, and given back when they ended,
	// that the report may not contain.
	changes []memoryChange
}

type memoryChange struct {
	at time.Time
	// tokens is negative for a request that ended.
	tokens int
}

// record records a report of the agent.
func (m *endpointMemory) record(l Load, now time.Time) {
	if l.MemoryTotal > 0 {
		m.total = l.MemoryTotal
	}
	m.share, m.running, m.waiting, m.reportAt = l.MemoryShare, l.Running, l.Waiting, now
	m.dropChangesBefore(now.Add(-reportTransit))
	// The report may already lack what has ended; memory must not be given back twice.
	m.changes = slices.DeleteFunc(m.changes, func(c memoryChange) bool { return c.tokens < 0 })
}

func (m *endpointMemory) dropChangesBefore(t time.Time) {
	m.changes = slices.DeleteFunc(m.changes, func(c memoryChange) bool { return c.at.Before(t) })
}

// add records tokens that a request of this entry takes, or gives back if negative.
func (m *endpointMemory) add(tokens int, now time.Time) {
	if m.total <= 0 {
		return
	}
	m.dropChangesBefore(now.Add(-reportValidity - reportTransit)) // no report comes
	m.changes = append(m.changes, memoryChange{now, tokens})
}

// canHold reports whether the engine has room for a request when it is idle.
func (m *endpointMemory) canHold(r *Request) bool {
	return m.total <= 0 || r.Work.PromptTokens < m.total
}

// placing is a request while an endpoint is chosen for it.
type placing struct {
	request    *Request
	limits     Limits
	demand     placement.Demand
	beginnings []placement.Beginning
}

func (f *Fleet) newPlacing(r *Request, now time.Time) *placing {
	p := &placing{request: r, limits: f.limits[r.Service]}
	target := time.Duration(0)
	if !r.Aim.IsZero() {
		target = max(1, r.Aim.Sub(now))
	}
	w := placement.Work{Prompt: r.Work.PromptTokens, Response: r.Work.ResponseTokens, MaxResponse: r.Work.MaxResponseTokens}
	p.demand = p.limits.Engine.Demand(w, target)
	p.beginnings = p.limits.Engine.Beginnings(r.Work.Parts, target, f.reuse)
	return p
}

// obstacle says why an endpoint can't get a request now.
type obstacle int

const (
	none obstacle = iota
	notInService
	noSlot
	noConnection
	untestedSincePause
	coldLimit
	namedLimit
	noMemory
)

// reason says why an endpoint gets a request only if no other one can.
type reason int

const (
	noReason reason = iota
	inBackoff
	slow
	silent
)

// assessment is the result of looking at one endpoint for a request.
type assessment struct {
	endpoint *Endpoint
	obstacle obstacle
	// lastResort is set if the endpoint gets the request only if no other one can.
	lastResort reason
	load       int
	score      placement.Score
	cost       float64
	held, room int
}

// assess says whether an endpoint may get a request, and at which cost.
func (f *Fleet) assess(ep *Endpoint, p *placing, now time.Time) assessment {
	a := assessment{endpoint: ep}
	if !f.usable(ep, p.request.Exclude, now) {
		a.obstacle = notInService
		return a
	}
	a.load = ep.load(now)
	a.room = f.room(ep, p, now)
	switch {
	case a.load >= ep.usableSlots(p.limits, now):
		a.obstacle = noSlot
	case !f.belowConnectionLimit(ep, p.limits):
		a.obstacle = noConnection
	case !ep.testedSincePause():
		a.obstacle = untestedSincePause
	case !f.withinRateLimit(ep, p.limits, now):
		a.obstacle = coldLimit
	case !f.withinNamedLimit(ep, now):
		a.obstacle = namedLimit
	case p.demand.Tokens > a.room:
		a.obstacle = noMemory
	}
	if len(p.beginnings) > 0 {
		a.held = ep.beginnings.Held(p.beginnings, f.reuse.Retention, a.room, now)
	}
	c := placement.Candidate{
		Slots: ep.Slots, Load: a.load, Unread: ep.own.unread, Held: a.held,
		FailureRate: ep.decayedFailureRate(now), OtherZone: ep.Zone != f.zone,
	}
	a.score = p.limits.Engine.Score(&c, &p.demand, f.reuse.Weight)
	a.cost = a.score.Total()
	switch {
	case now.Before(ep.backoffUntil):
		a.lastResort = inBackoff
	case ep.isSlow(now):
		a.lastResort = slow
	case f.isSilent(ep, now):
		a.lastResort = silent
	}
	return a
}

// moveHoldersFirst moves the endpoints that hold a beginning of the prompt to the front, at
// most sampleSize, and returns their number. A random sample of many endpoints seldom
// contains them. Only this entry knows them, so that entries don't all choose the same ones.
func (f *Fleet) moveHoldersFirst(all []*Endpoint, p *placing, now time.Time) int {
	if len(p.beginnings) == 0 {
		return 0
	}
	holders := 0
	for i, ep := range all {
		if holders < sampleSize && ep.beginnings.Held(p.beginnings, f.reuse.Retention, f.room(ep, p, now), now) > 0 {
			all[holders], all[i] = all[i], all[holders]
			holders++
		}
	}
	return holders
}

// room returns the tokens of an endpoint's memory that a request may take.
func (f *Fleet) room(ep *Endpoint, p *placing, now time.Time) int {
	m := &ep.memory
	if now.Sub(m.reportAt) > reportValidity {
		return placement.RoomWithoutReport(m.total, ep.own.tokens, f.entries)
	}
	known := placement.Memory{Total: m.total, Used: int(m.share * float64(m.total)), Slots: ep.Slots, Running: m.running, Waiting: m.waiting}
	for _, c := range m.changes {
		known.Sent += c.tokens
	}
	ownTurn := placement.OwnTurn(f.entries, f.entryIndex, ep.turnOffset, m.reportAt, now, reportTransit)
	return known.Room(&p.limits.Engine, p.demand.Tokens, f.entries, ownTurn)
}

// beginWork counts what a request takes at its endpoint.
func (f *Fleet) beginWork(pick *Pick, p *placing, held int, now time.Time) {
	ep := pick.Endpoint
	pick.demand, pick.reading = p.demand, true
	// The memory is counted in full: the endpoint may drop what it holds before.
	pick.demand.Prompt = max(0, p.demand.Prompt-held)
	ep.own.tokens += pick.demand.Tokens
	ep.own.unread += pick.demand.Prompt
	ep.memory.add(p.demand.Tokens, now)
	if len(p.beginnings) > 0 {
		pick.beginnings = ep.beginnings.Begin(p.beginnings, p.demand.Tokens)
	}
}

// endWork undoes beginWork.
func (p *Pick) endWork(now time.Time) {
	ep := p.Endpoint
	p.endReading()
	ep.own.tokens -= p.demand.Tokens
	ep.memory.add(-p.demand.Tokens, now)
	if len(p.beginnings) > 0 {
		ep.beginnings.End(p.beginnings, p.fleet.reuse.Retention, now)
	}
}

func (p *Pick) endReading() {
	if p.reading {
		p.reading = false
		p.Endpoint.own.unread -= p.demand.Prompt
	}
}

// RecordFirstToken records that the response has begun, so that the prompt has been read.
func (p *Pick) RecordFirstToken() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if !p.finished {
		p.endReading()
	}
}

// SetReuse sets how prompts that endpoints hold are taken into account.
func (f *Fleet) SetReuse(r placement.Reuse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reuse = r
}

// PlacementCounts counts placement decisions.
type PlacementCounts struct {
	// Reused is the number of requests whose endpoint held a beginning of the prompt,
	// MemoryShort that of choices in which an endpoint with a free slot lacked memory.
	Reused, MemoryShort int64
}

// PlacementCounts returns the placement decisions since the start.
func (f *Fleet) PlacementCounts() PlacementCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}
