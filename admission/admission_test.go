package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 3, 12, 9, 0, 0, 0, time.UTC)

func indexes(candidates []Candidate) []int {
	var all []int
	for _, c := range candidates {
		all = append(all, c.Index)
	}
	return all
}

// Guards against late requests that go before those which can still be served in time, as
// after a halt, and against late ones that are never served.
func TestRequestsInTimeGoBeforeLateOnes(t *testing.T) {
	is := is.New(t)
	c := NewController()
	waiting := []*Request{
		{Priority: 1, Aim: start.Add(-time.Second)},
		{Priority: 1, Aim: start.Add(time.Second)},
		{Priority: 0, Aim: start.Add(-time.Second)},
		{Priority: 0, Aim: start.Add(time.Second)},
	}
	is.Equal(indexes(c.Order(waiting, start)), []int{3, 2, 1, 0})
	late := 0
	for range 4 * lateInterval {
		r := waiting[c.Order(waiting, start)[0].Index]
		if c.late(r, start) {
			late++
		}
		c.GrantWaiting(r, waiting, start)
	}
	is.Equal(late, 4)
}

// Guards against counting a request as in time that can't begin to be answered in time.
func TestLatenessIncludesTheTimeToBegin(t *testing.T) {
	is := is.New(t)
	c := NewController()
	c.Began(200 * time.Millisecond)
	r := &Request{Arrived: start, Aim: start.Add(500 * time.Millisecond)}
	is.True(!c.late(r, start.Add(290*time.Millisecond)))
	is.True(c.late(r, start.Add(300*time.Millisecond)))
	c.timeToBegin = time.Minute
	is.True(!c.late(r, start)) // not all are late when endpoints are slow
	is.True(!c.late(&Request{}, start))
}

// Guards against shares by the number of requests: an organisation with long requests
// would get more of the endpoints than one with short requests.
func TestSharesAreByCost(t *testing.T) {
	is := is.New(t)
	c := NewController()
	now := start
	granted := make(map[string]float64)
	for range 400 {
		waiting := []*Request{{Organisation: "long", Cost: 4}, {Organisation: "short", Cost: 1}}
		r := waiting[c.Order(waiting, now)[0].Index]
		c.GrantWaiting(r, waiting, now)
		granted[r.Organisation] += r.Cost
		now = now.Add(10 * time.Millisecond)
	}
	ratio := granted["long"] / granted["short"]
	is.True(ratio > 0.9 && ratio < 1.1)
}

// Guards against an organisation that still pays for room which nobody else wanted.
func TestUnwantedRoomIsNotCharged(t *testing.T) {
	is := is.New(t)
	c := NewController()
	for i := range 100 {
		c.Grant(&Request{Organisation: "alone", Cost: 1}, start.Add(time.Duration(i)*10*time.Millisecond))
	}
	later := start.Add(20 * time.Second)
	waiting := []*Request{{Organisation: "alone"}, {Organisation: "new"}}
	granted := make(map[string]int)
	for range 20 {
		r := waiting[c.Order(waiting, later)[0].Index]
		c.GrantWaiting(r, waiting, later)
		granted[r.Organisation]++
	}
	is.True(granted["alone"] >= 9)
}

// Guards against less urgent requests that take the last places, against a reserve that
// nobody wants, and against any change where all requests are alike.
func TestRoomFollowsDemand(t *testing.T) {
	is := is.New(t)
	c := NewController()
	bulk, urgent := &Request{Priority: 2}, &Request{Priority: 0}
	c.EngineQueuesByPriority = true
	for range 10 {
		c.Arrive(bulk, start)
	}
	is.Equal(c.Room(bulk, start).Of(10, 0, 0), 10)
	for range 10 {
		c.Arrive(urgent, start)
	}
	is.Equal(c.Room(bulk, start).Of(10, 0, 0), 8)
	is.Equal(c.Room(urgent, start).Of(10, 0, 0), 12)
	is.Equal(c.Room(bulk, start).Of(1, 0, 0), 1)
	is.Equal(c.Room(bulk, start).Of(10, 1, 0), 5)    // steps take the whole target gap
	is.Equal(c.Room(urgent, start).Of(10, 1, 8), 10) // more would delay all streams
	is.Equal(c.Room(urgent, start).Of(10, 0, 8), 16) // half of those that wait there are less urgent
	is.Equal(c.Room(bulk, start).Of(10, 0, 8), 8)
	later := start.Add(time.Minute)
	c.Arrive(bulk, later)
	is.Equal(c.Room(bulk, later).Of(10, 1, 0), 10)
}

