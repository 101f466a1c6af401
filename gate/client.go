package gate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// idleConns bounds kept connections to the one endpoint.
	idleConns = 256
)

// errNotHandedOver marks a connection that was closed before anything was
// sent on it, because the last check failed.
var errNotHandedOver = errors.New("not handed over")

// lastCheckKey is the context key of a func() error that is called when a
// connection for an order is open, directly before the order is sent.
type lastCheckKey struct{}

// newClients returns the clients for repeatable calls, orders and probes.
//
// An order gets a connection of its own: net/http repeats a request that
// carries an Idempotency-Key when a kept connection breaks, and the endpoint
// could then run it twice. Redirects are passed on to the caller.
func newClients() (calls, orders, probe *http.Client) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if check, ok := ctx.Value(lastCheckKey{}).(func() error); ok && check() != nil {
			_ = conn.Close()
			return nil, errNotHandedOver
		}
		return conn, nil
	}
	client := func(keepAlive bool, idle int) *http.Client {
		return &http.Client{
			Transport: &http.Transport{
				DialContext:         dial,
				DisableCompression:  true,
				DisableKeepAlives:   !keepAlive,
				MaxIdleConnsPerHost: idle,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return client(true, idleConns), client(false, 0), client(true, 1)
}

// traceSent returns a context that records whether a connection was ever
// obtained for the request. Without one, no byte of it was sent.
func traceSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), sent
}
