package rankgroup

import (
	"encoding/json"
	"errors"
	"math"
	"slices"
	"sort"
)

// Demand learns which experts a group's requests choose. What is asked for
// moves between a few topics, each with experts of its own. A topic may return
// at any time, so the present demand is not all that a map must bear.
//
// Most of a rank's choices within a window are made by the prompt that it has
// just read, and one prompt is of one topic. So the windows of single ranks,
// not their sum, show the topics.
type Demand struct {
	d Dimensions
	// window is the sum of all ranks since the last Close.
	window []float64
	// present is the moving average of the group's windows, mean a slower one.
	present, mean []float64
	topics        []topic
	// usual is the moving average of a rank window's choices.
	usual float64
}

// topic is one pattern of choices, as the part of its set that each expert gets.
type topic struct {
	experts []float64
	// seen counts the windows that showed it; weight fades with time.
	seen   int
	weight float64
}

const (
	// minWindow is the least number of choices in a window, per expert, for
	// which it says enough about the demand.
	minWindow = 8
	// presentGain and meanGain are the parts of the newest window in the present
	// demand and in the mean.
	presentGain = 0.6
	meanGain    = 0.03
	// sameTopic is the least correlation, after the mean is taken off, of two
	// windows that count as one topic.
	sameTopic = 0.8
	// topicGain bounds the part of the newest window in its topic from below.
	topicGain = 0.05
	// topicFade is the factor on all weights with each window of a rank.
	topicFade = 0.9995
	// maxTopics bounds memory. A topic that shows in fewer than minSeen windows
	// is a chance mix of others.
	maxTopics = 24
	minSeen   = 3
	// scenarioTopics is the number of topics in demand at one time, and
	// maxScenarios bounds the mixes that a map is planned for.
	scenarioTopics = 3
	maxScenarios   = 12
	// presentWeight is the part of the present demand in a plan. A map is in
	// force for about as long as one demand lasts, so both halves weigh alike.
	presentWeight = 0.6
)

// Scenario is one demand to plan for.
type Scenario struct {
	// Experts is the part of its set that each expert gets, sets one after the other.
	Experts []float64
	Weight  float64
}

// NewDemand returns a Demand that has seen nothing.
func NewDemand(d Dimensions) *Demand {
	return &Demand{d: d, window: make([]float64, d.Sets*d.Experts)}
}

