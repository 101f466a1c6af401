package expertmap

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/wasabinotch/wasabinotch/wire"
)

// switchModel is a rank group with its agents, coordinators and store. It simulates
// the network, the store, the engines' handling of map requests and the loading
// of maps; the rest is production code.
type switchModel struct {
	stored       PackedMap
	revision     uint64
	recorded     map[uint64]string // digest by number of every map that was ever in the store
	coordinators [2]RecordCache
	plans        int
	caches       [3]MapCache
	ranks        [3]modelRank
	messages     []modelMessage
	previousMap  uint64 // number of the map used in the latest step that ran
}

type modelRank struct {
	held           HeldMaps[string]
	loading        PackedMap
	highest        uint64
	ignoresFencing bool
}

type modelMessage struct {
	rank int
	p    PackedMap
}

func (r *modelRank) state() RankState {
	return RankState{Held: r.held.Numbers(), Active: r.held.Active(), Loading: r.loading.Number}
}

// post simulates POST /rank/map to the engine; false stands for a 409 response.
func (r *modelRank) post(p PackedMap) bool {
	if !r.ignoresFencing && p.Number < r.highest {
		return false
	}
	r.highest = max(r.highest, p.Number)
	if _, ok := r.held.Get(p.Number); !ok && r.loading.Number == 0 {
		r.loading = p
	}
	return true
}

func (r *modelRank) finishLoading() {
	if r.loading.Number > 0 {
		r.held.Add(r.loading.Number, r.loading.Digest)
		r.loading = PackedMap{}
	}
}

// read has coordinator c read the record.
func (m *switchModel) read(c int) { m.coordinators[c].Update(m.stored, m.revision) }

// write attempts to record a new map. The write takes effect if applied is set and
// the revision matches; the outcome is not reported to the coordinator.
func (m *switchModel) write(c int, applied bool) {
	m.plans++
	p, _ := m.coordinators[c].Recorded()
	next := PackedMap{Number: p.Number + 1, Digest: fmt.Sprint("plan ", m.plans)}
	revision, ok := m.coordinators[c].BeginWrite(next)
	if ok && applied && revision == m.revision {
		m.stored = next
		m.revision++
		m.recorded[next.Number] = next.Digest
	}
}

func (m *switchModel) send(t *rapid.T, c, r int) {
	p, ok := m.coordinators[c].Recorded()
	if !ok {
		return
	}
	if m.recorded[p.Number] != p.Digest {
		t.Fatalf("map %d (%s) is sent but %q is recorded under its number", p.Number, p.Digest, m.recorded[p.Number])
	}
	m.messages = append(m.messages, modelMessage{r, p})
}

func (m *switchModel) sync(r int) {
	if p, ok := m.caches[r].NextToLoad(m.ranks[r].state()); ok && !m.ranks[r].post(p) {
		m.caches[r].Drop(p.Number)
	}
}

// step runs the exchange and the begin of one step. Rank crash, if not negative,
// restarts after it has offered its maps.
func (m *switchModel) step(t *rapid.T, crash int) uint64 {
	var sets [][]uint64
	for r := range m.ranks {
		sets = append(sets, m.ranks[r].held.Numbers())
	}
	if crash >= 0 {
		m.restartRank(crash)
	}
	used := ""
	agreed := AgreedNumber(sets)
	for r := range m.ranks {
		digest, ok := m.ranks[r].held.BeginStep(agreed)
		m.checkFreed(t, sets[r], r, r == crash)
		if ok == (agreed == 0 || r == crash) {
			t.Fatalf("rank %d (crashed: %v) began the step: %v; the agreed map is %d", r, r == crash, ok, agreed)
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
		m.previousMap = agreed
	}
	return agreed
}

// checkFreed fails if a rank that did not crash has freed a map with a number not
// below the one used in the previous step, which other ranks may still use.
func (m *switchModel) checkFreed(t *rapid.T, before []uint64, r int, crashed bool) {
	for _, n := range before {
		if _, ok := m.ranks[r].held.Get(n); !ok && !crashed && n >= m.previousMap {
			t.Fatalf("rank %d freed map %d, the previous step used %d", r, n, m.previousMap)
		}
	}
}

func (m *switchModel) restartRank(r int) {
	m.ranks[r] = modelRank{ignoresFencing: m.ranks[r].ignoresFencing}
}

func (m *switchModel) reply(r int) wire.MapReply {
	st := m.ranks[r].state()
	return wire.MapReply{Held: st.Held, Loading: st.Loading, Active: st.Active, Highest: m.caches[r].Highest()}
}

// checkRecovery runs steps without faults and fails unless the group then uses the
// recorded map.
func (m *switchModel) checkRecovery(t *rapid.T) {
	m.read(0)
	m.messages = nil
	agreed := uint64(0)
	for range 8 {
		for r := range m.ranks {
			m.sync(r)
			m.ranks[r].finishLoading()
			if p, ok := m.coordinators[0].Recorded(); ok && m.coordinators[0].RankNeedsMap(m.reply(r)) {
				m.caches[r].Accept(p)
			}
		}
		agreed = m.step(t, -1)
	}
	if agreed != m.stored.Number {
		t.Fatalf("the group uses map %d after the faults ended, but map %d is recorded: %+v", agreed, m.stored.Number, m.ranks)
	}
	var replies []wire.MapReply
	for r := range m.ranks {
		replies = append(replies, m.reply(r))
	}
	if m.stored.Number > 0 && !m.coordinators[0].InUseByAll(replies) {
		t.Fatalf("the coordinator does not see that the map is in use: %+v", replies)
	}
}

// Guards against steps that mix maps, sending of unrecorded maps, and groups that
// stay stalled after faults end, under random sequences of reads, writes with
// unknown outcome, delayed, reordered and duplicated messages, crashes, restarts
// and stale maps that reach an engine without passing its agent.
func TestSwitchProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &switchModel{recorded: make(map[uint64]string)}
		for r := range m.ranks {
			m.ranks[r].ignoresFencing = rapid.Bool().Draw(t, "ignores fencing")
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
					return // no message was sent yet
				}
				// Messages stay in the list, so that they are duplicated and reordered.
				msg := m.messages[rapid.IntRange(0, len(m.messages)-1).Draw(t, "m")]
				old := msg.p.Number < m.caches[msg.rank].Highest()
				if m.caches[msg.rank].Accept(msg.p) == old {
					t.Fatalf("outdated %v: map %d was accepted although outdated, or rejected although not", old, msg.p.Number)
				}
			},
			"sync": func(t *rapid.T) {
				for r := range m.ranks {
					m.sync(r)
				}
			},
			"loaded": func(t *rapid.T) { m.ranks[rank.Draw(t, "r")].finishLoading() },
			"all loaded": func(t *rapid.T) {
				for r := range m.ranks {
					m.ranks[r].finishLoading()
				}
			},
			"step":           func(t *rapid.T) { m.step(t, -1) },
			"step and crash": func(t *rapid.T) { m.step(t, rank.Draw(t, "r")) },
			"restart rank":   func(t *rapid.T) { m.restartRank(rank.Draw(t, "r")) },
			"restart agent":  func(t *rapid.T) { m.caches[rank.Draw(t, "r")] = MapCache{} },
			"stale post": func(t *rapid.T) {
				if len(m.recorded) == 0 {
					return // no map was recorded yet
				}
				n := uint64(rapid.IntRange(1, len(m.recorded)).Draw(t, "n"))
				m.ranks[rank.Draw(t, "r")].post(PackedMap{Number: n, Digest: m.recorded[n]})
			},
		})
		m.checkRecovery(t)
	})
}
