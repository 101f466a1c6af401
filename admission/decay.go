package admission

import (
	"math"
	"time"
)

// decaying is a sum whose terms halve in weight with each half-life.
type decaying struct {
	value float64
	at    time.Time
}

func (d *decaying) add(x float64, now time.Time, halfLife time.Duration) {
	d.value = d.get(now, halfLife) + x
	d.at = now
}

func (d *decaying) get(now time.Time, halfLife time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	age := max(0, now.Sub(d.at)) // a clock that was set back must not enlarge the sum
	return d.value * math.Exp2(-float64(age)/float64(halfLife))
}
