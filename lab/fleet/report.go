package fleet

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// Write writes the results as a table, and the lines and planes fitted to them if
// there are at least two.
func Write(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// Write errors are reported by Flush.
	_, _ = fmt.Fprintf(t, "entries\tagents\tzones\torgs\tbundle B\tentry B/s\tagent B/s\tcpu %%/node\theap MB/node\tstore reads/s\twatches/s\tstore KB/s\tper change: entry B\tagent B\tcore ms/node\troll median\tmax\tout median\tmax\tin median\tmax\n")
	for _, r := range results {
		nodes := float64(r.Entries + r.Agents)
		q, c, n := r.WithoutChanges, r.DuringRollouts, max(len(r.RolloutTimes), 1)
		_, _ = fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.3f\t%.2f\t%.2f\t%.2f\t%.1f\t%.0f\t%.0f\t%.2f\t%v\t%v\t%v\t%v\t%v\t%v\n",
			r.Entries, r.Agents, r.Zones, r.Organisations, r.BundleBytes, q.EntryBytes, q.AgentBytes, 100*q.CPUCores/nodes, r.HeapMB,
			q.StoreReads, q.StoreWatches, q.StoreBytes/1000,
			perChange(q.EntryBytes, c.EntryBytes, c.Seconds, n), perChange(q.AgentBytes, c.AgentBytes, c.Seconds, n),
			1000*perChange(q.CPUCores, c.CPUCores, c.Seconds, n)/nodes,
			roundMS(median(r.RolloutTimes)), roundMS(longest(r.RolloutTimes)), roundMS(median(r.ZoneOutTimes)), roundMS(longest(r.ZoneOutTimes)), roundMS(median(r.ZoneInTimes)), roundMS(longest(r.ZoneInTimes)))
	}
	if err := t.Flush(); err != nil {
		return trace.Wrap(err)
	}
	writeFits(w, results)
	return nil
}

func writeFits(w io.Writer, results []Result) {
	if len(results) < 2 {
		return
	}
	var e, a, nodes, entryBytes, agentBytes, cpu, heap, roll []float64
	for _, r := range results {
		e, a = append(e, float64(r.Entries)), append(a, float64(r.Agents))
		nodes = append(nodes, float64(r.Entries+r.Agents))
		entryBytes, agentBytes = append(entryBytes, r.WithoutChanges.EntryBytes), append(agentBytes, r.WithoutChanges.AgentBytes)
		cpu = append(cpu, 100*r.WithoutChanges.CPUCores)
		heap = append(heap, r.HeapMB*float64(r.Entries+r.Agents))
		roll = append(roll, median(r.RolloutTimes).Seconds()*1000)
	}
	write := func(what string, l Line, x string) {
		_, _ = fmt.Fprintf(w, "%s = %.4g + %.4g * %s\n", what, l.Intercept, l.Slope, x)
	}
	write("entry B/s at rest", FitLine(nodes, entryBytes), "nodes")
	write("entry B/s at rest", FitLine(e, entryBytes), "entries")
	write("agent B/s at rest", FitLine(e, agentBytes), "entries")
	write("roll to in force ms", FitLine(nodes, roll), "nodes")
	pe, pa := FitPlane(e, a, cpu)
	_, _ = fmt.Fprintf(w, "%%core of the process at rest = %.4g * entries + %.4g * agents\n", pe, pa)
	he, ha := FitPlane(e, a, heap)
	_, _ = fmt.Fprintf(w, "heap MB of the process = %.4g * entries + %.4g * agents\n", he, ha)
}

func roundMS(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
