package store

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/lab/kvsim"
)

// countingConn counts the bytes read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Guards against a watch that transfers the whole configuration although nothing has
// changed, and against one that misses a change or returns old values after it.
func TestWatchTransfersValuesOnChangeOnly(t *testing.T) {
	is := is.New(t)
	s, err := kvsim.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer s.Close()
	var read atomic.Int64
	c := NewConsul(ConsulConfig{Addrs: []string{s.Addr()}, CallsPerSecond: 1000, Burst: 1000,
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return countingConn{conn, &read}, err
		}})
	ctx := context.Background()
	const size = 100 << 10
	is.NoErr(c.CompareAndSwap(ctx, "p/a", make([]byte, size), 0))
	kvs, index, err := c.Watch(ctx, "p/", 0, time.Second)
	is.NoErr(err)
	is.Equal(len(kvs[0].Value), size)

	before := read.Load()
	kvs, again, err := c.Watch(ctx, "p/", index, 50*time.Millisecond)
	is.NoErr(err)
	is.Equal(again, index)
	is.Equal(len(kvs[0].Value), size)
	is.True(read.Load()-before < 1<<10)

	is.NoErr(c.CompareAndSwap(ctx, "p/a", []byte("new"), kvs[0].Revision))
	kvs, again, err = c.Watch(ctx, "p/", index, time.Second)
	is.NoErr(err)
	is.True(again > index)
	is.Equal(string(kvs[0].Value), "new")
}
