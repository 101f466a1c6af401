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
			is.Equal(res.Mixed, nil) // steps that mix maps
			is.Equal(res.Back, 0)    // steps on an older map than before
			if f.Running {
				is.Equal(res.Standstill, time.Duration(0)) // the group must go on
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
		FaultResult{Verdict: v, Recorded: 2}.Report(t.Output(), "named step: "+string(f))
		is.Equal(v.Mixed, nil)
	}
}
