package forward

import (
	"net/http"
	"testing"

	"github.com/wasabinotch/wasabinotch/routing"
)

// singleAttemptRoutes returns a route of each kind, with one attempt.
func singleAttemptRoutes() map[string]routing.Route {
	routes := map[string]routing.Route{"order": orderRoute, "idempotent": idempotentRoute, "stream": streamingRoute}
	for name, route := range routes {
		route.MaxAttempts = 1
		routes[name] = route
	}
	return routes
}

// testNoAnswer checks that callers get a failure from the entry in place of each response.
func testNoAnswer(t *testing.T, responses map[string]string) {
	t.Helper()
	for routeName, route := range singleAttemptRoutes() {
		for name, response := range responses {
			t.Run(routeName+"/"+name, func(t *testing.T) {
				s := newTestEntry(t, route, respondAndClose(response))
				resp, body, err := s.send(t, nil)
				if err != nil {
					t.Fatal(err)
				}
				if resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Response-Signature") != "" {
					t.Errorf("status %d, header %v, body %q", resp.StatusCode, resp.Header, body)
				}
				if s.requestCount() != 1 {
					t.Errorf("%d requests sent", s.requestCount())
				}
			})
		}
	}
}

// Guards against a response without a valid status that a caller gets as an answer, or
// whose body, or what follows it, is taken for one.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const (
		fields = "Request-Id: {id}\r\nResponse-Signature: sig\r\n"
		event  = "id: 1\ndata: x\n\n"
		whole  = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 15\r\n\r\n" + event
	)
	testNoAnswer(t, map[string]string{
		"000":                      "HTTP/1.1 000 Unknown\r\n" + fields + "Content-Length: 15\r\n\r\n" + event,
		"000 without a length":     "HTTP/1.1 000\r\n" + fields + "\r\n" + event,
		"000 and another response": "HTTP/1.1 000 Unknown\r\n" + fields + "\r\n" + whole,
		"000 with one as its body": "HTTP/1.1 000 Unknown\r\n" + fields + "Content-Length: 1000\r\n\r\n" + whole,
		"099":                      "HTTP/1.1 099 Low\r\n" + fields + "\r\n" + whole,
		"600":                      "HTTP/1.1 600 High\r\n" + fields + "Content-Length: 15\r\n\r\n" + event,
		"999":                      "HTTP/1.1 999 High\r\n" + fields + "Content-Length: 15\r\n\r\n" + event,
	})
}

// Guards against a response with a malformed line in its head that a caller gets as an
// answer: without that line, with another signature, or with a body of another length.
func TestMalformedFieldIsNoAnswer(t *testing.T) {
	const (
		event = "id: 1\ndata: x\n\n"
		end   = "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n" + event
		start = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n"
	)
	testNoAnswer(t, map[string]string{
		"blank in a name":           start + "X Odd: 1\r\n" + end,
		"blank before a colon":      start + "X-Odd : 1\r\n" + end,
		"signature continued":       start + " X-Odd: 1\r\n" + end,
		"signature continued (tab)": start + "\tX-Odd: 1\r\n" + end,
		"0x01 in a name":            start + "X\x01Odd: 1\r\n" + end,
		"0x00 in a name":            start + "X\x00Odd: 1\r\n" + end,
		"0x7f in a name":            start + "X\x7fOdd: 1\r\n" + end,
		"tab in a name":             start + "X\tOdd: 1\r\n" + end,
		"CR in a name":              start + "X\rOdd: 1\r\n" + end,
		"empty name":                start + ": 1\r\n" + end,
		"0x01 in a value":           start + "X-Odd: 1\x012\r\n" + end,
		"CR in a value":             start + "X-Odd: 1\r2\r\n" + end,
		"length with a blank":       start + "Content-Length : 1000\r\n\r\n" + event,
		"chunks with a blank":       start + "Transfer-Encoding : chunked\r\n\r\nf\r\n" + event + "\r\n0\r\n\r\n",
		"error":                     "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nX Odd: 1\r\n" + end,
		"refusal":                   "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
	})
}

// Guards against a body with the lines of its chunks in it that a caller gets as an answer.
func TestUnknownFramingIsNoAnswer(t *testing.T) {
	const (
		fields = "Request-Id: {id}\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\n"
		event  = "id: 1\ndata: x\n\n"
	)
	testNoAnswer(t, map[string]string{
		"chunks in HTTP/1.0": "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + event + "\r\n0\r\n\r\n",
		"HTTP/2.0":           "HTTP/2.0 200 OK\r\n" + fields + "Content-Length: 15\r\n\r\n" + event,
	})
}
