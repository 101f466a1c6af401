package rankgroup

import "math"

// Demand learns which experts a group's requests choose. Demand moves to other
// experts within seconds and seldom returns, so only the present one counts.
type Demand struct {
	d Dimensions
	// window is the sum of all ranks since the last Close.
	window []float64
	// present is the part of its set that each expert gets, sets one after the
	// other; nil before the first window.
	present []float64
}

const (
	// minWindow is the least number of choices in a window, per expert, for
	// which it says enough about the demand.
	minWindow = 8
	// presentGain is the part of the newest window in the present demand.
	presentGain = 0.6
	// sameDemand is the least cosine of two windows of one demand. Below it the
	// demand has moved and the past says nothing.
	sameDemand = 0.9
)

// NewDemand returns a Demand that has seen nothing.
func NewDemand(d Dimensions) *Demand {
	return &Demand{d: d, window: make([]float64, d.Sets*d.Experts)}
}

// AddWindow takes a rank's choices. Windows of another size are ignored.
func (m *Demand) AddWindow(w SelectionWindow) {
	if len(w.Selections) != len(m.window) {
		return
	}
	for i, n := range w.Selections {
		m.window[i] += float64(n) * w.Unit
	}
}

// CloseWindow ends a window if it holds enough and reports whether it did.
func (m *Demand) CloseWindow() bool {
	total := 0.0
	for _, n := range m.window {
		total += n
	}
	if total < minWindow*float64(len(m.window)) {
		return false
	}
	w := normalise(m.window, m.d)
	clear(m.window)
	if m.present == nil || cosine(m.present, w) < sameDemand {
		m.present = w
		return true
	}
	for i := range w {
		m.present[i] += presentGain * (w[i] - m.present[i])
	}
	return true
}

// Current returns the present demand, nil if none was seen.
func (m *Demand) Current() []float64 { return m.present }

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
