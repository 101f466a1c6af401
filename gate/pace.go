package gate

import (
	"math"
	"time"
)

const (
	// gapGain is the weight of a new token gap; it follows the change of pace
	// of a cold endpoint within a few dozen tokens.
	gapGain = 0.05
	// answerGain is the weight of a new answer's length and first-token time.
	answerGain = 0.1
	// deviations is the number of mean deviations above the mean length that a
	// request is expected to stay below.
	deviations = 2
)

// pace estimates how long requests hold a slot. A request is done after its
// first-token time and one gap for each further unit of its cost that is
// served; answers usually serve only a part of their bound. It is not safe for
// concurrent use.
type pace struct {
	gap       float64 // seconds per unit of cost
	first     float64 // seconds
	part      float64 // served cost divided by expected cost
	deviation float64 // mean deviation of part
	answers   int
}

// step takes the time of served units.
func (p *pace) step(d time.Duration, units float64) {
	if d <= 0 || units <= 0 {
		return
	}
	s := d.Seconds() / units
	if p.gap == 0 {
		p.gap = s
	}
	p.gap += gapGain * (s - p.gap)
}

// firstToken takes the time from the hand-over to the first token.
func (p *pace) firstToken(d time.Duration) {
	s := d.Seconds()
	if p.first == 0 {
		p.first = s
	}
	p.first += answerGain * (s - p.first)
}

// answered takes the length of a whole answer.
func (p *pace) answered(expected, served float64) {
	if expected <= 0 || served <= 0 {
		return
	}
	part := min(served/expected, 1)
	p.answers++
	gain := max(answerGain, 1/float64(p.answers))
	if p.answers > 1 {
		p.deviation += gain * (math.Abs(part-p.part) - p.deviation)
	}
	p.part += gain * (part - p.part)
}

func (p *pace) known() bool { return p.gap > 0 }

// hold returns the mean time for which a request holds its slot, and one that
// it rarely exceeds. Without whole answers a request is expected to use its
// whole bound.
func (p *pace) hold(cost float64) (mean, high time.Duration) {
	part, most := 1.0, 1.0
	if p.answers > 0 {
		part, most = p.part, min(1, p.part+deviations*p.deviation)
	}
	at := func(part float64) time.Duration {
		return time.Duration((p.first + cost*part*p.gap) * float64(time.Second))
	}
	return at(part), at(most)
}
