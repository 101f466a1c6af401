package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against accepting a request that may be aborted at the exit of the process, and against refusing others.
func TestDrainAccepts(t *testing.T) {
	began := time.Now()
	d := Drain{AcceptAllUntil: began.Add(3 * time.Second), End: began.Add(8 * time.Second)}
	for _, c := range []struct {
		name              string
		arrived, deadline time.Duration
		accepted          bool
	}{
		{"at once, long", 0, 20 * time.Second, true},
		{"early, long", 3*time.Second - 1, 20 * time.Second, true},
		{"late, long", 3 * time.Second, 8*time.Second + 1, false},
		{"late, ends in time", 3 * time.Second, 8 * time.Second, true},
		{"very late, short", 7900 * time.Millisecond, 7950 * time.Millisecond, true},
		{"very late, long", 7900 * time.Millisecond, 9 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(d.accepts(began.Add(c.arrived), began.Add(c.deadline)), c.accepted)
		})
	}
	is.New(t).True(!Drain{}.accepts(began, began.Add(time.Second))) // the zero value refuses all
}
