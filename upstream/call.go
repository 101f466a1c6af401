package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is one request.
type Request struct {
	Method string
	// Target is the request target as it is sent.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Error is a call without a usable answer.
type Error struct {
	Addr string
	// Sent reports whether the other side may have got the request.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if !e.Sent {
		return fmt.Sprintf("%s: not sent: %v; another endpoint may be tried", e.Addr, e.Err)
	}
	return fmt.Sprintf("%s: no answer: %v; the request may have run", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether err says that no byte of the request was sent.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

// Response is an answer whose body is still to be read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it isn't known.
	Length int64
	body   io.ReadCloser
	client *Client
	addr   string
	conn   *conn
	stop   func() bool
	wrote  *writer
	idle   time.Duration
	whole  bool
	once   sync.Once
}

// writer sends a request body beside the reading of the answer.
type writer struct {
	done chan struct{}
	err  error
}

// Do sends a request and reads the headers of its answer. The end of ctx breaks
// the connection, also while the body is read.
func (c *Client) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	conn, err := c.take(ctx, addr)
	if err != nil {
		return nil, &Error{Addr: addr, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) }) // unblocks reads and writes
	head := requestHead(req)
	w := &writer{done: make(chan struct{})}
	if len(req.Body) <= inlineBody {
		_, w.err = conn.Write(append(head, req.Body...))
		close(w.done)
		if w.err != nil {
			stop()
			c.discard(addr, conn)
			return nil, &Error{Addr: addr, Sent: true, Err: w.err}
		}
	} else {
		go func() {
			defer close(w.done)
			if _, w.err = conn.Write(head); w.err == nil {
				_, w.err = conn.Write(req.Body)
			}
		}()
	}
	parsed, err := readHead(conn, req.Method)
	if err != nil {
		stop()
		c.discard(addr, conn)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{Addr: addr, Sent: true, Err: err}
	}
	return &Response{
		Status: parsed.StatusCode, Header: parsed.Header, Length: parsed.ContentLength, body: parsed.Body,
		client: c, addr: addr, conn: conn, stop: stop, wrote: w, idle: idleTime(parsed),
	}, nil
}

// inlineBody is the largest body in bytes that is sent before the answer is
// read; it fits the smallest socket buffers.
const inlineBody = 16 << 10

func requestHead(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(req.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the headers of the final answer and skips interim ones.
func readHead(conn *conn, method string) (*http.Response, error) {
	for {
		parsed, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if parsed.StatusCode >= 200 {
			return parsed, nil
		}
		if parsed.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the server switched protocols")
		}
	}
}

// idleTime returns how long the server keeps the connection open, 0 if it closes it.
func idleTime(r *http.Response) time.Duration {
	if r.Close {
		return 0
	}
	for _, part := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if s, err := strconv.Atoi(value); err == nil {
				return time.Duration(s)*time.Second - idleMargin
			}
		}
	}
	return defaultIdle
}

// Read reads the body. io.EOF means that the body is whole.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// Close ends the call. The connection is kept only if the whole request was
// sent and the whole answer read.
func (r *Response) Close() {
	r.once.Do(func() {
		sent := false
		select {
		case <-r.wrote.done:
			sent = r.wrote.err == nil
		default:
		}
		if r.stop() && r.whole && sent {
			r.client.keep(r.addr, r.conn, r.idle)
			return
		}
		r.client.discard(r.addr, r.conn)
	})
}

// ReadAll reads the whole body, up to limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(b)) > limit {
		return b, fmt.Errorf("%s: the answer is longer than %d bytes", r.addr, limit)
	}
	return b, err
}

// Call makes one call and returns its whole answer.
func (c *Client) Call(ctx context.Context, addr string, req *Request, limit int64) (status int, body []byte, err error) {
	resp, err := c.Do(ctx, addr, req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Close()
	body, err = resp.ReadAll(limit)
	if err != nil {
		return resp.Status, nil, &Error{Addr: addr, Sent: true, Err: err}
	}
	return resp.Status, body, nil
}
