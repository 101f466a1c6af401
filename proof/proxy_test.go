package proof

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// link is what a proxy does to the traffic from one source to its target.
type link struct {
	// cut holds all bytes back, as a network that drops packets does.
	cut bool
	// delay is added to each chunk.
	delay time.Duration
}

// network decides on the link between a source and a target address.
type network struct {
	mu    sync.Mutex
	rules []func(source netip.Addr, target string) (link, bool)
}

// add appends a rule and returns a function that removes it.
func (n *network) add(rule func(source netip.Addr, target string) (link, bool)) func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules = append(n.rules, rule)
	at := len(n.rules) - 1
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.rules[at] = func(netip.Addr, string) (link, bool) { return link{}, false }
	}
}

func (n *network) link(source netip.Addr, target string) link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out link
	for _, rule := range n.rules {
		if l, ok := rule(source, target); ok {
			out.cut = out.cut || l.cut
			out.delay = max(out.delay, l.delay)
		}
	}
	return out
}

// proxy forwards connections from its announced address to the address that
// the process binds. Source addresses tell the nodes apart.
type proxy struct {
	ln     net.Listener
	target string
	net    *network

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func startProxy(announced, target string, n *network) (*proxy, error) {
	ln, err := net.Listen("tcp", announced)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, net: n, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// cutPoll is how often a held connection looks whether its link is open again.
const cutPoll = 10 * time.Millisecond

func (p *proxy) serve(in net.Conn) {
	p.keep(in)
	defer p.drop(in)
	source := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	announced := p.ln.Addr().String()
	for p.net.link(source, announced).cut {
		if !p.kept(in) {
			return
		}
		time.Sleep(cutPoll)
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		// A target that is down must look like a reset, not like an orderly end.
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	p.keep(out)
	defer p.drop(out)
	done := make(chan struct{}, 2)
	go p.copy(out, in, source, announced, done)
	go p.copy(in, out, source, announced, done)
	<-done
}

func (p *proxy) copy(dst, src net.Conn, source netip.Addr, announced string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		l := p.net.link(source, announced)
		for l.cut {
			if !p.kept(src) {
				return
			}
			time.Sleep(cutPoll)
			l = p.net.link(source, announced)
		}
		if l.delay > 0 {
			time.Sleep(l.delay)
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = dst.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

func (p *proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *proxy) kept(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.conns[c]
	return ok
}

func (p *proxy) drop(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}
