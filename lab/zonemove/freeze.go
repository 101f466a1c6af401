package zonemove

import (
	"io"
	"net"
	"sync"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/wire"
)

// switchable blocks callers of wait while it is frozen.
type switchable struct {
	mu     sync.Mutex
	thawed *sync.Cond
	frozen bool
}

func newSwitchable() *switchable {
	s := &switchable{}
	s.thawed = sync.NewCond(&s.mu)
	return s
}

func (s *switchable) set(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = frozen
	s.thawed.Broadcast()
}

func (s *switchable) wait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.frozen {
		s.thawed.Wait()
	}
}

// load wraps a load source. The control goroutine calls it for each report, so
// that a frozen source stops that goroutine, and with it reports, confirmations
// and answers to notifications.
func (s *switchable) load(source func() wire.Load) func() wire.Load {
	return func() wire.Load {
		s.wait()
		return source()
	}
}

// forwarder passes connections on to another address. While frozen, connections
// are accepted and bytes are kept, as for a stopped process.
type forwarder struct {
	ln net.Listener
	to string
	sw *switchable

	mu    sync.Mutex
	conns []net.Conn
}

func forward(from, to string, sw *switchable) (*forwarder, error) {
	ln, err := net.Listen("tcp", from)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f := &forwarder{ln: ln, to: to, sw: sw}
	go f.serve()
	return f, nil
}

func (f *forwarder) serve() {
	for {
		in, err := f.ln.Accept()
		if err != nil {
			return
		}
		go f.connect(in)
	}
}

func (f *forwarder) connect(in net.Conn) {
	f.sw.wait()
	out, err := net.Dial("tcp", f.to)
	if err != nil {
		_ = in.Close()
		return
	}
	f.mu.Lock()
	f.conns = append(f.conns, in, out)
	f.mu.Unlock()
	go f.copy(out, in)
	f.copy(in, out)
}

func (f *forwarder) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		f.sw.wait()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return // io.EOF included
		}
	}
}

// Close ends the listener and all connections.
func (f *forwarder) Close() error {
	err := f.ln.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
	return err
}

var _ io.Closer = (*forwarder)(nil)
