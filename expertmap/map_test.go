package expertmap

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/gowebpki/jcs"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// randomInput returns planner input with an even map and random loads and speeds.
func randomInput(ranks, layers, experts, slots int, seed uint64) PlanInput {
	rng := rand.New(rand.NewPCG(seed, 0))
	m, err := NewEvenMap("g", ranks, layers, experts, slots)
	if err != nil {
		panic(err)
	}
	in := PlanInput{Current: m, Cost: CostModel{ExpertBytes: 44 << 20, StoreRate: 2e9, StepTime: 0.05, Horizon: 600}}
	for range layers {
		loads := make([]float64, experts)
		for e := range loads {
			loads[e] = rng.ExpFloat64() + 0.01
		}
		in.Loads = append(in.Loads, loads)
	}
	for range ranks {
		in.Speeds = append(in.Speeds, 0.8+0.4*rng.Float64())
	}
	return in
}

// Guards against a packed map that exceeds half of the store's value limit at 256
// ranks, 256 experts and 60 layers, the size expected in two years, and against a
// canonical form that differs from that of another JCS (RFC 8785) implementation.
func TestEncodingOfLargeMap(t *testing.T) {
	is := is.New(t)
	large := driftedMap(t, 256, 60, 256, 2)
	canonical, err := large.Canonical()
	is.NoErr(err)
	again, err := jcs.Transform(canonical)
	is.NoErr(err)
	is.Equal(string(again), string(canonical))
	p, err := Pack(large)
	is.NoErr(err)
	t.Logf("256x256x60: canonical %d bytes, packed %d bytes", len(canonical), len(p.Bytes))
	is.True(len(p.Bytes) < MaxPackedBytes/2)
	m, q, err := Unpack(p.Bytes)
	is.NoErr(err)
	is.Equal(q.Digest, p.Digest)
	is.Equal(m, large)
}

// Guards against Validate accepting a map with an error of any kind, or reporting
// the wrong kind.
func TestValidateKinds(t *testing.T) {
	for kind, corrupt := range map[ErrorKind]func(*Map){
		KindShape:     func(m *Map) { m.Layers[1].Weights = m.Layers[1].Weights[1:] },
		KindSlot:      func(m *Map) { m.Layers[1].Experts[0] = 99 },
		KindWeight:    func(m *Map) { m.Layers[1].Weights[0]-- },
		KindNoReplica: func(m *Map) { dropExpert(&m.Layers[1], 3) },
	} {
		is := is.New(t)
		m, err := NewEvenMap("g", 4, 2, 8, 3)
		is.NoErr(err)
		corrupt(m)
		var e *Error
		is.True(errors.As(m.Validate(), &e))
		is.Equal(e.Kind, kind)
	}
}

func dropExpert(l *Layer, e int32) {
	for i := range l.Experts {
		if l.Experts[i] == e {
			l.Experts[i], l.Weights[i] = NoExpert, 0
		}
	}
}

// Guards against plans that are invalid, slower than the current map, or list
// fewer moves than slots changed. The baselines must give valid maps.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(1, 12).Draw(t, "ranks")
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		experts := rapid.IntRange(1, ranks*slots).Draw(t, "experts")
		in := randomInput(ranks, 2, experts, slots, rapid.Uint64().Draw(t, "seed"))
		for range 2 {
			res, err := Plan(in)
			if err != nil {
				t.Fatal(err)
			}
			if err := res.Map.Validate(); err != nil {
				t.Fatal(err)
			}
			_, before, _ := RankTimes(in.Current, in.Loads, in.Speeds)
			_, after, _ := RankTimes(res.Map, in.Loads, in.Speeds)
			// Rounding can change the weight of each replica by one.
			if after > before*1.01 {
				t.Fatalf("the planned step time is %v, longer than the current %v", after, before)
			}
			changed := 0
			for l := range res.Map.Layers {
				changed += len(diffMoves(&in.Current.Layers[l], &res.Map.Layers[l], l, slots))
			}
			if changed > len(res.Moves) {
				t.Fatalf("%d slots changed, %d moves", changed, len(res.Moves))
			}
			in.Current = res.Map
			for _, plan := range []func(PlanInput) (PlanResult, error){PlanFromScratch, PlanKeepingReplicas} {
				if res, err := plan(in); err != nil || res.Map.Validate() != nil {
					t.Fatal(err, res.Map.Validate())
				}
			}
		}
	})
}

// Guards against moves that take longer to load than they save: at 1 byte/s, no move
// is worth its cost.
func TestNoMoveWhenStoreIsSlow(t *testing.T) {
	is := is.New(t)
	in := randomInput(16, 4, 64, 6, 3)
	in.Cost.StoreRate = 1
	res, err := Plan(in)
	is.NoErr(err)
	is.Equal(len(res.Moves), 0)
	is.True(res.StepTimeAfter < res.StepTimeBefore) // by shifting weights
}

// Guards against panics, unbounded memory and invalid maps when decoding bytes from
// the network.
func FuzzDecode(f *testing.F) {
	m, _ := NewEvenMap("g", 4, 2, 8, 3)
	p, _ := Pack(m)
	canonical, _ := m.Canonical()
	f.Add(p.Bytes)
	f.Add(canonical)
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, _, err := Unpack(data); err == nil && m.Validate() != nil {
			t.Fatal("unpacked an invalid map")
		}
		if m, err := Decode(data); err == nil && m.Validate() != nil {
			t.Fatal("decoded an invalid map")
		}
	})
}

// BenchmarkPlan256x256x60 measures planning time, whose target is 1 s on one core.
// The first plan from an even map makes more moves than any later one.
func BenchmarkPlan256x256x60(b *testing.B) {
	in := randomInput(256, 60, 256, 2, 1)
	for b.Loop() {
		if _, err := Plan(in); err != nil {
			b.Fatal(err)
		}
	}
}
