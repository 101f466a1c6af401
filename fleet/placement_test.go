package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/admission"
	"github.com/wasabinotch/wasabinotch/placement"
)

var testEngine = placement.Engine{ReadPerSecond: 60_000, MeanPrompt: 2300, MeanResponse: 90}

// sizedEngine reads prompts one after the other and writes each response at a fixed pace
// beside others.
type sizedEngine struct {
	readPerSecond float64
	tokenTime     time.Duration
	busyUntil     time.Time
	unread        int
	running       int
	events        *[]event
}

// event is something that a test does at a time.
type event struct {
	at time.Time
	do func()
}

// runDue does what is due.
func runDue(events *[]event) {
	for {
		i := slices.IndexFunc(*events, func(e event) bool { return !e.at.After(time.Now()) })
		if i < 0 {
			return
		}
		due := (*events)[i]
		*events = slices.Delete(*events, i, i+1)
		due.do()
	}
}

// serve returns the time until the first token of a request, and schedules its end.
func (e *sizedEngine) serve(p *Pick, w Work) time.Duration {
	now := time.Now()
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(time.Duration(float64(w.PromptTokens) / e.readPerSecond * float64(time.Second)))
	wait := e.busyUntil.Sub(now)
	e.unread++
	*e.events = append(*e.events, event{now.Add(wait), func() {
		e.unread--
		e.running++
		p.RecordFirstToken()
	}}, event{now.Add(wait + time.Duration(w.ResponseTokens)*e.tokenTime), func() {
		e.running--
		p.EndSucceeded()
	}})
	return wait
}

// Guards against short prompts that wait behind long ones while other endpoints read
// nothing. Prompts of 18,000 tokens keep half of the endpoints reading; the many short ones
// decide how many requests each endpoint runs. The entries see reports that are up to a
// quarter of a second old.
func TestShortPromptsDoNotWaitBehindLongOnes(t *testing.T) {
	for _, entries := range []int{1, 4, 16} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLongPrompts(t, entries) })
		})
	}
}

