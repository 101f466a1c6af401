package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// usageHalfLife is the half-life of what an organisation has used. A longer one would
	// let an organisation pay for room that nobody else wanted seconds ago.
	usageHalfLife = 2 * time.Second
	// lateInterval is the number of grants of which one goes to a late request of a
	// priority while requests in time wait. A late response is worth less to its caller,
	// but more than none.
	lateInterval = 8
	// underservedInterval is the number of grants of which one may go to an underserved
	// request before more urgent ones.
	underservedInterval = 4
	// minServedShare is the share of the requests of a kind or an organisation that is
	// served at least, as a fraction of the share of all requests. A quarter is what
	// operators are promised; the rest covers what entries see differently.
	minServedShare = 0.4
	// minExpected is the number of requests, after decay, that a kind or an organisation
	// must expect to be served at that share; with fewer, chance would decide who is
	// underserved.
	minExpected = 1
	// ratioHalfLife is the half-life of a request in these shares.
	ratioHalfLife = 5 * time.Second
)

// ratio is the share of requests that were served.
type ratio struct{ offered, served decaying }

func (r *ratio) idle(now time.Time) bool { return r.offered.get(now, ratioHalfLife) < idleWeight }

func (c *Controller) ratioOf(m map[string]*ratio, key string, now time.Time) *ratio {
	r := m[key]
	if r == nil {
		dropIdle(m, maxOrganisations, func(r *ratio) bool { return r.idle(now) })
		r = &ratio{}
		m[key] = r
	}
	return r
}

// underserved reports whether the kind or the organisation of a request was served much
// less often than all requests.
func (c *Controller) underserved(r *Request, now time.Time) bool {
	offered := c.all.offered.get(now, ratioHalfLife)
	if offered < minExpected {
		return false
	}
	share := minServedShare * c.all.served.get(now, ratioHalfLife) / offered
	for _, s := range []*ratio{c.kinds[r.Kind], c.orgs[r.Organisation]} {
		if s == nil {
			continue
		}
		if expected := share * s.offered.get(now, ratioHalfLife); expected >= minExpected && s.served.get(now, ratioHalfLife) < expected {
			return true
		}
	}
	return false
}

// Candidate is a waiting request that should get a place.
type Candidate struct {
	// Index is the request's index among the waiting ones.
	Index int
	Room  Room
	// Expedited is set if the request goes before more urgent ones since its kind or
	// organisation would be starved. The endpoint must treat it as one of the most urgent.
	Expedited bool
}

// Order returns the waiting requests, which are given in the order of their arrival, in the
// order in which they should get places that come free.
//
// It answers the load in which requests arrive faster than places come free for some
// seconds. More urgent requests go first. Inside a priority, those that can still be served
// in time go before late ones, and among these the organisation goes first that has used
// least, by cost and not by count. One in lateInterval grants goes to a late request, and
// one in underservedInterval to a kind or an organisation that would be starved.
func (c *Controller) Order(waiting []*Request, now time.Time) []Candidate {
	type entry struct {
		index       int
		underserved bool
		late        bool
		usage       float64
	}
	lateFirst := c.sinceLate >= lateInterval-1
	mayOvertake := c.sinceUnderserved >= underservedInterval-1
	entries := make([]entry, len(waiting))
	for i, r := range waiting {
		e := entry{index: i, late: c.late(r, now), underserved: mayOvertake && c.underserved(r, now)}
		if u := c.usage[r.Organisation]; u != nil {
			e.usage = u.get(now, usageHalfLife)
		}
		entries[i] = e
	}
	first := func(a, b bool) int {
		switch {
		case a == b:
			return 0
		case a:
			return -1
		}
		return 1
	}
	slices.SortStableFunc(entries, func(a, b entry) int {
		if d := first(a.underserved, b.underserved); d != 0 {
			return d
		}
		if d := cmp.Compare(waiting[a.index].Priority, waiting[b.index].Priority); d != 0 {
			return d
		}
		if d := first(a.late == lateFirst, b.late == lateFirst); d != 0 {
			return d
		}
		return cmp.Compare(a.usage, b.usage)
	})
	order := make([]Candidate, len(entries))
	for i, e := range entries {
		order[i] = Candidate{Index: e.index, Room: c.room(waiting[e.index], e.underserved, now), Expedited: e.underserved}
	}
	return order
}

// GrantWaiting records that one of the waiting requests, which has waited, got a place.
func (c *Controller) GrantWaiting(r *Request, waiting []*Request, now time.Time) {
	c.Grant(r, now)
	c.pace.granted(r.cost(), now)
	otherInTime, moreUrgent := false, false
	for _, w := range waiting {
		if w == r {
			continue
		}
		otherInTime = otherInTime || w.Priority == r.Priority && !c.late(w, now)
		moreUrgent = moreUrgent || w.Priority < r.Priority
	}
	c.sinceLate++
	if c.late(r, now) && otherInTime {
		c.sinceLate = 0
	}
	c.sinceUnderserved++
	if moreUrgent {
		c.sinceUnderserved = 0
	}
}
