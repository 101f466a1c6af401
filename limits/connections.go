package limits

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// headFactor is how much memory a byte of a request's head takes at most: a header line
	// of a few bytes becomes an entry of a map.
	headFactor = 16
	// freeHeadBytes is the size of a head that isn't claimed; the memory of a connection
	// contains it. Heads of ordinary requests are smaller.
	freeHeadBytes = 2 << 10
	// maxWriteBytes is how much is written at once, and must be read by the peer within the
	// write timeout.
	maxWriteBytes = 16 << 10
)

// DefaultWriteTimeout is the time within which a peer must read maxWriteBytes.
const DefaultWriteTimeout = 20 * time.Second

// Connections bounds the open connections of one listener, the memory of the heads that
// they send, and how long they may leave what is sent to them unread. It answers the load
// of connections that stay idle, stop within a request or read nothing, up to the
// descriptors of the VM: if there are as many as allowed, the one that has waited longest
// for its peer is closed, of the address that has most of them. If none waits, the new one
// is closed. With HeadLimits, it also bounds each head and the time that it may take.
type Connections struct {
	// WriteTimeout is DefaultWriteTimeout unless it is set before the first connection.
	WriteTimeout time.Duration
	// HeadLimits returns the limits on requests' heads that are in force, and is called for
	// each read of a head; HeadLimitsChanged tells of a change. It must not block. If it is
	// nil, an HTTP server's own limits apply. It is set before Server and the first
	// connection.
	HeadLimits func() HeadLimits

	max    int
	memory *Memory
	report func(Event)
	now    func() time.Time

	mu    sync.Mutex
	conns map[*Conn]struct{}
	hosts map[string]int
}

// NewConnections returns a bound of max connections, 0 for none, whose heads are claimed
// from m. report is called for each refused and closed connection, if not nil; it must not
// block.
func NewConnections(max int, m *Memory, report func(Event)) *Connections {
	return &Connections{WriteTimeout: DefaultWriteTimeout, max: max, memory: m, report: report, now: time.Now,
		conns: make(map[*Conn]struct{}), hosts: make(map[string]int)}
}

// Open returns the number of open connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Listener returns a listener whose connections are bounded. Those of an HTTP server need
// Server; others call Conn.Busy and Conn.Idle themselves.
func (c *Connections) Listener(ln net.Listener) net.Listener { return &listener{ln, c} }

// connKey is the key of a request's Conn in its context.
type connKey struct{}

// Server prepares an HTTP server for connections of c.
func (c *Connections) Server(s *http.Server) {
	if c.HeadLimits != nil {
		replaceLimits(s)
	}
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		conn, ok := nc.(*Conn)
		switch {
		case ok && state == http.StateActive:
			conn.headEnded()
		case ok && state == http.StateIdle:
			conn.Idle()
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, nc)
	}
}

// RequestRead records that the whole request of a context was read, so that its connection
// doesn't wait for its peer until the next one, unless the peer doesn't read. It returns
// false if the connection was closed for another one: the request must not be passed on
// then, since its sender can't get a response.
func RequestRead(ctx context.Context) bool {
	if conn, ok := ctx.Value(connKey{}).(*Conn); ok {
		return conn.Busy()
	}
	return true
}

// Abort closes the connection of a request's context. Reads and writes of it return.
func Abort(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(*Conn); ok {
		_ = conn.Conn.Close() // the peer gets no further bytes in any case
	}
}

type listener struct {
	net.Listener
	conns *Connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.conns.admit(nc); conn != nil {
			return conn, nil
		}
		_ = nc.Close() // nothing was read from it
	}
}

// admit returns nc as a bounded connection, or nil if there is no room for it.
func (c *Connections) admit(nc net.Conn) *Conn {
	now := c.now()
	conn := &Conn{Conn: nc, set: c, host: Host(nc.RemoteAddr().String()), waitsSince: now, waitBegan: now}
	c.mu.Lock()
	var victim *Conn
	if c.max > 0 && len(c.conns) >= c.max {
		if victim = c.victim(); victim == nil {
			n := len(c.conns)
			c.mu.Unlock()
			c.tell(Event{Limit: LimitConnections, Host: conn.host, Refused: true, Held: int64(n), Size: int64(c.max)})
			return nil
		}
		c.remove(victim)
	}
	c.conns[conn] = struct{}{}
	c.hosts[conn.host]++
	n := len(c.conns)
	c.mu.Unlock()
	if victim != nil {
		c.tell(Event{Limit: LimitConnections, Host: victim.host, Held: int64(n), Size: int64(c.max), Waited: conn.waitsSince.Sub(victim.waitsSince)})
		_ = victim.Conn.Close() // whoever uses it then gets an error and calls Close
	}
	return conn
}

// victim returns the connection to close for a new one, nil if none waits for its peer.
// c.mu is held.
func (c *Connections) victim() *Conn {
	now := c.now()
	var victim *Conn
	var longest time.Duration
	for conn := range c.conns {
		waited, waits := conn.waited(now)
		if !waits {
			continue
		}
		if victim == nil || c.hosts[conn.host] > c.hosts[victim.host] || c.hosts[conn.host] == c.hosts[victim.host] && waited > longest {
			victim, longest = conn, waited
		}
	}
	return victim
}