func playLongPrompts(t *testing.T, entries int) {
	const endpoints, seconds, target = 8, 20, 200 * time.Millisecond
	engines := make(map[string]*sizedEngine)
	backlogs := make(map[string]*placement.Backlog)
	told := make(map[string]bool) // agents that have been told of a long prompt since the last tick
	var events []event
	var fleets []*Fleet
	for i := range entries {
		f := New("z1", nil)
		f.SetEntries(entries, i)
		f.SetLimits(service, Limits{Engine: testEngine})
		f.TellReadings(func(r Record, reading time.Duration) {
			backlogs[r.ID].Add(reading, time.Now())
			told[r.ID] = true
		})
		fleets = append(fleets, f)
	}
	for i := range endpoints {
		id := fmt.Sprint("e", i)
		r := record(id, id, 1)
		r.Slots = 40
		for _, f := range fleets {
			f.Update(r)
		}
		engines[id] = &sizedEngine{readPerSecond: 60_000, tokenTime: 10 * time.Millisecond, events: &events}
		backlogs[id] = &placement.Backlog{}
	}
	short, late := 0, 0
	for tick := range seconds * 100 { // of 10 ms
		runDue(&events)
		for id, e := range engines {
			if tick%25 != 0 && !told[id] {
				continue
			}
			for _, f := range fleets {
				f.RecordLoad(id, Load{Running: e.running, Waiting: e.unread, Reading: backlogs[id].Left(time.Now())})
			}
		}
		clear(told)
		work := []Work{{PromptTokens: 300, ResponseTokens: 100, MaxResponseTokens: 100}}
		if tick%8 == 0 {
			work = append(work, Work{PromptTokens: 18_000, ResponseTokens: 10, MaxResponseTokens: 10})
		}
		for _, w := range work {
			p, _ := acquire(t, fleets[rand.IntN(entries)], Request{Work: w, Aim: time.Now().Add(target)})
			if p == nil {
				t.Fatal("no endpoint")
			}
			wait := engines[p.Endpoint.ID].serve(p, w)
			if w.PromptTokens == 300 {
				short++
				if wait > target {
					late++
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("%d of %d short prompts late", late, short)
	if 20*late > short {
		t.Errorf("%d of %d short prompts got their first token late, 1 in 20 may", late, short)
	}
}

// Guards against requests that read a long beginning anew while an endpoint with room
// holds it, and against a crowd at that endpoint while others are idle.
func TestLongSharedBeginningsAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const endpoints, beginnings, target = 8, 4, 400 * time.Millisecond
		f := New("z1", nil)
		f.SetEntries(1, 0)
		f.SetLimits(service, Limits{Engine: testEngine})
		for i := range endpoints {
			id := fmt.Sprint("e", i)
			r := record(id, id, 1)
			r.Slots = 10
			f.Update(r)
		}
		reused, most := 0, 0
		where := make(map[string]map[string]int)
		running := make(map[string]int)
		for i := range 40 {
			beginning := fmt.Sprint("b", i%beginnings)
			p, _ := acquire(t, f, Request{Aim: time.Now().Add(target), Work: Work{PromptTokens: 18_100, ResponseTokens: 50, Parts: []PromptPart{{ID: beginning, Tokens: 18_000}, {ID: fmt.Sprint("own", i), Tokens: 100}}}})
			if where[beginning] == nil {
				where[beginning] = make(map[string]int)
			}
			if where[beginning][p.Endpoint.ID] > 0 {
				reused++
			}
			where[beginning][p.Endpoint.ID]++
			running[p.Endpoint.ID]++
			most = max(most, running[p.Endpoint.ID])
			p.RecordFirstToken()
			time.Sleep(20 * time.Millisecond)
		}
		t.Logf("%d of 40 reused; most at one endpoint %d", reused, most)
		if reused < 30 {
			t.Errorf("%d of 40 requests went to an endpoint that holds their beginning, 30 could", reused)
		}
		if most > 9 {
			t.Errorf("one endpoint of %d runs %d of 40 requests", endpoints, most)
		}
	})
}

// memoryFleet returns the state of one of several entries before endpoints with the given
// memory, in tokens.
func memoryFleet(entries, index, endpoints, total int) *Fleet {
	f := New("z1", nil)
	f.SetEntries(entries, index)
	f.SetLimits(service, Limits{Engine: placement.Engine{ReadPerSecond: 60_000, MeanPrompt: 14_000, MeanResponse: 1000}})
	for i := range endpoints {
		id := fmt.Sprint("e", i)
		r := record(id, id, 1)
		r.Slots = 10
		f.Update(r)
		f.RecordLoad(id, Load{MemoryTotal: total})
	}
	return f
}

// Guards against requests that together exceed the memory of an engine: their prompts are
// long, there are many entries, and each sees only reports that are a quarter of a second
// old. Guards also against leaving the engines idle.
func TestSumOfRequestsFitsIntoTheMemory(t *testing.T) {
	for _, c := range []struct{ entries, endpoints int }{{1, 8}, {16, 72}, {69, 63}, {16, 8}} {
		entries, endpoints := c.entries, c.endpoints
		synctest.Test(t, func(t *testing.T) {
			const total, prompt, response, seconds = 100_000, 14_000, 1000, 6
			const life, maxWait = 400 * time.Millisecond, 400 * time.Millisecond
			type waitingRequest struct {
				entry *Fleet
				until time.Time
			}
			var waiting []waitingRequest
			fleets := make([]*Fleet, entries)
			for i := range fleets {
				fleets[i] = memoryFleet(entries, i, endpoints, total)
			}
			used, running := make(map[string]int), make(map[string]int)
			exceeded, served, refused, most := 0, 0, 0, 0
			var events []event
			for tick := range seconds * 100 { // of 10 ms
				runDue(&events)
				if tick%25 == 0 {
					for id := range endpoints {
						id := fmt.Sprint("e", id)
						for _, f := range fleets {
							f.RecordLoad(id, Load{Running: running[id], MemoryTotal: total, MemoryShare: float64(used[id]) / total})
						}
					}
				}
				// 10 requests at a time for each engine, which can hold 6. Those that find no
				// room wait as in a queue that is retried now and then.
				for range endpoints / 4 {
					waiting = append(waiting, waitingRequest{fleets[rand.IntN(entries)], time.Now().Add(maxWait)})
				}
				waiting = slices.DeleteFunc(waiting, func(w waitingRequest) bool {
					if time.Now().After(w.until) {
						refused++
						return true
					}
					if (time.Until(w.until) % queueRetryInterval) != 0 {
						return false
					}
					p, _ := acquire(t, w.entry, Request{Work: Work{PromptTokens: prompt, ResponseTokens: response}})
					if p == nil {
						return false
					}
					id := p.Endpoint.ID
					if used[id]+prompt+response > total {
						exceeded++
						p.EndRejected()
						return true
					}
					served++
					used[id] += prompt + response
					running[id]++
					most = max(most, used[id])
					events = append(events, event{time.Now().Add(life), func() {
						used[id] -= prompt + response
						running[id]--
						p.EndSucceeded()
					}})
					return true
				})
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("%d entries: %d served, %d refused, %d exceeded, most used %d of %d", entries, served, refused, exceeded, most, total)
			if exceeded > 0 {
				t.Errorf("%d entries: %d requests exceeded the memory of their endpoint", entries, exceeded)
			}
			if half := endpoints * 6 / 2 * int(seconds*time.Second/life); served < half {
				t.Errorf("%d entries: %d requests served, half of what the engines can hold are %d", entries, served, half)
			}
		})
	}
}

// Guards against short requests that wait behind one for which no endpoint has memory, and
// against a request that waits although its prompt exceeds the memory of every endpoint.
func TestMemoryOfLongPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := memoryFleet(1, 0, 1, 100_000)
		f.RecordLoad("e0", Load{Running: 4, MemoryShare: 0.6})
		began := time.Now()
		_, availability := acquire(t, f, Request{Work: Work{PromptTokens: 100_000}, MaxWait: time.Second})
		is.Equal(availability, TooLarge)
		is.True(time.Since(began) == 0)

		long, short := make(chan *Pick, 1), make(chan *Pick, 1)
		send := func(tokens int, to chan *Pick) {
			p, _ := f.Acquire(t.Context(), &Request{Service: service, Work: Work{PromptTokens: tokens, ResponseTokens: 1}, MaxWait: 800 * time.Millisecond})
			to <- p
		}
		go send(40_000, long)
		synctest.Wait()
		go send(1000, short)
		p := <-short
		is.True(p != nil)
		is.True(time.Since(began) <= queueRetryInterval)
		p.EndSucceeded()
		f.RecordLoad("e0", Load{Running: 1, MemoryShare: 0.2})
		is.True(<-long != nil) // it is placed once there is room
	})
}

