package quarantine

import (
	"cmp"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// crashesIfProven is the number of crashes at different moments, without an answer
	// between them, after which a part that was proven sound is held. A part that many
	// requests have is in most crashes, whatever causes them.
	crashesIfProven = 3
	// crashMoment is the time within which crashes count as one for a part that was proven
	// sound, and for the length of a hold: one cause beside the prompts, such as the loss of a
	// zone, ends many endpoints at once.
	crashMoment = time.Second
	// ambiguousHold is the hold if several parts may have caused a crash: all but one
	// of them are sound, and trials tell them apart.
	ambiguousHold = time.Second
	// firstHold is the hold if only one part may have caused its first crash, and
	// repeatedHold the hold if it is the only one again. A trial that fails costs a
	// rank group for seconds.
	firstHold    = time.Minute
	repeatedHold = 5 * time.Minute
	// provenHold is the first hold of a part that was proven sound. All prompts of a service
	// may have the part, so it is tried again within the time in which a service has to
	// recover. The hold doubles with each crash that follows, up to repeatedHold. It is longer
	// than the time for which a rank group stands after a crash.
	provenHold = 4 * time.Second
	// maxJitter is the factor by which a hold may be longer at one entry than at
	// another, so that entries don't all try a part at the same time.
	maxJitter = 2
	// maxHold is the longest hold.
	maxHold = maxJitter * repeatedHold
	// memory is the time for which a proof of soundness and a crash count.
	memory = 2 * maxHold
	// maxRestoredCrashes bounds the crashes that a record of a hold brings back; further ones
	// don't lengthen a hold.
	maxRestoredCrashes = crashesIfProven + 7
	// maxParts bounds the parts in memory. If there are more, those proven longest ago
	// are forgotten.
	maxParts = 4096
	// endedAttemptMemory is the time for which an attempt that ended without an answer
	// may still crash its endpoint: endpoints notice the closed connection late.
	endedAttemptMemory = 500 * time.Millisecond
	// trialRetryAfter is the time after which a request may return that was refused
	// because another one tries its part; by then its answer has begun or not.
	trialRetryAfter = time.Second
)

// ErrHeld ends an attempt whose prompt has a part that was held meanwhile.
var ErrHeld = errors.New("a part of the prompt is held because endpoints crashed on it; send the request without the part, or retry after the given time")

// partID identifies a part of a service's prompts.
type partID struct{ service, part string }

// part is what is known of one part.
type part struct {
	provenAt time.Time
	// crashes lists the crashes since the last answer, oldest first.
	crashes   []*crash
	heldUntil time.Time
	// trial is the attempt that tries the part after a hold, nil without one.
	trial *Attempt
	// waiting holds the attempts whose answer hasn't begun.
	waiting map[*Attempt]bool
}

// crash is one crash of an endpoint.
type crash struct {
	// restored is set if the crash is known from a record only.
	restored bool
	// at is when it became known here.
	at time.Time
	// parts are those of the requests whose answer hadn't begun.
	parts []partID
}

// forgotten reports whether the crash no longer counts.
func (c *crash) forgotten() bool { return time.Since(c.at) > memory }

// Tracker is an entry's knowledge of prompt parts. It is safe for concurrent use.
type Tracker struct {
	share  func(wire.QuarantineReport)
	jitter float64

	mu    sync.Mutex
	parts map[partID]*part
	// crashes holds the crashes by name.
	crashes map[string]*crash
	// ended lists the attempts of the last endedAttemptMemory that ended without an
	// answer or a rejection, oldest first.
	ended []endedAttempt
}

// endedAttempt is an attempt that ended before its answer began.
type endedAttempt struct {
	*Attempt
	at time.Time
}

// New returns a Tracker that knows no part. share is called with what other entries
// should learn; it must not block.
func New(share func(wire.QuarantineReport)) *Tracker {
	return &Tracker{share: share, jitter: 1 + rand.Float64()*(maxJitter-1), parts: make(map[partID]*part), crashes: make(map[string]*crash)}
}

// Attempt is a request's attempt at an endpoint.
type Attempt struct {
	tracker *Tracker
	ids     []partID
	// crashName is the name that a crash of the endpoint has.
	crashName string
	cancel    func(error)
	ended     bool
}

