package fleet

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a measurement that counts no traffic or misses a change.
func TestMeasureSmallFleet(t *testing.T) {
	is := is.New(t)
	const short = 300 * time.Millisecond
	r, err := Measure(context.Background(), Size{Entries: 3, Agents: 3, Zones: 3, Organisations: 5},
		Options{SettleTime: short, QuietTime: time.Second, Changes: 1, ChangeInterval: short, ZoneMoves: 1})
	is.NoErr(err)
	is.True(r.WithoutChanges.EntryBytes > 0)
	is.True(r.WithoutChanges.AgentBytes > 0)
	is.True(r.WithoutChanges.StoreWatches > 0)
	is.Equal(len(r.RolloutTimes), 1)
	is.Equal(len(r.ZoneOutTimes), 1)
	is.Equal(len(r.ZoneInTimes), 1)
	var out strings.Builder
	is.NoErr(Write(&out, []Result{r, r}))
	is.True(strings.Contains(out.String(), "entry B/s at rest"))
}

// Guards against wrong fits; the capacity of a fleet is extrapolated from them.
func TestFits(t *testing.T) {
	is := is.New(t)
	l := FitLine([]float64{1, 2, 4}, []float64{5, 7, 11})
	is.Equal(l, Line{Intercept: 3, Slope: 2})
	is.Equal(l.At(10), 23.0)
	a, b := FitPlane([]float64{1, 2, 3}, []float64{1, 1, 5}, []float64{5, 7, 21})
	is.Equal([]float64{a, b}, []float64{2, 3})
}
