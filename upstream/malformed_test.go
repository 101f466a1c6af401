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

// malformedFields are header lines that no response may have.
var malformedFields = map[string]string{
	"a blank in a name":       "X Odd: 1",
	"a blank before a colon":  "X-Odd : 1",
	"a blank before a name":   " X-Odd: 1", // a continuation of the line before it
	"a tab before a name":     "\tX-Odd: 1",
	"a tab in a name":         "X\tOdd: 1",
	"a tab before a colon":    "X-Odd\t: 1",
	"0x00 in a name":          "X\x00Odd: 1",
	"0x01 in a name":          "X\x01Odd: 1",
	"0x7f in a name":          "X\x7fOdd: 1",
	"CR in a name":            "X\rOdd: 1",
	"CR before a name":        "\rX-Odd: 1",
	"a letter beyond ASCII":   "X-\xe9: 1",
	"a bracket in a name":     "X(Odd: 1",
	"an empty name":           ": 1",
	"no colon":                "X-Odd",
	"a length with a blank":   "Content-Length : 2",
	"chunks with a blank":     "Transfer-Encoding : chunked",
	"0x00 in a value":         "X-Odd: 1\x002",
	"0x01 in a value":         "X-Odd: 1\x012",
	"0x7f in a value":         "X-Odd: 1\x7f2",
	"CR in a value":           "X-Odd: 1\r2",
	"a line of blanks":        "  ",
	"a value on another line": "X-Odd:\r\n 1",
}

// Guards against a response that is used although a line of its head is malformed: its
// length, or what it says of the request, may be on that line.
func TestMalformedFieldIsNoResponse(t *testing.T) {
	for name, field := range malformedFields {
		for headName, head := range map[string]string{
			"final":   "HTTP/1.1 200 OK\r\nA: 1\r\n" + field + "\r\nContent-Length: 4\r\n\r\nbody",
			"last":    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: 1\r\n" + field + "\r\n\r\nbody",
			"close":   "HTTP/1.1 200 OK\r\nA: 1\r\n" + field + "\r\n\r\nbody",
			"interim": "HTTP/1.1 103 Early Hints\r\nA: 1\r\n" + field + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
			"blanks":  "HTTP/1.1   103 Early Hints\r\n\r\nHTTP/1.1   200 OK\r\nA: 1\r\n" + field + "\r\nContent-Length: 4\r\n\r\nbody",
			"second":  "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n" + field + "\r\nContent-Length: 4\r\n\r\nbody",
			"LF only": "HTTP/1.1 200 OK\nA: 1\n" + field + "\nContent-Length: 4\n\nbody",
			"error":   "HTTP/1.1 503 Service Unavailable\r\nA: 1\r\n" + field + "\r\nContent-Length: 4\r\n\r\nbody",
		} {
			t.Run(name+"/"+headName, func(t *testing.T) {
				status, body, err := NewClient(time.Second).Call(t.Context(), respondTo(t, head), getRequest, 100)
				if err == nil {
					t.Errorf("status %d, body %q", status, body)
				}
			})
		}
	}
}

// Guards against refusing fields that are valid but unusual, and against reading the lines
// of a body as those of a head.
func TestUnusualFieldIsAccepted(t *testing.T) {
	for _, field := range []string{"!#$%&'*+-.^_`|~9aZ: 1", "X-Empty:", "X-Tab: a\tb", "X-Blanks:  \t 1 \t ", "X-Latin: \xe9", "X-Colon: a:b", "x-lower:1"} {
		for _, body := range []string{"  body", ": body", "\t\r\n x : y\r\n\r\n"} {
			is := is.New(t)
			addr := respondTo(t, fmt.Sprintf("HTTP/1.1 103 Early Hints\r\n%s\r\n\r\nHTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s", field, field, len(body), body))
			status, got, err := NewClient(time.Second).Call(t.Context(), addr, getRequest, 100)
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(string(got), body)
		}
	}
}

// Guards against a continuation line that is missed, or found in a body, because the head
// arrives in pieces.
func TestContinuationIsFoundInPieces(t *testing.T) {
	for _, c := range []struct {
		text  string
		found bool
	}{
		{"HTTP/1.1 200 OK\r\nA: 1\r\n 2\r\nContent-Length: 4\r\n\r\nbody", true},
		{"HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n\t2\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\nA: 1\r\n\r\n body\n body", false},
		{"HTTP/1.1 103 Early Hints\nA: 1\n\nHTTP/1.1 200 OK\nA: 1 \n\n\n body", false},
	} {
		for i := range c.text {
			r := &headLimiter{Reader: io.MultiReader(strings.NewReader(c.text[:i]), strings.NewReader(c.text[i:]))}
			_, err := readHead(&conn{reader: bufio.NewReaderSize(r, readBufferBytes), head: r}, http.MethodGet)
			if errors.Is(err, errContinuationLine) != c.found || !c.found && err != nil {
				t.Errorf("%q and %q: %v", c.text[:i], c.text[i:], err)
			}
		}
	}
}

// Guards against a body with the lines of its chunks in it, and against responses of
// versions whose framing is another one.
func TestUnknownFramingIsNoResponse(t *testing.T) {
	for name, response := range map[string]string{
		"chunks in HTTP/1.0":                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"chunks in HTTP/1.0, length":        "HTTP/1.0 200 OK\r\nContent-Length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"chunks in HTTP/1.0, interim first": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\nTRANSFER-ENCODING:chunked\n\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/2.0":                          "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/0.9":                          "HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			status, body, err := NewClient(time.Second).Call(t.Context(), respondTo(t, response), getRequest, 100)
			if err == nil {
				t.Errorf("status %d, body %q", status, body)
			}
		})
	}
	is := is.New(t)
	for _, response := range []string{
		"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.0 200 OK\r\nTransfer: chunked\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		_, body, err := NewClient(time.Second).Call(t.Context(), respondTo(t, response), getRequest, 100)
		is.NoErr(err)
		is.Equal(string(body), "body")
	}
}
