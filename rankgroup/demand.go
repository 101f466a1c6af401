package rankgroup

import (
	"encoding/json"
	"errors"
	"math"
	"slices"
)

// Demand learns which experts a group's requests choose. Demand moves between
// a few patterns that return, so past patterns are kept beside the present one.
type Demand struct {
	d Dimensions
	// present is the moving average of recent windows.
	present  []float64
	patterns []pattern
	window   []float64
}

// pattern is a demand that was seen, as the part of its set that each expert gets.
type pattern struct {
	experts []float64
	weight  float64
}

const (
	// minWindow is the least number of choices in a set, per expert, for which a
	// window says enough about the demand.
	minWindow = 8
	// presentGain is the part of the newest window in the present demand.
	presentGain = 0.6
	// samePattern is the least cosine of two windows that count as one pattern.
	samePattern = 0.93
	// patternGain is the part of the newest window in its pattern.
	patternGain = 0.25
	// patternFade is the factor on all weights with each window, so that
	// patterns of the last minutes count most.
	patternFade = 0.995
	// maxPatterns bounds memory and planning time.
	maxPatterns = 12
)

// NewDemand returns a Demand that has seen nothing.
func NewDemand(d Dimensions) *Demand {
	return &Demand{d: d, window: make([]float64, d.Sets*d.Experts)}
}

// Add takes a rank's choices. Windows of another size are ignored.
func (m *Demand) Add(w Window) {
	if len(w.Experts) != len(m.window) {
		return
	}
	for i, n := range w.Experts {
		m.window[i] += float64(n) * w.Unit
	}
}

// Close ends a window if it holds enough and reports whether it did.
func (m *Demand) Close() bool {
	total := 0.0
	for _, n := range m.window {
		total += n
	}
	if total < minWindow*float64(len(m.window)) {
		return false
	}
	w := normalise(m.window, m.d)
	clear(m.window)
	if m.present == nil {
		m.present = append([]float64(nil), w...)
	}
	mix(m.present, w, presentGain)
	m.remember(w)
	return true
}

func normalise(counts []float64, d Dimensions) []float64 {
	w := make([]float64, len(counts))
	for s := range d.Sets {
		set := counts[s*d.Experts : (s+1)*d.Experts]
		total := 0.0
		for _, n := range set {
			total += n
		}
		if total == 0 {
			continue
		}
		for e, n := range set {
			w[s*d.Experts+e] = n / total
		}
	}
	return w
}

func mix(into, from []float64, gain float64) {
	for i := range into {
		into[i] += gain * (from[i] - into[i])
	}
}

func (m *Demand) remember(w []float64) {
	best, similarity := -1, samePattern
	for i := range m.patterns {
		m.patterns[i].weight *= patternFade
		if c := cosine(m.patterns[i].experts, w); c >= similarity {
			best, similarity = i, c
		}
	}
	if best >= 0 {
		mix(m.patterns[best].experts, w, patternGain)
		m.patterns[best].weight++
		return
	}
	fresh := pattern{experts: append([]float64(nil), w...), weight: 1}
	if len(m.patterns) < maxPatterns {
		m.patterns = append(m.patterns, fresh)
		return
	}
	weakest := 0
	for i := range m.patterns {
		if m.patterns[i].weight < m.patterns[weakest].weight {
			weakest = i
		}
	}
	m.patterns[weakest] = fresh
}

func cosine(a, b []float64) float64 {
	var ab, aa, bb float64
	for i := range a {
		ab += a[i] * b[i]
		aa += a[i] * a[i]
		bb += b[i] * b[i]
	}
	if aa == 0 || bb == 0 {
		return 0
	}
	return ab / math.Sqrt(aa*bb)
}

// Scenarios returns the demands to plan for with weights that sum to 1: the
// present one, and those that may return.
func (m *Demand) Scenarios() []Scenario {
	if m.present == nil {
		return nil
	}
	total := 0.0
	for _, p := range m.patterns {
		total += p.weight
	}
	out := []Scenario{{Experts: m.present, Weight: presentWeight}}
	for _, p := range m.patterns {
		out = append(out, Scenario{Experts: p.experts, Weight: (1 - presentWeight) * p.weight / total})
	}
	return out
}

// presentWeight is the part of the present demand in a plan. A map is in force
// for about as long as one pattern lasts, so the two halves weigh alike.
const presentWeight = 0.6

// Scenario is one demand to plan for.
type Scenario struct {
	// Experts is the part of its set that each expert gets, sets one after the other.
	Experts []float64
	Weight  float64
}

// storedDemand is the stored form: a byte an expert, as a part of the largest.
type storedDemand struct {
	Patterns []storedPattern `json:"patterns"`
}

type storedPattern struct {
	Weight  float64 `json:"weight"`
	Unit    float64 `json:"unit"`
	Experts []byte  `json:"experts"`
}

// MarshalBinary packs the patterns.
func (m *Demand) MarshalBinary() ([]byte, error) {
	var stored storedDemand
	for _, p := range m.patterns {
		largest := slices.Max(p.experts)
		sp := storedPattern{Weight: p.weight, Unit: largest / math.MaxUint8, Experts: make([]byte, len(p.experts))}
		for i, x := range p.experts {
			if largest > 0 {
				sp.Experts[i] = byte(math.Round(x / sp.Unit))
			}
		}
		stored.Patterns = append(stored.Patterns, sp)
	}
	return json.Marshal(stored)
}

// UnmarshalBinary restores the patterns. Those of other dimensions are refused.
func (m *Demand) UnmarshalBinary(b []byte) error {
	var stored storedDemand
	if err := json.Unmarshal(b, &stored); err != nil {
		return err
	}
	patterns := make([]pattern, 0, len(stored.Patterns))
	for _, sp := range stored.Patterns {
		if len(sp.Experts) != len(m.window) || !(sp.Weight >= 0) || !(sp.Unit >= 0) {
			return errors.New("the stored demand is of another engine; it is learned again")
		}
		counts := make([]float64, len(sp.Experts))
		for i, n := range sp.Experts {
			counts[i] = float64(n) * sp.Unit
		}
		patterns = append(patterns, pattern{experts: normalise(counts, m.d), weight: sp.Weight})
	}
	if len(patterns) == 0 {
		return nil
	}
	m.patterns = patterns[:min(len(patterns), maxPatterns)]
	m.present = make([]float64, len(m.window))
	total := 0.0
	for _, p := range m.patterns {
		total += p.weight
	}
	for _, p := range m.patterns {
		for i, x := range p.experts {
			m.present[i] += x * p.weight / total
		}
	}
	return nil
}
