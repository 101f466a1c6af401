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
	// headerTimeout and idleTimeout hold where no configuration says otherwise.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
)

// newServer returns a server. What callers do wrong isn't logged line by line.
func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: log.New(io.Discard, "", 0)}
}

// serve answers on a listener until the server is closed.
func serve(s *http.Server, ln net.Listener, l logr.Logger) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		l.Error(err, "Listener ended.", "address", ln.Addr().String())
	}
}
