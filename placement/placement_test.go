package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

var engine = Engine{ReadPerSecond: 60_000, MeanPrompt: 600, MeanResponse: 90}

// Guards against requests whose cost depends on what callers leave out or exaggerate.
func TestDemand(t *testing.T) {
	is := is.New(t)
	is.Equal(engine.Demand(Work{}, 0), Demand{Prompt: 600, Tokens: 690})
	is.Equal(engine.Demand(Work{Prompt: 600, Response: 5000, MaxResponse: 40}, 0).Tokens, 640)
	is.Equal(engine.Demand(Work{Prompt: 18_000, Response: 9}, time.Second), Demand{Prompt: 18_000, Tokens: 18_009, Target: time.Second})
}

// Guards against another choice than before for services whose engines publish no figures,
// and for requests of mean size: the cost is the share of the slots, failures and the zone.
func TestScoreOfEqualRequestsIsTheLoad(t *testing.T) {
	is := is.New(t)
	none := Engine{}
	for _, e := range []*Engine{&none, &engine} {
		d := e.Demand(Work{}, 0)
		c := Candidate{Slots: 10, Load: 5, FailureRate: 0.5, OtherZone: true}
		s := e.Score(&c, &d, DefaultReuseWeight)
		is.Equal(s, Score{Load: 0.5, Failures: 1.5, Zone: 0.1})
	}
}

// Guards against a held beginning that outweighs any wait, or none; and against one that
// draws a request to the last slot.
func TestHeldBeginningIsWeighedAgainstTheWait(t *testing.T) {
	is := is.New(t)
	const target = 400 * time.Millisecond
	d := engine.Demand(Work{Prompt: 18_000, Response: 90}, target) // 300 ms to read
	total := func(c Candidate, weight float64) float64 {
		s := engine.Score(&c, &d, weight)
		return s.Total()
	}
	idle := Candidate{Slots: 10}
	is.True(total(Candidate{Slots: 10, Load: 6, Held: 18_000}, 1) < total(idle, 1))
	is.True(total(Candidate{Slots: 10, Load: 8, Held: 18_000}, 1) > total(idle, 1))
	is.True(total(Candidate{Slots: 10, Load: 6, Held: 18_000}, 0) > total(idle, 0))
	is.Equal(total(Candidate{Slots: 10, Load: 9, Held: 18_000}, 10), 0.9)
	// 300 ms of prompts that are unread outweigh what is saved.
	is.True(total(Candidate{Slots: 10, Load: 1, Held: 18_000, Unread: 18_000}, 1) > total(idle, 1))
	// Less than 2 in 100 of the target counts for nothing.
	is.Equal(total(Candidate{Slots: 10, Held: 400}, 1), 0.0)
}

// Guards against counting a beginning as held that differs in an earlier part, that has
// ended, or that later prompts have replaced.
func TestBeginnings(t *testing.T) {
	is := is.New(t)
	r := Reuse{Weight: 1, Retention: time.Second}
	of := func(ids ...string) []Beginning {
		var parts []Part
		for _, id := range ids {
			parts = append(parts, Part{ID: id, Tokens: 5000})
		}
		return engine.Beginnings(parts, time.Second, r)
	}
	now := time.Now()
	var b Beginnings
	first := b.Begin(of("a", "b", "x"), 15_000)
	const plenty = 1 << 20
	is.Equal(b.Held(of("a", "b", "y"), r.Retention, plenty, now), 10_000)
	is.Equal(b.Held(of("a", "c", "b"), r.Retention, plenty, now), 5000)
	is.Equal(b.Held(of("b", "a"), r.Retention, plenty, now), 0)
	second := b.Begin(of("a", "z"), 10_000)
	b.End(first, r.Retention, now)
	is.Equal(b.Held(of("a", "b", "x"), r.Retention, plenty, now), 15_000)
	is.Equal(b.Held(of("a", "b", "x"), r.Retention, plenty, now.Add(2*time.Second)), 5000) // "a" is still running
	b.End(second, 0, now)
	is.Equal(b.Held(of("a", "z"), 0, plenty, now.Add(time.Millisecond)), 0)
	b.Begin(of("q"), 20_000)
	is.Equal(b.Held(of("a", "b", "x"), r.Retention, 10_000, now), 0) // replaced
	is.Equal(len(engine.Beginnings([]Part{{"a", 40}, {"x", 700}}, 400*time.Millisecond, Reuse{Weight: 1})), 0)
	is.Equal(len(engine.Beginnings([]Part{{"a", 9000}, {"x", 700}}, 400*time.Millisecond, Reuse{})), 0)
}

