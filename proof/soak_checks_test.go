package proof

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
)

// checkResult is the result of the check of one guarantee.
type checkResult struct {
	guarantee string
	// caseCount is the number of cases to which the guarantee applied.
	caseCount  int
	violations []violation
}

// violation is one violation of a guarantee; requestID is empty if no single
// request is concerned.
type violation struct {
	requestID, description string
}

func (r *checkResult) addViolation(requestID, format string, args ...any) {
	r.violations = append(r.violations, violation{requestID, fmt.Sprintf(format, args...)})
}

// observations are what callers and endpoints observed in one run.
type observations struct {
	*soak
	requests []*request
	// arrivals are the requests that reached an endpoint. Only those whose target is
	// that endpoint count as work; it rejects requests for another with status 421.
	arrivals    []platformsim.Arrival
	requestByID map[string]*request
}

// serviceOf maps the class of a caller's request to the service that serves it.
var serviceOf = map[string]string{"draft": "model", "order": "desk", "lookup": "desk"}

// checkGuarantees checks all guarantees against what callers observed and what the
// ledger recorded, the requests that endpoints received and ran. recovered is how
// long it took after the last fault until callers were served, negative if they
// weren't.
func checkGuarantees(s *soak, requests []*request, recovered time.Duration) []*checkResult {
	o := &observations{soak: s, requests: requests, arrivals: s.ledger.Arrivals(), requestByID: map[string]*request{}}
	for _, a := range requests {
		o.requestByID[a.id] = a
	}
	out := []*checkResult{o.responseDefects(), o.ordersRunOnce(), o.refusedOrdersNotRun(), o.oneMapPerStep(), o.zonesOut(), o.keysEnforced(),
		o.drainingEndpoints(), o.leavingEndpoints(), o.pausesKept(), o.coldEndpoints(), o.rateLimitsKept(), o.retries(), o.gracefulStops(), o.timeouts(), o.onlySentRequestsArrive(), o.memoryKept()}
	recovery := &checkResult{guarantee: "callers are served after the faults", caseCount: 1}
	if recovered < 0 {
		recovery.addViolation("", "not within %v", soakRecoveryBound)
	}
	exits := &checkResult{guarantee: "processes exit only when asked", caseCount: len(s.nodes)}
	for _, p := range s.processFailures {
		exits.addViolation("", "%s", p)
	}
	return append(out, recovery, exits)
}

// responseDefects checks that callers get no defective response, such as one to
// another request or a truncated one that ends as if it were complete. A lost
// connection is no violation.
func (o *observations) responseDefects() *checkResult {
	r := &checkResult{guarantee: "no defective response", caseCount: len(o.requests)}
	for _, a := range o.requests {
		if a.defect != "" {
			r.addViolation(a.id, "%s", a.defect)
		}
	}
	return r
}

func (o *observations) ordersRunOnce() *checkResult {
	r := &checkResult{guarantee: "order runs at most once"}
	for _, a := range o.requests {
		if a.class != "order" {
			continue
		}
		r.caseCount++
		if runs := o.ledger.Runs(a.id); len(runs) > 1 {
			r.addViolation(a.id, "it ran at %s and %s", runs[0].EndpointID, runs[1].EndpointID)
		}
	}
	return r
}

// notRunStatuses are the HTTP statuses that guarantee that a request has not run.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

func (o *observations) refusedOrdersNotRun() *checkResult {
	r := &checkResult{guarantee: "refused order has not run"}
	for _, a := range o.requests {
		if a.class != "order" || !slices.Contains(notRunStatuses, a.status) {
			continue
		}
		r.caseCount++
		if len(o.ledger.Runs(a.id)) > 0 {
			r.addViolation(a.id, "status %d, but it ran", a.status)
		}
	}
	return r
}

// oneMapPerStep checks that the ranks of a group never execute one step with
// different expert maps. Each rank of each map switch is a case.
func (o *observations) oneMapPerStep() *checkResult {
	r := &checkResult{guarantee: "one expert map per engine step"}
	for _, g := range o.groups {
		g.RankSim.Lock()
		r.caseCount += g.RankSim.RankSwitches
		if g.RankSim.MapMismatch != "" {
			r.addViolation("", "%s", g.RankSim.MapMismatch)
		}
		g.RankSim.Unlock()
	}
	return r
}

// isStable reports whether an entry was undisturbed for at least soakStableTime
// before at, so that time bounds hold for it.
func (o *observations) isStable(entry string, at time.Time) bool {
	return entry != "" && o.undisturbed(entry, at, at)
}

