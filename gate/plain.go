package gate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/wire"
)

// chunkBytes is the largest data frame.
const chunkBytes = 16 << 10

// hopHeaders are the headers of one connection, which are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// sink takes the answer of a plain call.
type sink interface {
	head(status int, header map[string][]string) error
	data(p []byte) error
}

// errSink marks a failure of the receiving side.
var errSink = errors.New("the receiver is gone")

// runPlain makes a plain call and relays its answer.
func (g *Gate) runPlain(ctx context.Context, client *http.Client, req *wire.ExecuteRequest, out sink, sl *slot) result {
	traced, sent := traceSent(ctx)
	hr, err := g.plainRequest(traced, req)
	if err != nil {
		return result{unsent: true, refusal: api.NotRun(api.KindBadRequest, err.Error(), "correct the call")}
	}
	resp, err := client.Do(hr)
	if err != nil {
		return plainFailed(ctx, sent.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	g.taken(sl)
	// Plain calls give no first-token time: paths of one service differ more
	// than a cold endpoint differs from a warm one.
	res := result{served: max(req.Cost, 1), reason: "stop"}
	if err := relayBody(resp, out); err != nil {
		failed := plainFailed(ctx, true, err)
		failed.served = res.served
		return failed
	}
	res.good = resp.StatusCode < http.StatusInternalServerError
	return res
}

func (g *Gate) plainRequest(ctx context.Context, req *wire.ExecuteRequest) (*http.Request, error) {
	u, err := callTarget(req.Call)
	if err != nil {
		return nil, err
	}
	u.Scheme, u.Host = "http", g.cfg.EndpointAddr
	hr, err := http.NewRequestWithContext(ctx, req.Call.Method, u.String(), bytes.NewReader(req.Call.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range req.Call.Header {
		for _, v := range values {
			hr.Header.Add(name, v)
		}
	}
	removeHopHeaders(hr.Header)
	hr.Header.Set(api.HeaderRequestID, req.RequestID)
	if req.NonIdempotent {
		hr.Header.Set(api.HeaderIdempotency, req.Identity)
		hr.GetBody = nil // an order must not be repeated by the client
	}
	return hr, nil
}

func removeHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// relayBody passes on the head and the whole body.
func relayBody(resp *http.Response, out sink) error {
	removeHopHeaders(resp.Header)
	if err := out.head(resp.StatusCode, resp.Header); err != nil {
		return errors.Join(errSink, err)
	}
	buf := make([]byte, chunkBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if err := out.data(append([]byte(nil), buf[:n]...)); err != nil {
				return errors.Join(errSink, err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// plainFailed is the result of a call without a whole answer. An endpoint
// without load reports may still be working on it.
func plainFailed(ctx context.Context, sent bool, err error) result {
	if !sent {
		return result{unsent: true, refusal: notConnected(ctx, err)}
	}
	if ctx.Err() != nil || errors.Is(err, errSink) {
		return result{abandoned: true, refusal: endedWhileRunning(ctx)}
	}
	return result{abandoned: true, refusal: endpointFailed(fmt.Sprintf("the answer of the endpoint is not whole: %v", err))}
}
