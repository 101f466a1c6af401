package fleet

import (
	"context"
	"net"
	"sync/atomic"
)

// traffic counts the bytes sent and received on a set of connections, without TCP
// and IP headers.
type traffic struct{ in, out atomic.Int64 }

func (t *traffic) total() int64 { return t.in.Load() + t.out.Load() }

func (t *traffic) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return countedConn{c, t}, nil
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.traffic}, nil
}
