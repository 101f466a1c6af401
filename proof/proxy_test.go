package proof

import (
	"errors"
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
	// mute holds back only what comes from the target.
	mute bool
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
			out.mute = out.mute || l.mute
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
	// The target sees the source's address, so that it can tell senders apart.
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))}
	out, err := dialer.Dial("tcp", p.target)
	if err != nil {
		// A target that is down must look like a reset, not like an orderly end.
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	p.keep(out)
	defer p.drop(out)
	done := make(chan struct{}, 2)
	go p.copy(out, in, false, source, announced, done)
	go p.copy(in, out, true, source, announced, done)
	<-done
}

func (p *proxy) copy(dst, src net.Conn, back bool, source netip.Addr, announced string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		l := p.net.link(source, announced)
		for l.cut || back && l.mute {
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

// reset ends all connections as a lost peer does.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
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

// relay passes datagrams on from its announced address to a process, and the
// answers back. The process sees one address for each source.
type relay struct {
	in     *net.UDPConn
	target *net.UDPAddr
	net    *network

	mu    sync.Mutex
	outs  map[netip.AddrPort]*net.UDPConn
	ended bool
}

// maxDatagram bounds datagrams in bytes.
const maxDatagram = 2048

func startRelay(announced, target string, n *network) (*relay, error) {
	addr, err := net.ResolveUDPAddr("udp", announced)
	if err != nil {
		return nil, err
	}
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	in, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, err
	}
	r := &relay{in: in, target: to, net: n, outs: make(map[netip.AddrPort]*net.UDPConn)}
	go r.run()
	return r, nil
}

func (r *relay) close() {
	_ = r.in.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for _, out := range r.outs {
		_ = out.Close()
	}
}

func (r *relay) run() {
	buf := make([]byte, maxDatagram)
	announced := r.in.LocalAddr().String()
	for {
		n, source, err := r.in.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if r.net.link(source.Addr().Unmap(), announced).cut {
			continue
		}
		if out := r.out(source, announced); out != nil {
			_, _ = out.Write(buf[:n]) // lost, as datagrams may be
		}
	}
}

func (r *relay) out(source netip.AddrPort, announced string) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if out := r.outs[source]; out != nil || r.ended {
		return out
	}
	out, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	r.outs[source] = out
	go func() {
		buf := make([]byte, maxDatagram)
		for {
			n, err := out.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if l := r.net.link(source.Addr().Unmap(), announced); err == nil && !l.cut && !l.mute {
				_, _ = r.in.WriteToUDPAddrPort(buf[:n], source) // lost, as datagrams may be
			}
		}
	}()
	return out
}
