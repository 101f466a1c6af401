package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/wire"
)

// writeMeetsReset is a connection whose reset the write of the request meets before a read
// of the response, and whose write returns only after that read.
type writeMeetsReset struct {
	net.Conn
	reads       int
	met         chan struct{}
	readEnded   chan struct{}
	endReadOnce sync.Once
}

func (c *writeMeetsReset) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if errors.Is(err, syscall.ECONNRESET) {
		close(c.met)
		<-c.readEnded
	}
	return n, err
}

func (c *writeMeetsReset) Read(p []byte) (int, error) {
	if c.reads++; c.reads == 1 {
		return c.Conn.Read(p) // the head and the part of the body
	}
	<-c.met
	defer c.endReadOnce.Do(func() { close(c.readEnded) })
	return c.Conn.Read(p)
}

// bodySink keeps the body of a response. onHead, if set, is called with its head.
type bodySink struct {
	onHead func()
	body   bytes.Buffer
}

func (s *bodySink) head(int, map[string][]string) error {
	if s.onHead != nil {
		s.onHead()
	}
	return nil
}

func (s *bodySink) data(p []byte) error {
	s.body.Write(p)
	return nil
}

// Guards against a part of a response that counts as the whole one: the endpoint responds
// before it has read the call, without a length, and resets the connection.
func TestResetDuringACallIsNoAnswer(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	reset := make(chan struct{})
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(c, make([]byte, 1024))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		<-reset
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	h := newHarness(t)
	h.cfg.EndpointAddr = ln.Addr().String()
	calls, _, _ := newClients(func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		return &writeMeetsReset{Conn: c, met: make(chan struct{}), readEnded: make(chan struct{})}, err
	})
	sink := &bodySink{onHead: func() { close(reset) }}
	call := &wire.PlainCall{Method: http.MethodPost, Path: "/stock", Body: make([]byte, 64<<20)}
	res := h.runPlain(t.Context(), calls, &wire.ExecuteRequest{RequestID: "r1", Call: call}, sink, &slot{})
	if res.refusal == nil {
		t.Errorf("%q counts as the whole response", sink.body.String())
	}
	is.True(!res.succeeded)
	is.True(res.mayStillRun)
}
