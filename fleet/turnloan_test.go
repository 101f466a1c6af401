package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabinotch/wasabinotch/share"
)

// Guards against entries of a busy zone that leave requests unsent while the turns of a quiet zone are lost, and against
// turns that are lent and used twice. The demand moves from one zone to the other.
func TestTurnsFollowDemand(t *testing.T) {
	const entries, endpoints, burst, step, maxWait = 40, 24, 26, 50 * time.Millisecond, 400 * time.Millisecond
	play := func(t *testing.T, lend bool) (sent, requests int) {
		random := rand.New(rand.NewPCG(1, 2))
		fleets := make([]*Fleet, entries)
		waiting := make([][]time.Time, entries) // when each of an entry's requests gives up
		sentTo := make(map[string][]time.Time)
		for i := range fleets {
			f := New("z1", nil)
			f.SetEntries(entries, i)
			f.SetLimits(service, Limits{ColdPerSecond: 14, ColdBurst: burst})
			for e := range endpoints {
				r := record(fmt.Sprint("e", e), fmt.Sprintf("10.0.0.%d:1", e), 1)
				r.Slots = 1000
				f.Update(r)
			}
			fleets[i] = f
		}
		// All turns together are 24 x 13 a second, those of an entry 7.8: the busy half has
		// 13 requests a second each, the other half 1.
		for n := range int(30 * time.Second / step) {
			time.Sleep(step)
			now := time.Now()
			busy := n / 200 % 2 // moves each 10 s
			for i, f := range fleets {
				perStep := 1 * step.Seconds()
				if i*2/entries == busy {
					perStep = 13 * step.Seconds()
				}
				if random.Float64() < perStep {
					requests++
					waiting[i] = append(waiting[i], now.Add(maxWait))
				}
				for len(waiting[i]) > 0 {
					if p, _ := acquire(t, f, Request{}); p != nil {
						sent++
						sentTo[p.Endpoint.ID] = append(sentTo[p.Endpoint.ID], now)
						p.EndSucceeded()
					} else if now.Before(waiting[i][0]) {
						break
					}
					waiting[i] = waiting[i][1:]
				}
				if n%20 == i%20 {
					f.MeasureTurns(now)
				}
				if other := fleets[random.IntN(entries)]; lend && n%5 == i%5 && other != f && f.WantsTurns(now) {
					if l, ok := other.LendTurns(now); ok {
						f.BorrowTurns(l, now)
					}
				}
			}
		}
		for id, times := range sentTo {
			if most := mostWithin(times, time.Second); most > burst {
				t.Errorf("%s got %d requests within a second, allowed are %d", id, most, burst)
			}
		}
		return sent, requests
	}
	synctest.Test(t, func(t *testing.T) {
		without, requests := play(t, false)
		with, _ := play(t, true)
		t.Logf("of %d requests %d are sent without loans, %d with them", requests, without, with)
		if requests-with > (requests-without)*3/4 {
			t.Errorf("of %d requests %d aren't sent in time, and %d without loans", requests, requests-with, requests-without)
		}
	})
}

// Guards against an entry that lends turns it needs, or that others don't know to be its own yet.
func TestPressedAndCautiousEntriesLendNoTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := []share.Member{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}, {ID: "c", Weight: 1}}
		f := New("z1", nil)
		f.SetLimits(service, Limits{ColdPerSecond: 2, ColdBurst: 2})
		f.Update(record("a", "10.0.0.1:1", 1))
		f.SetView(share.View{Self: members[0], Members: members, CautiousUntil: time.Now().Add(time.Second)})
		f.MeasureTurns(time.Now())
		if _, ok := f.LendTurns(time.Now()); ok {
			t.Error("a cautious entry lends turns")
		}
		time.Sleep(time.Second)
		f.MeasureTurns(time.Now())
		if _, ok := f.LendTurns(time.Now()); !ok {
			t.Error("an idle entry lends no turns")
		}
		for range 5 {
			sendAll(t, []*Fleet{f}, 4*time.Second)
			f.MeasureTurns(time.Now())
		}
		if _, ok := f.LendTurns(time.Now()); ok {
			t.Error("an entry that uses all of its turns lends some")
		}
		if !f.WantsTurns(time.Now()) {
			t.Error("an entry that uses all of its turns asks for none")
		}
		f.SetLimits(service, Limits{})
		f.MeasureTurns(time.Now())
		if _, ok := f.LendTurns(time.Now()); ok || f.WantsTurns(time.Now()) {
			t.Error("turns are lent although no limit calls for turns")
		}
	})
}

// Measures a choice among endpoints at which entries take turns.
func BenchmarkAcquireWithTurns(b *testing.B) {
	f := New("z1", nil)
	f.SetEntries(69, 3)
	f.SetLimits(service, Limits{ColdPerSecond: 14, ColdBurst: 26})
	for e := range 63 {
		r := record(fmt.Sprint("e", e), fmt.Sprintf("10.0.0.%d:1", e), 1)
		r.Slots = 1000
		f.Update(r)
	}
	for b.Loop() {
		if p, _ := f.Acquire(b.Context(), &Request{Service: service}); p != nil {
			p.EndSucceeded()
		}
	}
}
