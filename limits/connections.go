package limits

import (
	"errors"
	"net"
	"net/http"
	"sync"
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
// of connections that stay idle or stop within a head, up to the descriptors of the VM: if
// there are as many as allowed, the idle or half-read one that has waited longest is
// closed, of the address that has most of them. If none is idle, the new one is closed.
type Connections struct {
	// WriteTimeout is DefaultWriteTimeout unless it is set before the first connection.
	WriteTimeout time.Duration

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

// Listener returns a listener whose connections are bounded. Connections of an HTTP server
// must be reported with HTTPState; others call Conn.Busy and Conn.Idle themselves.
func (c *Connections) Listener(ln net.Listener) net.Listener { return &listener{ln, c} }

// HTTPState is for http.Server.ConnState. A connection is busy while its handler runs.
func (c *Connections) HTTPState(nc net.Conn, state http.ConnState) {
	conn, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.Busy()
	case http.StateIdle:
		conn.Idle()
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
	conn := &Conn{Conn: nc, set: c, host: Host(nc.RemoteAddr().String()), waitsSince: c.now()}
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
		_ = victim.Close() // its peer has sent no whole request
	}
	return conn
}

// victim returns the idle connection to close for a new one, nil if there is none. c.mu is
// held.
func (c *Connections) victim() *Conn {
	var victim *Conn
	for conn := range c.conns {
		if conn.busy {
			continue
		}
		if victim == nil || c.hosts[conn.host] > c.hosts[victim.host] ||
			c.hosts[conn.host] == c.hosts[victim.host] && conn.waitsSince.Before(victim.waitsSince) {
			victim = conn
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

	// The fields below are guarded by set.mu.
	busy bool
	// waitsSince is when the connection was opened or became idle.
	waitsSince time.Time

	mu sync.Mutex // guards the fields below
	// headBytes is what was read since the last request, head what is claimed for it.
	inHead    bool
	headBytes int64
	head      *Claim
}

// Busy records that a whole head was read, and that the connection isn't idle.
func (c *Conn) Busy() {
	c.set.mu.Lock()
	c.busy = true
	c.set.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = true
	if c.head != nil {
		c.head.EndWait()
	}
}

// Idle records that the connection waits for the next head.
func (c *Conn) Idle() {
	c.set.mu.Lock()
	c.busy, c.waitsSince = false, c.set.now()
	c.set.mu.Unlock()
	c.releaseHead()
}

func (c *Conn) releaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead, c.headBytes = false, 0
	if c.head != nil {
		c.head.Release()
		c.head = nil
	}
}

// Read implements net.Conn. It claims the memory of the head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if claimErr := c.claimHead(int64(n)); claimErr != nil {
			return 0, claimErr
		}
	}
	return n, err
}

func (c *Conn) claimHead(n int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHead { // the bytes belong to a body
		return nil
	}
	over := max(0, c.headBytes+n-freeHeadBytes) - max(0, c.headBytes-freeHeadBytes)
	c.headBytes += n
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
	for {
		part := p[written:min(len(p), written+maxWriteBytes)]
		if err := c.Conn.SetWriteDeadline(c.set.now().Add(c.set.WriteTimeout)); err != nil {
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

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.set.mu.Lock()
	c.set.remove(c)
	c.set.mu.Unlock()
	err := c.Conn.Close()
	c.releaseHead()
	return err
}
