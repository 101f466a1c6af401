package expertmap

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/wasabinotch/wasabinotch/wire"
)

// switchModel is a group with its agents, coordinators and store. Only the
// network, the store and loading are modelled; the rest is the real code.
type switchModel struct {
	stored   PackedMap
	revision uint64
	recorded map[uint64]string // digest by number, of all maps ever in the store
	coords   [2]RecordCache
	plans    int
	keepers  [3]MapCache
	ranks    [3]modelRank
	messages []modelMessage
	previous uint64 // number used in the previous step that was executed
}

type modelRank struct {
	held    HeldMaps[string]
	loading PackedMap
	highest uint64
	ignores bool
}

type modelMessage struct {
	rank int
	p    PackedMap
}

func (r *modelRank) state() RankState {
	return RankState{Held: r.held.Numbers(), Active: r.held.Active(), Loading: r.loading.Number}
}

// post is the engine's answer to POST /rank/map; false is a 409.
func (r *modelRank) post(p PackedMap) bool {
	if !r.ignores && p.Number < r.highest {
		return false
	}
	r.highest = max(r.highest, p.Number)
	if _, ok := r.held.Get(p.Number); !ok && r.loading.Number == 0 {
		r.loading = p
	}
	return true
}

func (r *modelRank) loaded() {
	if r.loading.Number > 0 {
		r.held.Add(r.loading.Number, r.loading.Digest)
		r.loading = PackedMap{}
	}
}

func (m *switchModel) read(c int) { m.coords[c].Update(m.stored, m.revision) }

// write records a new map if applied is set and the revision matches; the
// coordinator never learns the outcome.
func (m *switchModel) write(c int, applied bool) {
	m.plans++
	p, _ := m.coords[c].Recorded()
	next := PackedMap{Number: p.Number + 1, Digest: fmt.Sprint("plan ", m.plans)}
	revision, ok := m.coords[c].BeginWrite(next)
	if ok && applied && revision == m.revision {
		m.stored = next
		m.revision++
		m.recorded[next.Number] = next.Digest
	}
}

func (m *switchModel) send(t *rapid.T, c, r int) {
	p, ok := m.coords[c].Recorded()
	if !ok {
		return
	}
	if m.recorded[p.Number] != p.Digest {
		t.Fatalf("map %d (%s) is sent but %q is recorded", p.Number, p.Digest, m.recorded[p.Number])
	}
	m.messages = append(m.messages, modelMessage{r, p})
}

func (m *switchModel) sync(r int) {
	if p, ok := m.keepers[r].NextToLoad(m.ranks[r].state()); ok && !m.ranks[r].post(p) {
		m.keepers[r].Drop(p.Number)
	}
}

// step is one exchange; a rank that crashes does so after it has contributed.
func (m *switchModel) step(t *rapid.T, crash int) uint64 {
	var sets [][]uint64
	for r := range m.ranks {
		sets = append(sets, m.ranks[r].held.Numbers())
	}
	if crash >= 0 {
		m.restart(crash)
	}
	used := ""
	agreed := AgreedNumber(sets)
	for r := range m.ranks {
		digest, ok := m.ranks[r].held.BeginStep(agreed)
		m.checkFreed(t, sets[r], r, r == crash)
		if ok == (agreed == 0 || r == crash) {
			t.Fatalf("rank %d, crashed %v, enters %v a step under map %d", r, r == crash, ok, agreed)
		}
		if !ok {
			continue
		}
		if used != "" && used != digest {
			t.Fatalf("a step mixes %q and %q", used, digest)
		}
		used = digest
	}
	if agreed > 0 {
		m.previous = agreed
	}
	return agreed
}

// checkFreed fails if a rank has freed a map that not all ranks had left
// behind in the previous step.
func (m *switchModel) checkFreed(t *rapid.T, before []uint64, r int, crashed bool) {
	for _, n := range before {
		if _, ok := m.ranks[r].held.Get(n); !ok && !crashed && n >= m.previous {
			t.Fatalf("rank %d freed map %d, the previous step used %d", r, n, m.previous)
		}
	}
}

