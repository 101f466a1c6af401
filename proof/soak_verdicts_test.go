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
	promise string
	// checked is the number of cases that it was checked on.
	checked int
	broken  []violation
}

type violation struct {
	request, what string
}

func (v *verdict) add(request, format string, args ...any) {
	v.broken = append(v.broken, violation{request, fmt.Sprintf(format, args...)})
}

// record is all that was seen from outside in one run.
type record struct {
	*soak
	attempts []*attempt
	arrivals []platformsim.Arrival
	byID     map[string]*attempt
}

var serviceOf = map[string]string{"draft": "model", "order": "desk", "lookup": "desk"}

// judge checks the promises. healed is when the last fault ended, and recovered
// how long it took until callers were served, negative if they weren't.
func judge(s *soak, attempts []*attempt, recovered time.Duration) []*verdict {
	r := &record{soak: s, attempts: attempts, arrivals: s.ledger.Arrivals(), byID: map[string]*attempt{}}
	for _, a := range attempts {
		r.byID[a.id] = a
	}
	out := []*verdict{r.wholeAnswers(), r.ordersRunOnce(), r.refusalsAreTrue(), r.oneMap(), r.zonesOut(), r.keys(),
		r.leavingEndpoints(), r.coldEndpoints(), r.repeats(), r.gracefulStops(), r.timeouts(), r.asked()}
	back := &verdict{promise: "served again after the faults", checked: 1}
	if recovered < 0 {
		back.add("", "not within %v", soakRecovery)
	}
	ends := &verdict{promise: "processes end only when asked", checked: len(s.nodes)}
	for _, p := range s.problems {
		ends.add("", "%s", p)
	}
	return append(out, back, ends)
}

func (r *record) wholeAnswers() *verdict {
	v := &verdict{promise: "own whole answer", checked: len(r.attempts)}
	for _, a := range r.attempts {
		if a.wrong != "" {
			v.add(a.id, "%s", a.wrong)
		}
	}
	return v
}

func (r *record) ordersRunOnce() *verdict {
	v := &verdict{promise: "an order runs at most once"}
	for _, a := range r.attempts {
		if a.class != "order" {
			continue
		}
		v.checked++
		if runs := r.ledger.Runs(a.id); len(runs) > 1 {
			v.add(a.id, "it ran at %s and %s", runs[0].EndpointID, runs[1].EndpointID)
		}
	}
	return v
}

// notRunStatuses are the statuses that promise that a request has not run.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

func (r *record) refusalsAreTrue() *verdict {
	v := &verdict{promise: "a refused order has not run"}
	for _, a := range r.attempts {
		if a.class != "order" || !slices.Contains(notRunStatuses, a.status) {
			continue
		}
		v.checked++
		if len(r.ledger.Runs(a.id)) > 0 {
			v.add(a.id, "status %d, but it ran", a.status)
		}
	}
	return v
}

func (r *record) oneMap() *verdict {
	v := &verdict{promise: "one expert map a pass"}
	for _, g := range r.groups {
		g.RankSim.Lock()
		v.checked += g.RankSim.RankSwitches
		if g.RankSim.MapMismatch != "" {
			v.add("", "%s", g.RankSim.MapMismatch)
		}
		g.RankSim.Unlock()
	}
	return v
}

// inTouch reports whether an entry was undisturbed for long enough before at
// that bounds in time hold for it.
func (r *record) inTouch(entry string, at time.Time) bool {
	return entry != "" && r.calm(entry, at, at)
}

func (r *record) zonesOut() *verdict {
	v := &verdict{promise: "a zone taken out gets no new work"}
	for _, a := range r.arrivals {
		for _, out := range r.zoneOuts {
			over := a.At.After(out.from.Add(soakEvacuate)) && (out.to.IsZero() || a.At.Before(out.to))
			if a.Zone != out.zone && over {
				v.checked++
			}
			if a.Zone == out.zone && over && a.Target == a.EndpointID && r.inTouch(r.entryAt(a.SourceIP), a.At) {
				v.add(a.RequestID, "%s got it %v after %s was taken out", a.EndpointID, a.At.Sub(out.from), out.zone)
			}
		}
	}
	return v
}

// keysAt returns the configurations that may be in force for a request.
func (r *record) keysAt(a *attempt) []configChange {
	var out []configChange
	for i, c := range r.configs {
		if c.at.After(a.ended) {
			break
		}
		if last := i == len(r.configs)-1; last || r.configs[i+1].at.Add(soakApply).After(a.sent) {
			out = append(out, c)
		}
	}
	return out
}

