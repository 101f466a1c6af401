package gate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/wasabinotch/wasabinotch/httpguard"
	"github.com/wasabinotch/wasabinotch/peer"
)

const (
	dialTimeout = 2 * time.Second
	// maxIdleConns bounds the idle connections kept to the endpoint.
	maxIdleConns = 256
	// maxResponseHeaderBytes bounds the head of an endpoint's response.
	maxResponseHeaderBytes = 64 << 10
)

// errSendRefused is returned for a connection that was closed before anything
// was sent on it, because the check before sending failed.
var errSendRefused = errors.New("refused before sending")

// preSendCheckKey is the context key of a func() error that is called once
// the connection for an order is open, directly before the order is sent. The
// order is not sent if it returns an error.
type preSendCheckKey struct{}

// newClients returns the HTTP clients for retryable calls, orders and probes, whose
// connections dial opens.
//
// Each order gets a dedicated connection: net/http retries a request that
// carries an Idempotency-Key when a reused connection breaks, and the endpoint
// could then run it twice. Redirects are passed on to the caller.
func newClients(dial peer.DialFunc) (calls, orders, probe *http.Client) {
	dialChecked := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if check, ok := ctx.Value(preSendCheckKey{}).(func() error); ok && check() != nil {
			_ = conn.Close()
			return nil, errSendRefused
		}
		return conn, nil
	}
	client := func(keepAlive bool, idle int) *http.Client {
		return &http.Client{
			Transport: httpguard.NewTransport(&http.Transport{
				DialContext:            dialChecked,
				DisableCompression:     true,
				DisableKeepAlives:      !keepAlive,
				MaxIdleConnsPerHost:    idle,
				MaxResponseHeaderBytes: maxResponseHeaderBytes,
			}),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return client(true, maxIdleConns), client(false, 0), client(true, 1)
}

// traceSent returns a context that records whether a connection was
// obtained for the request. Without a connection, no byte of it was sent.
func traceSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), sent
}
