package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/limits"
	"github.com/wasabinotch/wasabinotch/routing"
)

// newLimitedEntry returns an entry with a budget of size bytes and bodies of up to 1 MiB.
func newLimitedEntry(t *testing.T, size int64, route routing.Route, r responder) *testEntry {
	t.Helper()
	s := newTestEntry(t, route, r)
	c := *s.handler.Config()
	c.Version++
	c.Limits.BodyBytes = 1 << 20
	s.handler.SetConfig(&c)
	s.handler.cfg.Memory = limits.NewMemory(size, nil)
	return s
}

// sendPart sends a request with a body of length bytes up to the given part of it, and
// returns the connection.
func (s *testEntry) sendPart(t *testing.T, length, sent int) net.Conn {
	t.Helper()
	return sendPart(t, s.Listener.Addr().String(), length, sent)
}

func sendPart(t *testing.T, addr string, length, sent int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "POST /a/b HTTP/1.1\r\nHost: host\r\nRequest-Id: part\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent)); err != nil {
		t.Fatal(err)
	}
	return c
}

func (s *testEntry) awaitHeld(t *testing.T, reached func(held int64) bool) {
	t.Helper()
	for range 500 {
		if reached(s.handler.cfg.Memory.Held()) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the entry holds %d bytes", s.handler.cfg.Memory.Held())
}

// Guards against a body that stops before its end and costs another caller its request, and
// against a refusal of it that is no promise, or comes without its reason.
func TestStalledBodyIsRefused(t *testing.T) {
	is := is.New(t)
	s := newLimitedEntry(t, 1<<20, orderRoute, respondOK("fine"))
	stalled := s.sendPart(t, 700<<10, 700<<10-1)
	s.awaitHeld(t, func(held int64) bool { return held >= 700<<10-1 })
	time.Sleep(600 * time.Millisecond) // it counts as stalled then
	resp, body, err := s.send(t, func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("y", 700<<10))), 700<<10
	})
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "fine")
	is.NoErr(stalled.SetReadDeadline(time.Now().Add(10 * time.Second)))
	refusal, err := io.ReadAll(stalled) // the connection is closed
	is.NoErr(err)
	is.True(strings.HasPrefix(string(refusal), "HTTP/1.1 503 "))
	for _, part := range []string{"Retry-After: ", "Connection: close", `"outcome":"not_run"`} {
		is.True(strings.Contains(string(refusal), part))
	}
	is.Equal(s.requestCount(), 1)
	s.awaitHeld(t, func(held int64) bool { return held == 0 })
	is.True(strings.Contains(s.log.String(), limits.ErrRevoked.Error()))
}

// Guards against a body that doesn't arrive in time and is ended without a response: the
// status 408 promises that the request has not run.
func TestLateBodyIsRefused(t *testing.T) {
	is := is.New(t)
	s := newLimitedEntry(t, 1<<20, routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 1, Timeout: 200 * time.Millisecond}, respondOK("fine"))
	late := s.sendPart(t, 1000, 999)
	is.NoErr(late.SetReadDeadline(time.Now().Add(10 * time.Second)))
	refusal, err := io.ReadAll(late) // the connection is closed
	is.NoErr(err)
	is.True(strings.HasPrefix(string(refusal), "HTTP/1.1 408 "))
	is.True(strings.Contains(string(refusal), `"outcome":"not_run"`))
	is.Equal(s.requestCount(), 0)
}

// Guards against a refusal of a body that is already known to be too long, or not
// authorised, which waits for the rest of it.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	is := is.New(t)
	s := newLimitedEntry(t, 1<<20, orderRoute, respondOK("fine"))
	for _, c := range []struct {
		key    string
		length int
		status string
	}{
		{"key", 1 << 30, "413"},
		{"unknown", 100, "401"},
	} {
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /a/b HTTP/1.1\r\nHost: host\r\nRequest-Id: part\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\nx", c.key, c.length)
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
		refusal, err := io.ReadAll(conn) // the connection is closed
		is.NoErr(err)
		is.True(strings.HasPrefix(string(refusal), "HTTP/1.1 "+c.status))
	}
	is.Equal(s.requestCount(), 0)
}

