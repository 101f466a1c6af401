package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serveOnce starts a server that responds to the first request on each connection with a text.
func serveOnce(t *testing.T, text string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					io.WriteString(c, text)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against heads that take much memory, and against counting the lines of a body as lines of the head.
func TestHeadIsBounded(t *testing.T) {
	lines := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "H%d: x\r\n", i)
		}
		return b.String()
	}
	const ok = "HTTP/1.1 200 OK\r\n"
	body := strings.Repeat("\n", 5000)
	for _, c := range []struct {
		name, head string
		fits       bool
	}{
		{"many lines", ok + lines(200), true},
		{"too many lines", ok + lines(1000), false},
		{"long lines", ok + "H: " + strings.Repeat("x", 60<<10) + "\r\n", true},
		{"too long lines", ok + "H: " + strings.Repeat("x", 70<<10) + "\r\n", false},
		{"interim responses", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 50) + ok, true},
		{"too many interim responses", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 500) + ok, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			addr := serveOnce(t, c.head+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
			_, got, err := NewClient(time.Second).Call(t.Context(), addr, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, 10000)
			if !c.fits {
				is.True(errors.Is(err, errHeadTooLong))
				return
			}
			is.NoErr(err)
			is.Equal(string(got), body)
		})
	}
}
