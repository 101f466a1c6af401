package forward

import (
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

// Guards against an order that runs twice, and against a refusal that says it
// did not run though it may have.
func TestOrderIsNotRepeatedAfterALostAnswer(t *testing.T) {
	for name, lost := range map[string]answer{
		"reset":          cut(""),
		"half an answer": cut("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Length: 9\r\n\r\nhalf"),
		"another's":      raw("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: sig\r\nContent-Length: 0\r\n\r\n"),
		"unsigned":       raw("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"),
		"bare 503":       raw("HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"),
		"no HTTP":        raw("garbage\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSystem(t, order, lost, lost)
			resp, _, err := s.do(t, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(s.runs(), 1)
		})
	}
}

// Guards against a request that is given up though another endpoint could run it.
func TestRejectedOrderGoesToAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, order, raw(notRun), raw(notRun), ok("done"))
	resp, body, err := s.do(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "done")
}

// Guards against a refusal without a time to come back, and against more
// attempts than the route allows.
func TestRefusalWhenAllReject(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, order, raw(notRun), raw(notRun), raw(notRun), raw(notRun))
	resp, _, err := s.do(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(s.runs(), order.MaxAttempts)
}

// Guards against a lookup that fails though it may be sent again.
func TestLookupIsRepeated(t *testing.T) {
	is := is.New(t)
	flaky := func(c net.Conn, r *http.Request, n int) { cut("")(c, r, n) }
	s := newSystem(t, lookup, flaky, flaky, ok("found"))
	resp, body, err := s.do(t, nil)
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

// Guards against missing, repeated or joined events when an endpoint dies in
// the middle of one.
func TestStreamIsResumed(t *testing.T) {
	is := is.New(t)
	stream := func(c net.Conn, r *http.Request, n int) {
		if r.Header.Get("Last-Event-Id") == "3" {
			raw(streamHead+"Connection: close\r\n\r\n"+events(4, 6))(c, r, n)
			c.Close()
			return
		}
		cut(streamHead+"\r\n"+events(1, 3)+"id: 4\nda")(c, r, n)
	}
	s := newSystem(t, draft, stream, stream)
	resp, body, err := s.do(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, events(1, 6))
	is.Equal(s.runs(), 2)
}

// Guards against events that wait for later ones: the endpoint goes on only
// once the caller has the first event.
func TestEventsArriveAsTheyAreMade(t *testing.T) {
	is := is.New(t)
	got := make(chan struct{})
	s := newSystem(t, draft, func(c net.Conn, r *http.Request, n int) {
		raw(streamHead+"Connection: close\r\n\r\n"+events(1, 1))(c, r, n)
		<-got
		raw(events(2, 2))(c, r, n)
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
	close(got)
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(first)+string(rest), events(1, 2))
}

// Guards against a cut stream that looks whole.
func TestBrokenStreamLooksBroken(t *testing.T) {
	is := is.New(t)
	route := draft
	route.Resumable = false
	s := newSystem(t, route, cut(streamHead+"Content-Length: 500\r\n\r\n"+events(1, 3)))
	_, body, err := s.do(t, nil)
	is.True(err != nil)
	is.Equal(body, events(1, 3))
	is.Equal(s.runs(), 1)
}

// Guards against endpoints that see the key, another organisation's name, more
// time than is left, or headers of the caller's connection.
func TestEndpointGetsTheRightHeaders(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, lookup, ok(""))
	_, _, err := s.do(t, func(r *http.Request) {
		r.Header.Set("Tenant", "other")
		r.Header.Set("Connection", "X-Hop, Request-Id")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("X-Kept", "1")
	})
	is.NoErr(err)
	got := s.endpoints[0].seen()[0]
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

// Guards against bad input that reaches an endpoint, and against the wrong answer to it.
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
		"long body": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), 2000
		}, http.StatusRequestEntityTooLarge},
		"long chunked body": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), -1
		}, http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSystem(t, lookup, ok(""))
			resp, _, err := s.do(t, c.change)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(s.runs(), 0)
		})
	}
}

