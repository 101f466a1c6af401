package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/routing"
)

// Guards against an order that is sent again, or refused as not run, after an
// endpoint that may have run it gave no usable response.
func TestOrderIsNotRetriedAfterALostResponse(t *testing.T) {
	for name, noUsableResponse := range map[string]responder{
		"reset":                    respondAndReset(""),
		"truncated response":       respondAndReset("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Length: 9\r\n\r\nhalf"),
		"other request's response": respondRaw("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: sig\r\nContent-Length: 0\r\n\r\n"),
		"unsigned":                 respondRaw("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"),
		"503 without Not-Executed": respondRaw("HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"),
		"not HTTP":                 respondRaw("garbage\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestEntry(t, orderRoute, noUsableResponse, noUsableResponse)
			resp, _, err := s.send(t, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(s.requestCount(), 1)
		})
	}
}

// Guards against an order that is given up after endpoints rejected it without
// running it, though another endpoint could run it.
func TestRejectedOrderGoesToAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	s := newTestEntry(t, orderRoute, respondRaw(notRunResponse), respondRaw(notRunResponse), respondOK("done"))
	resp, body, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "done")
}

// Guards against a refusal without Retry-After, and against more attempts than
// the route allows, when all endpoints reject a request.
func TestRefusalWhenAllReject(t *testing.T) {
	is := is.New(t)
	s := newTestEntry(t, orderRoute, respondRaw(notRunResponse), respondRaw(notRunResponse), respondRaw(notRunResponse), respondRaw(notRunResponse))
	resp, _, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(s.requestCount(), orderRoute.MaxAttempts)
}

// Guards against an idempotent request that fails with a connection reset
// though it may be sent to another endpoint.
func TestIdempotentRequestIsRetried(t *testing.T) {
	is := is.New(t)
	reset := func(c net.Conn, r *http.Request, n int) { respondAndReset("")(c, r, n) }
	s := newTestEntry(t, idempotentRoute, reset, reset, respondOK("found"))
	resp, body, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "found")
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

const streamHead = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\n"

// Guards against missing, repeated or merged events when an endpoint fails in
// the middle of an event and another one resumes the stream.
func TestStreamIsResumed(t *testing.T) {
	is := is.New(t)
	stream := func(c net.Conn, r *http.Request, n int) {
		if r.Header.Get("Last-Event-Id") == "3" {
			respondRaw(streamHead+"Connection: close\r\n\r\n"+events(4, 6))(c, r, n)
			c.Close()
			return
		}
		respondAndReset(streamHead+"\r\n"+events(1, 3)+"id: 4\nda")(c, r, n)
	}
	s := newTestEntry(t, streamingRoute, stream, stream)
	resp, body, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, events(1, 6))
	is.Equal(s.requestCount(), 2)
}

// Guards against events that are held back until later ones arrive: the endpoint
// sends the second event only once the caller has the first.
func TestEventsAreRelayedImmediately(t *testing.T) {
	is := is.New(t)
	firstReceived := make(chan struct{})
	s := newTestEntry(t, streamingRoute, func(c net.Conn, r *http.Request, n int) {
		respondRaw(streamHead+"Connection: close\r\n\r\n"+events(1, 1))(c, r, n)
		<-firstReceived
		respondRaw(events(2, 2))(c, r, n)
		c.Close()
	})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/a/b", strings.NewReader("body"))
	is.NoErr(err)
	r.Host = "host"
	r.Header = http.Header{"Request-Id": {"id-1"}, "Authorization": {"Bearer key"}}
	resp, err := http.DefaultTransport.RoundTrip(r)
	is.NoErr(err)
	defer resp.Body.Close()
	first := make([]byte, len(events(1, 1)))
	_, err = io.ReadFull(resp.Body, first)
	is.NoErr(err)
	close(firstReceived)
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(first)+string(rest), events(1, 2))
}

// Guards against a truncated stream that looks complete to the caller, when the
// endpoint fails and the stream can't be resumed.
func TestTruncatedStreamEndsWithAnError(t *testing.T) {
	is := is.New(t)
	route := streamingRoute
	route.Resumable = false
	s := newTestEntry(t, route, respondAndReset(streamHead+"Content-Length: 500\r\n\r\n"+events(1, 3)))
	_, body, err := s.send(t, nil)
	is.True(err != nil)
	is.Equal(body, events(1, 3))
	is.Equal(s.requestCount(), 1)
}

