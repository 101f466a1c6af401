package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wasabinotch/wasabinotch/placement"
)

// explainDraws is the number of choices that are drawn for the chances in an explanation.
const explainDraws = 200

// Explanation says where a request would go now, and why.
type Explanation struct {
	// Availability says what happens to the request now.
	Availability Availability
	Demand       placement.Demand
	// Waiting is the number of requests of the service that wait at this entry.
	Waiting int
	// Entries is the number of entries among which limits are divided.
	Entries   int
	Endpoints []EndpointExplanation
}

// EndpointExplanation says what an endpoint of the service won or lost by.
type EndpointExplanation struct {
	ID, Address, Zone string
	// Obstacle says why the endpoint can't get the request now, "" if it can. LastResort
	// says why it gets the request only if no other can, "" if there is no reason.
	Obstacle, LastResort string
	// Chance is the share of draws in which the endpoint was chosen.
	Chance float64
	Score  placement.Score
	// Load is the number of requests there, Own that of this entry's ones, and UsableSlots
	// the number that may be there.
	Load, Own, UsableSlots int
	// Held is the number of tokens of the prompt that the endpoint holds, Room the number
	// that its memory has left for the request, -1 if its memory isn't known.
	Held, Room int
	// ReportAge is the age of its last load report, NoReport if there was none.
	ReportAge time.Duration
	StepTime  time.Duration
	Pace      float64
}

// rank sorts endpoints that can take the request before last resorts, and these before those
// that can't.
func (e *EndpointExplanation) rank() int {
	switch {
	case e.Obstacle != "":
		return 2
	case e.LastResort != "":
		return 1
	}
	return 0
}

// Explain says where a request would go now. It sends and claims nothing.
func (f *Fleet) Explain(r *Request) Explanation {
	waiting := f.Waiting(r.Service)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	q := f.queueOf(r.Service)
	p := f.newPlacing(r, q.control.Room(r.admission(now), now), len(q.waiters) > 0, now)
	x := Explanation{Demand: p.demand, Waiting: waiting, Entries: f.entries}
	chosen := make(map[*Endpoint]int)
	for range explainDraws {
		best, availability := f.compare(p, now)
		if best.endpoint == nil {
			x.Availability = availability // further draws look at all endpoints too
			break
		}
		chosen[best.endpoint]++
	}
	if f.tooLarge(r) {
		x.Availability = TooLarge
	}
	p.explain = true
	for _, ep := range f.byService[r.Service] {
		a := f.assess(ep, p, now)
		e := EndpointExplanation{
			ID: ep.ID, Address: ep.Address, Zone: ep.Zone, Obstacle: a.obstacle.String(), LastResort: a.lastResort.String(),
			Chance: float64(chosen[ep]) / explainDraws, Score: a.score, Load: a.load, Own: ep.inFlight, UsableSlots: ep.usableSlots(p.limits, now),
			Held: a.held, Room: a.room, ReportAge: NoReport, StepTime: ep.report.StepTime, Pace: ep.report.Pace,
		}
		if a.obstacle == notInService {
			e.Obstacle = f.outOfService(ep, r, now)
		}
		if ep.memory.total <= 0 || a.room == math.MaxInt {
			e.Room = -1
		}
		if !ep.reportAt.IsZero() {
			e.ReportAge = now.Sub(ep.reportAt)
		}
		x.Endpoints = append(x.Endpoints, e)
	}
	slices.SortFunc(x.Endpoints, func(a, b EndpointExplanation) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.Score.Total(), b.Score.Total()), cmp.Compare(a.ID, b.ID))
	})
	return x
}

// outOfService says why an endpoint isn't usable.
func (f *Fleet) outOfService(ep *Endpoint, r *Request, now time.Time) string {
	switch {
	case ep.Draining:
		return "it drains"
	case ep.notice != nil && ep.notice.leaving:
		return "it said that it leaves"
	case f.zonesOut[ep.Zone]:
		return "its zone is out of service"
	case f.latestAtAddress[ep.Address] != ep:
		return "a later endpoint is at its address"
	case slices.Contains(r.Exclude, ep):
		return "it was tried already"
	case ep.notice.paused(now):
		return "it asked for a pause"
	}
	return "its rank group stalls"
}

// String implements fmt.Stringer.
func (o obstacle) String() string {
	return [...]string{none: "", notInService: "not in service", noSlot: "no free slot", unclaimed: "left to other entries' waiting requests", noConnection: "connection limit", untestedSincePause: "untested since a pause",
		coldLimit: "rate while cold", namedLimit: "rate limit that it named", noMemory: "not enough memory"}[o]
}

// String implements fmt.Stringer.
func (r reason) String() string {
	return [...]string{noReason: "", inBackoff: "backoff after a failure", slow: "slow", silent: "no reports"}[r]
}
