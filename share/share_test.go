package share

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func members(weights ...float64) []Member {
	all := make([]Member, len(weights))
	for i, w := range weights {
		all[i] = Member{ID: fmt.Sprintf("e%03d", i), Weight: w}
	}
	return all
}

var anySequence = Sequence{Interval: 50 * time.Millisecond}

func equal(n int) []Member {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = 1
	}
	return members(weights...)
}

// Guards against turns that two entries use, or none, while all know the same entries, and against parts that don't
// follow the weights.
func TestTurnsBelongToOneEntryByWeight(t *testing.T) {
	for _, all := range [][]Member{equal(1), equal(17), equal(300), members(1, 1, 1, 3.25, 3.25, 0.25)} {
		owners := make(map[int64]int)
		for _, m := range all {
			r := NewRing(m)
			r.Set(all)
			n := 0
			for turn := r.Next(anySequence, 1e9, false); turn < 1e9+ringSlots; turn = r.Next(anySequence, turn+1, false) {
				owners[turn]++
				n++
			}
			// Four standard deviations.
			want := ringSlots * m.Weight / Total(all)
			if math.Abs(float64(n)-want) > 4*math.Sqrt(want) {
				t.Errorf("%s of %d has %d turns, expected are %.0f", m.ID, len(all), n, want)
			}
		}
		if len(owners) != ringSlots {
			t.Errorf("%d of %d turns have an owner", len(owners), ringSlots)
		}
		for turn, n := range owners {
			if n != 1 {
				t.Fatalf("turn %d has %d owners", turn, n)
			}
		}
	}
}

// Guards against a turn that two serving entries use since they know different entries that are gone.
func TestEntriesThatAreGoneLeadToNoSharedTurn(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	all := equal(49)
	serving, gone := all[:30], all[30:]
	owners := make(map[int64]int)
	for _, m := range serving {
		known := append([]Member(nil), serving...)
		for _, g := range gone {
			if random.IntN(2) == 0 {
				known = append(known, g)
			}
		}
		r := NewRing(m)
		r.Set(known)
		for turn := r.Next(anySequence, 0, false); turn < ringSlots; turn = r.Next(anySequence, turn+1, false) {
			if owners[turn]++; owners[turn] > 1 {
				t.Fatalf("turn %d has two owners", turn)
			}
		}
	}
}

// Guards against entries that start at the same time and each take all turns, since they know no others yet.
func TestCautiousEntriesTakeFewTurns(t *testing.T) {
	is := is.New(t)
	taken := 0
	for _, m := range equal(40) {
		r := NewRing(m)
		is.Equal(r.Fraction(true), 1.0/cautiousMembers)
		for turn := r.Next(anySequence, 0, true); turn < ringSlots; turn = r.Next(anySequence, turn+1, true) {
			taken++
		}
	}
	is.True(float64(taken) < 0.7*ringSlots && float64(taken) > 0.55*ringSlots) // 40 of 64
	r := NewRing(Member{"a", 1})
	r.AssumeAtLeast(17) // another entry has told so
	is.Equal(r.Fraction(true), 1.0/17)
	is.Equal(r.Fraction(false), 1.0)
	r.AssumeAtLeast(0)
	is.Equal(r.Fraction(true), 1.0/cautiousMembers)
}

// Guards against an entry that loses its part at once when its record lapses, and against one that is gone and counts for good.
func TestLapsedMembersCountForAWhile(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var m Members
	m.Join(Member{"a", 1})
	m.Join(Member{"b", 2})
	m.Leave("b", now)
	m.Leave("unknown", now)
	is.Equal(m.Present(), 1)
	is.Equal(m.Within(time.Second, now.Add(999*time.Millisecond)), []Member{{"a", 1}, {"b", 2}})
	is.Equal(m.Within(time.Second, now.Add(time.Second)), []Member{{"a", 1}})
	m.Join(Member{"b", 3})
	is.Equal(m.Within(0, now.Add(time.Second)), []Member{{"a", 1}, {"b", 3}})
	m.Leave("b", now)
	m.Forget(time.Second, now.Add(time.Second))
	is.Equal(len(m.Within(time.Hour, now)), 1)
	m.Heard(Member{"a", 5}, now) // its record counts
	m.Heard(Member{"c", 2}, now)
	is.Equal(m.Within(time.Second, now), []Member{{"a", 1}, {"c", 2}})
	m.Heard(Member{"c", 2}, now.Add(time.Second))
	is.Equal(len(m.Within(time.Second, now.Add(1500*time.Millisecond))), 2)
	is.Equal(len(m.Within(time.Second, now.Add(2*time.Second))), 1)
}

