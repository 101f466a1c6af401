package httpguard

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose reads report that it was lost even if a write met the loss
// first. The system reports the loss of a connection once, to whichever operation comes
// first; later reads return io.EOF, as after an orderly end, and a response that ends with
// its connection would look complete.
type Conn struct {
	net.Conn

	writing sync.Mutex // held during a write
	lost    error      // guarded by writing
}

// NewConn wraps c. Writes run one at a time.
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
// whose result tells an orderly end from a loss. What was still to be written can't be
// responded to any more.
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