// Guards against endpoints that receive the caller's key, a forged organisation
// name, more time than is left, or hop-by-hop headers of the caller's connection.
func TestEndpointGetsTheRightHeaders(t *testing.T) {
	is := is.New(t)
	s := newTestEntry(t, idempotentRoute, respondOK(""))
	_, _, err := s.send(t, func(r *http.Request) {
		r.Header.Set("Tenant", "other")
		r.Header.Set("Connection", "X-Hop, Request-Id")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("X-Kept", "1")
	})
	is.NoErr(err)
	got := s.endpoints[0].received()[0]
	is.Equal(got.Header.Get("Tenant"), "menders")
	is.Equal(got.Header.Get("Authorization"), "")
	is.Equal(got.Header.Get("X-Hop"), "")
	is.Equal(got.Header.Get("X-Kept"), "1")
	is.Equal(got.Header.Get("Request-Id"), "id-1")
	is.Equal(got.Header.Get("Target-Instance"), "e0")
	var ms int
	_, err = fmt.Sscan(got.Header.Get("Deadline-Ms"), &ms)
	is.NoErr(err)
	is.True(ms > 3000 && ms <= 4000)
}

// Guards against invalid requests that reach an endpoint, and against the wrong
// status for them.
func TestBadInputIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*http.Request)
		status int
	}{
		"no route":     {func(r *http.Request) { r.URL.Path = "/other" }, http.StatusNotFound},
		"other host":   {func(r *http.Request) { r.Host = "other" }, http.StatusNotFound},
		"no key":       {func(r *http.Request) { r.Header.Del("Authorization") }, http.StatusUnauthorized},
		"unknown key":  {func(r *http.Request) { r.Header.Set("Authorization", "Bearer no") }, http.StatusUnauthorized},
		"no id":        {func(r *http.Request) { r.Header.Del("Request-Id") }, http.StatusBadRequest},
		"two ids":      {func(r *http.Request) { r.Header.Add("Request-Id", "id-2") }, http.StatusBadRequest},
		"bad deadline": {func(r *http.Request) { r.Header.Set("Deadline-Ms", "soon") }, http.StatusBadRequest},
		"deadline NaN": {func(r *http.Request) { r.Header.Set("Deadline-Ms", "NaN") }, http.StatusBadRequest},
		"long body": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), 2000
		}, http.StatusRequestEntityTooLarge},
		"long chunked body": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), -1
		}, http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestEntry(t, idempotentRoute, respondOK(""))
			resp, _, err := s.send(t, c.change)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(s.requestCount(), 0)
		})
	}
}

// Guards against requests that are held past the route's timeout when the
// endpoint doesn't respond.
func TestRouteTimeoutIsEnforced(t *testing.T) {
	is := is.New(t)
	route := orderRoute
	route.Timeout = 200 * time.Millisecond
	s := newTestEntry(t, route, func(c net.Conn, r *http.Request, n int) { time.Sleep(time.Second) })
	began := time.Now()
	resp, _, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.True(time.Since(began) < 700*time.Millisecond)
}

