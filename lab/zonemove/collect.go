package zonemove

import (
	"sort"
	"time"
)

// lastNewWork returns the last time at which an endpoint of the zone got new work.
func (s *system) lastNewWork(zone string) time.Time {
	var last time.Time
	for _, e := range s.engines[zone] {
		if at := e.LastRequestTime(); at.After(last) {
			last = at
		}
	}
	for _, o := range s.orderServices[zone] {
		if at := o.LastRequestTime(); at.After(last) {
			last = at
		}
	}
	return last
}

// crashesSince returns the number of crashes of all engines after a time.
func (s *system) crashesSince(since time.Time) int {
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

// collect adds the statistics of the load, the ledger and the engines to the result.
// The load must have ended.
func (s *system) collect(r *Result, l *callerLoad) {
	ledger := s.ledger.Counts()
	for _, g := range l.groups {
		sum := g.generator.Summary(ledger)
		r.groups = append(r.groups, groupResult{g.name, sum})
		r.failedRequests += sum.Failed()
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
	r.crashes = s.crashesSince(r.measuredFrom)
	for _, engines := range s.engines {
		for _, e := range engines {
			r.maxOverload = max(r.maxOverload, e.Record().MaxOverload)
		}
	}
	for i, m := range r.moves {
		s.measureRecovery(r, m, i)
	}
}

// A zone has recovered once it gets, within a window of recoveryWindow, at least
// recoveredFraction of its normal fraction of new work at engines. The window
// advances by recoveryWindowStep.
const (
	recoveryWindow     = time.Second
	recoveryWindowStep = 100 * time.Millisecond
	recoveredFraction  = 0.9
)

// measureRecovery sets the zone's fraction of new work at engines before the first
// move, and the time from the zone's return to service to the end of the first
// window in which the zone has recovered. It looks at windows up to the next move;
// i is the index of the move.
func (s *system) measureRecovery(r *Result, m *zoneMove, i int) {
	zone, all := s.runStartTimes(m.zone)
	countBefore := func(times []time.Time) float64 { return float64(countBetween(times, r.measuredFrom, r.moves[0].outAt)) }
	m.normalFraction = countBefore(zone) / max(countBefore(all), 1)
	end := time.Now()
	if i+1 < len(r.moves) {
		end = r.moves[i+1].outAt
	}
	for from := m.backAt; from.Add(recoveryWindow).Before(end); from = from.Add(recoveryWindowStep) {
		to := from.Add(recoveryWindow)
		fraction := float64(countBetween(zone, from, to)) / max(float64(countBetween(all, from, to)), 1)
		if fraction >= recoveredFraction*m.normalFraction {
			m.recoveredAfter = to.Sub(m.backAt)
			return
		}
	}
}

// runStartTimes returns the sorted start times of the requests that engines ran, in
// one zone and in all zones.
func (s *system) runStartTimes(zone string) (inZone, all []time.Time) {
	for z, engines := range s.engines {
		for _, e := range engines {
			for _, run := range e.Record().Runs {
				all = append(all, run.StartedAt)
				if z == zone {
					inZone = append(inZone, run.StartedAt)
				}
			}
		}
	}
	sortTimes(inZone)
	sortTimes(all)
	return inZone, all
}

func sortTimes(list []time.Time) {
	sort.Slice(list, func(i, j int) bool { return list[i].Before(list[j]) })
}

// countBetween returns the number of times at or after from and before to.
func countBetween(sorted []time.Time, from, to time.Time) int {
	index := func(t time.Time) int {
		return sort.Search(len(sorted), func(i int) bool { return !sorted[i].Before(t) })
	}
	return index(to) - index(from)
}