// Begin registers an attempt at an endpoint of a service with the given shared parts
// of its prompt. crashName is the name that a crash of the endpoint has in reports.
// cancel is called with ErrHeld if a part is held before the answer begins. If a part is
// held already, Begin returns nil and the time after which the request may return.
func (t *Tracker) Begin(service string, parts []string, crashName string, cancel func(error)) (*Attempt, time.Duration) {
	a, suspect, retryAfter := t.begin(service, parts, crashName, cancel)
	if suspect != "" {
		t.share(wire.QuarantineReport{Service: service, Trying: []string{suspect}})
	}
	return a, retryAfter
}

// begin is Begin. It returns the name of the part whose trial other entries must know, ""
// for none. Trials of one of several suspects aren't among them: the sooner the sound ones
// are answered, the fewer trials are of the one that crashes endpoints.
func (t *Tracker) begin(service string, parts []string, crashName string, cancel func(error)) (_ *Attempt, tried string, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := partIDs(service, parts)
	suspect, retryAfter := t.check(ids)
	if retryAfter > 0 {
		return nil, "", retryAfter
	}
	a := &Attempt{tracker: t, ids: ids, crashName: crashName, cancel: cancel}
	for _, id := range ids {
		t.part(id).waiting[a] = true
	}
	if suspect != nil {
		suspect.trial = a
		for _, id := range ids {
			if t.parts[id] == suspect && t.soleSuspect(suspect) {
				tried = id.part
			}
		}
	}
	return a, tried, 0
}

// soleSuspect reports whether a part is the only suspect of one of its crashes.
func (t *Tracker) soleSuspect(p *part) bool {
	return slices.ContainsFunc(p.crashes, func(c *crash) bool { return len(t.suspects(c)) <= 1 })
}

// RetryAfter returns the time after which a request with the given parts may return,
// 0 if it may be sent now.
func (t *Tracker) RetryAfter(service string, parts []string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, retryAfter := t.check(partIDs(service, parts))
	return retryAfter
}

// moments returns the number of crashes that a part was in, where those within crashMoment
// count as one.
func (p *part) moments() int {
	n := 0
	var began time.Time
	for _, c := range p.crashes {
		if n == 0 || c.at.Sub(began) >= crashMoment {
			n++
			began = c.at
		}
	}
	return n
}

// counted returns the number of crashes that count for holding the part.
func (p *part) counted() int {
	if p.proven() {
		return p.moments()
	}
	return len(p.crashes)
}

// proven reports whether the part was proven sound and that still counts.
func (p *part) proven() bool { return !p.provenAt.IsZero() && time.Since(p.provenAt) <= memory }

// check returns the part that a request would try, nil if none is suspect, or the time
// after which the request may return. A request with several suspect parts can't tell
// them apart.
func (t *Tracker) check(ids []partID) (suspect *part, retryAfter time.Duration) {
	now := time.Now()
	for _, id := range ids {
		p := t.parts[id]
		if p == nil || p.heldUntil.IsZero() {
			continue
		}
		switch {
		case now.Before(p.heldUntil):
			retryAfter = max(retryAfter, p.heldUntil.Sub(now))
		case p.trial != nil, suspect != nil:
			retryAfter = max(retryAfter, trialRetryAfter)
		}
		suspect = p
	}
	return suspect, retryAfter
}