// zonesOut checks that no stable entry sends a request to a zone that has been out
// of service for longer than soakZoneOutBound. Its cases are the requests that
// reached other zones meanwhile, which show that there was traffic.
func (o *observations) zonesOut() *checkResult {
	r := &checkResult{guarantee: "zone out of service gets no new work"}
	for _, a := range o.arrivals {
		for _, out := range o.zoneOuts {
			pastBound := a.At.After(out.from.Add(soakZoneOutBound)) && (out.to.IsZero() || a.At.Before(out.to))
			if a.Zone != out.zone && pastBound {
				r.caseCount++
			}
			if a.Zone == out.zone && pastBound && a.Target == a.EndpointID && o.isStable(o.entryByIP(a.SourceIP), a.At) {
				r.addViolation(a.RequestID, "%s got it %v after zone %s was taken out of service", a.EndpointID, a.At.Sub(out.from), out.zone)
			}
		}
	}
	return r
}

// configsDuring returns the configurations that may have been in force while a
// request was in progress. A configuration may stay in force until
// soakConfigBound after the next one was written.
func (o *observations) configsDuring(a *request) []configChange {
	var out []configChange
	for i, c := range o.configs {
		if c.at.After(a.ended) {
			break
		}
		if last := i == len(o.configs)-1; last || o.configs[i+1].at.Add(soakConfigBound).After(a.sent) {
			out = append(out, c)
		}
	}
	return out
}

// keysEnforced checks that a request runs only for the organisation of its key.
// For requests to stable entries it also checks that none with a removed key runs, not
// even on the route that allows anonymous requests, and none with a valid key gets status
// 401, 403 or 404.
func (o *observations) keysEnforced() *checkResult {
	r := &checkResult{guarantee: "API keys enforced as configured"}
	owner := map[string]string{}
	for _, c := range o.configs {
		for key, name := range c.keys {
			owner[key] = name
		}
	}
	for _, a := range o.requests {
		runs := o.ledger.Runs(a.id)
		for _, run := range runs {
			if run.Organisation != owner[a.apiKey] {
				r.addViolation(a.id, "it ran for %q, its key belongs to %q", run.Organisation, owner[a.apiKey])
			}
		}
		if !o.isStable(a.entry, a.sent) {
			continue
		}
		r.caseCount++
		allowed, denied := true, true
		for _, c := range o.configsDuring(a) {
			_, ok := c.keys[a.apiKey]
			allowed, denied = allowed && ok, denied && !ok
		}
		if denied && len(runs) > 0 {
			r.addViolation(a.id, "it ran with %s, which had been removed", a.apiKey)
		}
		if allowed && (a.status == http.StatusUnauthorized || a.status == http.StatusNotFound || a.status == http.StatusForbidden) {
			r.addViolation(a.id, "status %d with %s, which all configurations allow", a.status, a.apiKey)
		}
	}
	return r
}

// drainingEndpoints checks that no stable entry sends a request to an endpoint that
// began to drain more than soakDrainBound earlier. Each drain is a case.
func (o *observations) drainingEndpoints() *checkResult {
	r := &checkResult{guarantee: "draining endpoint gets no new work", caseCount: len(o.drainStarts)}
	for _, a := range o.arrivals {
		for _, d := range o.drainStarts {
			if a.EndpointID == d.endpoint && a.Target == a.EndpointID && a.At.After(d.at.Add(soakDrainBound)) && o.isStable(o.entryByIP(a.SourceIP), a.At) {
				r.addViolation(a.RequestID, "%s got it %v after it began to drain", a.EndpointID, a.At.Sub(d.at))
			}
		}
	}
	return r
}

// leavingEndpoints checks that no stable entry sends a request to an endpoint that first
// said more than soakDrainBound earlier that it leaves, to whichever process. Each such
// endpoint is a case.
func (o *observations) leavingEndpoints() *checkResult {
	left := o.ledger.LeftSince()
	r := &checkResult{guarantee: "leaving endpoint gets no new work", caseCount: len(left)}
	for _, a := range o.arrivals {
		since, ok := left[a.EndpointID]
		if ok && a.Target == a.EndpointID && a.At.After(since.Add(soakDrainBound)) && o.isStable(o.entryByIP(a.SourceIP), a.At) {
			r.addViolation(a.RequestID, "%s got it %v after it said that it leaves", a.EndpointID, a.At.Sub(since))
		}
	}
	return r
}

const (
	// soakPauseSettleTime is the time from a rejection that asks for a pause until the
	// pause is kept. From then on, at most soakPauseSlack requests may follow.
	soakPauseSettleTime = 500 * time.Millisecond
	soakPauseSlack      = 2
)