// Guards against requests that wait although what goes before them can't be served in the
// time that they have, and against refusals while half of the slots are free, before
// anything was seen, or of those who were hardly ever served.
func TestForecastRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	c := NewController()
	now := start
	r := &Request{Kind: "a"}
	var before []*Request
	for range 10 {
		before = append(before, &Request{Kind: "b"})
	}
	is.True(!c.Hopeless(r, before, time.Second, 1, now)) // nothing is known
	c.UpdateWaiting(len(before), now)
	for range 4 { // two places a second
		now = now.Add(500 * time.Millisecond)
		c.GrantWaiting(before[0], before, now)
		c.UpdateWaiting(len(before), now)
	}
	is.True(c.Hopeless(r, before, time.Second, 1, now))
	is.True(!c.Hopeless(r, before, 10*time.Second, 1, now))
	is.True(!c.Hopeless(r, nil, time.Second, 1, now))
	is.True(!c.Hopeless(r, before, time.Second, 0.4, now))
	for range 20 {
		c.Arrive(r, now)
		c.Arrive(before[0], now)
		c.Grant(before[0], now)
	}
	is.True(!c.Hopeless(r, before, time.Second, 1, now)) // none of its kind was served
}

// Guards against callers that return in one moment, sooner than there is room, or later
// than they wait.
func TestReturnsAreSpreadAndLongEnough(t *testing.T) {
	is := is.New(t)
	c := NewController()
	r := &Request{}
	is.Equal(c.ReturnAfter(r, nil, false, time.Minute, 0, start), minReturn)
	is.Equal(c.ReturnAfter(r, nil, true, time.Minute, 0, start), haltTime)
	c.Refused(start)
	is.Equal(c.ReturnAfter(r, nil, true, time.Minute, 0, start.Add(pressureGap)), haltTime-pressureGap)
	now := start
	for ; now.Sub(start) < 2*time.Second; now = now.Add(100 * time.Millisecond) {
		c.Refused(now)
	}
	first, last := c.ReturnAfter(r, nil, false, time.Minute, 0, now), c.ReturnAfter(r, nil, false, time.Minute, 1, now)
	is.True(first >= 2*time.Second)             // the pressure has lasted so long
	is.True(last-first >= 900*time.Millisecond) // callers spread
	for _, random := range []float64{0, 0.5, 1} {
		is.True(c.ReturnAfter(r, nil, false, 600*time.Millisecond, random, now) <= 600*time.Millisecond)
	}
	now = now.Add(2 * pressureGap)
	is.Equal(c.ReturnAfter(r, nil, false, time.Minute, 0, now), minReturn) // it has ended
}

// Guards against 69 entries that all take the one place which a report shows as free, and
// against leaving places free when few entries have waiting requests.
func TestEntriesShareFreePlaces(t *testing.T) {
	is := is.New(t)
	const entries = 69
	var c Claims
	one := func() float64 { return 0.999 }
	is.Equal(c.Of(3, one), 3) // before anything was seen
	for range 100 {
		c.Observe(30, 10, entries)
	}
	is.True(c.Share() <= 1.01/entries)
	is.Equal(c.Of(3, one), 0)
	for range 20 { // a few endpoints report so often within two seconds
		c.Observe(5, 10, entries)
	}
	is.Equal(c.Of(3, one), 3)
	is.Equal(c.Of(-2, one), 0)
}

// Guards against memory that grows with the organisations and kinds that were ever seen.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	c := NewController()
	for i := range 5 * maxOrganisations {
		name := fmt.Sprint(i)
		r := &Request{Priority: i, Organisation: name, Kind: name}
		c.Arrive(r, start)
		c.Grant(r, start)
	}
	is.True(len(c.usage) <= maxOrganisations && len(c.orgs) <= maxOrganisations && len(c.kinds) <= maxOrganisations && len(c.demand) <= maxPriorities)
}
