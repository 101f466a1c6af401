package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/routing"
)

// respondEndlessly writes head, then part again and again until the connection is closed.
func respondEndlessly(head, part string) responder {
	block := strings.Repeat(part, max(1, 32<<10/len(part)))
	return func(c net.Conn, r *http.Request, n int) {
		respondRaw(head)(c, r, n)
		for {
			if _, err := io.WriteString(c, block); err != nil {
				return
			}
		}
	}
}

// respondSlowly writes text, then a byte at a time until the connection is closed.
func respondSlowly(text string) responder {
	return func(c net.Conn, r *http.Request, n int) {
		respondRaw(text)(c, r, n)
		for {
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// distinctHeaders returns header lines of different names, of size bytes in all.
func distinctHeaders(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// Guards against an entry that keeps what a faulty endpoint sends without end, until it runs out of memory.
func TestEndlessResponsesFillNoMemory(t *testing.T) {
	const (
		signed = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n"
		// callers is the number of requests at the faulty endpoint at once.
		callers = 100
		// memoryLimit is that of the smallest VMs of the users' deployments, in bytes.
		memoryLimit = 136 << 20
	)
	routes := map[string]routing.Route{"order": orderRoute, "stream": streamingRoute}
	for name, respond := range map[string]responder{
		"status_line":  respondEndlessly("HTTP/1.1 200 ", "x"),
		"header_line":  respondEndlessly(signed+"X: ", "x"),
		"header_lines": respondEndlessly(signed, "A:\r\n"),
		"interim":      respondEndlessly("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		"body":         respondEndlessly(signed+"\r\n", "x"),
		"error_body":   respondEndlessly("HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n\r\n", "x"),
		"long_body":    respondEndlessly(signed+"Content-Length: 1000000000000\r\n\r\n", "x"),
		"chunk_line":   respondEndlessly(signed+"Transfer-Encoding: chunked\r\n\r\n1;", "x"),
		"chunks":       respondEndlessly(signed+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
		"trailers":     respondEndlessly(signed+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"),
		"event":        respondEndlessly(signed+"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x"),
		// The most that an entry may take for the beginning of a head or of an event, held until the deadline.
		"slow_header": respondSlowly(signed + distinctHeaders(60<<10)),
		"slow_event":  respondSlowly(signed + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: " + strings.Repeat("x", maxEventBytes-4<<10)),
		"event_lines": respondEndlessly(signed+"Content-Type: text/event-stream\r\n\r\nid: 1\n", "data: x\n"),
	} {
		for routeName, route := range routes {
			t.Run(routeName+"/"+name, func(t *testing.T) {
				route.MaxAttempts = 1
				s := newTestEntry(t, route, respond)
				record := s.handler.cfg.Fleet.Records()[0]
				record.Slots = callers
				s.handler.cfg.Fleet.Update(record)
				runtime.GC()
				var before, now runtime.MemStats
				runtime.ReadMemStats(&before)
				var wait sync.WaitGroup
				for range callers {
					wait.Go(func() {
						r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/a/b", nil)
						r.Host, r.Close = "host", true
						r.Header = http.Header{"Request-Id": {"id-1"}, "Authorization": {"Bearer key"}, "Deadline-Ms": {"1000"}}
						resp, err := http.DefaultTransport.RoundTrip(r)
						if err != nil {
							return
						}
						defer resp.Body.Close()
						if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode < 300 {
							t.Error("a response that doesn't end was relayed as complete")
						}
					})
				}
				done := make(chan struct{})
				go func() {
					wait.Wait()
					close(done)
				}()
				peak := uint64(0)
				for running := true; running; {
					select {
					case <-done:
						running = false
					case <-time.After(5 * time.Millisecond):
						runtime.ReadMemStats(&now)
						peak = max(peak, now.HeapInuse-min(before.HeapInuse, now.HeapInuse))
					}
				}
				t.Logf("%d requests took %d MB at most", s.requestCount(), peak>>20)
				if peak > memoryLimit {
					t.Errorf("the responses took %d MB, the limit is %d MB", peak>>20, memoryLimit>>20)
				}
			})
		}
	}
}
