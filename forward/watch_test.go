package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/share"
)

func delayedResponse(d time.Duration, body string) responder {
	return func(c net.Conn, r *http.Request, n int) {
		time.Sleep(d)
		respondOK(body)(c, r, n)
	}
}

// Guards against attempts that are cancelled though the retry budget allows no
// other: when a group stalled for a moment with more requests than could be
// retried, callers got failures where a late response was on its way.
func TestAttemptGoesOnWithoutABudgetForRepeats(t *testing.T) {
	is := is.New(t)
	route := idempotentRoute
	route.TargetLatency = 50 * time.Millisecond
	s := newTestEntry(t, route, delayedResponse(500*time.Millisecond, "late"), delayedResponse(500*time.Millisecond, "late"))
	s.handler.cfg.RetryRatio, s.handler.cfg.RetrySlack = 0, 0
	go func() {
		time.Sleep(50 * time.Millisecond)
		s.handler.cfg.Fleet.RecordLoad("e0", fleet.Load{Stalled: true})
		s.handler.cfg.Fleet.RecordLoad("e1", fleet.Load{Stalled: true})
	}()
	resp, body, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "late")
	is.Equal(s.requestCount(), 1)
}

// Guards against requests that move from one busy endpoint to the next and so
// lengthen every queue, when all endpoints have long queues.
func TestBusyEndpointThatReportsIsWaitedFor(t *testing.T) {
	is := is.New(t)
	route := idempotentRoute
	route.TargetLatency = 50 * time.Millisecond
	s := newTestEntry(t, route, delayedResponse(500*time.Millisecond, "late"), delayedResponse(500*time.Millisecond, "late"))
	for _, id := range []string{"e0", "e1"} {
		s.handler.cfg.Fleet.RecordLoad(id, fleet.Load{Running: 3})
	}
	resp, body, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "late")
	is.Equal(s.requestCount(), 1)
}

// Guards against a request that waits until its deadline for an endpoint that
// reports as healthy but has lost the request: half of the time is kept for
// another endpoint.
func TestEndpointThatLostTheRequestIsLeft(t *testing.T) {
	is := is.New(t)
	route := idempotentRoute
	route.TargetLatency = 50 * time.Millisecond
	hang := func(c net.Conn, r *http.Request, n int) { time.Sleep(3 * time.Second) }
	s := newTestEntry(t, route, hang, respondOK("found"))
	s.handler.cfg.Fleet.RecordLoad("e0", fleet.Load{})
	s.handler.cfg.Fleet.RecordLoad("e1", fleet.Load{Running: 3}) // e0 is chosen first
	resp, body, err := s.send(t, func(r *http.Request) { r.Header.Set("Deadline-Ms", "800") })
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "found")
}

// Guards against streams that are cancelled though they continue: a group stalls
// for a moment and works again by the time a retry becomes available.
func TestRecoveredStreamIsNotMoved(t *testing.T) {
	is := is.New(t)
	route := streamingRoute
	route.TargetLatency = 50 * time.Millisecond
	stream := func(c net.Conn, r *http.Request, n int) {
		respondRaw(streamHead+"Connection: close\r\n\r\n"+events(1, 1))(c, r, n)
		time.Sleep(800 * time.Millisecond)
		respondRaw(events(2, 2))(c, r, n)
		c.Close()
	}
	s := newTestEntry(t, route, stream, stream)
	s.handler.cfg.RetryRatio, s.handler.cfg.RetrySlack = 0, 2 // one retry is left
	s.handler.cfg.RetryWindow = 300 * time.Millisecond
	s.handler.retryBudget("s").TakeRetry(share.Whole)
	go func() {
		time.Sleep(100 * time.Millisecond)
		for _, stalled := range []bool{true, false} {
			for _, id := range []string{"e0", "e1"} {
				s.handler.cfg.Fleet.RecordLoad(id, fleet.Load{Stalled: stalled})
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	resp, body, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, events(1, 2))
	is.Equal(s.requestCount(), 1)
}
