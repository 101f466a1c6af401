package peer

import (
	"context"
	"expvar"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// Bytes received from and sent to other wasabinotch processes, with which the control
// traffic is checked against its budget.
var (
	bytesIn  = expvar.NewInt("peer_bytes_in")
	bytesOut = expvar.NewInt("peer_bytes_out")
)

// countedConn adds the bytes of a connection to the metrics.
type countedConn struct{ net.Conn }

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesIn.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesOut.Add(int64(n))
	return n, err
}

// Pool keeps one net/rpc connection per address. It is safe for concurrent use.
type Pool struct {
	key  []byte
	dial DialFunc

	mu      sync.Mutex
	clients map[string]*client
}

// client is the connection to one address; rpc is nil while it is not connected.
type client struct {
	mu  sync.Mutex // serialises dialling
	rpc atomic.Pointer[rpc.Client]
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// DialFrom returns a DialFunc that uses the IP address source as the local address of
// its connections. If source is not an IP address, such as "", the operating system
// chooses.
func DialFrom(source string) DialFunc {
	d := &net.Dialer{}
	if ip := net.ParseIP(source); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d.DialContext
}

// NewPool returns an empty pool that authenticates with key.
func NewPool(key []byte) *Pool {
	return NewPoolWithDialer(key, DialFrom(""))
}

// NewPoolWithDialer returns an empty pool that authenticates with key and connects
// with dial.
func NewPoolWithDialer(key []byte, dial DialFunc) *Pool {
	return &Pool{key: key, dial: dial, clients: make(map[string]*client)}
}

// Call invokes method at addr. If ctx ends first or the connection fails, Call closes
// the connection and returns a trace.ConnectionProblem; the method may still run at
// the peer.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	c := p.client(addr)
	rc, err := c.connect(ctx, addr, p)
	if err != nil {
		return err
	}
	call := rc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		c.drop(rc)
		return trace.ConnectionProblem(ctx.Err(), "no reply from %s to %s; check that the node is up", addr, method)
	case <-call.Done:
	}
	if call.Error == nil {
		return nil
	}
	if _, ok := call.Error.(rpc.ServerError); ok {
		return trace.Wrap(call.Error)
	}
	c.drop(rc)
	return trace.ConnectionProblem(call.Error, "connection to %s was lost during %s", addr, method)
}

// Disconnect closes and removes the connection to addr.
func (p *Pool) Disconnect(addr string) {
	p.mu.Lock()
	c := p.clients[addr]
	delete(p.clients, addr)
	p.mu.Unlock()
	if c != nil {
		c.drop(c.rpc.Load())
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.clients {
		c.drop(c.rpc.Load())
		delete(p.clients, addr)
	}
}

func (p *Pool) client(addr string) *client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c == nil {
		c = &client{}
		p.clients[addr] = c
	}
	return c
}

// connect returns the open connection to addr, or opens one.
func (c *client) connect(ctx context.Context, addr string, p *Pool) (*rpc.Client, error) {
	if rc := c.rpc.Load(); rc != nil {
		return rc, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if rc := c.rpc.Load(); rc != nil {
		return rc, nil
	}
	conn, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "cannot connect to %s; check that the node is up", addr)
	}
	conn = countedConn{conn}
	if err := dialHandshake(conn, p.key); err != nil {
		_ = conn.Close()
		return nil, err
	}
	rc := rpc.NewClient(&framedConn{Conn: conn})
	c.rpc.Store(rc)
	return rc, nil
}

// drop closes rc if it is still the client's connection.
func (c *client) drop(rc *rpc.Client) {
	if rc == nil {
		return
	}
	if c.rpc.CompareAndSwap(rc, nil) {
		_ = rc.Close()
	}
}