// Guards against entries that fill an engine's memory while no reports arrive, and against
// endpoints that get nothing then.
func TestMemoryWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const entries = 4
		held := 0
		for i := range entries {
			f := memoryFleet(entries, i, 1, 100_000)
			time.Sleep(2 * reportValidity)
			for range 10 {
				if p, _ := acquire(t, f, Request{Work: Work{PromptTokens: 9_000, ResponseTokens: 1000}}); p != nil {
					held += 10_000
				}
			}
		}
		is.True(held <= 100_000)
		is.True(held >= entries*10_000)
	})
}

// Guards against counts that remain after requests have ended, however they end, and against
// a prompt that is counted as unread after its first token.
func TestEndedRequestsLeaveNoWork(t *testing.T) {
	is := is.New(t)
	f := memoryFleet(1, 0, 1, 100_000)
	f.SetReuse(placement.Reuse{Weight: 1})
	ends := []func(*Pick){(*Pick).EndSucceeded, (*Pick).EndInconclusive, (*Pick).EndFailed, (*Pick).EndUnusable, (*Pick).EndRejected}
	for i, end := range ends {
		p, _ := acquire(t, f, Request{Aim: time.Now().Add(time.Second), Work: Work{PromptTokens: 7_000, ResponseTokens: 33, Parts: []PromptPart{{ID: "b", Tokens: 6_000}, {ID: "o", Tokens: 1000}}}})
		is.Equal(p.Endpoint.own.unread, 7_000)
		if i%2 == 0 {
			p.RecordFirstToken()
			is.Equal(p.Endpoint.own.unread, 0)
		}
		end(p)
		end(p)
		p.RecordFirstToken()
		is.Equal(p.Endpoint.own, ownWork{})
		is.Equal(p.Endpoint.beginnings.Held(p.beginnings, 0, 1, time.Now()), 0)
	}
}