// pausesKept checks that no entry that is stable during a pause sends more than
// soakPauseSlack requests to the endpoint that asked this entry for it. Each pause that
// outlasts soakPauseSettleTime is a case.
func (o *observations) pausesKept() *checkResult {
	r := &checkResult{guarantee: "pause that an endpoint asks for is kept"}
	for _, p := range o.ledger.Pauses() {
		from := p.From.Add(soakPauseSettleTime)
		if !from.Before(p.To) {
			continue
		}
		r.caseCount++
		n := 0
		for _, a := range o.arrivals {
			if a.EndpointID != p.EndpointID || a.SourceIP != p.SourceIP || a.Target != a.EndpointID || a.At.Before(from) || a.At.After(p.To) || !o.isStable(o.entryByIP(a.SourceIP), a.At) {
				continue
			}
			if n++; n > soakPauseSlack {
				r.addViolation(a.RequestID, "%s got it %v after it asked for a pause of %v", a.EndpointID, a.At.Sub(p.From), p.To.Sub(p.From))
			}
		}
	}
	return r
}

// coldEndpoints checks the bound of the settings on the requests to a cold endpoint
// within one second: the rate that it sustains times the burst factor, plus the
// burst slack. Only the endpoints of "model" start cold.
func (o *observations) coldEndpoints() *checkResult {
	r := &checkResult{guarantee: "cold endpoint not overloaded"}
	limit := int(soakColdRate*soakColdBurstFactor + soakColdBurstSlack)
	recent := map[string][]time.Time{}
	for _, a := range o.arrivals {
		if !a.Cold || a.Service != "model" || a.Target != a.EndpointID {
			continue
		}
		r.caseCount++
		times := slices.DeleteFunc(recent[a.EndpointID], func(t time.Time) bool { return a.At.Sub(t) > time.Second })
		recent[a.EndpointID] = append(times, a.At)
		if n := len(recent[a.EndpointID]); n > limit {
			r.addViolation(a.RequestID, "%s got %d requests in a second, the limit is %d", a.EndpointID, n, limit)
		}
	}
	return r
}

const (
	// soakLimitSettleTime is the time from an endpoint's naming a rate limit until it is
	// enforced. From then on, at most soakLimitFactor times the limit plus
	// soakLimitSlack requests may reach the endpoint within any soakLimitWindow.
	soakLimitSettleTime = 3 * time.Second
	soakLimitWindow     = 4 * time.Second
	soakLimitFactor     = 1.5
	soakLimitSlack      = 5
)

// rateLimitsKept checks that the entries that are stable send no more requests to an
// endpoint than the rate limit that it names allows.
func (o *observations) rateLimitsKept() *checkResult {
	r := &checkResult{guarantee: "named rate limit not exceeded"}
	for _, l := range o.rateLimits {
		allowed := int(soakLimitFactor*l.perSecond*soakLimitWindow.Seconds() + soakLimitSlack)
		var recent []time.Time
		for _, a := range o.arrivals {
			entry := o.entryByIP(a.SourceIP)
			if a.EndpointID != l.endpoint || a.Target != a.EndpointID || a.At.Before(l.from.Add(soakLimitSettleTime)) || a.At.After(l.to) || !o.isStable(entry, a.At) {
				continue
			}
			r.caseCount++
			recent = append(slices.DeleteFunc(recent, func(t time.Time) bool { return a.At.Sub(t) > soakLimitWindow }), a.At)
			if len(recent) > allowed {
				r.addViolation(a.RequestID, "%s got %d requests in %v, its limit of %v a second allows %d", a.EndpointID, len(recent), soakLimitWindow, l.perSecond, allowed)
			}
		}
	}
	return r
}

// retries checks the retry budget of each service. Every arrival of a request after
// its first counts as a retry. For each retry, the retries in the soakRetryWindow
// that ends with it are bounded by soakRetryRatio for each request that callers sent,
// plus soakRetrySlack. The requests are counted in the same window and in the windows
// that end half a window and a whole window earlier; the largest count applies.
func (o *observations) retries() *checkResult {
	r := &checkResult{guarantee: "retries within the retry budget"}
	for _, service := range []string{"model", "desk"} {
		var retryTimes, sentTimes []time.Time
		seen := map[string]bool{}
		for _, a := range o.arrivals {
			if a.Service != service {
				continue
			}
			if seen[a.RequestID] {
				retryTimes = append(retryTimes, a.At)
			}
			seen[a.RequestID] = true
		}
		for _, a := range o.requests {
			if serviceOf[a.class] == service {
				sentTimes = append(sentTimes, a.sent)
			}
		}
		r.caseCount += len(retryTimes)
		for _, end := range retryTimes {
			n := countBetween(retryTimes, end.Add(-soakRetryWindow), end)
			most := max(countBetween(sentTimes, end.Add(-soakRetryWindow), end), countBetween(sentTimes, end.Add(-2*soakRetryWindow), end.Add(-soakRetryWindow)),
				countBetween(sentTimes, end.Add(-3*soakRetryWindow/2), end.Add(-soakRetryWindow/2)))
			if limit := soakRetryRatio*float64(most) + soakRetrySlack; float64(n) > limit {
				r.addViolation("", "%d retries to %s in %v, the limit is %.0f", n, service, soakRetryWindow, limit)
				break
			}
		}
	}
	return r
}

