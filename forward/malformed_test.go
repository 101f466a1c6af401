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
