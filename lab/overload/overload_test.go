package overload

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a measurement that counts no responses, misses an
// organisation, or overloads an engine under a light load.
func TestMeasurementOfALightLoad(t *testing.T) {
	is := is.New(t)
	opt := DefaultOptions()
	opt.Engines, opt.LoadFactors, opt.InitialStates = 2, []float64{0.3}, []string{InitialWarm}
	opt.StepTime, opt.Timeout, opt.LoadDuration = 2*time.Millisecond, 10*time.Second, 2*time.Second
	var out bytes.Buffer
	results, err := Run(t.Context(), opt, &out)
	is.NoErr(err)
	is.Equal(len(results), 1)
	r := results[0]
	is.True(r.Goodput > 0)
	is.Equal(r.Crashes, 0)
	for _, org := range []string{large, small} {
		is.True(r.Organisations[org].Complete > 0)
		is.True(strings.Contains(out.String(), org))
	}
}
