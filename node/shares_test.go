package node

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/share"
	"github.com/wasabinotch/wasabinotch/store"
)

const (
	sharesEntries = 17
	sharesLag     = 300 * time.Millisecond // longest time until an entry sees a change of the store
	sharesStep    = 100 * time.Millisecond
)

// sharingEntries plays entries that share limits: what each of them knows comes from
// changes of the store that reach it with a delay of its own.
type sharingEntries struct {
	t      *testing.T
	rand   *rand.Rand
	began  time.Time
	all    []*sharingEntry
	delays []delayedChange
	ratio  float64
	slack  float64
	window time.Duration
	// requests and retries are the times of all of them.
	requests, retries []time.Time
	// sent are the times of the requests to the endpoint with a cold limit.
	sent []time.Time
}

type sharingEntry struct {
	key      string
	fleet    *fleet.Fleet
	follower *entryFollower
	budget   *fleet.RetryBudget
	running  bool
}

type delayedChange struct {
	at    time.Time
	to    *entryFollower
	event store.Event
}

func newSharingEntries(t *testing.T, n int, seed uint64) *sharingEntries {
	s := &sharingEntries{t: t, rand: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), ratio: 0.2, slack: 196, window: 10 * time.Second}
	for i := range n {
		s.all = append(s.all, &sharingEntry{key: fmt.Sprintf("entries/e%02d", i)})
	}
	for _, e := range s.all {
		s.start(e)
	}
	for _, e := range s.all {
		s.register(e)
	}
	return s
}

// start begins a new run of an entry, which lists the records of the others.
func (s *sharingEntries) start(e *sharingEntry) {
	e.fleet = fleet.New("z1", nil)
	e.fleet.SetLimits("s", fleet.Limits{ColdPerSecond: 15, ColdBurst: 27.5})
	e.fleet.Update(fleet.Record{ID: "i-1", Service: "s", Address: "10.0.0.1:1", Zone: "z1", Slots: 1000})
	e.follower = newEntryFollower(e.fleet, share.Member{ID: e.key, Weight: 1}, settings.Bounds{GracePeriodS: 8, RetryWindowS: 10}, &storeHealth{}, logr.Discard())
	e.budget = fleet.NewRetryBudget(s.ratio, s.slack, s.window)
	for _, other := range s.all {
		if other.running {
			e.follower.Apply(written(other.key))
		}
	}
	e.running = true
}

func written(key string) store.Event {
	return store.Event{KeyValue: store.KeyValue{Key: key, Value: []byte(`{"callers":"10.0.0.2:1","peer":"10.0.0.2:2","zone":"z1"}`)}}
}

func (s *sharingEntries) register(e *sharingEntry) { s.broadcast(written(e.key)) }

// lapse removes an entry's record.
func (s *sharingEntries) lapse(e *sharingEntry) {
	s.broadcast(store.Event{KeyValue: store.KeyValue{Key: e.key}, Deleted: true})
}

// tellServing delivers the datagram of an entry that can't reach the store to the others.
func (s *sharingEntries) tellServing(e *sharingEntry) {
	for _, other := range s.all {
		if other.running && s.rand.IntN(20) > 0 { // some are lost
			other.follower.heard(e.follower.self)
		}
	}
}

func (s *sharingEntries) broadcast(change store.Event) {
	for _, e := range s.all {
		if e.running {
			s.delays = append(s.delays, delayedChange{time.Now().Add(time.Duration(s.rand.Float64() * float64(sharesLag))), e.follower, change})
		}
	}
}

