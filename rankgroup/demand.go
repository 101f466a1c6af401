package rankgroup

import "math"

// Demand estimates which experts a group's requests select. Demand moves to other
// experts within seconds and seldom returns, so only the current demand counts.
type Demand struct {
	dimensions Dimensions
	// window is the group's open window: the sum of all ranks' selections of each expert
	// since the last CloseWindow that returned true. Like current, it lists the experts
	// of all expert sets (see Dimensions), one set after the other.
	window []float64
	// current is each expert's share of the selections in its expert set, as a moving
	// average over the closed windows; nil until CloseWindow has returned true.
	current []float64
}

const (
	// minSelectionsPerExpert is the mean number of selections per expert below which the
	// window stays open, since it says too little about the demand.
	minSelectionsPerExpert = 8
	// newWindowWeight is the weight of the newest window in the moving average.
	newWindowWeight = 0.6
	// minDemandSimilarity is the cosine similarity of the moving average and a new window
	// below which the demand has moved: the new window then replaces the average instead
	// of being averaged with it.
	minDemandSimilarity = 0.9
)

// NewDemand returns a Demand without any windows.
func NewDemand(d Dimensions) *Demand {
	return &Demand{dimensions: d, window: make([]float64, d.Sets*d.Experts)}
}

// AddWindow adds the selections that one rank reported to the group's open window.
// It ignores a report of another length, such as that of a rank with other Dimensions.
func (m *Demand) AddWindow(w SelectionWindow) {
	if len(w.Selections) != len(m.window) {
		return
	}
	for i, n := range w.Selections {
		m.window[i] += float64(n) * w.Unit
	}
}

// CloseWindow updates the current demand from the open window and begins a new one if
// the open one has enough selections, and reports whether it did. Otherwise the window
// stays open and keeps its selections.
func (m *Demand) CloseWindow() bool {
	total := 0.0
	for _, n := range m.window {
		total += n
	}
	if total < minSelectionsPerExpert*float64(len(m.window)) {
		return false
	}
	w := normalise(m.window, m.dimensions)
	clear(m.window)
	if m.current == nil || cosine(m.current, w) < minDemandSimilarity {
		m.current = w
		return true
	}
	for i := range w {
		m.current[i] += newWindowWeight * (w[i] - m.current[i])
	}
	return true
}

// Current returns each expert's share of the selections in its expert set, one set
// after the other; nil until CloseWindow has returned true.
func (m *Demand) Current() []float64 { return m.current }

// normalise scales the counts of each expert set to a sum of 1. A set without
// selections stays 0.
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
