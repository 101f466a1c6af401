// Package upstream is an HTTP/1.1 client for calls that must not be repeated
// behind the caller's back. One call uses one connection and sends one request;
// an Error says whether any byte of it may have reached the other side.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	// readBuffer is the buffer of a connection in bytes; it holds the headers
	// of an answer and a few events.
	readBuffer = 2048
	// keepAliveIdle and keepAliveInterval detect a silent peer within about
	// 2 s, before a caller gives a stream up.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	// defaultIdle is how long a connection is kept if the server names no
	// time, and the longest time it is kept in any case.
	defaultIdle = 4 * time.Second
	maxIdle     = 30 * time.Second
	// idleMargin is taken off the server's own idle time-out, so that a request
	// doesn't cross the server's close.
	idleMargin = 500 * time.Millisecond
)

type conn struct {
	net.Conn
	reader  *bufio.Reader
	reused  bool
	expires time.Time
}

// pool keeps the idle connections of one address, most recently used last.
type pool struct {
	idle []*conn
	open int
}

// Client makes calls. The zero value isn't usable; see NewClient.
type Client struct {
	dialTimeout time.Duration
	// LocalAddr is the IP number that connections come from; zero for any.
	LocalAddr netip.Addr

	mu    sync.Mutex
	pools map[string]*pool
}

// NewClient returns a client that gives up connecting after dialTimeout.
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
		p.open--
		_ = idle.Close() // the connection isn't used any more
	}
	p.idle = nil
	if p.open <= 0 {
		delete(c.pools, addr)
	}
}

// take returns a live idle connection or opens one.
func (c *Client) take(ctx context.Context, addr string) (*conn, error) {
	for {
		idle := c.popIdle(addr)
		if idle == nil {
			break
		}
		if time.Now().Before(idle.expires) && quiet(idle.Conn) {
			idle.reused = true
			return idle, nil
		}
		c.discard(addr, idle)
	}
	c.mu.Lock()
	p := c.pools[addr]
	if p == nil {
		p = &pool{}
		c.pools[addr] = p
	}
	p.open++
	c.mu.Unlock()
	dialer := net.Dialer{Timeout: c.dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}}
	if c.LocalAddr.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.LocalAddr, 0))
	}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		c.count(addr, -1)
		return nil, err
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBuffer)}, nil
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

func (c *Client) count(addr string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[addr]; p != nil {
		p.open += n
		if p.open <= 0 && len(p.idle) == 0 {
			delete(c.pools, addr)
		}
	}
}

// discard closes a connection with a reset. A server that reads the request
// late sees that nobody waits, and bytes held up on the way are dropped.
func (c *Client) discard(addr string, conn *conn) {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the close is an ordinary one
	}
	_ = conn.Close() // the connection isn't used any more
	c.count(addr, -1)
}

// keep returns a connection to the pool for the time that the server keeps it.
func (c *Client) keep(addr string, conn *conn, idle time.Duration) {
	if conn.reader.Buffered() > 0 || idle <= 0 || conn.SetDeadline(time.Time{}) != nil {
		c.discard(addr, conn)
		return
	}
	conn.expires = time.Now().Add(min(idle, maxIdle))
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[addr]
	if p == nil {
		p = &pool{open: 1}
		c.pools[addr] = p
	}
	p.idle = append(p.idle, conn)
}

// CloseExpired closes the connections that have outlived their idle time.
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
			p.open--
		}
		clear(p.idle[len(kept):])
		p.idle = kept
		if p.open <= 0 && len(p.idle) == 0 {
			delete(c.pools, addr)
		}
	}
}

// quiet reports whether an idle connection is open and has nothing to read.
// Bytes on an idle connection belong to no request.
func quiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
