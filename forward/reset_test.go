package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/fleet"
)

const (
	// uploadBytes is more than the socket buffers of a connection to an endpoint hold
	// while the endpoint reads nothing.
	uploadBytes = 32 << 20
	// signedUnframed is the head of a response that ends with its connection.
	signedUnframed = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\n\r\n"
)

// addEarlyEndpoint adds an endpoint that calls respond as soon as it has read the head of
// a request, while the entry is still sending the body. The connection is reset afterwards.
func (s *testEntry) addEarlyEndpoint(t *testing.T, respond func(c net.Conn, body io.Reader)) {
	t.Helper()
	s.handler.Config().Limits.BodyBytes = uploadBytes
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				tcp := c.(*net.TCPConn)
				defer tcp.Close()
				tcp.SetLinger(0)
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				respondRaw(signedUnframed)(c, r, 1)
				respond(c, r.Body)
			}()
		}
	}()
	s.handler.cfg.Fleet.Update(fleet.Record{ID: "early", Service: "s", Address: ln.Addr().String(), Zone: "z1", Slots: 100})
}

// upload sends a request with a large body.
func (s *testEntry) upload(t *testing.T) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/a/b", bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "host"
	r.Header = http.Header{"Request-Id": {"id-1"}, "Authorization": {"Bearer key"}, "Deadline-Ms": {"4000"}}
	return http.DefaultTransport.RoundTrip(r)
}

// Guards against a part of a response that a caller takes for the whole one: the endpoint
// responds before it has read the request, without a length, and resets the connection.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	const (
		event = "id: 1\ndata: x\n\n"
		// plays is the number of requests of the cases in which the entry reads the response
		// and writes the request at the same time, so that either may meet the reset.
		plays = 20
		// resetPause is the time for the entry's write to meet the reset while its reads
		// wait for the caller.
		resetPause = 100 * time.Millisecond
	)
	for name, route := range singleAttemptRoutes() {
		t.Run(name+"/short", func(t *testing.T) {
			s := newTestEntry(t, route)
			var responses atomic.Int32
			s.addEarlyEndpoint(t, func(c net.Conn, body io.Reader) {
				responses.Add(1)
				io.CopyN(io.Discard, body, 1<<20)
				io.WriteString(c, event)
			})
			for i := range plays {
				resp, err := s.upload(t)
				if err != nil {
					continue
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err == nil && resp.StatusCode < 500 {
					t.Errorf("play %d: status %d, body %q", i, resp.StatusCode, body)
				}
			}
			t.Logf("%d of %d requests reached the endpoint", responses.Load(), plays)
			if responses.Load() == 0 {
				t.Error("the endpoint was never reached")
			}
		})
		t.Run(name+"/long", func(t *testing.T) {
			s := newTestEntry(t, route)
			wasReset := make(chan struct{})
			s.addEarlyEndpoint(t, func(c net.Conn, _ io.Reader) {
				// The entry stops reading once the caller, which reads nothing yet, holds it up.
				for id := 1; ; id++ {
					c.SetWriteDeadline(time.Now().Add(resetPause))
					if _, err := fmt.Fprintf(c, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 8<<10)); err != nil {
						break
					}
				}
				c.Close()
				close(wasReset)
			})
			resp, err := s.upload(t)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			<-wasReset
			time.Sleep(resetPause)
			n, err := io.Copy(io.Discard, resp.Body)
			if err == nil {
				t.Errorf("status %d, %d bytes count as the whole body", resp.StatusCode, n)
			}
		})
	}
}

// Guards against an endpoint that counts as sound although it resets its responses: the
// requests go to another endpoint. The plays begin with an entry that knows nothing yet.
func TestResetDuringUploadIsTriedElsewhere(t *testing.T) {
	const plays, requests = 5, 20
	for play := range plays {
		t.Run(fmt.Sprint(play), func(t *testing.T) {
			s := newTestEntry(t, idempotentRoute, respondOK("whole"))
			var responses atomic.Int32
			s.addEarlyEndpoint(t, func(c net.Conn, body io.Reader) {
				responses.Add(1)
				io.CopyN(io.Discard, body, 1<<20)
				io.WriteString(c, "part")
			})
			for range requests {
				resp, err := s.upload(t)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK || string(body) != "whole" {
					t.Errorf("status %d, body %q, %v", resp.StatusCode, body, err)
				}
			}
			t.Logf("%d of %d requests reached the endpoint that resets", responses.Load(), requests)
			if responses.Load() == 0 {
				t.Error("the endpoint that resets was never reached")
			}
		})
	}
}
