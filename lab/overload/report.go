package overload

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wasabinotch/wasabinotch/lab/loadgen"
)

// writeTable writes the options, and one row for each result and organisation.
func writeTable(w io.Writer, opt Options, results []Result) error {
	_, _ = fmt.Fprintf(w, "%d engines, steps of %v, up to %d tokens, time-out %v, load for %v, capacity %.1f answers/s\n",
		opt.Engines, opt.StepTime, opt.MaxTokens, opt.Timeout, opt.LoadDuration, opt.Capacity()) // Flush reports errors
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	line("start\tload\tanswers/s\tgoodput\tengines warm\tlimits warm\tlimit falls\tcrashes\torganisation\tsent\twhole\tcut\tfirst p95 ms\tp99 ms\tfailures")
	for _, r := range results {
		for _, org := range []string{large, small} {
			c := r.Organisations[org]
			line("%s\t%.1f\t%.1f\t%.2f\t%s\t%s\t%d\t%d\t%s\t%d\t%d\t%d\t%.0f\t%.0f\t%s", r.InitialState, r.LoadFactor, r.Goodput, r.RelativeGoodput,
				formatDelay(r.EnginesWarmAfter), formatDelay(r.LimitsWarmAfter), r.LimitDecreases, r.Crashes, org, c.Sent, c.Complete, interruptedCount(c), c.FirstToken.P95, c.Latency.P99, formatFailures(c))
		}
	}
	return t.Flush()
}

func formatDelay(d time.Duration) string {
	if d == 0 {
		return "no"
	}
	return fmt.Sprintf("%.1f s", d.Seconds())
}

// interruptedCount counts the requests that failed or ended early after they
// may have started to run.
func interruptedCount(c loadgen.ClassSummary) int {
	n := c.Truncated
	for k, count := range c.Failures {
		if k.Outcome != "not_run" {
			n += count
		}
	}
	return n
}

func formatFailures(c loadgen.ClassSummary) string {
	var parts []string
	for k, n := range c.Failures {
		parts = append(parts, fmt.Sprintf("%s/%s %d", k.Kind, k.Outcome, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