func (m *switchModel) restart(r int) {
	m.ranks[r] = modelRank{ignores: m.ranks[r].ignores}
}

func (m *switchModel) reply(r int) wire.MapReply {
	st := m.ranks[r].state()
	return wire.MapReply{Held: st.Held, Loading: st.Loading, Active: st.Active, Highest: m.keepers[r].Highest()}
}

// heal runs without faults: the group must come to use the recorded map.
func (m *switchModel) heal(t *rapid.T) {
	m.read(0)
	m.messages = nil
	agreed := uint64(0)
	for range 8 {
		for r := range m.ranks {
			m.sync(r)
			m.ranks[r].loaded()
			if p, ok := m.coords[0].Recorded(); ok && m.coords[0].RankNeedsMap(m.reply(r)) {
				m.keepers[r].Accept(p)
			}
		}
		agreed = m.step(t, -1)
	}
	if agreed != m.stored.Number {
		t.Fatalf("the group uses map %d after all faults, %d is recorded: %+v", agreed, m.stored.Number, m.ranks)
	}
	var replies []wire.MapReply
	for r := range m.ranks {
		replies = append(replies, m.reply(r))
	}
	if m.stored.Number > 0 && !m.coords[0].InUseByAll(replies) {
		t.Fatalf("the coordinator does not see that the map is in use: %+v", replies)
	}
}

// Guards against steps that mix maps, against sending unrecorded maps, and
// against a group that stays stuck once faults end, over random sequences of
// reads, writes with unknown outcome, delayed and repeated messages, crashes,
// restarts and stale maps that bypass the agent.
func TestSwitchProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &switchModel{recorded: make(map[uint64]string)}
		for r := range m.ranks {
			m.ranks[r].ignores = rapid.Bool().Draw(t, "ignores fencing")
		}
		coord := rapid.IntRange(0, 1)
		rank := rapid.IntRange(0, len(m.ranks)-1)
		t.Repeat(map[string]func(*rapid.T){
			"read":  func(t *rapid.T) { m.read(coord.Draw(t, "c")) },
			"write": func(t *rapid.T) { m.write(coord.Draw(t, "c"), rapid.Bool().Draw(t, "applied")) },
			"send": func(t *rapid.T) {
				m.send(t, coord.Draw(t, "c"), rank.Draw(t, "r"))
			},
			"send all": func(t *rapid.T) {
				c := coord.Draw(t, "c")
				for r := range m.ranks {
					m.send(t, c, r)
				}
			},
			"deliver": func(t *rapid.T) {
				if len(m.messages) == 0 {
					return // nothing to deliver yet
				}
				// Messages stay in the list: they are repeated and reordered.
				msg := m.messages[rapid.IntRange(0, len(m.messages)-1).Draw(t, "m")]
				old := msg.p.Number < m.keepers[msg.rank].Highest()
				if m.keepers[msg.rank].Accept(msg.p) == old {
					t.Fatalf("old %v map %d was accepted or a new one refused", old, msg.p.Number)
				}
			},
			"sync": func(t *rapid.T) {
				for r := range m.ranks {
					m.sync(r)
				}
			},
			"loaded": func(t *rapid.T) { m.ranks[rank.Draw(t, "r")].loaded() },
			"all loaded": func(t *rapid.T) {
				for r := range m.ranks {
					m.ranks[r].loaded()
				}
			},
			"step":           func(t *rapid.T) { m.step(t, -1) },
			"step and crash": func(t *rapid.T) { m.step(t, rank.Draw(t, "r")) },
			"restart rank":   func(t *rapid.T) { m.restart(rank.Draw(t, "r")) },
			"restart agent":  func(t *rapid.T) { m.keepers[rank.Draw(t, "r")] = MapCache{} },
			"stale post": func(t *rapid.T) {
				if len(m.recorded) == 0 {
					return // nothing recorded yet
				}
				n := uint64(rapid.IntRange(1, len(m.recorded)).Draw(t, "n"))
				m.ranks[rank.Draw(t, "r")].post(PackedMap{Number: n, Digest: m.recorded[n]})
			},
		})
		m.heal(t)
	})
}
