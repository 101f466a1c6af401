package httpguard

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
)

// transport is a RoundTripper that returns no response with a malformed head.
type transport struct{ base *http.Transport }

// NewTransport returns a RoundTripper for HTTP/1 that makes requests with t, which it
// changes to use connections of type Conn, and that returns no response with a malformed
// head. If t is nil, a copy of http.DefaultTransport is used.
func NewTransport(t *http.Transport) http.RoundTripper {
	if t == nil {
		t = http.DefaultTransport.(*http.Transport).Clone()
	}
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return transport{t}
}

// RoundTrip implements http.RoundTripper. A connection with a malformed head is closed,
// since its further bytes belong to no response.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	err = CheckHead(resp)
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		err = fmt.Errorf("%w: the server switched protocols unasked", ErrMalformedHead)
	}
	if err != nil {
		_ = resp.Body.Close()
		_ = conn.Close() // may be closed already
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections, as http.Client expects.
func (t transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
