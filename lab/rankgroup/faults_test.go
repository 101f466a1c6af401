package rankgroup

import (
	"testing"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/matryer/is"
)

// Guards against steps in which ranks use different maps, and against a group that
// returns to an older map or stops switching maps, under each fault.
func TestFaults(t *testing.T) {
	for _, f := range Faults {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			res, err := f.Run(testr.New(t))
			is.NoErr(err)
			res.Report(t.Output(), f.Name)
			is.Equal(res.MixedSteps, nil)  // steps in which ranks used different maps
			is.Equal(res.BackwardSteps, 0) // steps on an older map than an earlier step
			if f.MustNotStall {
				is.Equal(res.StallTime, time.Duration(0)) // the group must not stall
			}
		})
	}
}

// Guards against an incorrect implementation of the named switch, which would make
// the comparison with it meaningless. Its stall time is reported, not bounded.
func TestNamedSwitchDoesNotMix(t *testing.T) {
	for _, f := range NamedFaults {
		is := is.New(t)
		v, err := RunNamed(f)
		is.NoErr(err)
		FaultResult{CheckResult: v, Recorded: namedMaps}.Report(t.Output(), "named step: "+string(f))
		is.Equal(v.MixedSteps, nil)
	}
}

// Guards against a part of the control loop (reports, plan, record, switch) that
// misinterprets the data of another: under constant popularity the loop must
// converge to a balanced map.
func TestLoopBalances(t *testing.T) {
	is := is.New(t)
	b, err := NewBench(false, testr.New(t))
	is.NoErr(err)
	defer b.Close()
	b.steadyPopularity.Store(true)
	b.entries[0].seesNoOtherEntry.Store(true)
	b.StartEntry(0)
	is.NoErr(b.awaitMaps(1))
	first, err := b.skew()
	is.NoErr(err)
	is.NoErr(b.awaitMaps(4))
	skew, err := b.skew()
	is.NoErr(err)
	t.Logf("skew of the first map %.4f, after four plans %.4f", first, skew)
	is.True(skew <= 0.08)
}