// Guards against a table that grows with the callers' parts, and against counts that go
// wrong when it is full.
func TestBeginningsAreBounded(t *testing.T) {
	is := is.New(t)
	r := Reuse{Weight: 1, Retention: time.Hour}
	now := time.Now()
	var b Beginnings
	var running [][]Beginning
	for i := range 3 * maxBeginnings {
		all := engine.Beginnings([]Part{{fmt.Sprint("p", i), 5000}}, time.Second, r)
		running = append(running, b.Begin(all, 5000))
		is.True(len(b.byKey) <= maxBeginnings)
	}
	for _, all := range running {
		b.End(all, r.Retention, now)
	}
	all := engine.Beginnings([]Part{{"new", 5000}}, time.Second, r)
	is.Equal(len(b.Begin(all, 5000)), 1) // replaces one that has ended
	is.True(len(b.byKey) <= maxBeginnings)
}

// Guards against long prompts from entries out of their turn, against ordinary requests that
// wait for a turn, and against two entries with the same turn.
func TestRoomAndTurns(t *testing.T) {
	is := is.New(t)
	m := Memory{Total: 300_000, Slots: 10}
	is.True(m.Room(&engine, 3000, 69, false) >= 3000) // 20 of them fit into half of the memory
	is.True(m.Room(&engine, 30_000, 69, false) < 30_000)
	is.True(m.Room(&engine, 30_000, 69, true) >= 30_000)
	is.True(m.Room(&engine, 130_000, 69, true) >= 130_000)
	busy := Memory{Total: 300_000, Slots: 10, Used: 30_000, Running: 1}
	is.True(busy.Room(&engine, 115_000, 69, true) >= 115_000)
	is.True(busy.Room(&engine, 130_000, 69, true) < 130_000)  // half is left for ordinary requests
	is.True(busy.Room(&engine, 200_000, 69, true) >= 200_000) // more than half of the whole memory
	is.True(busy.Room(&engine, 200_000, 69, false) < 200_000)
	is.True(busy.Room(&engine, 260_000, 69, true) < 260_000)
	is.True(m.Room(&engine, 290_000, 69, true) >= 290_000) // the engine is idle
	is.True(m.Room(&engine, 290_000, 69, false) < 290_000)
	is.True(m.Room(&engine, 290_000, 1, false) >= 290_000)
	is.True(busy.Room(&engine, 290_000, 1, false) < 290_000)
	is.True(m.Room(&engine, 200_000, 1, false) >= 200_000)
	m.Sent = 250_000
	is.True(m.Room(&engine, 30_000, 1, false) < 30_000)
	unknown := Memory{Slots: 10}
	is.Equal(unknown.Room(&engine, 1<<24, 69, false), math.MaxInt)

	const entries, transit = 16, 50 * time.Millisecond
	start := time.Unix(1_000_000, 0)
	turns := make([]int, entries)
	for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		holders := 0
		for i := range entries {
			if OwnTurn(entries, i, 12345, now, now, transit) {
				holders++
				turns[i]++
			}
			is.True(!OwnTurn(entries, i, 12345, now.Add(-time.Second), now, transit))
		}
		is.True(holders <= 1)
	}
	for _, n := range turns {
		is.True(n > 0)
	}
}

// Guards against telling agents of ordinary prompts, and against long ones that are kept.
func TestTell(t *testing.T) {
	is := is.New(t)
	tell := func(prompt int, target time.Duration) time.Duration {
		d := engine.Demand(Work{Prompt: prompt}, target)
		return engine.Tell(&d)
	}
	const target = 400 * time.Millisecond
	is.Equal(tell(18_000, target), 300*time.Millisecond)
	is.Equal(tell(2300, target), time.Duration(0))            // below four times the mean
	is.Equal(tell(4000, target), time.Duration(0))            // read in a sixth of the target
	is.Equal(tell(18_000, 0), time.Duration(0))               // no target
	is.True(tell(2500, 20*time.Millisecond) > 0)              // nearly late
	is.Equal((&Engine{}).ReadingTime(5000), time.Duration(0)) // unknown rate
}

// Guards against a backlog that time doesn't reduce, or that grows without bound.
func TestBacklog(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var b Backlog
	is.Equal(b.Left(now), time.Duration(0))
	b.Add(300*time.Millisecond, now)
	b.Add(300*time.Millisecond, now.Add(100*time.Millisecond))
	is.Equal(b.Left(now.Add(100*time.Millisecond)), 500*time.Millisecond)
	is.Equal(b.Left(now.Add(time.Second)), time.Duration(0))
	b.Add(-time.Hour, now)
	for range 10 {
		b.Add(time.Hour, now)
	}
	is.Equal(b.Left(now), maxBacklog)
}