func (r *record) keys() *verdict {
	v := &verdict{promise: "keys as configured"}
	owner := map[string]string{}
	for _, c := range r.configs {
		for key, name := range c.keys {
			owner[key] = name
		}
	}
	for _, a := range r.attempts {
		runs := r.ledger.Runs(a.id)
		for _, run := range runs {
			if run.Organisation != owner[a.key] {
				v.add(a.id, "it ran for %q, its key is %q's", run.Organisation, owner[a.key])
			}
		}
		if !r.inTouch(a.entry, a.sent) {
			continue
		}
		v.checked++
		allowed, denied := true, true
		for _, c := range r.keysAt(a) {
			_, ok := c.keys[a.key]
			allowed, denied = allowed && ok, denied && !ok
		}
		if denied && len(runs) > 0 {
			v.add(a.id, "it ran with %s, which was taken away", a.key)
		}
		if allowed && (a.status == http.StatusUnauthorized || a.status == http.StatusNotFound || a.status == http.StatusForbidden) {
			v.add(a.id, "status %d with %s, which all configurations allow", a.status, a.key)
		}
	}
	return v
}

func (r *record) leavingEndpoints() *verdict {
	v := &verdict{promise: "a leaving endpoint gets no new work", checked: len(r.leaving)}
	for _, a := range r.arrivals {
		for _, d := range r.leaving {
			if a.EndpointID == d.endpoint && a.Target == a.EndpointID && a.At.After(d.at.Add(soakLeaving)) && r.inTouch(r.entryAt(a.SourceIP), a.At) {
				v.add(a.RequestID, "%s got it %v after it began to drain", a.EndpointID, a.At.Sub(d.at))
			}
		}
	}
	return v
}

func (r *record) coldEndpoints() *verdict {
	v := &verdict{promise: "a cold endpoint isn't overloaded"}
	limit := int(soakColdRate*soakColdOver + soakColdSlack)
	recent := map[string][]time.Time{}
	for _, a := range r.arrivals {
		if !a.Cold || a.Service != "model" || a.Target != a.EndpointID {
			continue
		}
		v.checked++
		times := slices.DeleteFunc(recent[a.EndpointID], func(t time.Time) bool { return a.At.Sub(t) > time.Second })
		recent[a.EndpointID] = append(times, a.At)
		if n := len(recent[a.EndpointID]); n > limit {
			v.add(a.RequestID, "%s got %d requests in a second, the limit is %d", a.EndpointID, n, limit)
		}
	}
	return v
}

func (r *record) repeats() *verdict {
	v := &verdict{promise: "repeats within the budget"}
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
		v.checked += len(extra)
		for _, end := range extra {
			n := within(extra, end.Add(-soakWindow), end)
			most := max(within(requests, end.Add(-soakWindow), end), within(requests, end.Add(-2*soakWindow), end.Add(-soakWindow)),
				within(requests, end.Add(-3*soakWindow/2), end.Add(-soakWindow/2)))
			if limit := soakRatio*float64(most) + soakSlack; float64(n) > limit {
				v.add("", "%d repeats to %s in %v, the limit is %.0f", n, service, soakWindow, limit)
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
const lateInGrace = soakGrace * 3 / 8

func (r *record) gracefulStops() *verdict {
	v := &verdict{promise: "a graceful stop cuts no request"}
	for _, a := range r.attempts {
		for _, stop := range r.stops {
			if stop.node != a.entry || a.sent.After(stop.from.Add(lateInGrace)) || a.ended.Before(stop.from) || !r.undisturbed(a) {
				continue
			}
			v.checked++
			took := a.ended.Sub(a.sent)
			ran := len(r.ledger.Runs(a.id)) > 0
			if a.broken && a.reached && took < callerPatience && (ran || took > soakLossSlack) {
				v.add(a.id, "its connection ended after %v, %v after SIGTERM", took, a.ended.Sub(stop.from))
			}
		}
	}
	return v
}

// undisturbed reports whether no fault at all was near a request.
func (r *record) undisturbed(a *attempt) bool {
	for _, d := range r.faults {
		if d.from.Before(a.ended) && (d.to.IsZero() || d.to.Add(soakStable).After(a.sent)) {
			return false
		}
	}
	return true
}

// manyLate is the number of late answers below which the promise holds.
const manyLate = 8

func (r *record) timeouts() *verdict {
	v := &verdict{promise: "an answer by the route's timeout"}
	late, over := 0, 0
	example := ""
	for _, a := range r.attempts {
		if a.class == "draft" || !r.calm(a.entry, a.sent, a.ended) {
			continue
		}
		v.checked++
		const limit = 1500 * time.Millisecond
		if took := a.ended.Sub(a.sent); took > limit {
			late++
			if took > limit+500*time.Millisecond {
				over++
				example = a.id
			}
		}
	}
	if over >= manyLate && 2*over > late {
		v.add(example, "%d of %d requests that reached their timeout had no answer half a second later", over, late)
	}
	return v
}

func (r *record) asked() *verdict {
	v := &verdict{promise: "only what callers asked runs", checked: len(r.arrivals)}
	for _, a := range r.arrivals {
		if r.byID[a.RequestID] == nil {
			v.add(a.RequestID, "no caller sent it")
		}
	}
	return v
}
