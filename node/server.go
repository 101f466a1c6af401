package node

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
)

const (
	// defaultHeaderTimeout and idleTimeout hold where no configuration says otherwise.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// newServer returns a server. What callers do wrong isn't logged line by line.
func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, ErrorLog: log.New(io.Discard, "", 0)}
}

// serve answers on a listener until the server is closed.
func serve(s *http.Server, ln net.Listener, l logr.Logger) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		l.Error(err, "Listener ended.", "address", ln.Addr().String())
	}
}