// Guards against a ready response that is lost because there is no memory to buffer it.
func TestResponseIsRelayedWithoutMemory(t *testing.T) {
	is := is.New(t)
	s := newLimitedEntry(t, 16<<10, orderRoute, respondOK(strings.Repeat("z", 40<<10)))
	resp, body, err := s.send(t, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(len(body), 40<<10)
	s.awaitHeld(t, func(held int64) bool { return held == 0 })
}

// smallBuffers is a listener whose connections hold little that isn't read.
type smallBuffers struct{ net.Listener }

// Accept implements net.Listener.
func (l smallBuffers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
	}
	return c, err
}

// Guards against an endpoint whose slot is held by a caller that stays and reads nothing.
func TestUnreadResponseEndsAfterItsDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		kind routing.Kind
		part string
	}{
		"stream":        {routing.Streaming, ":" + strings.Repeat("x", 1000) + "\n\n"},
		"long response": {routing.Idempotent, strings.Repeat("x", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newLimitedEntry(t, 1<<20, routing.Route{Kind: c.kind, MaxAttempts: 1, Timeout: 300 * time.Millisecond},
				respondEndlessly("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Length: 1000000000\r\n\r\n", c.part))
			conns := limits.NewConnections(0, s.handler.cfg.Memory, nil)
			server := &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute}
			conns.Server(server)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			go func() { _ = server.Serve(conns.Listener(smallBuffers{ln})) }()
			defer server.Close()
			caller := sendPart(t, ln.Addr().String(), 1, 1)
			<-s.endpoints[0].disconnected
			s.awaitHeld(t, func(held int64) bool { return held == 0 })
			for range 500 {
				if strings.Contains(s.log.String(), errUnread.Error()) {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			is.True(strings.Contains(s.log.String(), errUnread.Error()))
			is.NoErr(caller.Close())
		})
	}
}

// Guards against bytes that stay claimed after their requests have ended.
func TestClaimsEndWithTheirRequests(t *testing.T) {
	is := is.New(t)
	s := newLimitedEntry(t, 1<<20, streamingRoute, respondRaw("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"c\r\nid: 1\ndata:a\r\n2\r\n\n\n\r\n0\r\n\r\n"))
	for range 3 {
		resp, _, err := s.send(t, func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("y", 100<<10))), -1
		})
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	s.awaitHeld(t, func(held int64) bool { return held == 0 })
}

// Guards against a long response that is ended in the middle, although its caller reads it,
// because its endpoint pauses while others need memory.
func TestPauseOfEndpointEndsNoResponse(t *testing.T) {
	is := is.New(t)
	const length = 200 << 10
	resume := make(chan struct{})
	s := newLimitedEntry(t, 1<<20, orderRoute, func(c net.Conn, r *http.Request, n int) {
		if n > 1 {
			respondOK("fine")(c, r, n)
			return
		}
		respondRaw(fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("z", length/2)))(c, r, n)
		<-resume
		_, _ = io.WriteString(c, strings.Repeat("z", length/2))
	})
	caller := s.sendPart(t, 300<<10, 300<<10)
	is.NoErr(caller.SetReadDeadline(time.Now().Add(10 * time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	is.NoErr(err)
	_, err = io.CopyN(io.Discard, resp.Body, length/4) // package http holds back the last bytes
	is.NoErr(err)
	time.Sleep(600 * time.Millisecond) // a caller that doesn't read would count as stalled then
	other, _, err := s.send(t, func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("y", 700<<10))), 700<<10
	})
	is.NoErr(err)
	is.Equal(other.StatusCode, http.StatusServiceUnavailable) // there is no room for both
	close(resume)
	_, err = io.CopyN(io.Discard, resp.Body, length-length/4)
	is.NoErr(err)
}

// Guards against a request that is passed on although its connection was closed for another
// one while it was read: the caller can't get the response.
func TestRequestOfDisplacedConnectionIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	s := newLimitedEntry(t, 1<<20, orderRoute, respondOK("fine"))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	conns := limits.NewConnections(1, s.handler.cfg.Memory, nil)
	served := make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(served)
		other, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Error(err)
			return
		}
		defer other.Close()
		for _, err := r.Body.Read(nil); err == nil; _, err = r.Body.Read(nil) { // closing a connection fails its deadlines
			if http.NewResponseController(w).SetReadDeadline(time.Time{}) != nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		s.handler.ServeHTTP(w, r)
	})}
	conns.Server(server)
	go func() { _ = server.Serve(conns.Listener(ln)) }()
	defer server.Close()
	sendPart(t, ln.Addr().String(), 4, 4)
	<-served
	is.Equal(s.requestCount(), 0)
	is.True(strings.Contains(s.log.String(), errConnectionDisplaced.Error()))
}
