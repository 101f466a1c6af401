package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/limits"
)

type echo struct{ block chan struct{} }

func (e *echo) Say(in string, out *string) error {
	*out = in
	return nil
}

func (e *echo) Hang(string, *string) error {
	<-e.block
	return nil
}

func startEcho(t *testing.T, key []byte) string {
	t.Helper()
	is := is.New(t)
	s := NewServer(key, logr.Discard())
	e := &echo{block: make(chan struct{})}
	is.NoErr(s.Register("Echo", e))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.Serve(ln)
	t.Cleanup(func() { _ = ln.Close(); close(e.block); s.Close() })
	return ln.Addr().String()
}

// Guards against a peer that calls methods without having the shared key.
func TestWrongKeyIsRefused(t *testing.T) {
	is := is.New(t)
	addr := startEcho(t, make([]byte, 32))
	wrong := append(make([]byte, 31), 1)
	var out string
	err := NewPool(wrong).Call(context.Background(), addr, "Echo.Say", "hi", &out)
	is.True(err != nil)
	is.NoErr(NewPool(make([]byte, 32)).Call(context.Background(), addr, "Echo.Say", "hi", &out))
	is.Equal(out, "hi")
}

// Guards against a call that does not return although its context has ended, since
// the peer does not reply, and against a pool that can't call the peer afterwards.
func TestCallEndsWithContext(t *testing.T) {
	is := is.New(t)
	key := make([]byte, 32)
	addr := startEcho(t, key)
	p := NewPool(key)
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var out string
	err := p.Call(ctx, addr, "Echo.Hang", "", &out)
	is.True(trace.IsConnectionProblem(err))
	is.NoErr(p.Call(context.Background(), addr, "Echo.Say", "again", &out))
	is.Equal(out, "again")
}

// Guards against connections without the key that displace those of the deployment's own
// processes, and against a server that none of these can reach any more.
func TestConnectionsWithoutKeyGiveWay(t *testing.T) {
	is := is.New(t)
	key := make([]byte, 32)
	s := NewServer(key, logr.Discard())
	is.NoErr(s.Register("Echo", &echo{}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.Serve(limits.NewConnections(3, limits.NewMemory(0, nil), nil).Listener(ln))
	t.Cleanup(func() { _ = ln.Close(); s.Close() })
	dials := 0
	newPool := func() *Pool {
		return NewPoolWithDialer(key, func(ctx context.Context, network, addr string) (net.Conn, error) {
			dials++
			return DialFrom("")(ctx, network, addr)
		})
	}
	first, second := newPool(), newPool()
	defer first.Close()
	defer second.Close()
	var out string
	is.NoErr(first.Call(context.Background(), ln.Addr().String(), "Echo.Say", "hi", &out))
	for range 10 {
		conn, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = conn.Read(make([]byte, 1)) // the server has accepted it and sent its nonce
		is.NoErr(err)
	}
	is.NoErr(second.Call(context.Background(), ln.Addr().String(), "Echo.Say", "hi", &out))
	is.NoErr(first.Call(context.Background(), ln.Addr().String(), "Echo.Say", "hi", &out))
	is.Equal(dials, 2)
}

// Guards against callers that are blocked for longer than the handshake timeout by a
// peer that accepts the connection and sends nothing.
func TestSilentPeerTimesOut(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	var out string
	err = NewPool(make([]byte, 32)).Call(context.Background(), ln.Addr().String(), "Echo.Say", "", &out)
	is.True(err != nil)
}