// Guards against an entry that uses more than its part over several runs within a window.
func TestRunsOfAnEntryUseNoMoreThanItsPart(t *testing.T) {
	const window = 10 * time.Second
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		start := time.Now()
		type event struct {
			at time.Duration
			n  float64
		}
		var events []event
		p, used := Part{Fraction: 1}, []event(nil) // what this run has used
		for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
			if random.IntN(60) == 0 { // killed and started again
				p, used = Part{Fraction: 1, Since: start.Add(at)}, nil
			}
			inWindow := 0.0
			for _, e := range used {
				if e.at > at-window {
					inWindow += e.n
				}
			}
			if n := p.Use(window, start.Add(at)) - inWindow; n > 0 && random.IntN(3) > 0 {
				used = append(used, event{at, n})
				events = append(events, event{at, n})
			}
		}
		for from := time.Duration(0); from < time.Minute; from += 50 * time.Millisecond {
			sum := 0.0
			for _, e := range events {
				if e.at >= from && e.at < from+window {
					sum += e.n
				}
			}
			if sum > 1+1e-6 {
				t.Fatalf("seed %d: %.3f of the part is used in the window from %v", seed, sum, from)
			}
		}
	}
}

// chances returns how often each member is picked by callers that choose at random among the entries named to them.
func chances(all []Member, callers, most int, now time.Time) map[string]float64 {
	picked := make(map[string]float64)
	for c := range callers {
		named := Named(all, fmt.Sprint("caller", c), most, now)
		for _, m := range named {
			picked[m.ID] += 1 / float64(len(named)) / float64(callers)
		}
	}
	return picked
}

// Guards against callers that come as often to the smallest VM as to one that bears three times as much, and against an
// entry that is never named.
func TestCallersComeByWeight(t *testing.T) {
	var weights []float64
	for range 6 {
		weights = append(weights, 3.25)
	}
	for range 63 {
		weights = append(weights, 1)
	}
	all := members(weights...)
	now := time.Unix(1e9, 0)
	picked := chances(all, 4000, 64, now)
	for _, m := range all {
		want := m.Weight / Total(all)
		if got := picked[m.ID]; math.Abs(got-want) > 0.15*want {
			t.Errorf("%s of weight %v is picked by %.4f of the callers, expected are %.4f", m.ID, m.Weight, got, want)
		}
	}
	named := make(map[string]bool)
	for i := range 60 { // one caller, for some hours
		for _, m := range Named(all, "caller", 64, now.Add(time.Duration(i)*namedPeriod)) {
			named[m.ID] = true
		}
	}
	if len(named) != len(all) {
		t.Errorf("one caller is named %d of %d entries in all", len(named), len(all))
	}
}

// Guards against equal VMs, or records of earlier versions, that are named less often than before.
func TestEqualEntriesAreAllNamed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	is.Equal(len(Named(equal(17), "c", 64, now)), 17)
	is.Equal(len(Named(equal(64), "c", 64, now)), 64)
	is.Equal(len(Named(equal(300), "c", 64, now)), 64)
	is.Equal(len(Named(nil, "c", 64, now)), 0)
	is.Equal(len(Named(members(0, 0, 0), "c", 64, now)), 3)
	is.Equal(len(Named(members(9, 9, 9, 0), "c", 64, now)), 4) // counts as an average one
	for id, part := range chances(equal(300), 4000, 64, now) {
		if math.Abs(part*300-1) > 0.2 {
			t.Errorf("%s is picked by %.5f of the callers", id, part)
		}
	}
}

