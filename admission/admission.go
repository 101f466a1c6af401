package admission

import (
	"time"
)

// Request is what decides how a request is admitted.
type Request struct {
	// Priority is the request's priority; 0 is the most urgent.
	Priority int
	// Organisation and Kind name the caller's organisation and the kind of request, such as
	// its route.
	Organisation, Kind string
	// Cost is what the request takes of an endpoint, in any unit that is the same for all
	// requests of a service. Values that aren't positive count as 1.
	Cost float64
	// Repeat is set if the request was sent to an endpoint before.
	Repeat bool
	// Arrived is when the request arrived, Aim when the response is late; the zero time means
	// never.
	Arrived, Aim time.Time
}

func (r *Request) cost() float64 {
	if r.Cost > 0 {
		return r.Cost
	}
	return 1
}

// late reports whether the response would be late if the request got a place now.
func (c *Controller) late(r *Request, now time.Time) bool {
	if r.Aim.IsZero() {
		return false
	}
	// Endpoints that are slow to begin must not make all requests late at their arrival.
	begin := min(c.timeToBegin, max(0, r.Aim.Sub(r.Arrived)/2))
	return !now.Add(begin).Before(r.Aim)
}

// Began records the time from a request's place at an endpoint to the begin of its
// response.
func (c *Controller) Began(d time.Duration) {
	if c.timeToBegin == 0 {
		c.timeToBegin = d
		return
	}
	c.timeToBegin += time.Duration(beginWeight * float64(d-c.timeToBegin))
}

// Controller decides for the requests of one service at one entry. It is not safe for
// concurrent use.
type Controller struct {
	// EngineQueuesByPriority is set if the service's endpoints queue requests beyond their
	// slots and start the most urgent one first.
	EngineQueuesByPriority bool

	demand map[int]*decaying
	usage  map[string]*decaying
	kinds  map[string]*ratio
	orgs   map[string]*ratio
	all    ratio

	// sinceLate and sinceUnderserved count the grants since the last one that went to a
	// late request before one in time, or out of order to an underserved one.
	sinceLate, sinceUnderserved int

	// timeToBegin is the moving average of the time to the begin of a response.
	timeToBegin time.Duration

	pace     pace
	pressure pressure
}

// NewController returns a controller that has seen no requests.
func NewController() *Controller {
	return &Controller{
		demand: make(map[int]*decaying), usage: make(map[string]*decaying),
		kinds: make(map[string]*ratio), orgs: make(map[string]*ratio),
	}
}

// Arrive records that a request arrived.
func (c *Controller) Arrive(r *Request, now time.Time) {
	if r.Repeat {
		return
	}
	d := c.demand[r.Priority]
	if d == nil {
		dropIdle(c.demand, maxPriorities, func(d *decaying) bool { return d.get(now, demandHalfLife) < idleWeight })
		d = &decaying{}
		c.demand[r.Priority] = d
	}
	d.add(r.cost(), now, demandHalfLife)
	c.all.offered.add(1, now, ratioHalfLife)
	c.ratioOf(c.kinds, r.Kind, now).offered.add(1, now, ratioHalfLife)
	c.ratioOf(c.orgs, r.Organisation, now).offered.add(1, now, ratioHalfLife)
}

// Grant records that a request got a place at an endpoint without waiting.
func (c *Controller) Grant(r *Request, now time.Time) {
	u := c.usage[r.Organisation]
	if u == nil {
		dropIdle(c.usage, maxOrganisations, func(d *decaying) bool { return d.get(now, usageHalfLife) < idleWeight })
		u = &decaying{}
		c.usage[r.Organisation] = u
	}
	u.add(r.cost(), now, usageHalfLife)
	if r.Repeat {
		return
	}
	c.all.served.add(1, now, ratioHalfLife)
	c.ratioOf(c.kinds, r.Kind, now).served.add(1, now, ratioHalfLife)
	c.ratioOf(c.orgs, r.Organisation, now).served.add(1, now, ratioHalfLife)
}

const (
	// beginWeight is the weight of one response in the average of the times to their begin.
	beginWeight = 0.1
	// demandHalfLife is the half-life of an arrival in the demand by priority. Requests last
	// about a second; room that is kept for urgent ones must be given back within a few.
	demandHalfLife = 2 * time.Second
	// idleWeight is the weight below which a decayed sum no longer matters.
	idleWeight = 0.01
	// maxPriorities and maxOrganisations bound the maps of a controller.
	maxPriorities    = 64
	maxOrganisations = 1024
)

// dropIdle removes idle values from a map that has reached most values, and any value if
// none is idle.
func dropIdle[K comparable, V any](m map[K]V, most int, idle func(V) bool) {
	if len(m) < most {
		return
	}
	for k, v := range m {
		if idle(v) {
			delete(m, k)
		}
	}
	for k := range m {
		if len(m) < most {
			return
		}
		delete(m, k)
	}
}
