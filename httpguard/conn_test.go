package httpguard

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endedConn is a connection that the peer has ended: reads return io.EOF, and a write in
// progress returns writeErr after that.
type endedConn struct {
	net.Conn
	writeErr error
	writing  chan struct{}
	read     sync.WaitGroup
}

func (c *endedConn) Read([]byte) (int, error) {
	defer c.read.Done()
	return 0, io.EOF
}

func (c *endedConn) Write([]byte) (int, error) {
	close(c.writing)
	c.read.Wait()
	return 0, c.writeErr
}

func (c *endedConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against a loss that looks like an orderly end, and against an orderly end that
// looks like a loss, whichever error the write in progress returns.
func TestEndDuringAWrite(t *testing.T) {
	for name, c := range map[string]struct{ writeErr, readErr error }{
		"reset":                  {syscall.ECONNRESET, syscall.ECONNRESET},
		"no acknowledgements":    {syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		"no route":               {syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
		"refused after the end":  {syscall.EPIPE, io.EOF},
		"interrupted":            {os.ErrDeadlineExceeded, io.EOF},
		"closed by this process": {net.ErrClosed, io.EOF},
		"written":                {nil, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := &endedConn{writeErr: c.writeErr, writing: make(chan struct{})}
			ended.read.Add(1)
			conn := NewConn(ended)
			go func() { _, _ = conn.Write([]byte("x")) }()
			<-ended.writing
			_, err := conn.Read(make([]byte, 1))
			is.True(errors.Is(err, c.readErr))
			is.True(c.readErr == io.EOF || !errors.Is(err, io.EOF))
		})
	}
}

// Guards against a wait for a request that the peer doesn't read any more: at the end of
// the response the write is ended.
func TestOrderlyEndEndsTheWrite(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_ = c.(*net.TCPConn).CloseWrite()
		<-t.Context().Done()
		_ = c.Close()
	}()
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	conn := NewConn(c)
	defer func() { _ = conn.Close() }()
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, 64<<20)) // more than the socket buffers hold
		written <- err
	}()
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(errors.Is(<-written, os.ErrDeadlineExceeded))
}