func partIDs(service string, parts []string) []partID {
	ids := make([]partID, 0, len(parts))
	for _, name := range parts {
		if id := (partID{service, name}); !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// part returns what is known of a part, and adds it if it is unknown.
func (t *Tracker) part(id partID) *part {
	p := t.parts[id]
	if p == nil {
		if len(t.parts) >= maxParts {
			t.prune()
		}
		p = &part{waiting: make(map[*Attempt]bool)}
		t.parts[id] = p
	}
	return p
}

// prune forgets what no longer counts, and then the parts proven longest ago, until a
// quarter of the parts is free.
func (t *Tracker) prune() {
	var idle []partID
	for id, p := range t.parts {
		p.crashes = slices.DeleteFunc(p.crashes, (*crash).forgotten)
		if len(p.crashes) == 0 && len(p.waiting) == 0 {
			idle = append(idle, id)
		}
	}
	slices.SortFunc(idle, func(a, b partID) int { return t.parts[a].provenAt.Compare(t.parts[b].provenAt) })
	for _, id := range idle[:min(len(idle), maxParts/4)] {
		delete(t.parts, id)
	}
}

// Began records that the answer to the attempt has begun: its parts are sound.
func (a *Attempt) Began() {
	t := a.tracker
	t.mu.Lock()
	var cleared []string
	for _, id := range a.ids {
		if t.recordAnswer(id) {
			cleared = append(cleared, id.part)
		}
	}
	service := ""
	if len(a.ids) > 0 {
		service = a.ids[0].service
	}
	a.end()
	t.mu.Unlock()
	if len(cleared) > 0 {
		t.share(wire.QuarantineReport{Service: service, Answered: cleared})
	}
}

// Rejected ends the attempt: the endpoint didn't run it.
func (a *Attempt) Rejected() {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.end()
}

// End ends the attempt without a result. It has no effect after another call that ended
// the attempt.
func (a *Attempt) End() {
	t := a.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.ended || len(a.ids) == 0 {
		return
	}
	a.end()
	t.forgetEnded()
	t.ended = append(t.ended, endedAttempt{a, time.Now()})
}

// forgetEnded removes the attempts that ended too long ago to have caused a crash.
func (t *Tracker) forgetEnded() {
	t.ended = slices.DeleteFunc(t.ended, func(e endedAttempt) bool { return time.Since(e.at) > endedAttemptMemory })
}

// end removes the attempt from its parts. The caller holds the tracker's lock.
func (a *Attempt) end() {
	if a.ended {
		return
	}
	a.ended = true
	for _, id := range a.ids {
		p := a.tracker.part(id)
		delete(p.waiting, a)
		if p.trial == a {
			p.trial = nil
		}
	}
}

// recordAnswer records an answer to a prompt with a part and reports whether the part
// had been in a crash since its last answer.
func (t *Tracker) recordAnswer(id partID) bool {
	p := t.part(id)
	p.provenAt = time.Now()
	crashes := p.crashes
	p.crashes, p.heldUntil = nil, time.Time{}
	for _, c := range crashes {
		t.assess(c)
	}
	return len(crashes) > 0
}

// Suspected reports whether a crash may be due to one of the parts: the request must
// not be sent to another endpoint before it is known whether its endpoint crashed.
func (t *Tracker) Suspected(service string, parts []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range partIDs(service, parts) {
		if p := t.parts[id]; p == nil || p.counted()+1 >= p.crashesToHold() {
			return true
		}
	}
	return false
}

// crashesToHold returns the number of crashes after which the part is held.
func (p *part) crashesToHold() int {
	if p.proven() {
		return crashesIfProven
	}
	return 1
}

// ReportCrash records that an endpoint crashed before the answer to a prompt with the
// given parts began, and shares it. name identifies the crash; other requests may be in
// it.
func (t *Tracker) ReportCrash(name, service string, parts []string) {
	r := wire.QuarantineReport{Service: service, Crash: name, Parts: parts}
	t.Receive(r)
	t.share(r)
}

// Receive records what another entry shared. It returns the parts of the report's crash
// that are proven sound here.
func (t *Tracker) Receive(r wire.QuarantineReport) (proven []string) {
	proven, own := t.receive(r)
	if len(own) > 0 {
		t.share(wire.QuarantineReport{Service: r.Service, Crash: r.Crash, Parts: own})
	}
	return proven
}

// receive records a report. own lists further parts that this entry adds to its crash:
// those of attempts that ended here just before.
func (t *Tracker) receive(r wire.QuarantineReport) (proven, own []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range partIDs(r.Service, r.Answered) {
		t.recordAnswer(id)
	}
	for _, id := range partIDs(r.Service, r.Proven) {
		t.recordProven(id)
	}
	for _, id := range partIDs(r.Service, r.Trying) {
		t.recordTrial(id)
	}
	if r.Crash == "" {
		return nil, nil
	}
	c := t.crashes[r.Crash]
	if c == nil {
		t.forgetCrashes()
		c = &crash{at: time.Now()}
		t.crashes[r.Crash] = c
	}
	for _, id := range partIDs(r.Service, r.Parts) {
		if t.part(id).proven() {
			proven = append(proven, id.part)
		}
		t.addToCrash(c, id)
	}
	t.forgetEnded()
	for _, e := range t.ended {
		for _, id := range e.ids {
			if e.crashName == r.Crash && t.addToCrash(c, id) {
				own = append(own, id.part)
			}
		}
	}
	t.assessAll(c)
	return proven, own
}

// forgetCrashes removes the crashes that no longer count.
func (t *Tracker) forgetCrashes() {
	maps.DeleteFunc(t.crashes, func(_ string, c *crash) bool { return c.forgotten() })
}

// addToCrash adds a part to a crash and reports whether it is new there.
func (t *Tracker) addToCrash(c *crash, id partID) bool {
	if slices.Contains(c.parts, id) {
		return false
	}
	p := t.part(id)
	p.addCrashes(c)
	c.parts = append(c.parts, id)
	return true
}

// addCrashes adds crashes to those of the part, oldest first.
func (p *part) addCrashes(crashes ...*crash) {
	p.crashes = append(slices.DeleteFunc(p.crashes, (*crash).forgotten), crashes...)
	slices.SortStableFunc(p.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
}

// recordProven records that a part is proven sound at another entry, by an answer from
// before its last crash.
func (t *Tracker) recordProven(id partID) {
	p := t.part(id)
	if p.proven() {
		return
	}
	p.provenAt = time.Now()
	for _, c := range p.crashes {
		t.assess(c)
	}
}

// recordTrial records that another entry tries a part: until its answer has begun or not,
// requests from here would only crash further endpoints.
func (t *Tracker) recordTrial(id partID) {
	p := t.parts[id]
	if p == nil || p.heldUntil.IsZero() || p.trial != nil {
		return
	}
	if until := time.Now().Add(trialRetryAfter); until.After(p.heldUntil) {
		p.heldUntil = until
	}
}

// suspects returns the parts that may have caused a crash: of those with enough crashes
// to be held, those with the most beyond that.
func (t *Tracker) suspects(c *crash) []*part {
	var suspects []*part
	most := 0
	for _, id := range c.parts {
		p := t.part(id)
		excess := p.counted() - p.crashesToHold()
		if excess < most {
			continue
		}
		if excess > most {
			most, suspects = excess, nil
		}
		suspects = append(suspects, p)
	}
	return suspects
}

// assessAll assesses a crash and the other crashes of its parts, whose suspects may have
// changed. The caller holds mu.
func (t *Tracker) assessAll(c *crash) {
	crashes := map[*crash]bool{c: true}
	for _, id := range c.parts {
		for _, other := range t.part(id).crashes {
			crashes[other] = true
		}
	}
	for c := range crashes {
		t.assess(c)
	}
}

// assess holds the parts that may have caused a crash, and releases those of its parts
// that are no longer suspect. The caller holds mu.
func (t *Tracker) assess(c *crash) {
	for _, id := range c.parts {
		p := t.part(id)
		p.heldUntil = time.Time{}
		for _, c := range p.crashes {
			suspects := t.suspects(c)
			if len(c.parts) > 0 && !slices.Contains(suspects, p) {
				continue
			}
			hold := p.unambiguousHold()
			if len(suspects) > 1 {
				hold = ambiguousHold
			} else if !p.proven() {
				p.cancelWaiting() // answers to attempts with a part that was sound may prove it again
			}
			if until := c.at.Add(time.Duration(t.jitter * float64(hold))); until.After(p.heldUntil) {
				p.heldUntil = until
			}
		}
	}
}

// cancelWaiting ends the attempts whose answer hasn't begun.
func (p *part) cancelWaiting() {
	for a := range p.waiting {
		a.cancel(ErrHeld)
	}
}

// unambiguousHold returns the hold if the part alone may have caused a crash.
func (p *part) unambiguousHold() time.Duration {
	further := p.moments() - p.crashesToHold()
	if p.proven() {
		const doublings = 7 // 4 s doubled seven times exceed repeatedHold
		return min(provenHold<<min(max(further, 0), doublings), repeatedHold)
	}
	if further > 0 {
		return repeatedHold
	}
	return firstHold
}

// Hold is a part that is held because it alone may have caused a crash.
type Hold struct {
	Service, Part string
	// Crashes is the number of crashes at different moments since the last answer.
	Crashes int
	// Proven is set if the part was proven sound before.
	Proven bool
	// Age is the time since the last crash, Remaining the time until a request may try
	// the part.
	Age, Remaining time.Duration
}

// Holds returns the holds that are longer than those of ambiguous crashes.
func (t *Tracker) Holds() []Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	var holds []Hold
	for id, p := range t.parts {
		if remaining := time.Until(p.heldUntil); remaining > maxJitter*ambiguousHold {
			last := p.crashes[len(p.crashes)-1]
			holds = append(holds, Hold{Service: id.service, Part: id.part, Crashes: p.moments(), Proven: p.proven(), Age: time.Since(last.at), Remaining: remaining})
		}
	}
	slices.SortFunc(holds, func(a, b Hold) int { return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Part, b.Part)) })
	return holds
}

