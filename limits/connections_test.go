package limits

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// pipeConn is one end of a pipe with the address of a peer.
type pipeConn struct {
	net.Conn
	host   string
	closed atomic.Bool
}

func (c *pipeConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.ParseIP(c.host), Port: 1}
}

func (c *pipeConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

func newPipe(host string) (*pipeConn, net.Conn) {
	ours, theirs := net.Pipe()
	return &pipeConn{Conn: ours, host: host}, theirs
}

// Guards against idle connections that take all descriptors, and against a busy one, or one
// of another address, that is closed for a new one.
func TestLongestIdleConnectionGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var events []Event
		c := NewConnections(4, NewMemory(0, nil), func(e Event) { events = append(events, e) })
		var pipes []*pipeConn
		var conns []*Conn
		for _, host := range []string{"10.0.0.9", "10.0.0.1", "10.0.0.1", "10.0.0.1"} {
			p, _ := newPipe(host)
			pipes, conns = append(pipes, p), append(conns, c.admit(p))
			time.Sleep(time.Second)
		}
		conns[1].Busy()
		p, _ := newPipe("10.0.0.2")
		is.True(c.admit(p) != nil)
		is.True(!pipes[0].closed.Load()) // its address has only one
		is.True(!pipes[1].closed.Load()) // it is busy
		is.True(pipes[2].closed.Load())
		is.Equal(c.Open(), 4)
		is.Equal(len(events), 1)
		is.Equal(events[0].Host, "10.0.0.1")
	})
}

// Guards against a new connection that displaces a request in progress.
func TestBusyConnectionsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := NewConnections(1, NewMemory(0, nil), nil)
		p, _ := newPipe("10.0.0.1")
		conn := c.admit(p)
		conn.Busy()
		other, _ := newPipe("10.0.0.2")
		is.True(c.admit(other) == nil)
		is.NoErr(conn.Close())
		is.True(c.admit(other) != nil)
		is.Equal(len(c.hosts), 1)
	})
}

// Guards against a peer that reads nothing and keeps its connection when others need it.
func TestConnectionThatIsNotReadGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := NewConnections(1, NewMemory(0, nil), nil)
		p, _ := newPipe("10.0.0.1")
		conn := c.admit(p)
		conn.Busy()
		ended := make(chan error, 1)
		go func() { _, err := conn.Write([]byte("event")); ended <- err }()
		time.Sleep(2 * stallTime)
		other, _ := newPipe("10.0.0.2")
		is.True(c.admit(other) != nil)
		is.True(<-ended != nil)
	})
}

// Guards against a write that waits for ever for a peer that stays and reads nothing.
func TestWriteEndsAfterItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var events []Event
		c := NewConnections(0, NewMemory(0, nil), func(e Event) { events = append(events, e) })
		p, _ := newPipe("10.0.0.1")
		began := time.Now()
		_, err := c.admit(p).Write(make([]byte, 3*maxWriteBytes))
		is.True(err != nil)
		is.Equal(time.Since(began), DefaultWriteTimeout)
		is.Equal(len(events), 1)
		is.Equal(events[0].Limit, LimitWrite)
	})
}

// Guards against heads that are bounded one by one, but not together.
func TestHeadsAreClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMemory(1024*kib, nil)
		c := NewConnections(0, m, nil)
		read := func(host string, size int) (*Conn, *pipeConn) {
			p, theirs := newPipe(host)
			conn := c.admit(p)
			go func() { _, _ = io.WriteString(theirs, strings.Repeat("x", size)) }()
			go func() {
				buf := make([]byte, 4*kib)
				for {
					if _, err := conn.Read(buf); err != nil {
						_ = conn.Close()
						return
					}
				}
			}()
			synctest.Wait()
			return conn, p
		}
		_, first := read("10.0.0.1", 40*kib)
		is.Equal(m.Held(), int64((40*kib-freeHeadBytes)*headFactor))
		time.Sleep(time.Second)
		second, _ := read("10.0.0.1", 40*kib)
		is.True(first.closed.Load())
		is.Equal(m.Held(), int64((40*kib-freeHeadBytes)*headFactor))
		second.headEnded()
		second.Idle()
		is.Equal(m.Held(), int64(0))
		ordinary, _ := read("10.0.0.1", 1*kib)
		is.Equal(m.Held(), int64(0))
		is.NoErr(ordinary.Close())
		is.NoErr(second.Close())
	})
}

// Guards against sizes that clients inside the users' limits would meet on the smallest VMs.
func TestSizesOfSmallVMs(t *testing.T) {
	is := is.New(t)
	entry := sizesFor(136, 2870)
	const maxBodyBytes = 4 << 20
	is.True(float64(entry.MemoryBytes)*largePart >= 4*maxBodyBytes) // several of the largest bodies at once
	is.True(entry.Callers >= 1000)
	is.True(entry.Internal >= 148) // one for each entry of the largest deployment
	agent := sizesFor(152, 2048)
	is.True(agent.Internal >= 72) // one for each rank of the largest group
	is.Equal(sizesFor(0, 0).MemoryBytes, int64(0))
}

// Guards against everything that a long-lived connection of another protocol than HTTP
// reads being claimed as a head, until its bytes fill the budget.
func TestOnlyHeadsAreClaimed(t *testing.T) {
	is := is.New(t)
	m := NewMemory(1024*kib, nil)
	c := NewConnections(0, m, nil)
	p, theirs := newPipe("10.0.0.1")
	conn := c.admit(p)
	go func() { _, _ = io.WriteString(theirs, strings.Repeat("x", 1024*kib)) }()
	_, err := io.ReadFull(conn, make([]byte, 4*kib))
	is.NoErr(err)
	is.Equal(m.Held(), int64(2*kib*headFactor)) // it could be an HTTP head
	conn.Busy()
	is.Equal(m.Held(), int64(0))
	_, err = io.ReadFull(conn, make([]byte, 1000*kib))
	is.NoErr(err)
	is.Equal(m.Held(), int64(0))
	is.NoErr(conn.Close())
}
