// Package rawhttp simulates HTTP servers whose responses are any bytes, valid or not.
package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Serve answers the first request of each connection to ln with text and closes the
// connection, until ln is closed.
func Serve(ln net.Listener, text string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go respond(c, text)
	}
}

// respond ignores errors: the client sees that it gets no response.
func respond(c net.Conn, text string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, text)
}
