package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serve runs f on each connection to a listener and returns its address.
func serve(t *testing.T, f func(c net.Conn, n int)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go f(c, n)
		}
	}()
	return ln.Addr().String()
}

func readRequest(c net.Conn) (*http.Request, error) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return r, err
}

var getRequest = &Request{Method: http.MethodGet, Target: "/", Host: "h"}

// Guards against a client that sends a request again by itself when a reused
// connection breaks: an order would run twice.
func TestBrokenReusedConnectionIsNotRetried(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	addr := serve(t, func(c net.Conn, n int) {
		defer c.Close()
		br := bufio.NewReader(c)
		for i := range 2 {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			requests.Add(1)
			if i == 0 {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	})
	c := NewClient(time.Second)
	_, body, err := c.Call(t.Context(), addr, getRequest, 10)
	is.NoErr(err)
	is.Equal(string(body), "ok")
	_, _, err = c.Call(t.Context(), addr, getRequest, 10)
	is.True(err != nil && !NotSent(err)) // it may have run
	is.Equal(requests.Load(), int32(2))
}

// Guards against a second response on a kept connection that is taken for the
// response to the next request.
func TestExtraResponseClosesTheConnection(t *testing.T) {
	is := is.New(t)
	written := make(chan struct{})
	addr := serve(t, func(c net.Conn, n int) {
		defer c.Close()
		for {
			if _, err := readRequest(c); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"+string(rune('0'+n)))
			time.Sleep(20 * time.Millisecond)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nX")
			written <- struct{}{}
		}
	})
	c := NewClient(time.Second)
	for _, want := range []string{"0", "1"} {
		_, body, err := c.Call(t.Context(), addr, getRequest, 10)
		is.NoErr(err)
		is.Equal(string(body), want)
		<-written
		time.Sleep(20 * time.Millisecond) // until it has arrived
	}
}

// Guards against a truncated response that looks complete.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := serve(t, func(c net.Conn, n int) {
				defer c.Close()
				readRequest(c)
				io.WriteString(c, head)
			})
			_, _, err := NewClient(time.Second).Call(t.Context(), addr, getRequest, 100)
			is.True(err != nil)
		})
	}
}

// Guards against a server that reads a request only after the client has cancelled
// it, and takes an orderly close to mean that the client still reads: the server must
// see a reset.
func TestCancelResetsTheConnection(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	addr := serve(t, func(c net.Conn, n int) {
		time.Sleep(150 * time.Millisecond)
		_, err := io.Copy(io.Discard, c)
		ended <- err
		c.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err := NewClient(time.Second).Call(ctx, addr, getRequest, 10)
	is.True(err != nil)
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}

// Guards against a client that keeps waiting for an unreachable server: a refused
// connection must be reported as a request that was not sent.
func TestRefusedConnectionWasNotSent(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	ln.Close()
	_, _, err = NewClient(time.Second).Call(t.Context(), addr, getRequest, 10)
	is.True(NotSent(err))
}

// Guards against taking an endpoint that still listens for one that crashed.
func TestRefusesOnlyWithoutAListener(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	c := NewClient(time.Second)
	is.True(!c.Refuses(t.Context(), ln.Addr().String()))
	is.Equal(len(c.pools[ln.Addr().String()].idle), 1) // the connection is kept for a call
	ln.Close()
	is.True(c.Refuses(t.Context(), ln.Addr().String()))
}

// Guards against memory that fills up with a response whose head never ends.
func TestEndlessHeadEndsTheCall(t *testing.T) {
	for name, chunk := range map[string]string{
		"status_line":       "HTTP/1.1 200 OK OK OK OK OK OK OK OK",
		"header_line":       "X: " + strings.Repeat("x", 100),
		"headers":           "X: y\r\n",
		"interim_responses": "HTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := make(chan int, 1)
			addr := serve(t, func(c net.Conn, n int) {
				defer c.Close()
				readRequest(c)
				total := 0
				if name == "header_line" || name == "headers" {
					io.WriteString(c, "HTTP/1.1 200 OK\r\n")
				}
				for {
					n, err := io.WriteString(c, strings.Repeat(chunk, 100))
					if total += n; err != nil {
						sent <- total
						return
					}
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := NewClient(time.Second).Do(ctx, addr, getRequest)
			is.True(err != nil && ctx.Err() == nil) // the call doesn't wait for its deadline
			is.True(<-sent < 16<<20)                // what the socket buffers hold is discarded
		})
	}
}
