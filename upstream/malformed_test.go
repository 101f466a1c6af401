package upstream

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// respondTo answers the first request of each connection with text.
func respondTo(t *testing.T, text string) string {
	return serve(t, func(c net.Conn, _ int) {
		defer c.Close()
		if _, err := readRequest(c); err == nil {
			io.WriteString(c, text)
		}
	})
}

// Guards against a response without a valid status that is skipped like an interim one, so
// that its body, or what follows it, is taken for the response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	for _, status := range []string{"000", "000 Unknown", "099 Low", "001", "+20 OK", "600 High", "999"} {
		for name, rest := range map[string]string{
			"no length":            "\r\nx",
			"no body":              "Content-Length: 0\r\n\r\n",
			"a response as a body": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(whole), whole),
			"a response after it":  "\r\n" + whole,
		} {
			t.Run(status+"/"+name, func(t *testing.T) {
				addr := respondTo(t, "HTTP/1.1 "+status+"\r\n"+rest)
				code, body, err := NewClient(time.Second).Call(t.Context(), addr, getRequest, 100)
				if err == nil {
					t.Errorf("status %d, body %q", code, body)
				}
			})
		}
	}
}

// Guards against refusing statuses that are valid but unknown.
func TestUnknownStatusIsAResponse(t *testing.T) {
	for _, status := range []int{299, 399, 499, 599} {
		is := is.New(t)
		addr := respondTo(t, fmt.Sprintf("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 %d Unknown\r\nContent-Length: 2\r\n\r\nok", status))
		code, body, err := NewClient(time.Second).Call(t.Context(), addr, getRequest, 100)
		is.NoErr(err)
		is.Equal(code, status)
		is.Equal(string(body), "ok")
	}
}
