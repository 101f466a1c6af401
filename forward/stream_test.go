package forward

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/routing"
)

// Guards against anything but the next events reaching the caller of a stream that broke
// off, whatever the next endpoint answers, and against a truncated stream that looks
// complete.
func TestBrokenStreamIsContinuedByEventsOnly(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nContent-Length: 5\r\n\r\nerror"
	for name, answer := range map[string]string{
		"refusal":               notRunResponse,
		"503":                   head,
		"signed 500":            "HTTP/1.1 500 Oops\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Length: 7\r\n\r\nerror\n\n",
		"signed 404":            "HTTP/1.1 404 Not Found\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Length: 7\r\n\r\nerror\n\n",
		"redirect":              "HTTP/1.1 302 Found\r\nRequest-Id: {id}\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
		"unsigned events":       "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Type: text/event-stream\r\nContent-Length: 17\r\n\r\nid: 4\ndata: x\n\nxx",
		"no content":            "HTTP/1.1 204 No Content\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\n\r\n",
		"empty text":            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n",
		"error text":            streamHead + "Content-Length: 14\r\n\r\nerror: busy.\n\n",
		"head as an event":      streamHead + "Connection: close\r\n\r\n" + head,
		"head in an event":      streamHead + "Connection: close\r\n\r\nid: 4\ndata: x" + head,
		"head of one line":      streamHead + "Connection: close\r\n\r\nid: 4\ndata: xHTTP/1.1 503 Unavailable\r\n\r\n",
		"events once more":      streamHead + "Connection: close\r\n\r\n" + events(1, 6),
		"another request's":     strings.Replace(streamHead, "{id}", "other", 1) + "Connection: close\r\n\r\n" + events(4, 6),
		"not a response at all": "error\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			respond := func(c net.Conn, r *http.Request, n int) {
				if r.Header.Get("Last-Event-Id") == "" {
					respondAndReset(streamHead+"\r\n"+events(1, 3)+"id: 4\nda")(c, r, n)
					return
				}
				respondAndClose(answer)(c, r, n)
			}
			s := newTestEntry(t, streamingRoute, respond, respond, respond)
			_, body, err := s.send(t, nil)
			is.True(err != nil) // the stream doesn't look complete
			is.Equal(body, events(1, 3))
		})
	}
}

// Guards against the head of an error response that an endpoint writes into the body of
// its own stream reaching the caller; the stream is continued at another endpoint.
func TestErrorInsideAStreamIsNotRelayed(t *testing.T) {
	const failure = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"after an event": events(1, 3) + failure,
		"in an event":    events(1, 3) + "id: 4\ndata: y" + failure,
		"as one line":    events(1, 3) + "id: 4\ndata: yHTTP/1.1 500 Oops\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			respond := func(c net.Conn, r *http.Request, n int) {
				if r.Header.Get("Last-Event-Id") == "3" {
					respondAndClose(streamHead+"Connection: close\r\n\r\n"+events(4, 6))(c, r, n)
					return
				}
				respondAndClose(streamHead+"Connection: close\r\n\r\n"+text)(c, r, n)
			}
			s := newTestEntry(t, streamingRoute, respond, respond)
			_, body, err := s.send(t, nil)
			is.NoErr(err)
			is.Equal(body, events(1, 6))
		})
	}
}

// Guards against events of the platform that are taken for foreign bytes.
func TestEventsOfAllFormsAreRelayed(t *testing.T) {
	for name, text := range map[string]string{
		"version":               "weight-versions: 3\nid: 1\ndata: x\n\n",
		"comment":               ": still running\n\nid: 1\ndata: x\n\n",
		"crlf":                  "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: HTTP/1.1 503 x\r\n\r\n",
		"no space":              "id:1\ndata:x\n\nid:2\ndata\n\n",
		"text ids":              "id: b\ndata: x\n\nid: a\ndata: y\n\n",
		"data of several lines": "id: 1\ndata: Content-Length: 5\ndata:\ndata: y\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			route := routing.Route{Kind: routing.Streaming, MaxAttempts: 1}
			s := newTestEntry(t, route, respondAndClose(streamHead+"Connection: close\r\n\r\n"+text))
			_, body, err := s.send(t, nil)
			is.NoErr(err)
			is.Equal(body, text)
		})
	}
}