// Guards against requests that are held past the route's timeout.
func TestTimeoutIsAnswered(t *testing.T) {
	is := is.New(t)
	route := order
	route.Timeout = 200 * time.Millisecond
	s := newSystem(t, route, func(c net.Conn, r *http.Request, n int) { time.Sleep(time.Second) })
	began := time.Now()
	resp, _, err := s.do(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.True(time.Since(began) < 700*time.Millisecond)
}

// Guards against endpoints that work on for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, draft, func(c net.Conn, r *http.Request, n int) {})
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	io.WriteString(conn, "GET /a/b HTTP/1.1\r\nHost: host\r\nRequest-Id: i\r\nAuthorization: Bearer key\r\n\r\n")
	for len(s.endpoints[0].seen()) == 0 {
		time.Sleep(time.Millisecond)
	}
	conn.Close()
	select {
	case <-s.endpoints[0].gone:
	case <-time.After(2 * time.Second):
		t.Error("the endpoint is still at work")
	}
}

// Guards against a request that stays with an endpoint that hangs while its
// health is good.
func TestSilentEndpointIsLeft(t *testing.T) {
	is := is.New(t)
	route := lookup
	route.TargetLatency = 50 * time.Millisecond
	mute := func(c net.Conn, r *http.Request, n int) { time.Sleep(3 * time.Second) }
	first := func(c net.Conn, r *http.Request, n int) { mute(c, r, n) }
	s := newSystem(t, route, first, ok("found"))
	for range 4 { // whichever endpoint is chosen first
		resp, body, err := s.do(t, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "found")
	}
}

// Load: the group of a request stands still, and the slots of the other one are
// taken for a while. Guards against a failure where a late answer was possible.
func TestMovedRequestWaitsForASlot(t *testing.T) {
	is := is.New(t)
	route := lookup
	route.TargetLatency = 100 * time.Millisecond
	taken := make(chan struct{})
	s := newSystem(t, route, func(c net.Conn, r *http.Request, n int) {
		close(taken)
		time.Sleep(3 * time.Second)
	})
	go func() {
		<-taken
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return
		}
		defer ln.Close()
		s.handler.cfg.Fleet.RecordLoad("e0", fleet.Load{Stalled: true})
		time.Sleep(300 * time.Millisecond)
		e := &endpoint{gone: make(chan struct{}, 10)}
		go e.serve(ln, ok("late"))
		s.handler.cfg.Fleet.Update(fleet.Record{ID: "full", Service: "s", Address: ln.Addr().String(), Zone: "z1", Slots: 4})
		time.Sleep(3 * time.Second)
	}()
	full := fleet.Record{ID: "full", Service: "s", Address: "127.0.0.1:1", Zone: "z1", Slots: 4}
	s.handler.cfg.Fleet.Update(full)
	s.handler.cfg.Fleet.RecordLoad("full", fleet.Load{Running: 4})
	resp, body, err := s.do(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "late")
}

// Guards against refusals of a stopping entry that can't be found by the
// request's ID, or that give no time to come back.
func TestStoppingEntryRefuses(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, lookup, ok(""))
	s.handler.CloseConnections()
	resp, _, err := s.do(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close)
	s.handler.RefuseRequests()
	resp, _, err = s.do(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Request-Id"), "id-1")
	is.Equal(resp.Header.Get("Retry-After"), "0")
	is.Equal(s.runs(), 1)
}

// Guards against a configuration that goes back, and answers before there is one.
func TestConfigurationNeverGoesBack(t *testing.T) {
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

func FuzzSplitEvents(f *testing.F) {
	f.Add([]byte(events(1, 2) + "id: 3\n"))
	f.Add([]byte("id: 1\r\n\r\nx"))
	f.Fuzz(func(t *testing.T, b []byte) {
		whole, rest := splitEvents(b)
		if string(whole)+string(rest) != string(b) {
			t.Fatal("bytes are lost")
		}
	})
}

func BenchmarkRelayedEvent(b *testing.B) {
	event := []byte("id: 12\ndata: some tokens of an answer\n\n")
	x := &exchange{}
	b.ReportAllocs()
	for b.Loop() {
		whole, _ := splitEvents(event)
		x.note(whole)
	}
}
