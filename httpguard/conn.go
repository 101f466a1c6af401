package httpguard

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns dial with each connection wrapped in a Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Conn is a connection whose reads report that it was lost even if a write met the loss
// first. The system reports the loss of a connection once, to whichever operation comes
// first; later reads return io.EOF, as after an orderly end, and a response that ends with
// its connection would look complete.
type Conn struct {
	net.Conn

	writing sync.Mutex // held during a write
	lost    error      // guarded by writing
}

// NewConn wraps c. At most one goroutine may write to the result at a time, as in HTTP.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.lost == nil && isLoss(err) {
		c.lost = err
	}
	return n, err
}

// isLoss reports whether the error of a write says that the connection was lost. EPIPE
// does not: the peer had ended its side in order before it refused the bytes.
func isLoss(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read implements net.Conn. At the end of what the peer sends it ends a write in progress,
// whose result tells an orderly end from a loss. No response can follow.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if c is closed, which ends writes too
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.lost != nil {
		return n, c.lost
	}
	return n, io.EOF
}
