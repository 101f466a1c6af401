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
	// defaultHeaderTimeout and defaultIdleTimeout apply unless the configuration
	// sets other values.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// newServer returns an HTTP server. It discards net/http's log lines, most of
// which report callers' protocol errors.
func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, ErrorLog: log.New(io.Discard, "", 0)}
}

// serve accepts connections from ln until the server is closed.
func serve(s *http.Server, ln net.Listener, l logr.Logger) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		l.Error(err, "Listener failed.", "address", ln.Addr().String())
	}
}
