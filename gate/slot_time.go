package gate

import (
	"math"
	"time"
)

const (
	// gapGain is the weight of a new token gap in the moving average, which follows
	// the changing speed of a cold endpoint within a few dozen tokens.
	gapGain = 0.05
	// responseGain is the weight of a new response's length and first-token time.
	responseGain = 0.1
	// highDeviations is the number of mean deviations above the mean length below
	// which a response is expected to stay.
	highDeviations = 2
)

// slotTimeEstimator estimates how long requests hold a slot: the first-token time
// and one gap for each unit of cost that is served. A response usually serves
// only a part of the request's cost, which is an upper bound. slotTimeEstimator
// is not safe for concurrent use.
type slotTimeEstimator struct {
	gapSeconds        float64 // per unit of cost, which is one token of a model request
	firstTokenSeconds float64
	servedFraction    float64 // served cost divided by expected cost
	fractionDeviation float64 // mean absolute deviation of servedFraction
	responses         int
}

// addGap records the time in which the given units of cost were served.
func (e *slotTimeEstimator) addGap(d time.Duration, units float64) {
	if d <= 0 || units <= 0 {
		return
	}
	s := d.Seconds() / units
	if e.gapSeconds == 0 {
		e.gapSeconds = s
	}
	e.gapSeconds += gapGain * (s - e.gapSeconds)
}

// addFirstToken records the time from sending a request to its first token.
func (e *slotTimeEstimator) addFirstToken(d time.Duration) {
	s := d.Seconds()
	if e.firstTokenSeconds == 0 {
		e.firstTokenSeconds = s
	}
	e.firstTokenSeconds += responseGain * (s - e.firstTokenSeconds)
}

// addResponse records the expected and the served cost of a complete response.
func (e *slotTimeEstimator) addResponse(expected, served float64) {
	if expected <= 0 || served <= 0 {
		return
	}
	fraction := min(served/expected, 1)
	e.responses++
	gain := max(responseGain, 1/float64(e.responses))
	if e.responses > 1 {
		e.fractionDeviation += gain * (math.Abs(fraction-e.servedFraction) - e.fractionDeviation)
	}
	e.servedFraction += gain * (fraction - e.servedFraction)
}

// known reports whether there is a measurement to estimate from.
func (e *slotTimeEstimator) known() bool { return e.gapSeconds > 0 }

// estimate returns the mean time for which a request holds its slot, and one that
// it rarely exceeds. Before the first complete response, a request is expected
// to serve its whole cost.
func (e *slotTimeEstimator) estimate(cost float64) (mean, high time.Duration) {
	fraction, highFraction := 1.0, 1.0
	if e.responses > 0 {
		fraction, highFraction = e.servedFraction, min(1, e.servedFraction+highDeviations*e.fractionDeviation)
	}
	duration := func(fraction float64) time.Duration {
		return time.Duration((e.firstTokenSeconds + cost*fraction*e.gapSeconds) * float64(time.Second))
	}
	return duration(fraction), duration(highFraction)
}
