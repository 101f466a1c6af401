package latency

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

// WriteTable writes a table of the comparisons to w.
func WriteTable(w io.Writer, comparisons []Comparison) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// Flush reports write errors.
	_, _ = fmt.Fprintln(t, "kind\tway\trate/s\trequests\tfailed\tfirst p50 ms\tp99 ms\twhole p50 ms\tp99 ms\tcpu us/request\tevents/request")
	for _, c := range comparisons {
		c.Direct.write(t, c, "direct")
		c.Routed.write(t, c, "routed")
		_, _ = fmt.Fprintf(t, "%s\tdifference\t\t\t\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t\n", c.Kind,
			quantileMillis(c.Routed.FirstTokenLatency, 50)-quantileMillis(c.Direct.FirstTokenLatency, 50), quantileMillis(c.Routed.FirstTokenLatency, 99)-quantileMillis(c.Direct.FirstTokenLatency, 99),
			quantileMillis(c.Routed.TotalLatency, 50)-quantileMillis(c.Direct.TotalLatency, 50), quantileMillis(c.Routed.TotalLatency, 99)-quantileMillis(c.Direct.TotalLatency, 99),
			c.Routed.cpuMicrosPerRequest()-c.Direct.cpuMicrosPerRequest())
	}
	return trace.Wrap(t.Flush())
}

func (s *PathStats) write(t io.Writer, c Comparison, name string) {
	_, _ = fmt.Fprintf(t, "%s\t%s\t%.0f\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.1f\n", c.Kind, name, c.RatePerSecond, s.Requests, s.Failed,
		quantileMillis(s.FirstTokenLatency, 50), quantileMillis(s.FirstTokenLatency, 99), quantileMillis(s.TotalLatency, 50), quantileMillis(s.TotalLatency, 99),
		s.cpuMicrosPerRequest(), float64(s.Tokens)/float64(max(s.Requests, 1)))
	if s.ExampleError != nil {
		_, _ = fmt.Fprintf(t, "%s\t%s\tfailure: %v\n", c.Kind, name, s.ExampleError)
	}
}

// cpuMicrosPerRequest returns the processor time of the whole process per
// request, in microseconds.
func (s *PathStats) cpuMicrosPerRequest() float64 {
	return float64(s.CPUTime.Microseconds()) / float64(max(s.Requests, 1))
}

// quantileMillis returns the q-th percentile of a histogram of microseconds,
// in milliseconds.
func quantileMillis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