// remove forgets a connection. c.mu is held.
func (c *Connections) remove(conn *Conn) {
	if _, open := c.conns[conn]; !open {
		return
	}
	delete(c.conns, conn)
	if c.hosts[conn.host]--; c.hosts[conn.host] <= 0 {
		delete(c.hosts, conn.host)
	}
}

func (c *Connections) tell(e Event) {
	if c.report != nil {
		c.report(e)
	}
}

// Conn is a connection of a Connections.
type Conn struct {
	net.Conn
	set  *Connections
	host string

	// writeBegan is when the current write began, in nanoseconds of Unix time, 0 for none.
	writeBegan atomic.Int64

	// busy is set between Busy and Idle, waitsSince when the connection was opened, became
	// idle or its head was read. Both are guarded by set.mu.
	busy       bool
	waitsSince time.Time

	mu sync.Mutex // guards the fields below
	// headBytes is what was read since the last request, head what is claimed for it,
	// headRead whether it was read to its end.
	headRead  bool
	headBytes int64
	head      *Claim
	// idle is set between two requests, until the first byte of the next one, waitBegan is
	// when that wait or the one for the rest of a head began.
	idle      bool
	waitBegan time.Time
}

// waited returns how long the connection has waited for its peer, and whether it does.
// set.mu is held.
func (c *Conn) waited(now time.Time) (time.Duration, bool) {
	if began := c.writeBegan.Load(); began != 0 {
		waited := now.Sub(time.Unix(0, began))
		return waited, waited >= stallTime
	}
	return now.Sub(c.waitsSince), !c.busy
}

// headEnded records that the head of a request was read.
func (c *Conn) headEnded() {
	c.set.mu.Lock()
	c.waitsSince = c.set.now()
	c.set.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.headLimits(); ok {
		// interruptWait may have set a deadline after package http cleared the head's.
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
	c.headRead = true
	if c.head != nil {
		c.head.EndWait()
	}
}

// Busy records that a whole request was read, and that the connection doesn't wait for its
// peer. What is read until Idle is no head. It returns false if the connection is closed.
func (c *Conn) Busy() bool {
	c.set.mu.Lock()
	_, open := c.set.conns[c]
	c.busy = true
	c.set.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.headRead { // not of an HTTP server, where the head is held until Idle
		c.endHead()
		c.headRead = true
	}
	return open
}

// Idle records that the connection waits for the next request.
func (c *Conn) Idle() {
	now := c.set.now()
	c.set.mu.Lock()
	c.busy, c.waitsSince = false, now
	c.set.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endHead()
	c.idle, c.waitBegan = true, now
}

// endHead releases what is claimed for a head. c.mu is held.
func (c *Conn) endHead() {
	c.headRead, c.headBytes = false, 0
	if c.head != nil {
		c.head.Release()
		c.head = nil
	}
}

// Read implements net.Conn. It bounds a head, and claims its memory.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		c.boundWait()
		n, err := c.Conn.Read(p)
		if n == 0 && c.waitsOn(err) {
			continue
		}
		if n > 0 {
			switch headErr := c.addHead(int64(n)); {
			case headErr == errHeadTooLarge:
				return 0, c.refuseHead()
			case headErr != nil:
				return 0, headErr
			}
		}
		return n, err
	}
}

// addHead adds n bytes to the head that is read, if they belong to one.
func (c *Conn) addHead(n int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headRead { // the bytes belong to a body
		return nil
	}
	if c.idle {
		c.idle, c.waitBegan = false, c.set.now()
	}
	over := max(0, c.headBytes+n-freeHeadBytes) - max(0, c.headBytes-freeHeadBytes)
	c.headBytes += n
	if l, ok := c.headLimits(); ok && l.Bytes > 0 && c.headBytes > l.Bytes+headSlackBytes {
		return errHeadTooLarge
	}
	if over == 0 {
		return nil
	}
	if c.head == nil {
		c.head = c.set.memory.Claim(c.host, func() { _ = c.Conn.Close() }) // unblocks the reader
	}
	return c.head.Grow(over * headFactor)
}

// Write implements net.Conn. It fails if the peer doesn't read within the write timeout.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	defer c.writeBegan.Store(0)
	for {
		now := c.set.now()
		c.writeBegan.Store(now.UnixNano())
		part := p[written:min(len(p), written+maxWriteBytes)]
		if err := c.Conn.SetWriteDeadline(now.Add(c.set.WriteTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			c.set.tell(Event{Limit: LimitWrite, Host: c.host, Waited: c.set.WriteTimeout})
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite closes the sending side, if the connection has one, so that package http can
// deliver a refusal before it closes a connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.set.mu.Lock()
	c.set.remove(c)
	c.set.mu.Unlock()
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endHead()
	return err
}
