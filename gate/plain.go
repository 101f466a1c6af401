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

// chunkBytes is the maximum size of a data frame, and of a probe's response.
const chunkBytes = 16 << 10

// hopByHopHeaders are the headers that apply to one connection and are not
// passed on (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// responseSink receives the response to a plain call.
type responseSink interface {
	head(status int, header map[string][]string) error
	data(p []byte) error
}

// errSink marks an error of the responseSink, as opposed to one of the endpoint.
var errSink = errors.New("the receiver did not take the response")

// runPlain makes a plain call and relays the response to sink.
func (g *Gate) runPlain(ctx context.Context, client *http.Client, req *wire.ExecuteRequest, sink responseSink, sl *slot) requestResult {
	traced, sent := traceSent(ctx)
	hr, err := g.plainRequest(traced, req)
	if err != nil {
		return requestResult{unsent: true, refusal: api.NotRun(api.KindBadRequest, err.Error(), "correct the call")}
	}
	resp, err := client.Do(hr)
	if err != nil {
		return plainFailed(ctx, sent.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	g.markReceived(sl)
	// Plain calls give no first-token time: response times of the paths of one
	// service differ more than those of a cold and a warm endpoint.
	res := requestResult{servedCost: max(req.Cost, 1), endReason: "stop"}
	if err := relayBody(resp, sink); err != nil {
		failed := plainFailed(ctx, true, err)
		failed.servedCost = res.servedCost
		return failed
	}
	res.succeeded = resp.StatusCode < http.StatusInternalServerError
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
	removeHopByHopHeaders(hr.Header)
	hr.Header.Set(api.HeaderRequestID, req.RequestID)
	if req.NonIdempotent {
		hr.Header.Set(api.HeaderIdempotency, req.Identity)
		hr.GetBody = nil // keeps the HTTP client from retrying an order
	}
	return hr, nil
}

func removeHopByHopHeaders(h http.Header) {
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// relayBody relays the head and the complete body of the response.
func relayBody(resp *http.Response, sink responseSink) error {
	removeHopByHopHeaders(resp.Header)
	if err := sink.head(resp.StatusCode, resp.Header); err != nil {
		return errors.Join(errSink, err)
	}
	buf := make([]byte, chunkBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if err := sink.data(append([]byte(nil), buf[:n]...)); err != nil {
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

// plainFailed returns the result of a call without a complete response. If the
// call was sent, the endpoint may still be working on it.
func plainFailed(ctx context.Context, sent bool, err error) requestResult {
	if !sent {
		return requestResult{unsent: true, refusal: notConnected(ctx, err)}
	}
	if ctx.Err() != nil || errors.Is(err, errSink) {
		return requestResult{mayStillRun: true, refusal: endedWhileRunning(ctx)}
	}
	return requestResult{mayStillRun: true, refusal: endpointFailed(fmt.Sprintf("the answer of the endpoint is not whole: %v", err))}
}
