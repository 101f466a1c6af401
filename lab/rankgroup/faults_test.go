package rankgroup

import (
	"testing"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/matryer/is"
)

// Guards against steps that mix maps, and against a group that goes back to an
// older map or does not go on, under each fault.
func TestFaults(t *testing.T) {
	for _, f := range Faults {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			res, err := f.Run(testr.New(t))
			is.NoErr(err)
			res.Report(t.Output(), f.Name)
			is.Equal(res.MixedSteps, nil)  // steps that mix maps
			is.Equal(res.BackwardSteps, 0) // steps on an older map than before
			if f.MustNotStall {
				is.Equal(res.StallTime, time.Duration(0)) // the group must go on
			}
		})
	}
}

// Guards against a comparison in which the alternative is wrong rather than
// slow. Its standstill is reported, not bounded.
func TestNamedSwitchDoesNotMix(t *testing.T) {
	for _, f := range NamedFaults {
		is := is.New(t)
		v, err := RunNamed(f)
		is.NoErr(err)
		FaultResult{CheckResult: v, Recorded: namedMaps}.Report(t.Output(), "named step: "+string(f))
		is.Equal(v.MixedSteps, nil)
	}
}

// Guards against a loop of reports, plan, record and switch in which a part
// misreads another: under steady popularity it must come to a balanced map.
func TestLoopBalances(t *testing.T) {
	is := is.New(t)
	b, err := NewBench(false, testr.New(t))
	is.NoErr(err)
	defer b.Close()
	b.steady.Store(true)
	b.entry[0].alone.Store(true)
	b.StartEntry(0)
	is.NoErr(b.advance(1))
	first, err := b.skew()
	is.NoErr(err)
	is.NoErr(b.advance(4))
	skew, err := b.skew()
	is.NoErr(err)
	t.Logf("skew of the first map %.4f, after four plans %.4f", first, skew)
	is.True(skew <= 0.08)
}