// Add takes a rank's choices. Windows of another size are ignored.
func (m *Demand) Add(w Window) {
	if len(w.Experts) != len(m.window) || w.Unit <= 0 {
		return
	}
	counts := make([]float64, len(w.Experts))
	total := 0.0
	for i, n := range w.Experts {
		counts[i] = float64(n) * w.Unit
		m.window[i] += counts[i]
		total += counts[i]
	}
	m.usual += (total - m.usual) / 16
	if m.mean != nil && total >= m.usual && total >= minWindow*float64(len(counts)) {
		m.learn(normalise(counts, m.d))
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
		m.present = slices.Clone(w)
	}
	if m.mean == nil {
		m.mean = slices.Clone(w)
	}
	mix(m.present, w, presentGain)
	mix(m.mean, w, meanGain)
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

// learn adds a rank's window to the topic that it shows.
func (m *Demand) learn(w []float64) {
	best, correlation := -1, sameTopic
	for i := range m.topics {
		m.topics[i].weight *= topicFade
		if c := m.correlation(m.topics[i].experts, w); c >= correlation {
			best, correlation = i, c
		}
	}
	if best >= 0 {
		t := &m.topics[best]
		t.seen++
		t.weight++
		mix(t.experts, w, max(topicGain, 1/float64(t.seen)))
		return
	}
	fresh := topic{experts: w, seen: 1, weight: 1}
	if len(m.topics) < maxTopics {
		m.topics = append(m.topics, fresh)
		return
	}
	weakest := 0
	for i := range m.topics {
		if m.topics[i].weight < m.topics[weakest].weight {
			weakest = i
		}
	}
	m.topics[weakest] = fresh
}

// correlation compares two demands by what sets them off from the mean.
func (m *Demand) correlation(a, b []float64) float64 {
	var ab, aa, bb float64
	for i, mean := range m.mean {
		x, y := a[i]-mean, b[i]-mean
		ab += x * y
		aa += x * x
		bb += y * y
	}
	if aa == 0 || bb == 0 {
		return 0
	}
	return ab / math.Sqrt(aa*bb)
}

// known returns the topics that are no chance mixes, by weight.
func (m *Demand) known() []topic {
	var known []topic
	for _, t := range m.topics {
		if t.seen >= minSeen {
			known = append(known, t)
		}
	}
	sort.Slice(known, func(i, j int) bool { return known[i].weight > known[j].weight })
	return known[:min(len(known), maxScenarios)]
}

// Scenarios returns the demands to plan for with weights that sum to 1: the
// present one, and mixes of topics that may come in its place.
func (m *Demand) Scenarios() []Scenario {
	if m.present == nil {
		return nil
	}
	known := m.known()
	if len(known) < scenarioTopics {
		return []Scenario{{Experts: m.present, Weight: 1}}
	}
	out := []Scenario{{Experts: m.present, Weight: presentWeight}}
	for i := range known {
		experts := make([]float64, len(m.present))
		// Each topic is mixed with others at different distances in the order, so
		// that no two mixes are alike.
		for k := range scenarioTopics {
			for e, x := range known[(i+k*(k+1)/2)%len(known)].experts {
				experts[e] += x / scenarioTopics
			}
		}
		out = append(out, Scenario{Experts: experts, Weight: (1 - presentWeight) / float64(len(known))})
	}
	return out
}

// storedDemand is the stored form: a byte an expert, as a part of the largest.
type storedDemand struct {
	Topics []storedTopic `json:"topics"`
}

type storedTopic struct {
	Seen    int     `json:"seen"`
	Weight  float64 `json:"weight"`
	Unit    float64 `json:"unit"`
	Experts []byte  `json:"experts"`
}

// MarshalBinary packs the topics.
func (m *Demand) MarshalBinary() ([]byte, error) {
	stored := storedDemand{Topics: []storedTopic{}}
	for _, t := range m.known() {
		st := storedTopic{Seen: t.seen, Weight: t.weight, Unit: slices.Max(t.experts) / math.MaxUint8, Experts: make([]byte, len(t.experts))}
		for i, x := range t.experts {
			if st.Unit > 0 {
				st.Experts[i] = byte(math.Round(x / st.Unit))
			}
		}
		stored.Topics = append(stored.Topics, st)
	}
	return json.Marshal(stored)
}

// ErrStoredDemand means that a stored demand is of another engine.
var ErrStoredDemand = errors.New("the stored demand doesn't fit the engine; it is learned again")

// UnmarshalBinary adds stored topics.
func (m *Demand) UnmarshalBinary(b []byte) error {
	var stored storedDemand
	if err := json.Unmarshal(b, &stored); err != nil {
		return errors.Join(ErrStoredDemand, err)
	}
	for _, st := range stored.Topics {
		if len(st.Experts) != len(m.window) || !(st.Weight >= 0) || !(st.Unit >= 0) {
			return ErrStoredDemand
		}
		counts := make([]float64, len(st.Experts))
		for i, n := range st.Experts {
			counts[i] = float64(n) * st.Unit
		}
		m.adopt(topic{experts: normalise(counts, m.d), seen: st.Seen, weight: st.Weight})
	}
	return nil
}

// adopt adds a stored topic, unless it is known. Until demand is seen, the mean
// of the topics stands for it.
func (m *Demand) adopt(t topic) {
	if m.mean == nil {
		m.mean, m.present = slices.Clone(t.experts), slices.Clone(t.experts)
	} else {
		mix(m.mean, t.experts, 1/float64(len(m.topics)+1))
		mix(m.present, t.experts, 1/float64(len(m.topics)+1))
	}
	for _, known := range m.topics {
		if m.correlation(known.experts, t.experts) >= sameTopic {
			return
		}
	}
	if len(m.topics) < maxTopics {
		m.topics = append(m.topics, t)
	}
}
