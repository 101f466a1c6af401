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

// maxChunkBytes bounds the part of a response body that one data frame carries, and
// the part of a probe's response that is read.
const maxChunkBytes = 16 << 10

// hopByHopHeaders are the headers that apply to one connection and are not passed on
// (RFC 2616, 13.5.1, and RFC 9110, 7.6.1). RFC 9110 also excludes the headers that
// Connection lists: the entry removes them from calls; those of responses are passed
// on.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// responseSink receives the response to a plain call, which is an HTTP request to a
// service other than a model (wire.PlainCall).
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
	// firstTokenTime stays 0, so that a slow response doesn't make the endpoint count as
	// cold: the response times of the paths of one service differ more than those of a
	// cold and a warm endpoint. "stop" is the end reason of complete model responses too.
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
		// Keeps the HTTP client from sending the order's body again. An order without a
		// body isn't retried because it has a dedicated connection (see newClients).
		hr.GetBody = nil
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
	buf := make([]byte, maxChunkBytes)
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
