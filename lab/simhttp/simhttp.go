// Package simhttp is the HTTP server under the stand-ins. It can go down, so
// that connections are refused, and come up again on the same address.
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

// Rebinding is retried because another socket can hold the port for a moment.
const (
	rebindAttempts = 100
	rebindPause    = 20 * time.Millisecond
)

// Server serves one handler on one address.
type Server struct {
	handler http.Handler
	addr    string

	mu     sync.Mutex
	srv    *http.Server // nil while down
	closed bool
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

// Addr returns the IP:port of the server; it stays the same across Down and Up.
func (s *Server) Addr() string { return s.addr }

// Stop closes the listener and every connection.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.srv != nil {
		_ = s.srv.Close()
		s.srv = nil
	}
}

// Start listens again after Down. It does nothing if the server is up or closed.
func (s *Server) Start() error {
	var err error
	for range rebindAttempts {
		if err = s.tryUp(); err == nil {
			return nil
		}
		time.Sleep(rebindPause)
	}
	return trace.Wrap(err)
}

// Close stops the server for good.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Stop()
}

func (s *Server) tryUp() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.srv != nil || s.closed {
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
	s.srv = &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute}
	go func(srv *http.Server) { _ = srv.Serve(ln) }(s.srv)
}

// AbortConnection closes the connection of a request without an answer.
func AbortConnection(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.Close()
	}
}

// WriteJSON writes v as the answer with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the connection is gone if this fails
}

// ReadJSON decodes the request body into v; a failure is answered with 400.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	const maxBodyBytes = 4 << 20
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	err := json.NewDecoder(body).Decode(v)
	// net/http notices a lost caller only once the body has been read to its end.
	_, _ = io.Copy(io.Discard, body)
	if err != nil {
		http.Error(w, "body is not the expected JSON: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
