package proof

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
)

// verdict is what a soak found about one promise.
type verdict struct {
	guarantee string
	// caseCount is the number of cases that it was caseCount on.
	caseCount  int
	violations []violation
}

type violation struct {
	request, description string
}

func (v *verdict) addViolation(request, format string, args ...any) {
	v.violations = append(v.violations, violation{request, fmt.Sprintf(format, args...)})
}

// observations is all that was seen from outside in one run.
type observations struct {
	*soak
	attempts    []*attempt
	arrivals    []platformsim.Arrival
	attemptByID map[string]*attempt
}

var serviceOf = map[string]string{"draft": "model", "order": "desk", "lookup": "desk"}

// judge checks the promises. healed is when the last fault ended, and recovered
// how long it took until callers were served, negative if they weren't.
func judge(s *soak, attempts []*attempt, recovered time.Duration) []*verdict {
	r := &observations{soak: s, attempts: attempts, arrivals: s.ledger.Arrivals(), attemptByID: map[string]*attempt{}}
	for _, a := range attempts {
		r.attemptByID[a.id] = a
	}
	out := []*verdict{r.completeResponses(), r.ordersRunOnce(), r.refusedOrdersNotRun(), r.oneMapPerStep(), r.zonesOut(), r.keysEnforced(),
		r.drainingEndpoints(), r.coldEndpoints(), r.retries(), r.gracefulStops(), r.timeouts(), r.onlySentRequestsRun()}
	back := &verdict{guarantee: "served again after the faults", caseCount: 1}
	if recovered < 0 {
		back.addViolation("", "not within %v", soakRecoveryBound)
	}
	ends := &verdict{guarantee: "processes end only when asked", caseCount: len(s.nodes)}
	for _, p := range s.processFailures {
		ends.addViolation("", "%s", p)
	}
	return append(out, back, ends)
}

func (r *observations) completeResponses() *verdict {
	v := &verdict{guarantee: "own whole answer", caseCount: len(r.attempts)}
	for _, a := range r.attempts {
		if a.defect != "" {
			v.addViolation(a.id, "%s", a.defect)
		}
	}
	return v
}

func (r *observations) ordersRunOnce() *verdict {
	v := &verdict{guarantee: "an order runs at most once"}
	for _, a := range r.attempts {
		if a.class != "order" {
			continue
		}
		v.caseCount++
		if runs := r.ledger.Runs(a.id); len(runs) > 1 {
			v.addViolation(a.id, "it ran at %s and %s", runs[0].EndpointID, runs[1].EndpointID)
		}
	}
	return v
}

// notRunStatuses are the statuses that promise that a request has not run.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

func (r *observations) refusedOrdersNotRun() *verdict {
	v := &verdict{guarantee: "a refused order has not run"}
	for _, a := range r.attempts {
		if a.class != "order" || !slices.Contains(notRunStatuses, a.status) {
			continue
		}
		v.caseCount++
		if len(r.ledger.Runs(a.id)) > 0 {
			v.addViolation(a.id, "status %d, but it ran", a.status)
		}
	}
	return v
}

func (r *observations) oneMapPerStep() *verdict {
	v := &verdict{guarantee: "one expert map a pass"}
	for _, g := range r.groups {
		g.RankSim.Lock()
		v.caseCount += g.RankSim.RankSwitches
		if g.RankSim.MapMismatch != "" {
			v.addViolation("", "%s", g.RankSim.MapMismatch)
		}
		g.RankSim.Unlock()
	}
	return v
}

// isStable reports whether an entry was undisturbed for long enough before at
// that bounds in time hold for it.
func (r *observations) isStable(entry string, at time.Time) bool {
	return entry != "" && r.undisturbed(entry, at, at)
}

func (r *observations) zonesOut() *verdict {
	v := &verdict{guarantee: "a zone taken out gets no new work"}
	for _, a := range r.arrivals {
		for _, out := range r.zoneOuts {
			over := a.At.After(out.from.Add(soakZoneOutBound)) && (out.to.IsZero() || a.At.Before(out.to))
			if a.Zone != out.zone && over {
				v.caseCount++
			}
			if a.Zone == out.zone && over && a.Target == a.EndpointID && r.isStable(r.entryByIP(a.SourceIP), a.At) {
				v.addViolation(a.RequestID, "%s got it %v after %s was taken out", a.EndpointID, a.At.Sub(out.from), out.zone)
			}
		}
	}
	return v
}

// keysAt returns the configurations that may be in force for a request.
func (r *observations) keysAt(a *attempt) []configChange {
	var out []configChange
	for i, c := range r.configs {
		if c.at.After(a.ended) {
			break
		}
		if last := i == len(r.configs)-1; last || r.configs[i+1].at.Add(soakConfigBound).After(a.sent) {
			out = append(out, c)
		}
	}
	return out
}