// Crash is a crash that became known lately.
type Crash struct {
	Name, Service string
	// Suspects are the parts that may have caused it, in order.
	Suspects []string
	// Age is the time since it became known here.
	Age time.Duration
	// Restored is set if it is known from a record only.
	Restored bool
}

// SuspectMemory is the time for which entries that start learn the suspects of a crash.
const SuspectMemory = firstHold

// Crashes returns the crashes that became known within SuspectMemory.
func (t *Tracker) Crashes() []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var crashes []Crash
	for name, c := range t.crashes {
		if time.Since(c.at) > SuspectMemory || len(c.parts) == 0 {
			continue
		}
		suspects := t.suspects(c)
		known := Crash{Name: name, Service: c.parts[0].service, Age: time.Since(c.at), Restored: c.restored}
		for _, id := range c.parts {
			if slices.Contains(suspects, t.parts[id]) {
				known.Suspects = append(known.Suspects, id.part)
			}
		}
		slices.Sort(known.Suspects)
		crashes = append(crashes, known)
	}
	slices.SortFunc(crashes, func(a, b Crash) int { return cmp.Compare(a.Name, b.Name) })
	return crashes
}

// RestoreSuspects records the parts that may have caused a crash, according to another entry
// or to this one before a restart: prompts with several of them can't tell them apart. It
// has no effect on parts that are proven sound here.
func (t *Tracker) RestoreSuspects(service, name string, parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.crashes[name]
	if c == nil {
		t.forgetCrashes()
		c = &crash{restored: true, at: time.Now()}
		t.crashes[name] = c
	}
	added := false
	for _, id := range partIDs(service, parts) {
		if !t.part(id).proven() && t.addToCrash(c, id) {
			added = true
		}
	}
	if added {
		t.assessAll(c)
	}
}

// Unproven returns those of the given parts that are not proven sound here.
func (t *Tracker) Unproven(service string, parts []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unproven []string
	for _, id := range partIDs(service, parts) {
		if p := t.parts[id]; p == nil || !p.proven() {
			unproven = append(unproven, id.part)
		}
	}
	return unproven
}

// Restore holds a part that another entry, or this one before a restart, held after crashes
// at the given number of moments. It has no effect on a part of which more is known here
// than RestoreSuspects says.
func (t *Tracker) Restore(service, name string, crashes int, proven bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.part(partID{service, name})
	known := func(c *crash) bool { return !c.restored }
	if crashes <= 0 || !p.provenAt.IsZero() || slices.ContainsFunc(p.crashes, known) {
		return
	}
	now := time.Now()
	crashes = min(crashes, maxRestoredCrashes)
	for i := range crashes {
		p.addCrashes(&crash{at: now.Add(-time.Duration(i) * crashMoment)})
	}
	if proven {
		p.provenAt = p.crashes[0].at
	}
	p.heldUntil = now.Add(time.Duration(t.jitter * float64(p.unambiguousHold())))
	if !proven {
		p.cancelWaiting()
	}
}
