package httpguard

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against bytes after a malformed head that are taken for the response to the next
// request on a kept connection.
func TestMalformedHeadEndsTheConnection(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, malformed := range map[string]string{
		"status":      "HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n",
		"field name":  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTransfer-Encoding : chunked\r\n\r\n",
		"with a body": "HTTP/1.1 600 High\r\nContent-Length: 4\r\n\r\nbody",
		"protocols":   "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			var connections atomic.Int32
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					connections.Add(1)
					go func() {
						defer func() { _ = c.Close() }()
						br := bufio.NewReader(c)
						for text := sound; ; text = malformed {
							if _, err := http.ReadRequest(br); err != nil {
								return
							}
							_, _ = io.WriteString(c, text)
						}
					}()
				}
			}()
			client := &http.Client{Transport: NewTransport(nil)}
			defer client.CloseIdleConnections()
			get := func() (string, error) {
				resp, err := client.Get("http://" + ln.Addr().String())
				if err != nil {
					return "", err
				}
				defer func() { _ = resp.Body.Close() }()
				b, err := io.ReadAll(resp.Body)
				return string(b), err
			}
			for range 3 {
				body, err := get()
				is.NoErr(err)
				is.Equal(body, "ok")
				_, err = get()
				is.True(errors.Is(err, ErrMalformedHead))
			}
			is.Equal(connections.Load(), int32(3))
		})
	}
}
