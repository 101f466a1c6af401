package fleet

import (
	"slices"
	"time"

	"github.com/wasabinotch/wasabinotch/admission"
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
	// sent is what this entry has sent that the report may not contain, the oldest first;
	// ended is the memory that its requests have given back since the report.
	sent  []sentTokens
	ended int
}

// sentTokens is what this entry sent within sentInterval.
type sentTokens struct {
	first, last time.Time
	tokens      int
}

// sentInterval bounds the number of sentTokens between two reports.
const sentInterval = 10 * time.Millisecond

// record records a report of the agent.
func (m *endpointMemory) record(l Load, now time.Time) {
	if l.MemoryTotal > 0 {
		m.total = l.MemoryTotal
	}
	m.share, m.running, m.waiting, m.reportAt = l.MemoryShare, l.Running, l.Waiting, now
	m.dropSentBefore(now.Add(-reportTransit))
	m.ended = 0 // the report may already lack it; memory must not be given back twice
}

func (m *endpointMemory) dropSentBefore(t time.Time) {
	m.sent = slices.DeleteFunc(m.sent, func(s sentTokens) bool { return s.last.Before(t) })
}

// recordSent records the memory that a request takes which this entry sends.
func (m *endpointMemory) recordSent(tokens int, now time.Time) {
	if m.total <= 0 {
		return
	}
	m.dropSentBefore(now.Add(-reportValidity - reportTransit)) // no report comes
	if n := len(m.sent); n > 0 && now.Sub(m.sent[n-1].first) < sentInterval {
		m.sent[n-1].last = now
		m.sent[n-1].tokens += tokens
		return
	}
	m.sent = append(m.sent, sentTokens{first: now, last: now, tokens: tokens})
}

// sentSinceReport returns what this entry has sent that the report may not contain, less
// what its requests have given back.
func (m *endpointMemory) sentSinceReport() int {
	tokens := -m.ended
	for _, s := range m.sent {
		tokens += s.tokens
	}
	return tokens
}

// canHold reports whether the engine has room for a request when it is idle.
func (m *endpointMemory) canHold(r *Request) bool {
	return m.total <= 0 || r.Work.PromptTokens < m.total
}

// endpointReading is what all entries' long prompts still take to be read at an endpoint.
type endpointReading struct {
	// left is the agent's last report of it, which arrived at the given time; told is the
	// number of tokens of which this entry has told the agent since.
	left time.Duration
	at   time.Time
	told int
}

// unread returns the tokens of prompts that an endpoint has not read yet.
func (ep *Endpoint) unread(e *placement.Engine, now time.Time) int {
	left := max(0, ep.reading.left-now.Sub(ep.reading.at))
	return max(ep.own.unread, e.TokensReadIn(left)+ep.reading.told)
}

// TellReadings has f called with each long prompt that is sent to an endpoint with an agent,
// and the time that reading it takes. f must not block.
func (f *Fleet) TellReadings(tell func(endpoint Record, reading time.Duration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tellReading = tell
}

// placing is a request while an endpoint is chosen for it.
type placing struct {
	request    *Request
	limits     Limits
	demand     placement.Demand
	beginnings []placement.Beginning
	// room is how much of an endpoint the request may use, queued whether it has waited in
	// the queue.
	room   admission.Room
	queued bool
	// mostReport says whether the reports of most agents of the service arrive, once
	// mostReportKnown is set: it takes a look at all endpoints.
	mostReport, mostReportKnown bool
	// explain is set if the request is only asked about.
	explain bool
}

func (f *Fleet) newPlacing(r *Request, room admission.Room, queued bool, now time.Time) *placing {
	p := &placing{request: r, limits: f.limits[r.Service], room: room, queued: queued}
	target := time.Duration(0)
	if !r.Aim.IsZero() {
		target = max(1, r.Aim.Sub(now))
	}
	p.demand = p.limits.Engine.Demand(r.Work.placement(), target)
	p.beginnings = p.limits.Engine.Beginnings(r.Work.Parts, target, f.reuse)
	return p
}

// obstacle says why an endpoint can't get a request now.
type obstacle int

const (
	none obstacle = iota
	notInService
	noSlot
	unclaimed
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

// assess says whether an endpoint may get a request, and at which cost. Only an explanation
// needs the cost of one that may not.
func (f *Fleet) assess(ep *Endpoint, p *placing, now time.Time) assessment {
	a := assessment{endpoint: ep, load: ep.load(now)}
	if a.obstacle = f.obstacleAt(&a, p, now); a.obstacle != none && !p.explain {
		return a
	}
	if len(p.beginnings) > 0 {
		a.held = ep.beginnings.Held(p.beginnings, f.reuse.Retention, a.room, now)
	}
	c := placement.Candidate{
		Slots: ep.Slots, Load: a.load, Unread: ep.unread(&p.limits.Engine, now), Held: a.held,
		FailureRate: ep.decayedFailureRate(now), OtherZone: ep.Zone != f.zone,
	}
	a.score = p.limits.Engine.Score(&c, &p.demand, f.reuse.Weight)
	a.cost = a.score.Total()
	switch {
	case now.Before(ep.backoffUntil):
		a.lastResort = inBackoff
	case ep.isSlow(now):
		a.lastResort = slow
	case ep.missesReports(now) && f.mostOthersReport(p, now):
		a.lastResort = silent
	}
	return a
}

// mostOthersReport is mostReport for the service of p, looked up once.
func (f *Fleet) mostOthersReport(p *placing, now time.Time) bool {
	if !p.mostReportKnown {
		p.mostReport, p.mostReportKnown = f.mostReport(p.request.Service, now), true
	}
	return p.mostReport
}

// obstacleAt says why the endpoint can't get the request now.
func (f *Fleet) obstacleAt(a *assessment, p *placing, now time.Time) obstacle {
	ep := a.endpoint
	if !f.usable(ep, p.request.Exclude, now) {
		return notInService
	}
	if p.explain {
		a.room = f.room(ep, p, now)
	}
	switch {
	case a.load >= f.roomAt(ep, p.room, p.limits, now):
		return noSlot
	case p.queued && !ep.mayClaim(now):
		return unclaimed
	case !f.belowConnectionLimit(ep, p.limits, now):
		return noConnection
	case !ep.testedSincePause():
		return untestedSincePause
	case !f.withinRateLimit(ep, p.limits, now):
		return coldLimit
	case !f.withinNamedLimit(ep, now):
		return namedLimit
	}
	if a.room = f.room(ep, p, now); p.demand.Tokens > a.room || !ep.memory.canHold(p.request) {
		return noMemory
	}
	return none
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
	known := placement.Memory{Total: m.total, Used: int(m.share * float64(m.total)), Slots: ep.Slots, Running: m.running, Waiting: m.waiting, Sent: m.sentSinceReport()}
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
	ep.memory.recordSent(p.demand.Tokens, now)
	if reading := p.limits.Engine.Tell(&pick.demand); reading > 0 && f.tellReading != nil && now.Sub(ep.agentReportAt) <= reportValidity {
		ep.reading.told += pick.demand.Prompt
		f.tellReading(ep.Record, reading)
	}
	if len(p.beginnings) > 0 {
		pick.beginnings = ep.beginnings.Begin(p.beginnings, p.demand.Tokens)
	}
}

// endWork undoes beginWork.
func (p *Pick) endWork(now time.Time) {
	ep := p.Endpoint
	p.endReading()
	ep.own.tokens -= p.demand.Tokens
	ep.memory.ended += p.demand.Tokens
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
