package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/fleet"
)

// slowAnswer answers after d.
func slowAnswer(d time.Duration, body string) answer {
	return func(c net.Conn, r *http.Request, n int) {
		time.Sleep(d)
		ok(body)(c, r, n)
	}
}

// Load: a group stands still for a moment, with more requests there than may be
// repeated. Guards against attempts that are broken off though nothing can take
// their place: callers got failures where a late answer was on its way.
func TestAttemptGoesOnWithoutABudgetForRepeats(t *testing.T) {
	is := is.New(t)
	route := lookup
	route.TargetLatency = 50 * time.Millisecond
	s := newSystem(t, route, slowAnswer(500*time.Millisecond, "late"), slowAnswer(500*time.Millisecond, "late"))
	s.handler.cfg.RetryRatio, s.handler.cfg.RetrySlack = 0, 0
	go func() {
		time.Sleep(50 * time.Millisecond)
		s.handler.cfg.Fleet.RecordLoad("e0", fleet.Load{Stalled: true})
		s.handler.cfg.Fleet.RecordLoad("e1", fleet.Load{Stalled: true})
	}()
	resp, body, err := s.do(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "late")
	is.Equal(s.runs(), 1)
}

// Load: endpoints with long queues. Guards against requests that move from one
// busy endpoint to the next and so make every queue longer.
func TestBusyEndpointThatReportsIsWaitedFor(t *testing.T) {
	is := is.New(t)
	route := lookup
	route.TargetLatency = 50 * time.Millisecond
	s := newSystem(t, route, slowAnswer(500*time.Millisecond, "late"), slowAnswer(500*time.Millisecond, "late"))
	for _, id := range []string{"e0", "e1"} {
		s.handler.cfg.Fleet.RecordLoad(id, fleet.Load{Running: 3})
	}
	resp, body, err := s.do(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "late")
	is.Equal(s.runs(), 1)
}

// Guards against an endpoint that reports well but has lost the request: half of
// the time is kept for another one.
func TestEndpointThatLostTheRequestIsLeft(t *testing.T) {
	is := is.New(t)
	route := lookup
	route.TargetLatency = 50 * time.Millisecond
	lost := func(c net.Conn, r *http.Request, n int) { time.Sleep(3 * time.Second) }
	s := newSystem(t, route, lost, ok("found"))
	s.handler.cfg.Fleet.RecordLoad("e0", fleet.Load{})
	s.handler.cfg.Fleet.RecordLoad("e1", fleet.Load{Running: 3}) // e0 is chosen first
	resp, body, err := s.do(t, func(r *http.Request) { r.Header.Set("Deadline-Ms", "800") })
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "found")
}

// Load: a group stood still for a moment and works again when a repeat gets
// free. Guards against streams that are broken off though they go on.
func TestStreamThatGoesOnIsNotMoved(t *testing.T) {
	is := is.New(t)
	route := draft
	route.TargetLatency = 50 * time.Millisecond
	stream := func(c net.Conn, r *http.Request, n int) {
		raw(streamHead+"Connection: close\r\n\r\n"+events(1, 1))(c, r, n)
		time.Sleep(800 * time.Millisecond)
		raw(events(2, 2))(c, r, n)
		c.Close()
	}
	s := newSystem(t, route, stream, stream)
	s.handler.cfg.RetryRatio, s.handler.cfg.RetrySlack = 0, 2 // one repeat is left
	s.handler.cfg.RetryWindow = 300 * time.Millisecond
	s.handler.budget("s").TakeRetry(1)
	go func() {
		time.Sleep(100 * time.Millisecond)
		for _, broken := range []bool{true, false} {
			for _, id := range []string{"e0", "e1"} {
				s.handler.cfg.Fleet.RecordLoad(id, fleet.Load{Stalled: broken})
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	resp, body, err := s.do(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, events(1, 2))
	is.Equal(s.runs(), 1)
}
