package zonemove

import (
	"sort"
	"time"
)

// lastWork returns when an endpoint of the zone last got new work.
func (s *system) lastWork(zone string) time.Time {
	var last time.Time
	for _, e := range s.engines[zone] {
		if at := e.LastRequestTime(); at.After(last) {
			last = at
		}
	}
	for _, o := range s.desks[zone] {
		if at := o.LastRequestTime(); at.After(last) {
			last = at
		}
	}
	return last
}

// crashes counts the crashes of all engines since a time.
func (s *system) crashes(since time.Time) int {
	n := 0
	for _, engines := range s.engines {
		for _, e := range engines {
			for _, c := range e.Record().Crashes {
				if c.At.After(since) {
					n++
				}
			}
		}
	}
	return n
}

// collect sums up the run after its load has ended.
func (s *system) collect(r *Result, l *load) {
	ledger := s.ledger.Counts()
	for _, g := range l.groups {
		sum := g.gen.Summary(ledger)
		r.groups = append(r.groups, groupResult{g.name, sum})
		r.failed += sum.Failed()
		o := sum.Orders
		r.orders.Placed += o.Placed
		r.orders.Ran += o.Ran
		r.orders.Duplicated += o.Duplicated
		r.orders.Confirmed += o.Confirmed
		r.orders.NotRun += o.NotRun
		r.orders.Unknown += o.Unknown
		r.orders.UnknownRan += o.UnknownRan
		r.orders.Lost += o.Lost
		r.orders.FalseNotRun += o.FalseNotRun
	}
	r.crashes = s.crashes(r.measured)
	for _, engines := range s.engines {
		for _, e := range engines {
			r.overload = max(r.overload, e.Record().MaxOverload)
		}
	}
	for i, m := range r.moves {
		s.normalPart(r, m, i)
	}
}

// Runs are compared over windows of this length. A zone has its normal part
// once a window holds this fraction of its part before.
const (
	partWindow = time.Second
	partStep   = 100 * time.Millisecond
	normalFrom = 0.9
)

// normalPart finds the zone's part of new work at engines before the first
// move, and when it was reached again after the return.
func (s *system) normalPart(r *Result, m *move, i int) {
	zone, all := s.runTimes(m.zone)
	before := func(times []time.Time) float64 { return float64(between(times, r.measured, r.moves[0].outAt)) }
	m.normalPart = before(zone) / max(before(all), 1)
	end := time.Now()
	if i+1 < len(r.moves) {
		end = r.moves[i+1].outAt
	}
	for from := m.backAt; from.Add(partWindow).Before(end); from = from.Add(partStep) {
		to := from.Add(partWindow)
		part := float64(between(zone, from, to)) / max(float64(between(all, from, to)), 1)
		if part >= normalFrom*m.normalPart {
			m.normal = to.Sub(m.backAt)
			return
		}
	}
}

// runTimes returns the sorted start times of the runs in a zone and in all.
func (s *system) runTimes(zone string) (own, all []time.Time) {
	for z, engines := range s.engines {
		for _, e := range engines {
			for _, run := range e.Record().Runs {
				all = append(all, run.StartedAt)
				if z == zone {
					own = append(own, run.StartedAt)
				}
			}
		}
	}
	sortTimes(own)
	sortTimes(all)
	return own, all
}

func sortTimes(list []time.Time) {
	sort.Slice(list, func(i, j int) bool { return list[i].Before(list[j]) })
}

// between counts the times from from up to but not including to.
func between(sorted []time.Time, from, to time.Time) int {
	index := func(t time.Time) int {
		return sort.Search(len(sorted), func(i int) bool { return !sorted[i].Before(t) })
	}
	return index(to) - index(from)
}
