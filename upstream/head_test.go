package upstream

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

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
			addr := serve(t, func(conn net.Conn, _ int) {
				defer conn.Close()
				if _, err := readRequest(conn); err == nil {
					fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", c.head, len(body), body)
				}
			})
			_, got, err := NewClient(time.Second).Call(t.Context(), addr, getRequest, 10000)
			if !c.fits {
				is.True(errors.Is(err, errHeadTooLong))
				return
			}
			is.NoErr(err)
			is.Equal(string(got), body)
		})
	}
}
