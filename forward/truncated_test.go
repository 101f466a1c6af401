package forward

import (
	"fmt"
	"strings"
	"testing"

	"github.com/wasabinotch/wasabinotch/routing"
)

// Guards against a success that is relayed although its endpoint closed the connection in the middle of the
// head or of a framed body, so that the caller takes an empty or short body for the whole one.
func TestTruncatedResponseIsNoAnswer(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n"
	const event = "id: 1\ndata: x\n\n"
	responses := map[string]string{
		"length":     signed + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(event), event),
		"no_length":  signed + "Content-Type: text/event-stream\r\n\r\n",
		"close":      signed + "Connection: close\r\n\r\n",
		"chunked":    signed + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(event), event),
		"line_feeds": strings.ReplaceAll(signed+"Connection: close\r\n\r\n", "\r\n", "\n"),
		"interim":    "HTTP/1.1 100 Continue\r\n\r\n" + signed + "\r\n",
		"no_reason":  "HTTP/1.0 200\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n\r\n",
	}
	routes := map[string]routing.Route{"order": orderRoute, "idempotent": idempotentRoute, "stream": streamingRoute}
	for routeName, route := range routes {
		route.MaxAttempts = 1
		for responseName, response := range responses {
			for endName, end := range map[string]func(string) responder{"closed": respondAndClose, "reset": respondAndReset} {
				t.Run(fmt.Sprint(routeName, "/", responseName, "/", endName), func(t *testing.T) {
					t.Parallel()
					for i := range response {
						if strings.HasSuffix(response[:i], "{") || strings.Contains(response[max(0, i-3):min(len(response), i+3)], "{id}") {
							continue // not in the middle of the placeholder
						}
						s := newTestEntry(t, route, end(response[:i]))
						resp, body, err := s.send(t, nil)
						if err == nil && resp.StatusCode < 500 {
							t.Errorf("status %d, body %q after %q", resp.StatusCode, body, response[:i])
						}
						if s.requestCount() != 1 {
							t.Errorf("%d requests sent", s.requestCount())
						}
						s.Close()
					}
				})
			}
		}
	}
}
