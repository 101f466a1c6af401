package rankgroup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against maps that an engine refuses or in which no rank holds an expert.
func TestPlansAreValid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := Dimensions{
			Ranks: rapid.IntRange(2, 8).Draw(rt, "ranks"), Sets: rapid.IntRange(1, 4).Draw(rt, "sets"),
			SpareSlots: rapid.IntRange(1, 4).Draw(rt, "spares"),
		}
		d.Experts = d.Ranks * rapid.IntRange(1, 4).Draw(rt, "experts per rank")
		d.ExpertSlots = d.Experts/d.Ranks + rapid.IntRange(0, 3).Draw(rt, "free slots")
		cfg := PlanConfig{Dimensions: d, MaxCopiesPerRank: rapid.IntRange(1, 6).Draw(rt, "copies"), MinGain: 0.01}
		current := InitialMap(d)
		for round := range 4 {
			demand := rapid.SliceOfN(rapid.Float64Range(0, 1), d.Sets*d.Experts, d.Sets*d.Experts).Draw(rt, "demand")
			plan := NewPlan(current, normalise(demand, d), cfg)
			if plan.SkewAfter > plan.SkewBefore {
				rt.Fatalf("round %d: skew rose from %v to %v", round, plan.SkewBefore, plan.SkewAfter)
			}
			checkPlan(rt, current, plan.Map, cfg)
			current = plan.Map
		}
	})
}

func checkPlan(rt *rapid.T, old, next *Map, cfg PlanConfig) {
	copies := make([]int, cfg.Ranks)
	for s, ranks := range next.Sets {
		held := make([]bool, cfg.Experts)
		for r, experts := range ranks {
			if len(experts) > cfg.ExpertSlots {
				rt.Fatalf("set %d rank %d holds %d experts", s, r, len(experts))
			}
			added := 0
			for i, e := range experts {
				held[e] = true
				if slices.Contains(experts[:i], e) {
					rt.Fatalf("set %d rank %d holds expert %d twice", s, r, e)
				}
				if !slices.Contains(old.Sets[s][r], e) {
					added++
				}
			}
			if added > cfg.SpareSlots {
				rt.Fatalf("set %d rank %d receives %d new experts", s, r, added)
			}
			copies[r] += added
		}
		if e := slices.Index(held, false); e >= 0 {
			rt.Fatalf("set %d: no rank holds expert %d", s, e)
		}
	}
	if n := slices.Max(copies); n > cfg.MaxCopiesPerRank {
		rt.Fatalf("a rank copies %d experts", n)
	}
}

// Guards against a planner that leaves the skew of the initial map: at most a quarter
// of the excess load may remain after eight maps.
func TestPlansRemoveSkew(t *testing.T) {
	for _, d := range []Dimensions{
		{Ranks: 8, Sets: 6, Experts: 64, ExpertSlots: 11, SpareSlots: 4, CopyTime: 150 * time.Millisecond},
		{Ranks: 32, Sets: 12, Experts: 128, ExpertSlots: 6, SpareSlots: 2, CopyTime: 37 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d ranks", d.Ranks), func(t *testing.T) {
			is := is.New(t)
			demand := zipf(d, 1.0, 1)
			current, first := InitialMap(d), 0.0
			var plan Plan
			for round := range 8 {
				plan = NewPlan(current, demand, PlanConfig{Dimensions: d, MaxCopiesPerRank: 6, MinGain: 0.01})
				if round == 0 {
					first = plan.SkewBefore
				}
				current = plan.Map
			}
			t.Logf("skew %.2f, after eight maps %.2f", first, plan.SkewAfter)
			is.True(plan.SkewAfter-1 <= (first-1)/4)
		})
	}
}

// zipf returns a demand in which a few experts get most of the selections, the fewer the
// greater steepness is.
func zipf(d Dimensions, steepness float64, seed uint64) []float64 {
	rng := rand.New(rand.NewPCG(seed, 3))
	demand := make([]float64, 0, d.Sets*d.Experts)
	for range d.Sets {
		for _, rank := range rng.Perm(d.Experts) {
			x := 1.0
			for range rank {
				x *= float64(rank) / float64(rank+1)
			}
			demand = append(demand, x/(1+steepness*float64(rank)))
		}
	}
	return normalise(demand, d)
}

func BenchmarkNewPlan(b *testing.B) {
	d := Dimensions{Ranks: 32, Sets: 12, Experts: 128, ExpertSlots: 5, SpareSlots: 2}
	demand := zipf(d, 1, 1)
	for b.Loop() {
		NewPlan(InitialMap(d), demand, PlanConfig{Dimensions: d, MaxCopiesPerRank: 8, MinGain: 0.02})
	}
}

// Guards against maps that are altered by encoding and decoding.
func TestMapSurvivesPacking(t *testing.T) {
	is := is.New(t)
	m := InitialMap(Dimensions{Ranks: 32, Sets: 12, Experts: 128})
	text, err := m.MarshalText()
	is.NoErr(err)
	var got Map
	is.NoErr(got.UnmarshalText(text))
	is.Equal(got.Sets, m.Sets)
}

