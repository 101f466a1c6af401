package loadgen

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles are quantiles of a set of durations, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// ClassSummary summarises one class of requests in one phase.
type ClassSummary struct {
	Phase     string `json:"phase"`
	Class     string `json:"class"`
	Sent      int    `json:"sent"`
	Complete  int    `json:"whole"`     // requests with a complete and expected response
	Wrong     int    `json:"wrong"`     // requests whose response differs from the expected one
	Truncated int    `json:"truncated"` // streams without an end event
	Failed    int    `json:"failed"`    // requests that ended in a refusal
	Skipped   int    `json:"skipped"`   // requests not sent, since MaxInFlight were in flight
	// Latency is the time from the scheduled time of a request to the end of its
	// complete response, FirstToken the time to the first token, and TokenGap the
	// time between two tokens of a response.
	Latency    Quantiles `json:"latency"`
	FirstToken Quantiles `json:"first_token"`
	TokenGap   Quantiles `json:"token_gap"`
	// Refusals counts all refused attempts, Failures the refusals that ended a
	// request.
	Refusals      map[RefusalKey]int `json:"refusals"`
	Failures      map[RefusalKey]int `json:"failures"`
	WrongExamples []string           `json:"examples,omitempty"` // descriptions of wrong responses
}

// Summary summarises a run.
type Summary struct {
	Classes []ClassSummary `json:"classes"`
	// Orders is nil if the ledger of orders is not available.
	Orders *OrderSummary `json:"orders,omitempty"`
}

// Violations describes each kind of guarantee violation that the run detected,
// with its count.
func (s Summary) Violations() []string {
	var found []string
	add := func(n int, what string) {
		if n > 0 {
			found = append(found, fmt.Sprintf("%d %s", n, what))
		}
	}
	for _, c := range s.Classes {
		add(c.Wrong, "wrong "+c.Class+" responses in phase "+c.Phase)
		add(c.Truncated, "truncated "+c.Class+" responses in phase "+c.Phase)
	}
	if s.Orders != nil {
		add(s.Orders.Duplicated, "orders ran more than once")
		add(s.Orders.Lost, "confirmed orders did not run")
		add(s.Orders.FalseNotRun, "orders refused as not run have run")
	}
	return found
}

// Failed returns the number of requests that ended in a refusal.
func (s Summary) Failed() int {
	n := 0
	for _, c := range s.Classes {
		n += c.Failed
	}
	return n
}

// Write prints the summary as tables.
func (s Summary) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	write := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) } // Flush reports errors
	write("phase\tclass\tsent\twhole\twrong\ttruncated\tfailed\tskipped\tp50 ms\tp99 ms\tmax ms\tfirst p95 ms\tgap p95 ms\n")
	for _, c := range s.Classes {
		write("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", c.Phase, c.Class, c.Sent, c.Complete, c.Wrong,
			c.Truncated, c.Failed, c.Skipped, c.Latency.P50, c.Latency.P99, c.Latency.Max, c.FirstToken.P95, c.TokenGap.P95)
	}
	if o := s.Orders; o != nil {
		write("\norders placed\tran\tduplicated\tconfirmed\tnot run\tunknown\tunknown, ran\tlost\tfalse not run\n")
		write("%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", o.Placed, o.Ran, o.Duplicated, o.Confirmed, o.NotRun, o.Unknown, o.UnknownRan, o.Lost, o.FalseNotRun)
	}
	write("\nrefused attempts of phase\tclass\tkind\toutcome\tcount\n")
	for _, c := range s.Classes {
		for _, k := range sortedKeys(c.Refusals) {
			write("%s\t%s\t%s\t%s\t%d\n", c.Phase, c.Class, k.Kind, k.Outcome, c.Refusals[k])
		}
	}
	for _, c := range s.Classes {
		for _, example := range c.WrongExamples {
			write("wrong response in phase %s: %s\n", c.Phase, example)
		}
	}
	return t.Flush()
}

func sortedKeys(m map[RefusalKey]int) []RefusalKey {
	keys := make([]RefusalKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Kind != keys[j].Kind {
			return keys[i].Kind < keys[j].Kind
		}
		return keys[i].Outcome < keys[j].Outcome
	})
	return keys
}

func (s *stats) summary(phase string, c class) ClassSummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ClassSummary{
		Phase:         phase,
		Class:         c.String(),
		Sent:          s.sent,
		Complete:      s.complete,
		Wrong:         s.wrong,
		Truncated:     s.truncated,
		Failed:        s.failed,
		Skipped:       s.skipped,
		Latency:       quantiles(s.latency),
		FirstToken:    quantiles(s.firstToken),
		TokenGap:      quantiles(s.tokenGap),
		Refusals:      copyCounts(s.refusedAttempts),
		Failures:      copyCounts(s.failures),
		WrongExamples: append([]string(nil), s.wrongExamples...),
	}
}

func copyCounts(m map[RefusalKey]int) map[RefusalKey]int {
	c := make(map[RefusalKey]int, len(m))
	for k, n := range m {
		c[k] = n
	}
	return c
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const microsPerMilli = 1000.0
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return Quantiles{Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / microsPerMilli}
}
