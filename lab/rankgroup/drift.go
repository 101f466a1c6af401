package rankgroup

import (
	"math"
	"math/rand/v2"
)

// Drift holds the parameters of the change of expert popularity over time.
type Drift struct {
	// Spread is the standard deviation of log-popularity at the start.
	Spread float64
	// Walk is the standard deviation of the change of log-popularity per interval.
	Walk float64
	// HotChance is the probability, per layer and interval, that an expert becomes
	// hot.
	HotChance float64
	// HotFactor is the factor by which a hot expert is more popular.
	HotFactor float64
	// HotRamp is the time in which a hot expert's popularity rises, and also that
	// in which it falls again; HotHold is the time in between. Both are in
	// intervals.
	HotRamp, HotHold int
}

// DefaultDrift changes popularity by 2% per interval (76% over a day of 60 s
// intervals) and, on average every 20 intervals, makes one expert of a layer four
// times as popular.
var DefaultDrift = Drift{Spread: 0.5, Walk: 0.02, HotChance: 0.05, HotFactor: 4, HotRamp: 10, HotHold: 20}

// popularity is the drifting log-popularity of the experts of one layer.
type popularity struct {
	drift  Drift
	rng    *rand.Rand
	walk   []float64
	hotAge []int // intervals since the expert became hot; 0 if it is not
}

func newPopularity(drift Drift, experts int, rng *rand.Rand) *popularity {
	p := &popularity{drift: drift, rng: rng, walk: make([]float64, experts), hotAge: make([]int, experts)}
	for e := range p.walk {
		p.walk[e] = drift.Spread * rng.NormFloat64()
	}
	return p
}

// advance moves popularity forward by one interval.
func (p *popularity) advance() {
	length := 2*p.drift.HotRamp + p.drift.HotHold
	for e := range p.walk {
		p.walk[e] += p.drift.Walk * p.rng.NormFloat64()
		if p.hotAge[e] > 0 {
			p.hotAge[e] = (p.hotAge[e] + 1) % length
		}
	}
	if p.rng.Float64() < p.drift.HotChance {
		e := p.rng.IntN(len(p.hotAge))
		if p.hotAge[e] == 0 {
			p.hotAge[e] = 1
		}
	}
}

// logPopularity returns the current log-popularity of each expert.
func (p *popularity) logPopularity() []float64 {
	out := make([]float64, len(p.walk))
	ramp, hold := float64(p.drift.HotRamp), float64(p.drift.HotHold)
	for e, x := range p.walk {
		age := float64(p.hotAge[e])
		level := min(1, age/ramp, max(0, (2*ramp+hold-age)/ramp))
		out[e] = x + level*math.Log(p.drift.HotFactor)
	}
	return out
}

// normalisedLoads returns the loads of the experts of a layer, with a sum of one.
// It interpolates log-popularity at the fraction f between from and to.
func normalisedLoads(from, to []float64, f float64) []float64 {
	out := make([]float64, len(from))
	sum := 0.0
	for e := range from {
		out[e] = math.Exp(from[e] + f*(to[e]-from[e]))
		sum += out[e]
	}
	for e := range out {
		out[e] /= sum
	}
	return out
}
