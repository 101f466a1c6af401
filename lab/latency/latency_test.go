package latency

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against comparing requests that fail or streams that are cut.
func TestBothWaysAnswer(t *testing.T) {
	is := is.New(t)
	comparisons, err := Measure(context.Background(), Options{CallRate: 50, StreamRate: 10, Tokens: 8, WarmUp: 500 * time.Millisecond, Phase: 500 * time.Millisecond, Phases: 1, Seed: 1})
	is.NoErr(err)
	is.Equal(len(comparisons), 2)
	for _, c := range comparisons {
		for _, w := range []*Way{c.Direct, c.Routed} {
			is.NoErr(w.Example)
			is.True(w.Requests > 0)
		}
	}
}

// BenchmarkCompare reports the added latency of calls and streams, in
// microseconds, at half of what the endpoints sustain.
func BenchmarkCompare(b *testing.B) {
	var comparisons []Comparison
	for b.Loop() {
		var err error
		comparisons, err = Measure(context.Background(), Options{CallRate: 1600, StreamRate: 75, Tokens: 16,
			WarmUp: 2 * time.Second, Phase: 2 * time.Second, Phases: 2, Seed: 1})
		if err != nil {
			b.Fatal(err)
		}
	}
	for _, c := range comparisons {
		for _, q := range []float64{50, 99} {
			b.ReportMetric(1000*(quantile(c.Routed.First, q)-quantile(c.Direct.First, q)), fmt.Sprintf("%s-p%.0f-us", c.Kind, q))
		}
	}
}