// step lets a step of time pass, in which each running entry gets the given number of
// requests on average and retries as many as its budget allows.
func (s *sharingEntries) step(requestsEach float64) {
	time.Sleep(sharesStep)
	now := time.Now()
	s.delays = slices.DeleteFunc(s.delays, func(d delayedChange) bool {
		if d.at.After(now) {
			return false
		}
		d.to.Apply(d.event)
		return true
	})
	for _, e := range s.all {
		if !e.running {
			continue
		}
		e.follower.refresh(now)
		if peer := s.all[s.rand.IntN(len(s.all))]; peer.running && peer != e && e.follower.wantsCount(now) && s.rand.IntN(4) == 0 { // polls
			if n := peer.follower.count(now); n > 0 {
				e.follower.tellCount(n)
			}
		}
		for s.rand.Float64() < requestsEach/(1+requestsEach) {
			s.requests = append(s.requests, now)
			e.budget.RecordRequest()
		}
		for e.budget.TakeRetry(e.fleet.RetryPart()) {
			s.retries = append(s.retries, now)
		}
		for {
			p, _ := e.fleet.Acquire(s.t.Context(), &fleet.Request{Service: "s"})
			if p == nil {
				break
			}
			s.sent = append(s.sent, now)
			p.EndSucceeded()
		}
	}
}

func (s *sharingEntries) steps(d time.Duration, requestsEach float64) {
	for range d / sharesStep {
		s.step(requestsEach)
	}
}

// restart ends an entry's process and starts it again after a pause. A process that is
// killed leaves its record until the lease expires.
func (s *sharingEntries) restart(e *sharingEntry, pause time.Duration, requestsEach float64) {
	e.running = false
	s.steps(pause, requestsEach)
	s.start(e)
	s.register(e)
}

func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// check compares the retries of each window with the bound, and returns the most that it
// found.
func (s *sharingEntries) check() (most int) {
	for from := s.began; from.Before(time.Now()); from = from.Add(sharesStep) {
		to := from.Add(s.window)
		retries := countBetween(s.retries, from, to)
		requests := countBetween(s.requests, from, to)
		for _, earlier := range []time.Duration{s.window, s.window / 2} {
			requests = max(requests, countBetween(s.requests, from.Add(-earlier), to.Add(-earlier)))
		}
		most = max(most, retries)
		if bound := s.ratio*float64(requests) + s.slack; float64(retries) > bound {
			s.t.Fatalf("%d retries for %d requests in the window from %v; allowed %.0f", retries, requests, from.Sub(s.began), bound)
		}
	}
	return most
}

// checkCold compares the requests of each second to the endpoint with its limit.
func (s *sharingEntries) checkCold(bound float64) (most int) {
	for from := s.began; from.Before(time.Now()); from = from.Add(sharesStep) {
		n := countBetween(s.sent, from, from.Add(time.Second))
		most = max(most, n)
		if float64(n) > bound {
			s.t.Fatalf("%d requests in the second from %v; allowed %v", n, from.Sub(s.began), bound)
		}
	}
	return most
}

// Guards against entries that together exceed the retry budget while all are stopped and started in turn, most are killed
// at once, and others lose their records and serve on (BUDGET on the users' day deadly).
func TestRetryBudgetHoldsWhileEntriesLapseDrainAndRestart(t *testing.T) {
	for _, requests := range []float64{0.1, 0.6} { // an entry and step
		seed := uint64(requests * 10)
		synctest.Test(t, func(t *testing.T) {
			s := newSharingEntries(t, sharesEntries, seed)
			s.steps(12*time.Second, requests)
			for _, e := range s.all[:6] { // the store rejects their VMs
				s.lapse(e)
			}
			s.steps(3*time.Second, requests)
			for i, e := range s.all { // stopped in turn: off the directory at once, serving on for two seconds
				s.lapse(e)
				s.steps(2*time.Second, requests)
				s.restart(e, 500*time.Millisecond, requests)
				if i == 5 {
					for _, killed := range s.all[6:] {
						killed.running = false
					}
					s.steps(3*time.Second, requests) // their leases expire
					for _, killed := range s.all[6:] {
						s.lapse(killed)
					}
					s.steps(time.Second, requests)
					for _, killed := range s.all[6:] {
						s.start(killed)
						s.register(killed)
					}
				}
			}
			s.steps(12*time.Second, requests)
			most := s.check()
			t.Logf("%.1f requests a step: at most %d retries in a window", requests, most)
		})
	}
}

