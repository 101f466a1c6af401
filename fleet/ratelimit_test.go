package fleet

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// limitWindow is the window over which the users' platform counts requests to an
	// endpoint that names a rate limit; limitFactor times the limit plus limitSlack may
	// arrive in it.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// mostWithin returns the largest number of times within any window.
func mostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	slices.SortFunc(times, time.Time.Compare)
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// limitedFleets returns the fleets of entries that all know one endpoint with a limit.
func limitedFleets(entries int, perSecond float64) []*Fleet {
	fleets := make([]*Fleet, entries)
	for i := range fleets {
		fleets[i] = New("z1", nil)
		fleets[i].SetEntries(entries, i)
		fleets[i].Update(record("a", "10.0.0.1:1", 1))
		fleets[i].RecordRateLimit("a", RateLimit{PerSecond: perSecond, Named: true})
	}
	return fleets
}

// sendAll sends requests from each entry at all times for the given duration, and returns
// when they were sent.
func sendAll(t *testing.T, fleets []*Fleet, d time.Duration) (sent []time.Time) {
	const interval = 20 * time.Millisecond
	for range d / interval {
		for _, f := range fleets {
			for {
				p, _ := acquire(t, f, Request{})
				if p == nil {
					break
				}
				sent = append(sent, time.Now())
				p.EndSucceeded()
				if len(sent) > 1e5 {
					t.Fatal("no limit is in force")
				}
			}
		}
		time.Sleep(interval)
	}
	return sent
}

// Guards against entries that together send an endpoint more requests than the limit that it named.
func TestEntriesTogetherKeepToANamedRateLimit(t *testing.T) {
	for _, entries := range []int{1, 3, 17, 49, 300} {
		for _, perSecond := range []float64{0, 0.3, 2.2, 20} {
			t.Run(fmt.Sprintf("%d_entries_%v", entries, perSecond), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					allowed := int(limitFactor*perSecond*limitWindow.Seconds() + limitSlack)
					fleets := limitedFleets(entries, perSecond)
					sent := sendAll(t, fleets, 30*time.Second)
					if perSecond > 0 && float64(len(sent)) < perSecond*30/2 {
						t.Errorf("%d requests in 30 s, less than half of the limit of %v", len(sent), perSecond)
					}
					time.Sleep(time.Minute) // idle entries don't save requests for a burst
					sent = append(sent, sendAll(t, fleets, 10*time.Second)...)
					if most := mostWithin(sent, limitWindow); most > allowed {
						t.Errorf("%d requests within %v, allowed are %d", most, limitWindow, allowed)
					}
				})
			})
		}
	}
}

// Guards against a lowered limit that takes effect only after requests for the former one.
func TestLoweredRateLimitTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleets := limitedFleets(17, 20)
		sendAll(t, fleets, 10*time.Second)
		for _, f := range fleets {
			f.RecordRateLimit("a", RateLimit{PerSecond: 1, Named: true})
		}
		sent := sendAll(t, fleets, 10*time.Second)
		if most, allowed := mostWithin(sent, limitWindow), int(limitFactor*limitWindow.Seconds()+limitSlack); most > allowed {
			t.Errorf("%d requests within %v, allowed are %d", most, limitWindow, allowed)
		}
		for _, f := range fleets {
			f.RecordRateLimit("a", RateLimit{})
		}
		p, _ := acquire(t, fleets[0], Request{})
		if p == nil {
			t.Error("no request is sent although the limit has ended")
		}
	})
}

// Guards against a request that waits for an endpoint although all rate limits are used up until it must leave.
func TestRequestBeyondAllRateLimitsIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 400 * time.Millisecond
		f := limitedFleets(1, 0.5)[0]
		sendAll(t, []*Fleet{f}, 3*time.Second)
		refused := false
		for range 20 {
			began := time.Now()
			p, availability := acquire(t, f, Request{MaxWait: wait})
			if p == nil {
				refused = true
				if availability != RateLimited {
					t.Fatalf("the reason is %v, not RateLimited", availability)
				}
				if waited := time.Since(began); waited > 0 {
					t.Fatalf("refused after %v", waited)
				}
			} else {
				p.EndSucceeded()
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !refused {
			t.Error("all requests were sent at once")
		}
	})
}