// Guards against endpoints that keep working for a caller that has disconnected.
func TestCallerDisconnectReachesEndpoint(t *testing.T) {
	is := is.New(t)
	s := newTestEntry(t, streamingRoute, func(c net.Conn, r *http.Request, n int) {})
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	io.WriteString(conn, "GET /a/b HTTP/1.1\r\nHost: host\r\nRequest-Id: i\r\nAuthorization: Bearer key\r\n\r\n")
	for len(s.endpoints[0].received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	conn.Close()
	select {
	case <-s.endpoints[0].disconnected:
	case <-time.After(2 * time.Second):
		t.Error("the endpoint's connection is still open")
	}
}

// Guards against a request that stays with an endpoint that hangs but counts as
// healthy.
func TestHangingEndpointIsAbandoned(t *testing.T) {
	is := is.New(t)
	route := idempotentRoute
	route.TargetLatency = 50 * time.Millisecond
	hang := func(c net.Conn, r *http.Request, n int) { time.Sleep(3 * time.Second) }
	hangFirst := func(c net.Conn, r *http.Request, n int) { hang(c, r, n) }
	s := newTestEntry(t, route, hangFirst, respondOK("found"))
	for range 4 { // whichever endpoint is chosen first
		resp, body, err := s.send(t, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "found")
	}
}

// Guards against a request that fails though a late response was possible: its
// rank group stalls while all slots of the other endpoint are taken, and one
// becomes free later.
func TestMovedRequestWaitsForASlot(t *testing.T) {
	is := is.New(t)
	route := idempotentRoute
	route.TargetLatency = 100 * time.Millisecond
	arrived := make(chan struct{})
	s := newTestEntry(t, route, func(c net.Conn, r *http.Request, n int) {
		close(arrived)
		time.Sleep(3 * time.Second)
	})
	go func() {
		<-arrived
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return
		}
		defer ln.Close()
		s.handler.cfg.Fleet.RecordLoad("e0", fleet.Load{Stalled: true})
		time.Sleep(300 * time.Millisecond)
		e := &fakeEndpoint{disconnected: make(chan struct{}, 10)}
		go e.serve(ln, respondOK("late"))
		s.handler.cfg.Fleet.Update(fleet.Record{ID: "full", Service: "s", Address: ln.Addr().String(), Zone: "z1", Slots: 4})
		time.Sleep(3 * time.Second)
	}()
	full := fleet.Record{ID: "full", Service: "s", Address: "127.0.0.1:1", Zone: "z1", Slots: 4}
	s.handler.cfg.Fleet.Update(full)
	s.handler.cfg.Fleet.RecordLoad("full", fleet.Load{Running: 4})
	resp, body, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "late")
}

// Guards against refusals of a stopping entry without the request's ID or
// without Retry-After.
func TestStoppingEntryRefuses(t *testing.T) {
	is := is.New(t)
	s := newTestEntry(t, idempotentRoute, respondOK(""))
	s.handler.StartDrain(Drain{AcceptAllUntil: time.Now().Add(time.Minute)})
	resp, _, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close)
	s.handler.StartDrain(Drain{})
	resp, _, err = s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Request-Id"), "id-1")
	is.Equal(resp.Header.Get("Retry-After"), "0")
	is.Equal(s.requestCount(), 1)
}

// Guards against an older configuration that replaces the current one, and
// against requests that are served before there is a configuration.
func TestConfigVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	h := New(Config{Headers: testHeaders, Fleet: fleet.New("z", nil), Log: logr.Discard(), Stats: NewStats(metrics.NewSet())})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	config := func(v uint64) *routing.Config {
		c, err := routing.New(v, nil, nil, nil, routing.Limits{})
		is.NoErr(err)
		return c
	}
	is.True(h.SetConfig(config(5)))
	is.True(!h.SetConfig(config(4)))
	is.Equal(h.Config().Version, uint64(5))
}

// Guards against bytes of a stream that are lost or relayed out of order.
func FuzzTakeEvents(f *testing.F) {
	f.Add([]byte(events(1, 2) + "id: 3\n"))
	f.Add([]byte("id: 1\r\n\r\nx"))
	f.Add([]byte("id: 1\n\nHTTP/1.1 503 Unavailable\r\nX: y\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		x := &exchange{}
		complete, rest, _ := x.takeEvents(b)
		if string(complete)+string(rest) != string(b) {
			t.Fatal("bytes are lost")
		}
	})
}

func BenchmarkRelayedEvent(b *testing.B) {
	event := []byte("id: 12\ndata: some tokens of an answer\n\n")
	x := &exchange{}
	b.ReportAllocs()
	for b.Loop() {
		x.response.lastEventID = ""
		x.takeEvents(event)
	}
}

const unframedHead = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n\r\n"

// respondAndClose writes text and closes the connection.
func respondAndClose(text string) responder {
	return func(c net.Conn, r *http.Request, n int) {
		respondRaw(text)(c, r, n)
		c.Close()
	}
}

