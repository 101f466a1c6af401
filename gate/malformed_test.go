package gate

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/lab/rawhttp"
	"github.com/wasabinotch/wasabinotch/wire"
)

// respondTo serves an address that answers each request with text.
func respondTo(t *testing.T, text string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go rawhttp.Serve(ln, text)
	return ln.Addr().String()
}

// testMalformed checks that a gate takes nothing from an endpoint's response.
func testMalformed(t *testing.T, response string) {
	t.Helper()
	is := is.New(t)
	h := newHarness(t)
	h.cfg.EndpointAddr = respondTo(t, response)
	sink := &bodySink{}
	res := h.runPlain(t.Context(), h.callClient, &wire.ExecuteRequest{RequestID: "r1", Call: &wire.PlainCall{Method: http.MethodGet, Path: "/stock"}}, sink, &slot{})
	if res.refusal == nil || res.succeeded || sink.body.Len() > 0 {
		t.Errorf("the call ended with %+v, body %q", res, sink.body.String())
	}
	status, _, err := h.get(t.Context(), "/health")
	if err == nil {
		t.Errorf("the health check ended with status %d", status)
	}
	is.True(!h.cancelAtEndpoint("r1")) // a cancellation is not confirmed
}

// Guards against a response without a valid status that counts as an endpoint's response,
// as that of a sound endpoint, or as the confirmation of a cancellation.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 Unknown", "099 Low", "101 Switching Protocols", "600 High", "999 High"} {
		t.Run(status, func(t *testing.T) {
			testMalformed(t, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: 4\r\n\r\npart", status))
		})
	}
}

// Guards against a response with a malformed line in its head, which may be the one that
// tells where its body ends.
func TestMalformedFieldIsNoAnswer(t *testing.T) {
	for _, field := range []string{"X Odd: 1", "X-Odd : 1", "X\x01Odd: 1", "X-Odd: 1\x002", "X-Odd: 1\x012", "Content-Length : 1000", "Transfer-Encoding : chunked"} {
		t.Run(field, func(t *testing.T) { testMalformed(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\npart") })
	}
}

// Guards against responses of versions whose framing is another one.
func TestUnknownVersionIsNoAnswer(t *testing.T) {
	for _, version := range []string{"HTTP/2.0", "HTTP/0.9"} {
		t.Run(version, func(t *testing.T) { testMalformed(t, version+" 200 OK\r\nContent-Length: 4\r\n\r\npart") })
	}
}