// Guards against entries that together send a cold endpoint more than it bears while a zone has lost power and each entry
// learns of the end of others at another moment, or while lapsed entries serve on (FAILBACK on the users' day changes).
func TestColdLimitHoldsWhileViewsDiffer(t *testing.T) {
	for _, n := range []int{17, 49} {
		for seed := range uint64(4) {
			synctest.Test(t, func(t *testing.T) {
				s := newSharingEntries(t, n, seed)
				s.steps(6*time.Second, 0)
				for _, e := range s.all[:n/3] { // power is lost
					e.running = false
				}
				s.steps(2*time.Second, 0)
				for _, e := range s.all[:n/3] { // leases end one by one
					s.lapse(e)
					s.step(0)
				}
				s.steps(2*time.Second, 0)
				for _, e := range s.all[:n/3] {
					s.start(e)
					s.register(e)
				}
				s.steps(2*time.Second, 0)
				for _, e := range s.all[n/2:] { // the store rejects their VMs, which serve on
					s.lapse(e)
					s.step(0)
				}
				for range 6 { // longer than records are missed
					s.steps(2500*time.Millisecond, 0)
					for _, e := range s.all[n/2:] {
						s.tellServing(e)
					}
				}
				for _, e := range s.all[n/2:] {
					s.register(e)
					s.step(0)
				}
				s.steps(2*time.Second, 0)
				most := s.checkCold(27.5)
				t.Logf("%d entries, seed %d: at most %d requests in a second, %d in all", n, seed, most, len(s.sent))
			})
		}
	}
}

// Guards against an entry that goes on with its full part after it has stood still, while the others have divided it.
func TestEntryThatStoodStillIsCautious(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSharingEntries(t, 4, 1)
		s.steps(20*time.Second, 0)
		f := s.all[0].follower
		window := 10 * time.Second
		is.Equal(f.fleet.RetryPart().Use(window, time.Now()), 0.7/4)
		time.Sleep(8 * time.Second)
		f.refresh(time.Now())
		is.Equal(f.fleet.RetryPart().Use(window, time.Now()), 0.7/4) // the others count it still
		time.Sleep(13 * time.Second)
		f.refresh(time.Now())
		is.Equal(f.fleet.RetryPart().Use(window, time.Now()), 0.0)
		_, usable := f.fleet.Turns(time.Now())
		is.True(usable < 0.03)
		time.Sleep(2 * time.Second)
		f.refresh(time.Now())
		_, usable = f.fleet.Turns(time.Now())
		is.True(usable > 0.2)
	})
}

// Guards against a datagram of an entry that the others don't take for one.
func TestEntriesThatTellThatTheyServeAreCounted(t *testing.T) {
	is := is.New(t)
	entry := func(id string) *Entry {
		return NewEntry(settings.PlatformEntry{PlatformNode: settings.PlatformNode{ID: id, Zone: "z1", IP: "10.0.1.0", CoreShare: 0.8, Bounds: settings.Bounds{GracePeriodS: 8, RetryWindowS: 10}}}, logr.Discard())
	}
	a, b := entry("a"), entry("b")
	a.notices.tellServing(a.peers.self)
	datagram, err := json.Marshal(<-a.notices.pending)
	is.NoErr(err)
	b.notices.receive(datagram)
	is.Equal(b.fleet.Entries(), 2)
	a.notices.receive(datagram) // its own
	is.Equal(a.fleet.Entries(), 1)
	own, _ := b.fleet.Turns(time.Now())
	is.True(own < 0.03) // it is cautious, too
	b.notices.receive([]byte(`{"entry":"x","weight":1e300}`))
	is.Equal(b.fleet.Entries(), 3)
}

// Guards against a loan that changes on its way between entries, and against odd values that are used.
func TestLoansOfTurnsAreDecodedAsSent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 5)
	l := share.Loan{Slots: []int32{0, 7, 4000}, From: now, To: now.Add(share.LoanTime)}
	got, ok := decodeLoan(encodeLoan(l))
	is.True(ok)
	is.Equal(got, l)
	for _, odd := range []string{"", ",", "1,2", "1,2,3,x", "1,2,-3", "1,99999999999999999999,3", "1,2,4294967296", "5,4,1", "1,9999999999999999,1", encodeLoan(l) + ",1"} {
		_, ok := decodeLoan(odd)
		is.True(!ok)
	}
}

