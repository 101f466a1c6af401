package zonemove

import (
	"io"
	"net"
	"sync"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/wire"
)

// freezer blocks the callers of waitWhileFrozen while it is frozen. It simulates a
// process that is stopped for a time.
type freezer struct {
	mu     sync.Mutex
	thawed *sync.Cond
	frozen bool
}

func newFreezer() *freezer {
	f := &freezer{}
	f.thawed = sync.NewCond(&f.mu)
	return f
}

func (f *freezer) setFrozen(frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen = frozen
	f.thawed.Broadcast()
}

func (f *freezer) waitWhileFrozen() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.frozen {
		f.thawed.Wait()
	}
}

// freezableLoad wraps the function that returns an agent's load, so that it blocks
// while frozen. The agent's control goroutine calls it for each report; while it is
// blocked, the agent sends no reports, confirms no configuration and does not reply
// to notifications.
func (f *freezer) freezableLoad(source func() wire.Load) func() wire.Load {
	return func() wire.Load {
		f.waitWhileFrozen()
		return source()
	}
}

// forwarder forwards TCP connections to another address. While frozen, it accepts
// connections and holds back their bytes, as the kernel does for a stopped process.
type forwarder struct {
	ln      net.Listener
	target  string
	freezer *freezer

	mu    sync.Mutex
	conns []net.Conn
}

// forward starts a forwarder that listens on from.
func forward(from, to string, fr *freezer) (*forwarder, error) {
	ln, err := net.Listen("tcp", from)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f := &forwarder{ln: ln, target: to, freezer: fr}
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
	f.freezer.waitWhileFrozen()
	out, err := net.Dial("tcp", f.target)
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
		f.freezer.waitWhileFrozen()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return // the connection was closed or is at io.EOF
		}
	}
}

// Close closes the listener and all connections.
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
