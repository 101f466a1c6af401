package forward

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/api"
)

const eventStream = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n"

// withPart adds a prompt part to a request.
func withPart(part string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Prompt-Prefix", part) }
}

// newCrashingEntry returns an entry with two endpoints; the first of them to receive a
// request with the part "deadly" closes its connection and no longer listens. Requests
// with other parts are answered.
func newCrashingEntry(t *testing.T) *testEntry {
	var s *testEntry
	crash := func(i int) responder {
		return func(c net.Conn, r *http.Request, n int) {
			if r.Header.Get("Prompt-Prefix") == "deadly" && s.countDeadly() == 1 {
				s.endpoints[i].listener.Close()
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				return
			}
			respondRaw(eventStream)(c, r, n)
		}
	}
	s = newTestEntry(t, streamingRoute, crash(0), crash(1))
	return s
}

// countDeadly returns the number of requests with the part "deadly" that endpoints
// received.
func (s *testEntry) countDeadly() int {
	n := 0
	for _, e := range s.endpoints {
		for _, r := range e.received() {
			if r.Header.Get("Prompt-Prefix") == "deadly" {
				n++
			}
		}
	}
	return n
}

// Guards against sending a prompt on which an endpoint crashed to the next endpoint.
func TestPromptIsNotSentAgainAfterACrash(t *testing.T) {
	is := is.New(t)
	for range 20 {
		s := newCrashingEntry(t)
		resp, _, err := s.send(t, withPart("deadly"))
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(s.countDeadly(), 1)
		resp, _, err = s.send(t, withPart("deadly"))
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get(api.HeaderOutcome), string(api.OutcomeNotRun))
		is.True(resp.Header.Get("Retry-After") != "")
		is.Equal(s.countDeadly(), 1)
	}
}

// Guards against giving up sound prompts that an endpoint's crash broke off.
func TestProvenPromptIsSentAgainAfterACrash(t *testing.T) {
	is := is.New(t)
	s := newCrashingEntry(t)
	a, _ := s.handler.cfg.Quarantine.Begin("s", []string{"deadly"}, "e0", func(error) {})
	a.Began()
	resp, body, err := s.send(t, withPart("deadly"))
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "id: 1\ndata: x\n\n")
	is.Equal(s.countDeadly(), 2)
}

// Guards against holding the parts of prompts whose responses are lost by an endpoint that still works.
func TestLostResponseHoldsNoPart(t *testing.T) {
	is := is.New(t)
	lose := func(c net.Conn, r *http.Request, n int) {
		if n == 1 {
			respondAndReset("")(c, r, n)
			return
		}
		respondRaw(eventStream)(c, r, n)
	}
	s := newTestEntry(t, streamingRoute, lose, lose)
	resp, _, err := s.send(t, withPart("new"))
	is.NoErr(err)
	is.True(resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusBadGateway)
	resp, _, err = s.send(t, withPart("new"))
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}
