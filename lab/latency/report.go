package latency

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

// WriteTable prints the comparisons.
func WriteTable(w io.Writer, comparisons []Comparison) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// Flush reports errors.
	_, _ = fmt.Fprintln(t, "kind\tway\trate/s\trequests\tfailed\tfirst p50 ms\tp99 ms\twhole p50 ms\tp99 ms\tcpu us/request\tevents/request")
	for _, c := range comparisons {
		c.Direct.write(t, c, "direct")
		c.Routed.write(t, c, "routed")
		_, _ = fmt.Fprintf(t, "%s\tdifference\t\t\t\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t\n", c.Kind,
			quantile(c.Routed.FirstTokenLatency, 50)-quantile(c.Direct.FirstTokenLatency, 50), quantile(c.Routed.FirstTokenLatency, 99)-quantile(c.Direct.FirstTokenLatency, 99),
			quantile(c.Routed.TotalLatency, 50)-quantile(c.Direct.TotalLatency, 50), quantile(c.Routed.TotalLatency, 99)-quantile(c.Direct.TotalLatency, 99),
			c.Routed.perRequest()-c.Direct.perRequest())
	}
	return trace.Wrap(t.Flush())
}

func (w *PathStats) write(t io.Writer, c Comparison, name string) {
	_, _ = fmt.Fprintf(t, "%s\t%s\t%.0f\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.1f\n", c.Kind, name, c.RatePerSecond, w.Requests, w.Failed,
		quantile(w.FirstTokenLatency, 50), quantile(w.FirstTokenLatency, 99), quantile(w.TotalLatency, 50), quantile(w.TotalLatency, 99),
		w.perRequest(), float64(w.Tokens)/float64(max(w.Requests, 1)))
	if w.ExampleError != nil {
		_, _ = fmt.Fprintf(t, "%s\t%s\tfailure: %v\n", c.Kind, name, w.ExampleError)
	}
}

// perRequest returns the processor time of the whole process per request, in
// microseconds.
func (w *PathStats) perRequest() float64 {
	return float64(w.CPUTime.Microseconds()) / float64(max(w.Requests, 1))
}

// quantile returns a quantile in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
