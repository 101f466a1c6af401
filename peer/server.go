package peer

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/go-logr/logr"

	"github.com/wasabinotch/wasabinotch/logs"
)

// rejectionsPerSecond and rejectionBurst bound the log lines about rejected connections,
// which anyone can open.
const (
	rejectionsPerSecond = 5
	rejectionBurst      = 20
)

// Server serves net/rpc to authenticated peers.
type Server struct {
	key []byte
	rpc *rpc.Server
	log logr.Logger

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server without services. Register must be called before Serve.
func NewServer(key []byte, log logr.Logger) *Server {
	return &Server{key: key, rpc: rpc.NewServer(), log: logs.Limit(log, rejectionsPerSecond, rejectionBurst), conns: make(map[net.Conn]struct{})}
}

// Register makes the methods of receiver callable under the service name.
func (s *Server) Register(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// Serve accepts connections until ln is closed.
func (s *Server) Serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

// Close closes all connections and makes the server reject new ones. It does not close
// the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// boundedConn is a connection that may be closed for another one until Busy is called, as
// package limits does.
type boundedConn interface{ Busy() bool }

func (s *Server) serveConn(accepted net.Conn) {
	c := &framedConn{Conn: countedConn{accepted}}
	defer func() { _ = c.Close() }()
	if err := acceptHandshake(c.Conn, s.key); err != nil {
		s.log.Info("Incoming connection rejected.", "from", c.RemoteAddr().String(), "reason", err.Error())
		return
	}
	if !s.track(c) {
		return
	}
	defer s.untrack(c)
	if bounded, ok := accepted.(boundedConn); ok && !bounded.Busy() {
		return
	}
	s.rpc.ServeConn(c)
}

// track registers a connection for Close. It returns false if the server is closed.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
