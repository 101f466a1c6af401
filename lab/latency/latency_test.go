package latency

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against comparing requests that fail or streams that are cut.
func TestBothWaysAnswer(t *testing.T) {
	is := is.New(t)
	comparisons, err := Measure(context.Background(), Options{CallRate: 50, StreamRate: 10, Tokens: 8, Phase: 500 * time.Millisecond, Phases: 1, Seed: 1})
	is.NoErr(err)
	is.Equal(len(comparisons), 2)
	for _, c := range comparisons {
		for _, w := range []*Way{c.Direct, c.Routed} {
			is.NoErr(w.Example)
			is.True(w.Requests > 0)
		}
	}
}
