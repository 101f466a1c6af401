package fleet

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a measurement that counts nothing or does not see a change.
func TestMeasureSmallFleet(t *testing.T) {
	is := is.New(t)
	const short = 300 * time.Millisecond
	r, err := Measure(context.Background(), Size{Entries: 3, Agents: 3, Zones: 3, Organisations: 5},
		Options{Settle: short, Window: time.Second, Changes: 1, ChangeEvery: short, Zones: 1})
	is.NoErr(err)
	is.True(r.Quiet.EntryBytes > 0)
	is.True(r.Quiet.AgentBytes > 0)
	is.True(r.Quiet.StoreWatches > 0)
	is.Equal(len(r.Rolled), 1)
	is.Equal(len(r.Out), 1)
	is.Equal(len(r.In), 1)
	var out strings.Builder
	is.NoErr(Write(&out, []Result{r, r}))
	is.True(strings.Contains(out.String(), "entry B/s at rest"))
}

// Guards against wrong slopes, from which the capacity is extrapolated.
func TestFits(t *testing.T) {
	is := is.New(t)
	l := FitLine([]float64{1, 2, 4}, []float64{5, 7, 11})
	is.Equal(l, Line{At0: 3, Slope: 2})
	is.Equal(l.At(10), 23.0)
	a, b := FitPlane([]float64{1, 2, 3}, []float64{1, 1, 5}, []float64{5, 7, 21})
	is.Equal([]float64{a, b}, []float64{2, 3})
}
