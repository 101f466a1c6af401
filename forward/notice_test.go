package forward

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sendOther sends request number i.
func (s *testEntry) sendOther(t *testing.T, i int) (*http.Response, string, error) {
	t.Helper()
	return s.send(t, func(r *http.Request) { r.Header.Set("Request-Id", fmt.Sprint("id-", i)) })
}

// Guards against requests to an endpoint after an answer of any kind in which it said that
// it leaves.
func TestLeavingEndpointGetsNoMoreRequests(t *testing.T) {
	for name, answer := range map[string]string{
		"success":   "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		"failure":   "HTTP/1.1 500 Oops\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		"rejection": "HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		"truncated": "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nServer-Leaving: 1\r\nConnection: close\r\nContent-Length: 9\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			leave := respondRaw(answer)
			if name == "truncated" {
				leave = respondAndClose(answer)
			}
			s := newTestEntry(t, idempotentRoute, leave, respondOK("stays"))
			for i := range 30 {
				resp, _, err := s.sendOther(t, i)
				is.NoErr(err)
				is.True(resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusInternalServerError)
			}
			is.Equal(len(s.endpoints[0].received()), 1)
		})
	}
}

// Guards against taking away an endpoint because of what another one at its address, or an
// answer to another request, says.
func TestLeavingOfAnotherEndpointIsIgnored(t *testing.T) {
	for name, answer := range map[string]string{
		"another endpoint": "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nServer-Leaving: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n",
		"another request":  "HTTP/1.1 503 Busy\r\nRequest-Id: other\r\nNot-Executed: 1\r\nServer-Leaving: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestEntry(t, orderRoute, respondRaw(answer))
			_, _, err := s.send(t, nil)
			is.NoErr(err)
			leaving, paused := s.handler.cfg.Fleet.NoticeCounts()
			is.Equal([]int{leaving, paused}, []int{0, 0})
		})
	}
}

// Guards against requests to an endpoint during the time for which it asked for none, and
// against callers that wait for it: they are refused at once, as not run, with the time
// that is left, and don't return together.
func TestPausedEndpointGetsNoRequests(t *testing.T) {
	is := is.New(t)
	const pause = 1500 * time.Millisecond
	var last time.Time
	s := newTestEntry(t, orderRoute, func(c net.Conn, r *http.Request, n int) {
		if n == 1 {
			last = time.Now()
			respondRaw("HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n")(c, r, n)
			return
		}
		respondOK("done")(c, r, n)
	})
	returns := make(map[string]bool)
	for i := range 20 {
		began := time.Now()
		resp, body, err := s.sendOther(t, i)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(strings.Contains(body, "not_run"))
		is.True(time.Since(began) < 200*time.Millisecond)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		if i > 0 {
			is.True(time.Now().Add(time.Duration(after * float64(time.Second))).After(last.Add(pause))) // not before the endpoint takes requests
			is.True(after < 3)
			returns[strconv.FormatFloat(after, 'f', 2, 64)] = true
		}
	}
	is.True(len(returns) > 5)
	is.Equal(s.requestCount(), 1)
	time.Sleep(time.Until(last.Add(pause)))
	resp, body, err := s.sendOther(t, 99)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "done")
}

// Guards against requests that are refused although the endpoint that asked for a pause
// takes them before their target latency has passed.
func TestShortPauseIsWaitedFor(t *testing.T) {
	is := is.New(t)
	route := orderRoute
	route.MaxAttempts = 1
	s := newTestEntry(t, route, func(c net.Conn, r *http.Request, n int) {
		if n == 1 {
			respondRaw("HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nRetry-After: 0.3\r\nContent-Length: 0\r\n\r\n")(c, r, n)
			return
		}
		respondOK("done")(c, r, n)
	})
	_, _, err := s.sendOther(t, 0)
	is.NoErr(err)
	resp, _, err := s.sendOther(t, 1)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// Guards against a request that is sent again, or a stream that is resumed, at an endpoint
// that asked for a pause, and against a refusal that says of it that it didn't run.
func TestNoRetryAtAPausedEndpoint(t *testing.T) {
	pause := respondRaw("HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")
	for name, broken := range map[string]responder{
		"no answer": respondAndReset(""),
		"stream":    respondAndReset(streamHead + "\r\n" + events(1, 3)),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestEntry(t, streamingRoute, pause, broken)
			for i := 0; len(s.endpoints[0].received()) == 0; i++ {
				s.sendOther(t, i)
			}
			resp, body, err := s.sendOther(t, 99)
			if name == "stream" {
				is.True(err != nil)
				is.Equal(body, events(1, 3))
			} else {
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusBadGateway)
			}
			is.Equal(len(s.endpoints[0].received()), 1)
		})
	}
}