// Guards against a stream without a length that ends inside an event and is taken for complete.
func TestUnframedStreamThatEndsInsideAnEventIsContinued(t *testing.T) {
	is := is.New(t)
	first := func(c net.Conn, r *http.Request, n int) {
		if r.Header.Get("Last-Event-Id") == "" {
			respondAndClose(unframedHead+"id: 1\ndata: a\n\nid: 2\nda")(c, r, n)
			return
		}
		respondAndClose(unframedHead+"id: 2\ndata: b\n\n")(c, r, n)
	}
	s := newTestEntry(t, streamingRoute, first, first)
	resp, body, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

// Guards against an endpoint's end before the first event that is taken for an empty stream.
func TestUnframedStreamWithoutAnEventIsBrokenOff(t *testing.T) {
	is := is.New(t)
	s := newTestEntry(t, streamingRoute, respondAndClose(unframedHead))
	resp, _, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

// Guards against a response without a length that is not returned, or is returned although its connection was reset.
func TestUnframedResponseEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	s := newTestEntry(t, orderRoute, respondAndClose(unframedHead+"whole"))
	resp, body, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "whole")
	s = newTestEntry(t, orderRoute, respondAndReset(unframedHead+"half"))
	resp, _, err = s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

// otherEndpoint returns the index of the endpoint that received no request yet.
func (s *testEntry) otherEndpoint() int {
	for i, e := range s.endpoints {
		if len(e.received()) == 0 {
			return i
		}
	}
	return -1
}

// Guards against avoiding a working endpoint because a caller left during a response that is too long to be buffered.
func TestCallerThatLeavesALongResponseHarmsNoEndpoint(t *testing.T) {
	is := is.New(t)
	long := func(c net.Conn, r *http.Request, n int) {
		if r.Header.Get("Request-Id") != "long" {
			respondOK("short")(c, r, n)
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: long\r\nResponse-Signature: sig\r\nContent-Length: %d\r\n\r\n", 64<<20)
		for range 64 {
			if _, err := c.Write(make([]byte, 1<<20)); err != nil {
				return
			}
		}
	}
	s := newTestEntry(t, idempotentRoute, long, long)
	ctx, leave := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/a/b", nil)
	is.NoErr(err)
	r.Host = "host"
	r.Header = http.Header{"Request-Id": {"long"}, "Authorization": {"Bearer key"}}
	resp, err := http.DefaultTransport.RoundTrip(r)
	is.NoErr(err)
	_, err = io.ReadFull(resp.Body, make([]byte, 1<<20))
	is.NoErr(err)
	used := 1 - s.otherEndpoint()
	leave()
	for s.handler.Active() > 0 {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		_, _, err := s.send(t, nil)
		is.NoErr(err)
	}
	is.True(len(s.endpoints[used].received()) > 1)
}

// Guards against avoiding an endpoint as unreachable after the entry ended an attempt in the middle of a buffered response.
func TestEndedAttemptInABodyHarmsNoEndpoint(t *testing.T) {
	is := is.New(t)
	halfSent := make(chan struct{})
	half := func(c net.Conn, r *http.Request, n int) {
		if r.Header.Get("Request-Id") != "half" {
			respondOK("short")(c, r, n)
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nRequest-Id: half\r\nResponse-Signature: sig\r\nContent-Length: 10\r\n\r\nhalf")
		close(halfSent)
		_, _ = c.Read(make([]byte, 1)) // until the entry ends the attempt
	}
	s := newTestEntry(t, idempotentRoute, half, respondOK("short"))
	fl := s.handler.cfg.Fleet
	fl.RecordLoad("e1", fleet.Load{Stalled: true}) // the request goes to e0
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, _, err := s.send(t, func(r *http.Request) { r.Header.Set("Request-Id", "half") }); err != nil {
			t.Error(err)
		}
	}()
	<-halfSent
	fl.RecordLoad("e1", fleet.Load{})
	fl.RecordLoad("e0", fleet.Load{Stalled: true})
	<-done
	fl.RecordLoad("e0", fleet.Load{})
	for range 20 {
		_, _, err := s.send(t, nil)
		is.NoErr(err)
	}
	is.True(len(s.endpoints[0].received()) > 1)
}

// Guards against an entry that doesn't read the rate limit that an endpoint names in its responses.
func TestRateLimitNamedInResponsesIsKept(t *testing.T) {
	is := is.New(t)
	limited := func(c net.Conn, r *http.Request, n int) {
		respondRaw("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nServer-Limit: 0.5\r\nContent-Length: 0\r\n\r\n")(c, r, n)
	}
	s := newTestEntry(t, idempotentRoute, limited, respondOK("elsewhere"))
	for range 40 {
		resp, _, err := s.send(t, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	is.True(len(s.endpoints[0].received()) <= 8) // 1.5 times the limit and 5 requests in 4 s
}
