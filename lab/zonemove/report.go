package zonemove

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/loadgen"
)

// Targets of a run, and the name of the phase that they are compared with.
const (
	maxP99Ratio              = 1.5
	maxNewWorkDelay          = 2 * time.Second
	maxNewWorkDelayStoreDown = 3 * time.Second
	phaseBefore              = "before"
	minP99Requests           = 50 // with fewer requests, the p99 is determined by one or two of them
)

// p99Ratio is the p99 latency of one class in one phase, divided by that in the phase
// before the first move, for callers in zones that are not moved.
type p99Ratio struct {
	phase, class string
	value        float64
	count        int64
}

// p99Ratios returns the ratios of all phases and classes with at least minP99Requests
// requests.
func (r *Result) p99Ratios() []p99Ratio {
	var list []p99Ratio
	before := make(map[string]float64)
	for _, c := range r.groups[0].summary.Classes {
		if c.Phase == phaseBefore {
			before[c.Class] = c.Latency.P99
			continue
		}
		if b := before[c.Class]; b > 0 && c.Latency.Count >= minP99Requests {
			list = append(list, p99Ratio{c.Phase, c.Class, c.Latency.P99 / b, c.Latency.Count})
		}
	}
	return list
}

// missedTargets describes each target that the run missed.
func (r *Result) missedTargets() []string {
	var list []string
	add := func(bad bool, format string, args ...any) {
		if bad {
			list = append(list, fmt.Sprintf(format, args...))
		}
	}
	add(r.failedRequests > 0, "%d requests failed", r.failedRequests)
	for _, x := range r.p99Ratios() {
		add(x.value > maxP99Ratio, "p99 of %s in phase %s is %.2f times the value before", x.class, x.phase, x.value)
	}
	bound := maxNewWorkDelay
	if r.options.StoreDown {
		bound = maxNewWorkDelayStoreDown
	}
	for _, m := range r.moves {
		add(m.lastNewWork > bound, "zone %s got new work %v after the command", m.zone, round(m.lastNewWork))
		add(m.recoveredAfter == 0 && r.options.MoveInterval == 0, "zone %s did not take its normal part again", m.zone)
	}
	add(r.crashes > 0 || r.maxOverload > 0, "%d crashes of cold engines, highest overload %d", r.crashes, r.maxOverload)
	add(r.orders.Duplicated > 0, "%d orders ran more than once", r.orders.Duplicated)
	add(r.orders.Lost > 0, "%d confirmed orders did not run", r.orders.Lost)
	add(r.orders.FalseNotRun > 0, "%d orders refused as not run have run", r.orders.FalseNotRun)
	for _, g := range r.groups {
		for _, c := range g.summary.Classes {
			add(c.Wrong+c.Truncated > 0, "%d wrong and %d truncated %s responses in phase %s", c.Wrong, c.Truncated, c.Class, c.Phase)
		}
	}
	return list
}

func (r *Result) write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) } // Flush reports errors
	r.writeLoad(line)
	for _, g := range r.groups {
		r.writeGroup(line, g)
	}
	r.writeRatios(line)
	for _, m := range r.moves {
		r.writeMove(line, m)
	}
	o := r.orders
	line("orders\tplaced %d, ran %d, duplicated %d, lost %d, unknown %d (ran %d), not run %d, false not run %d",
		o.Placed, o.Ran, o.Duplicated, o.Lost, o.Unknown, o.UnknownRan, o.NotRun, o.FalseNotRun)
	line("cold engines\t%d crashes, highest overload %d (crashes during the warm-up: %d)", r.crashes, r.maxOverload, r.warmUpCrashes)
	line("failed requests\t%d", r.failedRequests)
	missed := "none"
	if list := r.missedTargets(); len(list) > 0 {
		missed = strings.Join(list, "; ")
	}
	line("targets missed\t%s", missed)
	return t.Flush()
}

func (r *Result) writeLoad(line func(string, ...any)) {
	o, x := r.options, r.options.rates()
	of := "remaining"
	if o.OfTotalCapacity {
		of = "whole"
	}
	line("per zone\t%d entries, %d model agents, %d order agents", o.EntriesPerZone, o.ModelAgentsPerZone, o.OrderAgentsPerZone)
	line("capacity\t%.1f requests/s for each warm engine (%d slots), %.0f calls/s for each plain service (%d slots)",
		o.engineCapacity(), modelSlots, o.plainCapacity(), plainSlots)
	line("load\t%.2f of the %s capacity: %.0f model, %.0f stock, %.0f order requests/s; seed %d", o.LoadFraction, of, x.model, x.stock, x.order, o.Seed)
}

func (r *Result) writeGroup(line func(string, ...any), g groupResult) {
	line("\ncallers in %s", g.name)
	line("phase\tclass\tsent\twhole\tfailed\tp50 ms\tp99 ms\tmax ms\tfirst p95 ms\trefused attempts")
	for _, c := range g.summary.Classes {
		first := "-"
		if c.FirstToken.Count > 0 {
			first = fmt.Sprintf("%.1f", c.FirstToken.P95)
		}
		line("%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%s\t%s", c.Phase, c.Class, c.Sent, c.Complete, c.Failed,
			c.Latency.P50, c.Latency.P99, c.Latency.Max, first, refusals(c))
	}
}

func refusals(c loadgen.ClassSummary) string {
	var list []string
	for k, n := range c.Refusals {
		list = append(list, fmt.Sprintf("%s/%s %d", k.Kind, k.Outcome, n))
	}
	sort.Strings(list)
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ", ")
}

func (r *Result) writeRatios(line func(string, ...any)) {
	line("\np99 in %s compared with before", r.groups[0].name)
	for _, x := range r.p99Ratios() {
		line("%s\t%s\t%.2f\t(%d requests)", x.phase, x.class, x.value, x.count)
	}
}

func (r *Result) writeMove(line func(string, ...any), m *zoneMove) {
	line("\nzone out\t%s, answered after %v, confirmed in %s, in store: %v", m.zone, round(m.outCommandTook), strings.Join(m.confirmedZones, " "), m.inStore)
	line("last new work\t%s", after(m.lastNewWork))
	if r.options.FreezeDuration > 0 && m == r.moves[0] {
		line("at the frozen agent\t%s (frozen for %v)", after(m.lastNewWorkFrozen), r.options.FreezeDuration)
	}
	line("zone back\tanswered after %v, normal part of the load (%.2f) %s", round(m.backCommandTook), m.normalFraction, after(m.recoveredAfter))
	d := m.redirects
	line("kept entries\t%d lookups redirected, %d answered without, %d failed; refusal p50 %v p99 %v, with the second attempt p50 %v p99 %v",
		len(d.refusalTimes), d.servedDirectly, d.failed, micros(quantile(d.refusalTimes, 0.5)), micros(quantile(d.refusalTimes, 0.99)),
		micros(quantile(d.redirectedTimes, 0.5)), micros(quantile(d.redirectedTimes, 0.99)))
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func micros(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

// after formats the time from a command to an event; 0 means that the event was
// not observed.
func after(d time.Duration) string {
	if d == 0 {
		return "not seen after the command"
	}
	return fmt.Sprintf("%v after the command", round(d))
}
