package proof

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkFault is a fault of the traffic between one source and one target.
type linkFault struct {
	// blocked stops the traffic in both directions, as if the network dropped all
	// packets: the bytes of connections wait until the fault ends, datagrams are
	// lost.
	blocked bool
	// repliesBlocked does the same for the direction from the target to the source
	// only.
	repliesBlocked bool
	// delay is added to each chunk of a connection, in both directions; it does
	// not apply to datagrams.
	delay time.Duration
}

// linkRules are the link faults in force, by source and announced target address
// (IP:port).
type linkRules struct {
	mu    sync.Mutex
	rules []func(source netip.Addr, target string) (linkFault, bool)
}

// add appends a rule and returns a function that removes it.
func (r *linkRules) add(rule func(source netip.Addr, target string) (linkFault, bool)) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules = append(r.rules, rule)
	at := len(r.rules) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.rules[at] = func(netip.Addr, string) (linkFault, bool) { return linkFault{}, false }
	}
}

// faultBetween returns all faults of a link combined, with the longest delay.
func (r *linkRules) faultBetween(source netip.Addr, target string) linkFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	var combined linkFault
	for _, rule := range r.rules {
		if fault, ok := rule(source, target); ok {
			combined.blocked = combined.blocked || fault.blocked
			combined.repliesBlocked = combined.repliesBlocked || fault.repliesBlocked
			combined.delay = max(combined.delay, fault.delay)
		}
	}
	return combined
}

// proxy forwards connections from its announced address to the address that
// the process binds, with the link faults in force. It identifies the sending
// node by the source address.
type proxy struct {
	ln     net.Listener
	target string
	rules  *linkRules

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func startProxy(announced, target string, rules *linkRules) (*proxy, error) {
	ln, err := net.Listen("tcp", announced)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, rules: rules, conns: make(map[net.Conn]struct{})}
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

// blockedPollInterval is the interval at which a blocked connection checks whether
// its fault has ended.
const blockedPollInterval = 10 * time.Millisecond

func (p *proxy) serve(in net.Conn) {
	p.track(in)
	defer p.closeConn(in)
	source := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	announced := p.ln.Addr().String()
	for p.rules.faultBetween(source, announced).blocked {
		if !p.tracked(in) {
			return
		}
		time.Sleep(blockedPollInterval)
	}
	// The proxy connects from the source's IP address, so that the target can
	// identify the sender.
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))}
	out, err := dialer.Dial("tcp", p.target)
	if err != nil {
		// The source must see a reset, not a regular end of the stream, if the
		// target is down.
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	p.track(out)
	defer p.closeConn(out)
	done := make(chan struct{}, 2)
	go p.copyStream(out, in, false, source, announced, done)
	go p.copyStream(in, out, true, source, announced, done)
	<-done // the end of either direction closes both connections
}

// copyStream forwards one direction of a connection; fromTarget is set for the
// direction from the target to the source.
func (p *proxy) copyStream(dst, src net.Conn, fromTarget bool, source netip.Addr, announced string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		l := p.rules.faultBetween(source, announced)
		for l.blocked || fromTarget && l.repliesBlocked {
			if !p.tracked(src) {
				return
			}
			time.Sleep(blockedPollInterval)
			l = p.rules.faultBetween(source, announced)
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
				_ = dst.(*net.TCPConn).SetLinger(0) // closing resets dst too
			}
			return
		}
	}
}

// resetConnections ends all connections with a TCP reset, as after a crash of the
// peer.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *proxy) tracked(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.conns[c]
	return ok
}

func (p *proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

// datagramRelay forwards datagrams from its announced address to a process, and the
// process's datagrams back. The process receives the datagrams of each source from
// a different port of the relay.
type datagramRelay struct {
	conn   *net.UDPConn
	target *net.UDPAddr
	rules  *linkRules

	mu          sync.Mutex
	targetConns map[netip.AddrPort]*net.UDPConn
	closed      bool
}

// maxDatagram is the longest datagram that is forwarded whole, in bytes.
const maxDatagram = 2048

func startDatagramRelay(announced, target string, rules *linkRules) (*datagramRelay, error) {
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
	r := &datagramRelay{conn: in, target: to, rules: rules, targetConns: make(map[netip.AddrPort]*net.UDPConn)}
	go r.run()
	return r, nil
}

func (r *datagramRelay) close() {
	_ = r.conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, out := range r.targetConns {
		_ = out.Close()
	}
}

func (r *datagramRelay) run() {
	buf := make([]byte, maxDatagram)
	announced := r.conn.LocalAddr().String()
	for {
		n, source, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if r.rules.faultBetween(source.Addr().Unmap(), announced).blocked {
			continue
		}
		if out := r.targetConn(source, announced); out != nil {
			_, _ = out.Write(buf[:n]) // datagrams may be lost
		}
	}
}

func (r *datagramRelay) targetConn(source netip.AddrPort, announced string) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if out := r.targetConns[source]; out != nil || r.closed {
		return out
	}
	out, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	r.targetConns[source] = out
	go func() {
		buf := make([]byte, maxDatagram)
		for {
			n, err := out.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if l := r.rules.faultBetween(source.Addr().Unmap(), announced); err == nil && !l.blocked && !l.repliesBlocked {
				_, _ = r.conn.WriteToUDPAddrPort(buf[:n], source) // datagrams may be lost
			}
		}
	}()
	return out
}
