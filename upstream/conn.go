// Package upstream is an HTTP/1.1 client for requests that must not be retried
// automatically. One call uses one connection and sends one request; an Error
// reports whether any byte of it may have reached the server.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/wasabinotch/wasabinotch/httpguard"
)

const (
	// readBufferBytes is the size of a connection's read buffer; it holds the
	// headers of a response and a few events.
	readBufferBytes = 2048
	// keepAliveIdle, keepAliveInterval and keepAliveProbes detect an
	// unreachable peer within 4 s. Package net rounds the times up to whole
	// seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// defaultIdleTimeout is how long an idle connection is kept if the server
	// names no time, maxIdleTimeout the longest time in any case.
	defaultIdleTimeout = 4 * time.Second
	maxIdleTimeout     = 30 * time.Second
	// idleMargin is subtracted from the server's idle timeout, so that a request
	// isn't sent while the server closes the connection.
	idleMargin = 500 * time.Millisecond
)

type conn struct {
	net.Conn
	raw     net.Conn // the same connection without its guard
	reader  *bufio.Reader
	head    *headLimiter
	reused  bool
	expires time.Time
}

// headLimiter is a Reader that fails while it limits, once it has read too many bytes or
// lines. It keeps what it reads then.
type headLimiter struct {
	io.Reader
	limits   bool
	kept     []byte
	lines    int
	exceeded bool
}

const (
	// maxHeadBytes and maxHeadLines bound the interim responses, the status line and the
	// headers of a response together. A parsed header takes much more memory than its line.
	maxHeadBytes = 64 << 10
	maxHeadLines = 256
)

var errHeadTooLong = fmt.Errorf("the head of the response is longer than %d bytes or %d lines", maxHeadBytes, maxHeadLines)

// start limits the reads from now on to one head.
func (l *headLimiter) start() { *l = headLimiter{Reader: l.Reader, limits: true} }

// stop ends the limit and forgets what was read.
func (l *headLimiter) stop() { l.limits, l.kept = false, nil }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limits {
		return l.Reader.Read(p)
	}
	if len(l.kept) >= maxHeadBytes || l.lines >= maxHeadLines {
		l.exceeded = true
		return 0, errHeadTooLong
	}
	n, err := l.Reader.Read(p[:min(len(p), maxHeadBytes-len(l.kept))])
	l.kept = append(l.kept, p[:n]...)
	l.lines += bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

// pool holds the idle connections of one address, most recently used last.
type pool struct {
	idle []*conn
	// openConns is the number of connections, idle and in use.
	openConns int
}

// Client makes calls. Use NewClient; the zero value isn't usable. Its methods
// are safe for concurrent use.
type Client struct {
	dialTimeout time.Duration
	// LocalAddr is the local IP address of new connections; the zero value
	// leaves the choice to the system.
	LocalAddr netip.Addr

	mu    sync.Mutex
	pools map[string]*pool
}

// NewClient returns a client whose connection attempts time out after
// dialTimeout.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{dialTimeout: dialTimeout, pools: make(map[string]*pool)}
}

// CloseIdle closes the idle connections of an address.
func (c *Client) CloseIdle(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[addr]
	if p == nil {
		return
	}
	for _, idle := range p.idle {
		p.openConns--
		_ = idle.Close() // the connection isn't used any more
	}
	p.idle = nil
	if p.openConns <= 0 {
		delete(c.pools, addr)
	}
}

// acquire returns a usable idle connection or opens one.
func (c *Client) acquire(ctx context.Context, addr string) (*conn, error) {
	for {
		idle := c.popIdle(addr)
		if idle == nil {
			break
		}
		if time.Now().Before(idle.expires) && isReusable(idle.raw) {
			idle.reused = true
			return idle, nil
		}
		c.discard(addr, idle)
	}
	return c.dial(ctx, addr)
}

// Refuses reports whether nothing listens at an address any more. A connection that
// it opens is kept for later calls.
func (c *Client) Refuses(ctx context.Context, addr string) bool {
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.release(addr, conn, defaultIdleTimeout)
	return false
}

// dial opens a connection.
func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	c.mu.Lock()
	p := c.pools[addr]
	if p == nil {
		p = &pool{}
		c.pools[addr] = p
	}
	p.openConns++
	c.mu.Unlock()
	dialer := net.Dialer{Timeout: c.dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}}
	if c.LocalAddr.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.LocalAddr, 0))
	}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		c.addOpen(addr, -1)
		return nil, err
	}
	guarded := httpguard.NewConn(nc)
	head := &headLimiter{Reader: guarded}
	return &conn{Conn: guarded, raw: nc, reader: bufio.NewReaderSize(head, readBufferBytes), head: head}, nil
}

func (c *Client) popIdle(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[addr]
	if p == nil || len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	idle := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return idle
}

// addOpen adds n to the number of open connections of an address.
func (c *Client) addOpen(addr string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[addr]; p != nil {
		p.openConns += n
		if p.openConns <= 0 && len(p.idle) == 0 {
			delete(c.pools, addr)
		}
	}
}

// discard closes a connection with a reset. A server that reads the request
// late sees that nobody waits for the response, and the kernel drops bytes that
// are still to be sent.
func (c *Client) discard(addr string, conn *conn) {
	if tcp, ok := conn.raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on failure the connection is closed without a reset
	}
	_ = conn.Close() // the connection isn't used any more
	c.addOpen(addr, -1)
}

// release returns a connection to the pool, to be reused within idle.
func (c *Client) release(addr string, conn *conn, idle time.Duration) {
	if conn.reader.Buffered() > 0 || idle <= 0 || conn.SetDeadline(time.Time{}) != nil {
		c.discard(addr, conn)
		return
	}
	conn.expires = time.Now().Add(min(idle, maxIdleTimeout))
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[addr]
	if p == nil {
		p = &pool{openConns: 1}
		c.pools[addr] = p
	}
	p.idle = append(p.idle, conn)
}

// CloseExpired closes the idle connections whose idle timeout has passed.
func (c *Client) CloseExpired() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, p := range c.pools {
		kept := p.idle[:0]
		for _, idle := range p.idle {
			if now.Before(idle.expires) {
				kept = append(kept, idle)
				continue
			}
			_ = idle.Close() // the connection isn't used any more
			p.openConns--
		}
		clear(p.idle[len(kept):])
		p.idle = kept
		if p.openConns <= 0 && len(p.idle) == 0 {
			delete(c.pools, addr)
		}
	}
}

// isReusable reports whether an idle connection is open and has nothing to
// read. Bytes that arrive on an idle connection belong to no request.
func isReusable(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}
