package crowd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// giveUp is how long an ordinary client tries; no machine should need as long.
	giveUp = 30 * time.Second
	// attemptTimeout ends an attempt without a response.
	attemptTimeout = 10 * time.Second
	// quiet is the time without a byte sent by the crowd after which it has settled.
	quiet = time.Second
	// settleTimeout ends the wait for a crowd that sends on.
	settleTimeout = 30 * time.Second
)

func discard(r io.Reader) (int64, error) { return io.Copy(io.Discard, r) }

func listen(addr string, h http.Handler) (*http.Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(ln) }()
	return s, nil
}

// awaitAnswer repeats an ordinary request until it is answered.
func (p *process) awaitAnswer(what string, ask func() error) {
	p.t.Helper()
	var err error
	for began := time.Now(); time.Since(began) < giveUp; time.Sleep(100 * time.Millisecond) {
		if err = ask(); err == nil {
			return
		}
		select {
		case <-p.exited:
			p.t.Fatalf("the process ended while a client waited for %s: %v\n%s", what, p.cmd.ProcessState, p.logTail())
		default:
		}
	}
	p.t.Fatalf("no answer to %s; last error: %v\n%s", what, err, p.logTail())
}

// send makes one request on a new connection and returns the body of a response with
// status 200.
func (p *process) send(method string, port int, path string, header http.Header, body []byte) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.addr(port)+path, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Host = "crowd.example"
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return string(b), err
}

// lookup sends an ordinary request with a body of size bytes.
func (p *process) lookup(size int) error {
	p.requests++
	header := http.Header{"Request-Id": {fmt.Sprintf("ordinary-%d", p.requests)}, "Authorization": {"Bearer " + apiKey}}
	body, err := p.send(http.MethodPost, portCallers, "/lookup/x", header, make([]byte, size))
	if want := fmt.Sprintf("received %d bytes", size); err == nil && body != want {
		err = errors.New("the response is " + body)
	}
	return err
}

func (p *process) get(port int, path string) error {
	_, err := p.send(http.MethodGet, port, path, nil, nil)
	return err
}

// askRank sends an ordinary call of a coordinator to an agent.
func (p *process) askRank() error {
	_, err := p.send(http.MethodPost, portAgent, wire.PathRank, nil, []byte(`{"kind":"report"}`))
	return err
}

// crowd is a number of open connections.
type crowd struct {
	conns   []net.Conn
	sending sync.WaitGroup
	sent    atomic.Int64
}

// gather opens n connections and calls send on each, in parallel. It returns when all
// have sent what they want, or none sends any more; the connections stay open.
func (p *process) gather(n, port int, send func(i int, w io.Writer) error) *crowd {
	p.t.Helper()
	c := &crowd{}
	for i := range n {
		conn, err := net.DialTimeout("tcp", p.addr(port), settleTimeout)
		if err != nil {
			break // the listener's queue is full
		}
		c.conns = append(c.conns, conn)
		c.sending.Go(func() { _ = send(i, countedWriter{conn, &c.sent}) }) // ends when the process closes the connection, or when the crowd leaves
	}
	p.settle(c)
	return c
}

type countedWriter struct {
	io.Writer
	sent *atomic.Int64
}

// Write implements io.Writer.
func (w countedWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	w.sent.Add(int64(n))
	return n, err
}

func (p *process) settle(c *crowd) {
	last, since := int64(-1), time.Now()
	for began := time.Now(); time.Since(began) < settleTimeout; time.Sleep(10 * time.Millisecond) {
		if n := c.sent.Load(); n != last {
			last, since = n, time.Now()
		}
		if time.Since(since) > quiet {
			return
		}
	}
}

// leave closes the connections.
func (c *crowd) leave() {
	for _, conn := range c.conns {
		_ = conn.Close() // its peer may have closed it
	}
	c.sending.Wait()
}

// crowdHead returns the head of a request of the crowd, without the empty line that
// ends it.
func crowdHead(i int, method, path string, header ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: crowd.example\r\nRequest-Id: crowd-%d\r\nAuthorization: Bearer %s\r\n%s", method, path, i, apiKey,
		strings.Join(append(header, ""), "\r\n"))
}

// withLength sends a body of length bytes in pieces, and stops before the last missing
// ones. It is a JSON string without an end, which a decoder must keep.
func withLength(path string, length, missing, piece int) func(int, io.Writer) error {
	return func(i int, w io.Writer) error {
		if _, err := io.WriteString(w, crowdHead(i, http.MethodPost, path, fmt.Sprintf("Content-Length: %d", length))+"\r\n"); err != nil {
			return err
		}
		return repeat(w, []byte{'"'}, bytes.Repeat([]byte{'x'}, piece), length-missing)
	}
}

// repeat writes first and then piece until total bytes are written.
func repeat(w io.Writer, first, piece []byte, total int) error {
	for b := first; total > 0; b = piece {
		n, err := w.Write(b[:min(len(b), total)])
		if total -= n; err != nil {
			return err
		}
	}
	return nil
}

// inChunks sends total bytes in chunks and doesn't end the body.
func inChunks(path string, chunk, total int) func(int, io.Writer) error {
	return func(i int, w io.Writer) error {
		if _, err := io.WriteString(w, crowdHead(i, http.MethodPost, path, "Transfer-Encoding: chunked")+"\r\n"); err != nil {
			return err
		}
		// As in withLength.
		one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
		writes := strings.Repeat(one, max(1, 64<<10/len(one))) // of about 64 KiB
		return repeat(w, []byte("1\r\n\"\r\n"), []byte(writes), total/chunk*len(one))
	}
}

// halfHead sends short header lines, size bytes in all, and doesn't end the head.
func halfHead(method, path string, size int) func(int, io.Writer) error {
	return func(i int, w io.Writer) error {
		var b strings.Builder
		b.WriteString(crowdHead(i, method, path))
		for n := 0; b.Len() < size; n++ {
			fmt.Fprintf(&b, "h%d:\r\n", n)
		}
		_, err := io.WriteString(w, b.String())
		return err
	}
}

// silent sends nothing.
func silent(int, io.Writer) error { return nil }

// unread sends whole requests and reads no response.
func unread(method, path string, count int, header ...string) func(int, io.Writer) error {
	return func(i int, w io.Writer) error {
		for n := range count {
			if _, err := io.WriteString(w, crowdHead(i*count+n, method, path, append(header, "Content-Length: 0")...)+"\r\n"); err != nil {
				return err
			}
		}
		return nil
	}
}