func (r *observations) keysEnforced() *verdict {
	v := &verdict{guarantee: "keys as configured"}
	owner := map[string]string{}
	for _, c := range r.configs {
		for key, name := range c.keys {
			owner[key] = name
		}
	}
	for _, a := range r.attempts {
		runs := r.ledger.Runs(a.id)
		for _, run := range runs {
			if run.Organisation != owner[a.apiKey] {
				v.addViolation(a.id, "it ran for %q, its key is %q's", run.Organisation, owner[a.apiKey])
			}
		}
		if !r.isStable(a.entry, a.sent) {
			continue
		}
		v.caseCount++
		allowed, denied := true, true
		for _, c := range r.keysAt(a) {
			_, ok := c.keys[a.apiKey]
			allowed, denied = allowed && ok, denied && !ok
		}
		if denied && len(runs) > 0 {
			v.addViolation(a.id, "it ran with %s, which was taken away", a.apiKey)
		}
		if allowed && (a.status == http.StatusUnauthorized || a.status == http.StatusNotFound || a.status == http.StatusForbidden) {
			v.addViolation(a.id, "status %d with %s, which all configurations allow", a.status, a.apiKey)
		}
	}
	return v
}

func (r *observations) drainingEndpoints() *verdict {
	v := &verdict{guarantee: "a leaving endpoint gets no new work", caseCount: len(r.drainStarts)}
	for _, a := range r.arrivals {
		for _, d := range r.drainStarts {
			if a.EndpointID == d.endpoint && a.Target == a.EndpointID && a.At.After(d.at.Add(soakDrainBound)) && r.isStable(r.entryByIP(a.SourceIP), a.At) {
				v.addViolation(a.RequestID, "%s got it %v after it began to drain", a.EndpointID, a.At.Sub(d.at))
			}
		}
	}
	return v
}

func (r *observations) coldEndpoints() *verdict {
	v := &verdict{guarantee: "a cold endpoint isn't overloaded"}
	limit := int(soakColdRate*soakColdBurstFactor + soakColdBurstSlack)
	recent := map[string][]time.Time{}
	for _, a := range r.arrivals {
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

func (r *observations) retries() *verdict {
	v := &verdict{guarantee: "repeats within the budget"}
	for _, service := range []string{"model", "desk"} {
		var extra, requests []time.Time
		seen := map[string]bool{}
		for _, a := range r.arrivals {
			if a.Service != service {
				continue
			}
			if seen[a.RequestID] {
				extra = append(extra, a.At)
			}
			seen[a.RequestID] = true
		}
		for _, a := range r.attempts {
			if serviceOf[a.class] == service {
				requests = append(requests, a.sent)
			}
		}
		v.caseCount += len(extra)
		for _, end := range extra {
			n := within(extra, end.Add(-soakRetryWindow), end)
			most := max(within(requests, end.Add(-soakRetryWindow), end), within(requests, end.Add(-2*soakRetryWindow), end.Add(-soakRetryWindow)),
				within(requests, end.Add(-3*soakRetryWindow/2), end.Add(-soakRetryWindow/2)))
			if limit := soakRetryRatio*float64(most) + soakRetrySlack; float64(n) > limit {
				v.addViolation("", "%d repeats to %s in %v, the limit is %.0f", n, service, soakRetryWindow, limit)
				break
			}
		}
	}
	return v
}

func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// lateInGrace is how long after SIGTERM requests count that must not be cut.
const lateInGrace = soakGracePeriod * 3 / 8

func (r *observations) gracefulStops() *verdict {
	v := &verdict{guarantee: "a graceful stop cuts no request"}
	for _, a := range r.attempts {
		for _, stop := range r.plannedStops {
			if stop.node != a.entry || a.sent.After(stop.from.Add(lateInGrace)) || a.ended.Before(stop.from) || !r.noFaultNear(a) {
				continue
			}
			v.caseCount++
			took := a.ended.Sub(a.sent)
			ran := len(r.ledger.Runs(a.id)) > 0
			if a.incomplete && a.mayHaveArrived && took < callerTimeout && (ran || took > soakLossDetection) {
				v.addViolation(a.id, "its connection ended after %v, %v after SIGTERM", took, a.ended.Sub(stop.from))
			}
		}
	}
	return v
}

// noFaultNear reports whether no fault at all was near a request.
func (r *observations) noFaultNear(a *attempt) bool {
	for _, d := range r.faults {
		if d.from.Before(a.ended) && (d.to.IsZero() || d.to.Add(soakStableTime).After(a.sent)) {
			return false
		}
	}
	return true
}

// toleratedLate is the number of late answers below which the promise holds.
const toleratedLate = 8

func (r *observations) timeouts() *verdict {
	v := &verdict{guarantee: "an answer by the route's timeout"}
	late, over := 0, 0
	example := ""
	for _, a := range r.attempts {
		if a.class == "draft" || !r.undisturbed(a.entry, a.sent, a.ended) {
			continue
		}
		v.caseCount++
		const limit = 1500 * time.Millisecond
		if took := a.ended.Sub(a.sent); took > limit {
			late++
			if took > limit+500*time.Millisecond {
				over++
				example = a.id
			}
		}
	}
	if over >= toleratedLate && 2*over > late {
		v.addViolation(example, "%d of %d requests that reached their timeout had no answer half a second later", over, late)
	}
	return v
}

func (r *observations) onlySentRequestsRun() *verdict {
	v := &verdict{guarantee: "only what callers asked runs", caseCount: len(r.arrivals)}
	for _, a := range r.arrivals {
		if r.attemptByID[a.RequestID] == nil {
			v.addViolation(a.RequestID, "no caller sent it")
		}
	}
	return v
}