// Guards against an entry that takes few turns for seconds after a restart although the others count it, and against one
// that believes others which have started as well.
func TestRestartedEntryLearnsHowManyShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSharingEntries(t, 6, 1)
		is.Equal(s.all[0].follower.count(time.Now()), 0) // it has started itself
		s.steps(12*time.Second, 0)
		is.Equal(s.all[0].follower.count(time.Now()), 6)
		is.True(!s.all[0].follower.wantsCount(time.Now()))
		restarted, gone := s.all[1], s.all[2]
		restarted.running, gone.running = false, false
		s.lapse(restarted)
		s.lapse(gone)
		s.steps(time.Second, 0)
		s.start(restarted)
		f := restarted.follower
		is.True(f.wantsCount(time.Now()))
		f.tellCount(s.all[0].follower.count(time.Now()))
		is.Equal(f.fleet.Entries(), 5) // it never knew the one that is gone
		part := func() float64 {
			own, _ := f.fleet.Turns(time.Now())
			return own
		}
		is.True(part() > 1.0/9 && part() < 1.0/5) // a seventh, or more with luck
		s.register(restarted)
		s.steps(2*time.Second, 0)
		is.True(part() > 1.0/8 && part() < 1.0/4.5) // a sixth: it counts the one that is gone
		s.steps(15*time.Second, 0)
		is.Equal(f.count(time.Now()), 5)
		is.True(part() > 1.0/6 && part() < 1.0/4)
	})
}

// Guards against a directory that names the smallest VM as often as one that bears three times as much, or that counts
// records of earlier versions, which tell no capacity, for nothing.
func TestDirectoryNamesEntriesByCapacity(t *testing.T) {
	is := is.New(t)
	e := NewEntry(settings.PlatformEntry{PlatformNode: settings.PlatformNode{
		ID: "e00", Zone: "z1", IP: "10.0.1.0", CallersAddr: "10.0.1.0:1", PeerPort: 7000, CoreShare: 0.8, Bounds: settings.Bounds{GracePeriodS: 8, DirectoryTTLS: 5, RetryWindowS: 10}}}, logr.Discard())
	e.ready.Store(true)
	for i := 1; i < 40; i++ {
		capacity := `,"capacity":0.272`
		if i < 5 {
			capacity = `,"capacity":0.8`
		} else if i == 5 {
			capacity = ""
		}
		value := fmt.Sprintf(`{"callers":"10.0.1.%d:1","peer":"10.0.1.%d:2","zone":"z1"%s}`, i, i, capacity)
		e.peers.Apply(store.Event{KeyValue: store.KeyValue{Key: fmt.Sprintf("%se%02d", platform.PrefixEntries, i), Value: []byte(value)}})
	}
	picked := make(map[string]float64)
	const callers = 2000
	for c := range callers {
		r := httptest.NewRequest(http.MethodGet, platform.PathDirectory+"?name=h.example&zone=z1", nil)
		r.RemoteAddr = fmt.Sprintf("10.9.%d.%d:4000", c/250, c%250)
		w := httptest.NewRecorder()
		e.serveDirectory(w, r)
		var answer struct{ Addresses []string }
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &answer))
		is.True(len(answer.Addresses) >= 8 && len(answer.Addresses) < 40)
		for _, a := range answer.Addresses {
			picked[a] += 1 / float64(len(answer.Addresses)) / callers
		}
	}
	is.Equal(len(picked), 40)
	large, small, unknown := picked["10.0.1.0:1"], picked["10.0.1.20:1"], picked["10.0.1.5:1"]
	is.True(large > 2.6*small && large < 3.9*small) // weights 3.25 and 1
	is.True(unknown > small && unknown < large)     // an average one
	is.Equal(e.partialAnswers.Get(), uint64(callers))
}
