package proof

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
)

// verdict is the result of the check of one guarantee.
type verdict struct {
	guarantee string
	// caseCount is the number of cases to which the guarantee applied.
	caseCount  int
	violations []violation
}

// violation is one violation of a guarantee; request is the ID of the request
// concerned, empty if there is none.
type violation struct {
	request, description string
}

func (v *verdict) addViolation(request, format string, args ...any) {
	v.violations = append(v.violations, violation{request, fmt.Sprintf(format, args...)})
}

// observations are what callers and endpoints observed in one run.
type observations struct {
	*soak
	attempts []*attempt
	// arrivals are the requests that reached an endpoint. Only those whose target is
	// that endpoint count as work; it rejects requests for another with status 421.
	arrivals    []platformsim.Arrival
	attemptByID map[string]*attempt
}

var serviceOf = map[string]string{"draft": "model", "order": "desk", "lookup": "desk"}

// judge checks all guarantees. recovered is how long it took after the last fault
// until callers were served, negative if they weren't.
func judge(s *soak, attempts []*attempt, recovered time.Duration) []*verdict {
	o := &observations{soak: s, attempts: attempts, arrivals: s.ledger.Arrivals(), attemptByID: map[string]*attempt{}}
	for _, a := range attempts {
		o.attemptByID[a.id] = a
	}
	out := []*verdict{o.completeResponses(), o.ordersRunOnce(), o.refusedOrdersNotRun(), o.oneMapPerStep(), o.zonesOut(), o.keysEnforced(),
		o.drainingEndpoints(), o.coldEndpoints(), o.retries(), o.gracefulStops(), o.timeouts(), o.onlySentRequestsRun()}
	recovery := &verdict{guarantee: "callers are served after the faults", caseCount: 1}
	if recovered < 0 {
		recovery.addViolation("", "not within %v", soakRecoveryBound)
	}
	exits := &verdict{guarantee: "processes exit only when asked", caseCount: len(s.nodes)}
	for _, p := range s.processFailures {
		exits.addViolation("", "%s", p)
	}
	return append(out, recovery, exits)
}

func (o *observations) completeResponses() *verdict {
	v := &verdict{guarantee: "complete response to the right request", caseCount: len(o.attempts)}
	for _, a := range o.attempts {
		if a.defect != "" {
			v.addViolation(a.id, "%s", a.defect)
		}
	}
	return v
}

func (o *observations) ordersRunOnce() *verdict {
	v := &verdict{guarantee: "order runs at most once"}
	for _, a := range o.attempts {
		if a.class != "order" {
			continue
		}
		v.caseCount++
		if runs := o.ledger.Runs(a.id); len(runs) > 1 {
			v.addViolation(a.id, "it ran at %s and %s", runs[0].EndpointID, runs[1].EndpointID)
		}
	}
	return v
}

// notRunStatuses are the HTTP statuses that guarantee that a request has not run.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

func (o *observations) refusedOrdersNotRun() *verdict {
	v := &verdict{guarantee: "refused order has not run"}
	for _, a := range o.attempts {
		if a.class != "order" || !slices.Contains(notRunStatuses, a.status) {
			continue
		}
		v.caseCount++
		if len(o.ledger.Runs(a.id)) > 0 {
			v.addViolation(a.id, "status %d, but it ran", a.status)
		}
	}
	return v
}

func (o *observations) oneMapPerStep() *verdict {
	v := &verdict{guarantee: "one expert map per engine step"}
	for _, g := range o.groups {
		g.RankSim.Lock()
		v.caseCount += g.RankSim.RankSwitches
		if g.RankSim.MapMismatch != "" {
			v.addViolation("", "%s", g.RankSim.MapMismatch)
		}
		g.RankSim.Unlock()
	}
	return v
}

// isStable reports whether an entry was undisturbed for at least soakStableTime
// before at, so that time bounds hold for it.
func (o *observations) isStable(entry string, at time.Time) bool {
	return entry != "" && o.undisturbed(entry, at, at)
}