// Guards against panics on malformed packed maps, and against maps that change when they
// are packed again.
func FuzzMapUnmarshal(f *testing.F) {
	text, err := InitialMap(Dimensions{Ranks: 4, Sets: 2, Experts: 8}).MarshalText()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte("!"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Map
		if m.UnmarshalText(b) != nil {
			return
		}
		again, err := m.MarshalText()
		if err != nil {
			t.Fatal(err)
		}
		var unpacked Map
		if err := unpacked.UnmarshalText(again); err != nil || fmt.Sprint(unpacked.Sets) != fmt.Sprint(m.Sets) {
			t.Fatalf("an unpacked map changes when it is packed again: %v", err)
		}
	})
}

// Guards against counts from an earlier incarnation of a rank, or from an earlier
// formation, that are used as demand.
func TestMeterResetsAfterRestart(t *testing.T) {
	is := is.New(t)
	var m SelectionMeter
	is.Equal(m.Window(1, SelectionCounts{Epoch: 1, Selections: []uint64{100, 200}}).Unit, 0.0)
	w := m.Window(1, SelectionCounts{Epoch: 1, Selections: []uint64{110, 250}})
	is.Equal(float64(w.Selections[1])*w.Unit, 50.0)
	is.True(float64(w.Selections[0])*w.Unit > 9.7 && float64(w.Selections[0])*w.Unit < 10.3)
	is.Equal(m.Window(2, SelectionCounts{Epoch: 1, Selections: []uint64{500, 500}}).Unit, 0.0)
	is.Equal(m.Window(2, SelectionCounts{Epoch: 2, Selections: []uint64{600, 600}}).Unit, 0.0)
}

// Guards against a moving average that retains the demand from before a shift.
func TestDemandFollowsShift(t *testing.T) {
	is := is.New(t)
	d := Dimensions{Ranks: 2, Sets: 1, Experts: 4}
	m := NewDemand(d)
	for range 5 {
		m.AddWindow(SelectionWindow{Unit: 1, Selections: []byte{200, 10, 10, 10}})
		is.True(m.CloseWindow())
	}
	m.AddWindow(SelectionWindow{Unit: 1, Selections: []byte{10, 10, 10, 200}})
	is.True(m.CloseWindow())
	is.True(m.Current()[3] > 0.8)
	is.True(!m.CloseWindow()) // no new selections
}

// Guards against plans that leave work at a rank which takes many times longer than the
// others, and at which all ranks then wait in each step, and against leaving it without
// work once it is well again.
func TestSlowRankIsRelieved(t *testing.T) {
	for _, pace := range []float64{3, 12} {
		t.Run(fmt.Sprint("pace=", pace), func(t *testing.T) {
			is := is.New(t)
			d := Dimensions{Ranks: 12, Sets: 4, Experts: 72, ExpertSlots: 8, SpareSlots: 3}
			rng := rand.New(rand.NewPCG(1, 2))
			demand := make([]float64, d.Sets*d.Experts)
			for i := range demand {
				demand[i] = rng.ExpFloat64()
			}
			demand = normalise(demand, d)
			cfg := PlanConfig{Dimensions: d, MaxCopiesPerRank: 1, MinGain: 0.02}
			m := InitialMap(d)
			for range 20 {
				m = NewPlan(m, demand, cfg).Map
			}
			cfg.Pace = make([]float64, d.Ranks)
			cfg.Pace[5] = pace
			slowed := NewPlan(m, demand, cfg)
			is.True(slowed.SkewBefore > 0.8*pace)
			for range 3 { // each takes about a quarter of a second
				m = NewPlan(m, demand, cfg).Map
			}
			relieved := NewPlan(m, demand, cfg).SkewBefore
			is.True(relieved < 1.5)
			cfg.Pace = nil
			for range 20 {
				m = NewPlan(m, demand, cfg).Map
			}
			is.True(NewPlan(m, demand, cfg).SkewBefore < 1.25)
		})
	}
}

// Guards against plans that no engine accepts while ranks are slow.
func TestPlansWithSlowRanksAreValid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := Dimensions{Ranks: rapid.IntRange(2, 8).Draw(rt, "ranks"), Sets: 2, SpareSlots: rapid.IntRange(1, 4).Draw(rt, "spares")}
		d.Experts = d.Ranks * rapid.IntRange(1, 4).Draw(rt, "experts per rank")
		d.ExpertSlots = d.Experts/d.Ranks + rapid.IntRange(0, 3).Draw(rt, "free slots")
		cfg := PlanConfig{Dimensions: d, MaxCopiesPerRank: rapid.IntRange(1, 6).Draw(rt, "copies"), MinGain: 0.01}
		current := InitialMap(d)
		for range 4 {
			cfg.Pace = rapid.SliceOfN(rapid.Float64Range(0, 20), d.Ranks, d.Ranks).Draw(rt, "pace")
			demand := rapid.SliceOfN(rapid.Float64Range(0, 1), d.Sets*d.Experts, d.Sets*d.Experts).Draw(rt, "demand")
			plan := NewPlan(current, normalise(demand, d), cfg)
			checkPlan(rt, current, plan.Map, cfg)
			current = plan.Map
		}
	})
}
