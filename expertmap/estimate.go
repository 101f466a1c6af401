package expertmap

import (
	"math"
	"slices"
)

// Estimator forecasts loads and speeds from reports that lag behind. Both are
// exponentially weighted moving averages. The load of an expert whose trend is an
// outlier in its layer is extrapolated; other changes are taken as noise.
type Estimator struct {
	cfg    EstimatorConfig
	loads  [][]float64
	trends [][]float64 // moving average of the change of log(load) per report
	speeds []float64
}

// EstimatorConfig holds the parameters of an Estimator.
type EstimatorConfig struct {
	// LoadGain and SpeedGain are the weights of the newest report in the averages,
	// from 0 to 1.
	LoadGain, SpeedGain float64
	// TrendGain is the weight of the newest report in the trends, from 0 to 1.
	TrendGain float64
	// OutlierFactor is the multiple of the layer's median trend magnitude above
	// which the load of an expert is extrapolated.
	OutlierFactor float64
	// LeadIntervals is the extrapolation time: from the middle of the newest report
	// to the middle of the period in which the plan is used, in report intervals.
	LeadIntervals float64
}

// DefaultEstimatorConfig minimises skew when loads are known one report interval
// late. In the simulation of lab/rankgroup with seed 1, a load gain of 1 gives
// less skew than 0.8 and 0.6, and extrapolation lowers the skew of 256 ranks from
// 0.094 to 0.063.
var DefaultEstimatorConfig = EstimatorConfig{LoadGain: 1, SpeedGain: 0.3, TrendGain: 0.5, OutlierFactor: 4, LeadIntervals: 1.25}

// NewEstimator returns an estimator without data.
func NewEstimator(cfg EstimatorConfig) *Estimator {
	return &Estimator{cfg: cfg}
}

// AddLoads adds the loads of one report interval, by layer and expert.
func (e *Estimator) AddLoads(loads [][]float64) {
	if e.loads == nil {
		for l := range loads {
			e.loads = append(e.loads, slices.Clone(loads[l]))
			e.trends = append(e.trends, make([]float64, len(loads[l])))
		}
		return
	}
	for l := range loads {
		e.addLayer(l, loads[l])
	}
}

func (e *Estimator) addLayer(l int, loads []float64) {
	level, trend := e.loads[l], e.trends[l]
	for i, v := range loads {
		old := level[i]
		level[i] += e.cfg.LoadGain * (v - old)
		change := 0.0
		if old > 0 && level[i] > 0 {
			change = math.Log(level[i] / old)
		}
		trend[i] += e.cfg.TrendGain * (change - trend[i])
	}
}

// AddSpeeds adds measured speeds by rank; 0 means not measured. A rank that was
// not measured in the first call starts with speed 1.
func (e *Estimator) AddSpeeds(speeds []float64) {
	if e.speeds == nil {
		e.speeds = slices.Clone(speeds)
		for r, v := range speeds {
			if v <= 0 {
				e.speeds[r] = 1
			}
		}
		return
	}
	for r, v := range speeds {
		if v > 0 {
			e.speeds[r] += e.cfg.SpeedGain * (v - e.speeds[r])
		}
	}
}

// Loads returns the forecast loads by layer and expert, nil without data.
func (e *Estimator) Loads() [][]float64 {
	if e.loads == nil {
		return nil
	}
	out := make([][]float64, len(e.loads))
	for l, level := range e.loads {
		out[l] = slices.Clone(level)
		limit := e.cfg.OutlierFactor * medianMagnitude(e.trends[l])
		for i, change := range e.trends[l] {
			if math.Abs(change) > limit {
				out[l][i] *= math.Exp(change * e.cfg.LeadIntervals)
			}
		}
	}
	return out
}

func medianMagnitude(values []float64) float64 {
	m := make([]float64, len(values))
	for i, v := range values {
		m[i] = math.Abs(v)
	}
	slices.Sort(m)
	return m[len(m)/2]
}

// Speeds returns the estimated speeds by rank, nil without data.
func (e *Estimator) Speeds() []float64 { return e.speeds }