// Guards against a caller that is left one entry since a single VM is much larger than all others.
func TestCallersAreNamedSeveralEntries(t *testing.T) {
	is := is.New(t)
	all := members(100, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	named := Named(all, "c", 64, time.Unix(1e9, 0))
	is.Equal(len(named), fewestNamed)
	is.Equal(named[0].ID, "e000")
}

// Guards against callers that must close most connections whenever they ask again or one entry stops.
func TestCallersAreNamedTheSameEntries(t *testing.T) {
	is := is.New(t)
	var weights []float64
	for i := range 69 {
		weights = append(weights, 1+2*float64(i%2))
	}
	all := members(weights...)
	now := time.Unix(1e9, 0)
	for c := range 100 {
		caller := fmt.Sprint("c", c)
		before := make(map[string]bool)
		for _, m := range Named(all, caller, 64, now) {
			before[m.ID] = true
		}
		changed := 0
		for _, m := range Named(all[1:], caller, 64, now) {
			if !before[m.ID] {
				changed++
			}
		}
		is.True(changed <= 3)
	}
}

// Guards against a weight that follows a resource that is plentiful, and against odd settings.
func TestCapacityIsThatOfTheScarcestResource(t *testing.T) {
	is := is.New(t)
	is.Equal(Resources{}.Capacity(), 0.0)
	is.Equal(Resources{Cores: 0.8, MemoryMB: 536, Descriptors: 8192, LinkMbps: 200}.Capacity(), 0.8)
	is.Equal(Resources{Cores: 4, MemoryMB: 536, Descriptors: 8192, LinkMbps: 30}.Capacity(), 0.5)
	is.Equal(Resources{MemoryMB: 128}.Capacity(), 0.5)
	is.Equal(Weight(0), 1.0)
	is.Equal(Weight(math.NaN()), 1.0)
	is.Equal(Weight(0.272), 1.0)
	is.Equal(Weight(0.8), 3.25)
	is.Equal(Weight(1e-9), weightStep)
	is.Equal(Weight(math.Inf(1)), float64(maxWeight))
}

// Guards against turns that lender and borrower both use, or neither, and against loans of more than the lender can spare.
func TestLentTurnsAreUsedByTheBorrowerAlone(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	all := equal(20)
	s := Sequence{Interval: 7 * time.Millisecond, Offset: 12345}
	rings := make([]*Ring, len(all))
	for i, m := range all {
		rings[i] = NewRing(m)
		rings[i].Set(all)
	}
	start := time.Unix(1e9, 0)
	first := start.UnixNano() / int64(s.Interval)
	taken := make(map[int64]int)
	last := make([]int64, len(all))
	for i := range last {
		last[i] = first
	}
	const turns = 4000
	end := first + turns
	for at := start; at.UnixNano() < (end+1)*int64(s.Interval); at = at.Add(20 * time.Millisecond) {
		if lender, borrower := random.IntN(10), 10+random.IntN(10); random.IntN(5) == 0 {
			if l, ok := rings[lender].Lend(Lendable(0.1), at); ok {
				own, usable := rings[lender].Own(at)
				if usable < keptAtLeast*own-1e-9 {
					t.Fatalf("the lender is left %.4f of %.4f", usable, own)
				}
				if !l.Valid() {
					t.Fatalf("loan %v isn't valid", l)
				}
				rings[borrower].Borrow(l, at)
			}
		}
		for i, r := range rings { // each entry uses all turns that have opened
			for turn := r.Next(s, last[i]+1, false); turn*int64(s.Interval) <= at.UnixNano(); turn = r.Next(s, turn+1, false) {
				taken[turn]++
				last[i] = turn
			}
		}
	}
	borrowers := 0
	for turn := first + 1; turn < end; turn++ {
		if taken[turn] != 1 {
			t.Fatalf("turn %d is used %d times", turn-first, taken[turn])
		}
	}
	for i := range rings[10:] {
		_, usable := rings[10+i].Own(start.Add(turns * s.Interval))
		own, _ := rings[10+i].Own(start)
		if usable > own {
			borrowers++
		}
	}
	if borrowers == 0 {
		t.Error("no entry has more than its part")
	}
}

// Guards against a loan that another entry encoded wrongly and that would be used for good or out of range.
func TestOddLoansAreInvalid(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	is.True((&Loan{Slots: []int32{0, ringSlots - 1}, From: now, To: now.Add(LoanTime)}).Valid())
	for _, l := range []Loan{
		{},
		{Slots: []int32{3, 2}, From: now, To: now.Add(LoanTime)},
		{Slots: []int32{-1}, From: now, To: now.Add(LoanTime)},
		{Slots: []int32{ringSlots}, From: now, To: now.Add(LoanTime)},
		{Slots: []int32{1}, From: now, To: now},
		{Slots: []int32{1}, From: now, To: now.Add(time.Hour)},
	} {
		is.True(!l.Valid())
	}
	is.Equal(Lendable(0), 1-keptAtLeast)
	is.Equal(Lendable(0.9), 0.0)
	is.True(!Pressed(0.3) && Pressed(0.8))
}

func BenchmarkRingUpdate(b *testing.B) {
	all := equal(300)
	r := NewRing(all[0])
	for b.Loop() {
		r.Set(all)
		r.changed = true
		r.Next(anySequence, 0, false)
	}
}

func BenchmarkNext(b *testing.B) {
	r := NewRing(equal(300)[0])
	r.Set(equal(300))
	for i := int64(0); b.Loop(); i++ {
		r.Next(anySequence, i, false)
	}
}

func BenchmarkNamed(b *testing.B) {
	all := equal(69)
	all[3].Weight = 3
	now := time.Now()
	for b.Loop() {
		Named(all, "caller", 64, now)
	}
}

// Guards against an unbounded number of entries that exist in datagrams only.
func TestHeardMembersAreBounded(t *testing.T) {
	is := is.New(t)
	var m Members
	now := time.Now()
	m.Join(Member{"registered", 1})
	for i := range 2 * maxHeard {
		m.Heard(Member{fmt.Sprint("heard-", i), 1}, now)
	}
	is.Equal(len(m.Within(time.Minute, now)), 1+maxHeard)
	m.Heard(Member{"heard-0", 1}, now.Add(30*time.Second)) // a known one is still renewed
	m.Forget(time.Minute, now.Add(time.Minute))
	is.Equal(len(m.Within(time.Minute, now.Add(time.Minute))), 2)
}
