package latency

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a comparison of failed requests or truncated streams.
func TestBothPathsSucceed(t *testing.T) {
	is := is.New(t)
	comparisons, err := Measure(context.Background(), Options{CallRate: 50, StreamRate: 10, TokensPerStream: 8, WarmUpDuration: 500 * time.Millisecond, PhaseDuration: 500 * time.Millisecond, PhasesPerPath: 1, Seed: 1})
	is.NoErr(err)
	is.Equal(len(comparisons), 2)
	for _, c := range comparisons {
		for _, stats := range []*PathStats{c.Direct, c.Routed} {
			is.NoErr(stats.ExampleError)
			is.True(stats.Requests > 0)
		}
	}
}

// BenchmarkCompare reports the added latency of calls and streams, in
// microseconds, at half of the load that the endpoints sustain.
func BenchmarkCompare(b *testing.B) {
	var comparisons []Comparison
	for b.Loop() {
		var err error
		comparisons, err = Measure(context.Background(), Options{CallRate: 1600, StreamRate: 75, TokensPerStream: 16,
			WarmUpDuration: 2 * time.Second, PhaseDuration: 2 * time.Second, PhasesPerPath: 2, Seed: 1})
		if err != nil {
			b.Fatal(err)
		}
	}
	for _, c := range comparisons {
		for _, q := range []float64{50, 99} {
			b.ReportMetric(1000*(quantileMillis(c.Routed.FirstTokenLatency, q)-quantileMillis(c.Direct.FirstTokenLatency, q)), fmt.Sprintf("%s-p%.0f-us", c.Kind, q))
		}
	}
}