// countBetween counts the times after from, up to and including to.
func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

const (
	// gracefulSendWindow is the time after SIGTERM within which an entry must not abort
	// requests that callers send to it, since they end before it exits.
	gracefulSendWindow = soakGracePeriod * 3 / 8
	// lateSendStart is the time after SIGTERM from which on an entry refuses requests that
	// may not end before it exits, so that again it aborts none. A busy entry gets the
	// signal late.
	lateSendStart = soakGracePeriod * 5 / 8
)

// mayAbort reports whether an entry that gets SIGTERM at a time may abort a request that
// was sent at another.
func mayAbort(stopped, sent time.Time) bool {
	after := sent.Sub(stopped)
	return after > gracefulSendWindow && after < lateSendStart || after > soakGracePeriod
}

// gracefulStops checks that a graceful stop aborts no request. It is no violation if
// the caller finds, within soakConnLossDetection after it sent the request, that the
// connection has ended, and the request has not run: the entry may have closed an
// idle connection just before.
func (o *observations) gracefulStops() *checkResult {
	r := &checkResult{guarantee: "graceful stop aborts no request"}
	for _, a := range o.requests {
		for _, stop := range o.plannedStops {
			if stop.node != a.entry || mayAbort(stop.from, a.sent) || a.ended.Before(stop.from) || !o.noFaultNear(a) {
				continue
			}
			r.caseCount++
			took := a.ended.Sub(a.sent)
			ran := len(o.ledger.Runs(a.id)) > 0
			if a.incomplete && a.mayHaveArrived && took < callerTimeout && (ran || took > soakConnLossDetection) {
				r.addViolation(a.id, "its connection ended after %v, %v after SIGTERM", took, a.ended.Sub(stop.from))
			}
		}
	}
	return r
}

// noFaultNear reports whether no fault of any process or endpoint was in force while
// a request ran or within soakStableTime before it.
func (o *observations) noFaultNear(a *request) bool {
	for _, d := range o.faults {
		if d.from.Before(a.ended) && (d.to.IsZero() || d.to.Add(soakStableTime).After(a.sent)) {
			return false
		}
	}
	return true
}

// minOverdue is the least number of overdue requests at which the guarantee of
// timeouts counts as violated; fewer are tolerated.
const minOverdue = 8

// timeouts checks that requests of the classes "order" and "lookup" to undisturbed
// entries get their complete response within the timeout of their routes, 1500 ms.
// A request that takes half a second longer is overdue. The guarantee is violated if
// at least minOverdue requests, and more than half of those that exceeded the
// timeout, are overdue. Class "draft" is left out: its callers give up before the
// route's timeout.
func (o *observations) timeouts() *checkResult {
	r := &checkResult{guarantee: "response within the route's timeout"}
	timedOut, overdue := 0, 0
	example := ""
	for _, a := range o.requests {
		if a.class == "draft" || !o.undisturbed(a.entry, a.sent, a.ended) {
			continue
		}
		r.caseCount++
		const limit = 1500 * time.Millisecond // timeout_ms of the routes in writeConfig
		if took := a.ended.Sub(a.sent); took > limit {
			timedOut++
			if took > limit+500*time.Millisecond {
				overdue++
				example = a.id
			}
		}
	}
	if overdue >= minOverdue && 2*overdue > timedOut {
		r.addViolation(example, "%d of %d requests that reached their timeout had no complete response half a second later", overdue, timedOut)
	}
	return r
}

// onlySentRequestsArrive checks that each request that reached an endpoint was sent
// by a caller.
func (o *observations) onlySentRequestsArrive() *checkResult {
	r := &checkResult{guarantee: "only callers' requests reach endpoints", caseCount: len(o.arrivals)}
	for _, a := range o.arrivals {
		if o.requestByID[a.RequestID] == nil {
			r.addViolation(a.RequestID, "no caller sent it")
		}
	}
	return r
}
