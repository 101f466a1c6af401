package share

import (
	"cmp"
	"slices"
	"time"
)

// Member is an entry that has a part of the limits.
type Member struct {
	ID string
	// Weight is the entry's part relative to those of others, greater than 0. All entries
	// must know the same weight of an entry.
	Weight float64
}

// Total returns the sum of the members' weights.
func Total(members []Member) float64 {
	sum := 0.0
	for _, m := range members {
		sum += m.Weight
	}
	return sum
}

// Members keeps the entries that may still serve callers. It answers the load in which
// entries stop, drain, freeze or lose their records while requests fail: an entry whose
// record is gone may serve on for as long as a drain lasts or the store rejects its VM, so
// its part isn't given to others at once. The zero value is empty.
type Members struct {
	present map[string]float64
	lapsed  map[string]lapsedMember
}

type lapsedMember struct {
	weight float64
	at     time.Time
}

// Join adds an entry, or changes its weight.
func (m *Members) Join(e Member) {
	if m.present == nil {
		m.present, m.lapsed = make(map[string]float64), make(map[string]lapsedMember)
	}
	m.present[e.ID] = e.Weight
	delete(m.lapsed, e.ID)
}

// Leave records that an entry's record is gone.
func (m *Members) Leave(id string, now time.Time) {
	if weight, ok := m.present[id]; ok {
		m.lapsed[id] = lapsedMember{weight, now}
		delete(m.present, id)
	}
}

// maxHeard bounds the entries without a record that are kept, as anything that reaches the
// peer port can name some.
const maxHeard = 1 << 10

// Heard records that an entry serves although its record may be gone: it counts as if its
// record had just been removed. Beyond maxHeard such entries further ones are ignored.
func (m *Members) Heard(e Member, now time.Time) {
	if _, ok := m.present[e.ID]; ok {
		return
	}
	if _, ok := m.lapsed[e.ID]; !ok && len(m.lapsed) >= maxHeard {
		return
	}
	m.Join(e)
	m.Leave(e.ID, now)
}

// Forget drops the entries that left longer than hold ago.
func (m *Members) Forget(hold time.Duration, now time.Time) {
	for id, l := range m.lapsed {
		if now.Sub(l.at) >= hold {
			delete(m.lapsed, id)
		}
	}
}

// Present returns the number of entries that have not left.
func (m *Members) Present() int { return len(m.present) }

// Within returns the entries that have not left, or left less than hold ago, by ID.
func (m *Members) Within(hold time.Duration, now time.Time) []Member {
	all := make([]Member, 0, len(m.present)+len(m.lapsed))
	for id, weight := range m.present {
		all = append(all, Member{id, weight})
	}
	for id, l := range m.lapsed {
		if now.Sub(l.at) < hold {
			all = append(all, Member{id, l.weight})
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
