// Package simhttp is the HTTP server of the lab's simulators. It can be
// stopped, so that connections are refused, and started again on the same
// address.
package simhttp

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Rebinding is retried because another socket can hold the port for a short
// time.
const (
	rebindAttempts = 100
	rebindInterval = 20 * time.Millisecond
)

// Server serves one handler on one address. It can be stopped and started
// again.
type Server struct {
	handler http.Handler
	addr    string

	mu         sync.Mutex
	httpServer *http.Server // nil while stopped
	closed     bool
}

// Listen starts a server on addr (IP:port, port 0 for any free port).
func Listen(addr string, h http.Handler) (*Server, error) {
	s := &Server{handler: h, addr: addr}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.addr = ln.Addr().String()
	s.serve(ln)
	return s, nil
}

// Addr returns the IP:port of the server; it stays the same across Stop and
// Start.
func (s *Server) Addr() string { return s.addr }

// Stop closes the listener and every connection. It does not wait for
// handlers.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer != nil {
		_ = s.httpServer.Close()
		s.httpServer = nil
	}
}

// Start listens again after Stop. It does nothing if the server is running or
// closed.
func (s *Server) Start() error {
	var err error
	for range rebindAttempts {
		if err = s.tryStart(); err == nil {
			return nil
		}
		time.Sleep(rebindInterval)
	}
	return trace.Wrap(err)
}

// Close stops the server; Start has no effect afterwards.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Stop()
}

func (s *Server) tryStart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer != nil || s.closed {
		return nil
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.serve(ln)
	return nil
}

func (s *Server) serve(ln net.Listener) {
	s.httpServer = &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute}
	go func(srv *http.Server) { _ = srv.Serve(ln) }(s.httpServer)
}

// AbortConnection closes the connection of a request without a response.
func AbortConnection(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.Close()
	}
}

// WriteJSON writes v as the response with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the connection is closed
}

// ReadJSON decodes the request body into v. If that fails, it responds with
// status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	const maxBodyBytes = 4 << 20
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	err := json.NewDecoder(body).Decode(v)
	// net/http detects a client disconnect only after the body has been read to
	// its end.
	_, _ = io.Copy(io.Discard, body)
	if err != nil {
		http.Error(w, "body is not the expected JSON: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