// zonesOut checks that no stable entry sends a request to a zone that has been out
// of service for longer than the bound.
func (o *observations) zonesOut() *verdict {
	v := &verdict{guarantee: "zone out of service gets no new work"}
	for _, a := range o.arrivals {
		for _, out := range o.zoneOuts {
			pastBound := a.At.After(out.from.Add(soakZoneOutBound)) && (out.to.IsZero() || a.At.Before(out.to))
			if a.Zone != out.zone && pastBound {
				v.caseCount++
			}
			if a.Zone == out.zone && pastBound && a.Target == a.EndpointID && o.isStable(o.entryByIP(a.SourceIP), a.At) {
				v.addViolation(a.RequestID, "%s got it %v after zone %s was taken out of service", a.EndpointID, a.At.Sub(out.from), out.zone)
			}
		}
	}
	return v
}

// keysAt returns the configurations that may have been in force while a request ran.
// A configuration may stay in force until soakConfigBound after the next one.
func (o *observations) keysAt(a *attempt) []configChange {
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

// keysEnforced checks that a request runs only for the organisation of its key, and
// that a removed key is refused and a valid one accepted.
func (o *observations) keysEnforced() *verdict {
	v := &verdict{guarantee: "API keys enforced as configured"}
	owner := map[string]string{}
	for _, c := range o.configs {
		for key, name := range c.keys {
			owner[key] = name
		}
	}
	for _, a := range o.attempts {
		runs := o.ledger.Runs(a.id)
		for _, run := range runs {
			if run.Organisation != owner[a.apiKey] {
				v.addViolation(a.id, "it ran for %q, its key belongs to %q", run.Organisation, owner[a.apiKey])
			}
		}
		if !o.isStable(a.entry, a.sent) {
			continue
		}
		v.caseCount++
		allowed, denied := true, true
		for _, c := range o.keysAt(a) {
			_, ok := c.keys[a.apiKey]
			allowed, denied = allowed && ok, denied && !ok
		}
		if denied && len(runs) > 0 {
			v.addViolation(a.id, "it ran with %s, which had been removed", a.apiKey)
		}
		if allowed && (a.status == http.StatusUnauthorized || a.status == http.StatusNotFound || a.status == http.StatusForbidden) {
			v.addViolation(a.id, "status %d with %s, which all configurations allow", a.status, a.apiKey)
		}
	}
	return v
}

func (o *observations) drainingEndpoints() *verdict {
	v := &verdict{guarantee: "draining endpoint gets no new work", caseCount: len(o.drainStarts)}
	for _, a := range o.arrivals {
		for _, d := range o.drainStarts {
			if a.EndpointID == d.endpoint && a.Target == a.EndpointID && a.At.After(d.at.Add(soakDrainBound)) && o.isStable(o.entryByIP(a.SourceIP), a.At) {
				v.addViolation(a.RequestID, "%s got it %v after it began to drain", a.EndpointID, a.At.Sub(d.at))
			}
		}
	}
	return v
}

func (o *observations) coldEndpoints() *verdict {
	v := &verdict{guarantee: "cold endpoint not overloaded"}
	limit := int(soakColdRate*soakColdBurstFactor + soakColdBurstSlack)
	recent := map[string][]time.Time{}
	for _, a := range o.arrivals {
		if !a.Cold || a.Service != "model" || a.Target != a.EndpointID {
			continue
		}
		v.caseCount++
		times := slices.DeleteFunc(recent[a.EndpointID], func(t time.Time) bool { return a.At.Sub(t) > time.Second })
		recent[a.EndpointID] = append(times, a.At)
		if n := len(recent[a.EndpointID]); n > limit {
			v.addViolation(a.RequestID, "%s got %d requests in a second, the limit is %d", a.EndpointID, n, limit)
		}
	}
	return v
}

// retries checks the retry budget of each service. Every arrival of a request after
// its first counts as a retry. The number of retries in a window is compared with
// the most requests in that window or one that lies half or a whole window earlier.
func (o *observations) retries() *verdict {
	v := &verdict{guarantee: "retries within the retry budget"}
	for _, service := range []string{"model", "desk"} {
		var retryTimes, requests []time.Time
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
		for _, a := range o.attempts {
			if serviceOf[a.class] == service {
				requests = append(requests, a.sent)
			}
		}
		v.caseCount += len(retryTimes)
		for _, end := range retryTimes {
			n := countBetween(retryTimes, end.Add(-soakRetryWindow), end)
			most := max(countBetween(requests, end.Add(-soakRetryWindow), end), countBetween(requests, end.Add(-2*soakRetryWindow), end.Add(-soakRetryWindow)),
				countBetween(requests, end.Add(-3*soakRetryWindow/2), end.Add(-soakRetryWindow/2)))
			if limit := soakRetryRatio*float64(most) + soakRetrySlack; float64(n) > limit {
				v.addViolation("", "%d retries to %s in %v, the limit is %.0f", n, service, soakRetryWindow, limit)
				break
			}
		}
	}
	return v
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

// gracefulSendWindow is the time after SIGTERM within which an entry must not abort
// requests that callers send to it.
const gracefulSendWindow = soakGracePeriod * 3 / 8

// gracefulStops checks that a graceful stop aborts no request. A connection may
// end within soakLossDetection after the request was sent if the request has not
// run.
func (o *observations) gracefulStops() *verdict {
	v := &verdict{guarantee: "graceful stop aborts no request"}
	for _, a := range o.attempts {
		for _, stop := range o.plannedStops {
			if stop.node != a.entry || a.sent.After(stop.from.Add(gracefulSendWindow)) || a.ended.Before(stop.from) || !o.noFaultNear(a) {
				continue
			}
			v.caseCount++
			took := a.ended.Sub(a.sent)
			ran := len(o.ledger.Runs(a.id)) > 0
			if a.incomplete && a.mayHaveArrived && took < callerTimeout && (ran || took > soakLossDetection) {
				v.addViolation(a.id, "its connection ended after %v, %v after SIGTERM", took, a.ended.Sub(stop.from))
			}
		}
	}
	return v
}

// noFaultNear reports whether no fault of any process or endpoint was in force while
// a request ran or within soakStableTime before it.
func (o *observations) noFaultNear(a *attempt) bool {
	for _, d := range o.faults {
		if d.from.Before(a.ended) && (d.to.IsZero() || d.to.Add(soakStableTime).After(a.sent)) {
			return false
		}
	}
	return true
}

// minOverdue is the least number of requests without a complete response half a
// second after their timeout at which the guarantee counts as violated. They must
// also be more than half of all requests that reached their timeout.
const minOverdue = 8

func (o *observations) timeouts() *verdict {
	v := &verdict{guarantee: "response within the route's timeout"}
	timedOut, overdue := 0, 0
	example := ""
	for _, a := range o.attempts {
		if a.class == "draft" || !o.undisturbed(a.entry, a.sent, a.ended) {
			continue
		}
		v.caseCount++
		const limit = 1500 * time.Millisecond
		if took := a.ended.Sub(a.sent); took > limit {
			timedOut++
			if took > limit+500*time.Millisecond {
				overdue++
				example = a.id
			}
		}
	}
	if overdue >= minOverdue && 2*overdue > timedOut {
		v.addViolation(example, "%d of %d requests that reached their timeout had no complete response half a second later", overdue, timedOut)
	}
	return v
}

func (o *observations) onlySentRequestsRun() *verdict {
	v := &verdict{guarantee: "only requests of callers run", caseCount: len(o.arrivals)}
	for _, a := range o.arrivals {
		if o.attemptByID[a.RequestID] == nil {
			v.addViolation(a.RequestID, "no caller sent it")
		}
	}
	return v
}