// Guards against a changed choice where prompts share little: reading 40 tokens takes less
// than a millisecond, and requests must not collect where they are held.
func TestShortSharedBeginningsChangeNothing(t *testing.T) {
	is := is.New(t)
	f := New("z1", nil)
	f.SetLimits(service, Limits{Engine: testEngine})
	f.Update(record("a", "a", 1))
	p, _ := acquire(t, f, Request{Aim: time.Now().Add(400 * time.Millisecond), Work: Work{PromptTokens: 714, Parts: []PromptPart{{ID: "b", Tokens: 40}, {ID: "o", Tokens: 674}}}})
	is.Equal(len(p.beginnings), 0)
	q, _ := acquire(t, f, Request{Aim: time.Now().Add(400 * time.Millisecond), Work: Work{PromptTokens: 714, Parts: []PromptPart{{ID: "b", Tokens: 40}, {ID: "p", Tokens: 674}}}})
	is.Equal(q.Score.Held, 0.0)
}

// Guards against a response whose load header, which names no memory, makes a full engine
// appear empty, and against memory that is given back twice when requests end around a report.
func TestMemoryIsKnownFromAgentsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := memoryFleet(1, 0, 1, 100_000)
		send := func(prompt int) *Pick {
			p, _ := acquire(t, f, Request{Work: Work{PromptTokens: prompt, ResponseTokens: 1000}})
			return p
		}
		p := send(50_000)
		f.RecordLoad("e0", Load{Running: 1, MemoryShare: 0.55})
		time.Sleep(reportValidity / 2)
		p.RecordLoad(Load{Slots: 10})
		is.True(send(50_000) == nil)

		p.EndSucceeded()
		f.RecordLoad("e0", Load{Running: 1}) // an idle engine takes any request
		time.Sleep(2 * reportTransit)
		is.True(send(95_000) == nil) // 90,000 may be used
		p = send(80_000)
		is.True(p != nil)
		p.EndSucceeded()
		is.True(send(80_000) != nil)
		is.True(send(30_000) == nil)
	})
}

// Guards against telling a caller that its request can never be served while an endpoint may
// be able to hold it: one that is out of service now, or one whose memory isn't known.
func TestTooLargeForAllEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := memoryFleet(1, 0, 2, 100_000)
		for _, id := range []string{"e0", "e1"} {
			f.RecordLoad(id, Load{Running: 4, MemoryShare: 0.6})
		}
		request := Request{Work: Work{PromptTokens: 150_000}}
		asked := func() Availability {
			_, availability := acquire(t, f, request)
			return availability
		}
		is.Equal(asked(), TooLarge)
		is.Equal(f.Explain(&Request{Service: service, Work: request.Work}).Availability, TooLarge)
		// It must not lengthen the waits of callers whose requests fit.
		time.Sleep(500 * time.Millisecond)
		is.Equal(asked(), TooLarge)
		is.Equal(f.queueOf(service).control.ReturnAfter(&admission.Request{}, nil, false, time.Minute, 0, time.Now()), 300*time.Millisecond)
		f.RecordLoad("e1", Load{Running: 4, MemoryTotal: 300_000, MemoryShare: 0.6})
		is.Equal(asked(), AllBusy)
		r := record("e1", "e1", 1)
		r.Slots, r.Draining = 10, true
		f.Update(r)
		is.Equal(asked(), Unavailable)
		f.Remove("e1")
		is.Equal(asked(), TooLarge)
		p, _ := acquire(t, f, Request{Work: Work{PromptTokens: 10, ResponseTokens: 1}})
		p.RecordPause(10 * time.Second)
		p.EndRejected()
		is.Equal(asked(), TooLarge) // the end of the pause doesn't help
		time.Sleep(20 * time.Second)
		is.Equal(asked(), TooLarge) // without reports either
		f.Update(record("e2", "e2", 1))
		is.True(asked() != TooLarge) // its memory isn't known
		f.Remove("e0")
		f.Remove("e2")
		is.Equal(asked(), Unavailable)
	})
}
