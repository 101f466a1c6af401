package limits

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"time"
)

// HeadLimits bounds the heads of the requests on a connection and the times between them.
// A zero field means no bound.
type HeadLimits struct {
	// Bytes bounds a head: the request line and the header fields.
	Bytes int64
	// Timeout bounds the time from the first byte of a head, or from the opening of its
	// connection, until it has arrived.
	Timeout time.Duration
	// Idle bounds the time between two requests.
	Idle time.Duration
}

const (
	// headSlackBytes is what package http may read beyond a head at once: the beginning
	// of its body, or of the next request.
	headSlackBytes = 4 << 10
	// refusalTime and refusalBytes bound what is read and discarded after the refusal of
	// a head. A connection that is closed with unread bytes is reset, and its peer may
	// not see the refusal.
	refusalTime  = 500 * time.Millisecond
	refusalBytes = 256 << 10
)

// errHeadTooLarge means that a head is over HeadLimits.Bytes and was refused.
var errHeadTooLarge = errors.New("the head is over the limit; send shorter header fields")

// HeadLimitsChanged puts changed limits in force on the connections that wait for a head.
func (c *Connections) HeadLimitsChanged() {
	c.mu.Lock()
	conns := make([]*Conn, 0, len(c.conns))
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	for _, conn := range conns {
		conn.interruptWait()
	}
}

// replaceLimits removes the limits of an HTTP server, which can't change while it runs.
func replaceLimits(s *http.Server) {
	s.MaxHeaderBytes, s.ReadHeaderTimeout, s.IdleTimeout = math.MaxInt32, 0, 0
}

// headLimits returns the limits in force; false if the connection's server has its own, or
// if what is read belongs to no head. c.mu is held.
func (c *Conn) headLimits() (HeadLimits, bool) {
	if c.headRead || c.set.HeadLimits == nil {
		return HeadLimits{}, false
	}
	return c.set.HeadLimits(), true
}

// waitDeadline returns until when the connection waits for a head, zero for no bound. c.mu
// is held.
func (c *Conn) waitDeadline(l HeadLimits) time.Time {
	bound := l.Timeout
	if c.idle {
		bound = l.Idle
	}
	if bound <= 0 {
		return time.Time{}
	}
	return c.waitBegan.Add(bound)
}

// boundWait sets the deadline of a read of a head.
func (c *Conn) boundWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.headLimits(); ok {
		_ = c.Conn.SetReadDeadline(c.waitDeadline(l)) // fails only if the connection is closed
	}
}

// interruptWait makes a read of a head return, so that it continues with the limits in force.
func (c *Conn) interruptWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.headLimits(); ok {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	}
}

// waitsOn reports whether a read that met its deadline may continue, since the limits have
// changed.
func (c *Conn) waitsOn(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.headLimits()
	if !ok {
		return false
	}
	deadline := c.waitDeadline(l)
	return deadline.IsZero() || c.set.now().Before(deadline)
}

// refuseHead answers a head over the limit with status 431. Package http closes the
// connection without another response after the returned error.
func (c *Conn) refuseHead() error {
	c.mu.Lock()
	l, _ := c.headLimits()
	received := c.headBytes
	c.mu.Unlock()
	c.set.tell(Event{Limit: LimitHead, Host: c.host, Refused: true, Held: received, Size: l.Bytes})
	const status = "431 Request Header Fields Too Large"
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n%s: at most %d bytes\n", status, errHeadTooLarge, l.Bytes)
	if err == nil && c.CloseWrite() == nil && c.Conn.SetReadDeadline(c.set.now().Add(refusalTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, refusalBytes) // until the peer has read the refusal and closes
	}
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errHeadTooLarge}
}
