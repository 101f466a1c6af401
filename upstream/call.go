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

	"github.com/wasabinotch/wasabinotch/httpguard"
)

// Request is an HTTP request with its complete body.
type Request struct {
	Method string
	// Target is the request target as it appears in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Rest holds further parts of the body after Body.
	Rest [][]byte
}

// bodyLen returns the length of the body in bytes.
func (r *Request) bodyLen() int {
	n := len(r.Body)
	for _, b := range r.Rest {
		n += len(b)
	}
	return n
}

// writeBody writes the body after its head.
func (r *Request) writeBody(w io.Writer, head []byte) error {
	if _, err := w.Write(head); err != nil {
		return err
	}
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	for _, b := range r.Rest {
		if _, err := w.Write(b); err != nil {
			return err
		}
	}
	return nil
}

// Error is the error of a call without a usable response.
type Error struct {
	Addr string
	// Sent reports whether the server may have received the request.
	Sent bool
	Err  error
}

// Error implements error. Package explain looks for the words "not sent" in the log.
func (e *Error) Error() string {
	if !e.Sent {
		return fmt.Sprintf("%s: not sent: %v; another endpoint may be tried", e.Addr, e.Err)
	}
	return fmt.Sprintf("%s: no response: %v; the request may have run", e.Addr, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether err says that no byte of the request was sent.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

// Response is a response whose body is still to be read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// Unframed is set if the body has neither a length nor chunks and ends with its
	// connection, even if the server has failed.
	Unframed    bool
	body        io.ReadCloser
	client      *Client
	addr        string
	conn        *conn
	stopCancel  func() bool
	bodyWrite   *bodyWrite
	idleTimeout time.Duration
	complete    bool
	closeOnce   sync.Once
}

// bodyWrite is the result of sending a request, which for large bodies
// happens while the response is read. err is valid once done is closed.
type bodyWrite struct {
	done chan struct{}
	err  error
}

// Do sends a request and reads the headers of its response. When ctx ends, reads
// and writes on the connection fail, also while the body is read. Errors are of
// type *Error.
func (c *Client) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	conn, err := c.acquire(ctx, addr)
	if err != nil {
		return nil, &Error{Addr: addr, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) }) // unblocks reads and writes
	head := requestHead(req)
	w := &bodyWrite{done: make(chan struct{})}
	if req.bodyLen() <= maxInlineBody {
		head = append(head, req.Body...)
		for _, b := range req.Rest {
			head = append(head, b...)
		}
		_, w.err = conn.Write(head)
		close(w.done)
		if w.err != nil {
			stop()
			c.discard(addr, conn)
			return nil, &Error{Addr: addr, Sent: true, Err: w.err}
		}
	} else {
		go func() {
			defer close(w.done)
			w.err = req.writeBody(conn, head)
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
		Unframed: parsed.ContentLength < 0 && len(parsed.TransferEncoding) == 0,
		client:   c, addr: addr, conn: conn, stopCancel: stop, bodyWrite: w, idleTimeout: idleTimeout(parsed),
	}, nil
}

// maxInlineBody is the size in bytes of the largest body that is sent before
// the response is read; it fits the smallest socket buffers.
const maxInlineBody = 16 << 10

// requestHead returns the request line and the headers.
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
	if n := req.bodyLen(); n > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", n)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the headers of the final response and skips interim ones.
func readHead(conn *conn, method string) (*http.Response, error) {
	conn.head.start()
	defer conn.head.stop()
	for {
		parsed, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		switch {
		case conn.head.exceeded:
			return nil, errHeadTooLong // err may be that of the line that was cut
		case err != nil:
			return nil, err
		}
		if err := httpguard.CheckHead(parsed); err != nil {
			return nil, err
		}
		// The reader was empty when the call began, see release.
		parsedBytes := len(conn.head.kept) - conn.reader.Buffered()
		if err := checkLines(conn.head.kept[:parsedBytes], parsed); err != nil {
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

var (
	// errContinuationLine means that a line of the head continues the one before it.
	// Package net/http joins the two, so a value would not be the one that the server
	// named. RFC 9112, section 5.2, lets a proxy refuse such a response.
	errContinuationLine = fmt.Errorf("%w: a line begins with a blank", httpguard.ErrMalformedHead)
	// errUnknownFraming means that a response of HTTP/1.0 has a transfer encoding. Package
	// net/http ignores it, so the lines of chunks would count as the body. RFC 9112, section
	// 6.1, calls the framing of such a response faulty.
	errUnknownFraming = fmt.Errorf("%w: a transfer encoding in HTTP/1.0", httpguard.ErrMalformedHead)
)

var transferEncoding = []byte("transfer-encoding:")

// checkLines checks in the bytes of a head what can't be seen any more once it is parsed.
func checkLines(head []byte, parsed *http.Response) error {
	for line := range bytes.Lines(head) {
		switch {
		case line[0] == ' ', line[0] == '\t':
			return errContinuationLine
		case !parsed.ProtoAtLeast(1, 1) && bytes.HasPrefix(bytes.ToLower(line), transferEncoding):
			return errUnknownFraming
		}
	}
	return nil
}

// idleTimeout returns how long the connection may be kept idle before the
// server closes it, 0 if the server closes it after this response.
func idleTimeout(r *http.Response) time.Duration {
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
	return defaultIdleTimeout
}

// Read reads the body. io.EOF means that the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Close ends the call. The connection is reused only if the whole request was
// sent and the complete response was read; otherwise it is reset.
func (r *Response) Close() {
	r.closeOnce.Do(func() {
		requestSent := false
		select {
		case <-r.bodyWrite.done:
			requestSent = r.bodyWrite.err == nil
		default:
		}
		if r.stopCancel() && r.complete && requestSent {
			r.client.release(r.addr, r.conn, r.idleTimeout)
			return
		}
		r.client.discard(r.addr, r.conn)
	})
}

// ErrTooLong means that a response body is longer than its reader's limit.
var ErrTooLong = errors.New("the response body is too long; ask for less, or raise the limit")

// readAllBytes is the size of the first read of a body of unknown length.
const readAllBytes = 4 << 10

// ReadAll reads the whole body, in memory of at most its announced length, or twice what
// arrived if the length is unknown. If it is longer than limit bytes, ReadAll returns the
// first limit+1 bytes and an error.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	size := int64(readAllBytes)
	if r.Length >= 0 {
		size = min(r.Length, limit) + 1 // one byte more, to find the end
	}
	b, err := readAll(r, make([]byte, 0, size), limit+1)
	if err == nil && int64(len(b)) > limit {
		return b, fmt.Errorf("%s: %w: over %d bytes", r.addr, ErrTooLong, limit)
	}
	return b, err
}

// readAll appends to b what r has until its end, up to limit bytes. The end is no error.
func readAll(r io.Reader, b []byte, limit int64) ([]byte, error) {
	for int64(len(b)) < limit {
		if len(b) == cap(b) {
			b = append(make([]byte, 0, min(2*int64(cap(b)), limit)), b...)
		}
		n, err := r.Read(b[len(b):min(int64(cap(b)), limit)])
		b = b[:len(b)+n]
		switch err {
		case nil:
		case io.EOF:
			return b, nil
		default:
			return b, err
		}
	}
	return b, nil
}

// Call makes one call and returns the status and the complete body of its
// response, which may have at most limit bytes.
func (c *Client) Call(ctx context.Context, addr string, req *Request, limit int64) (status int, body []byte, err error) {
	status, _, body, err = c.CallHeader(ctx, addr, req, limit)
	return status, body, err
}

// CallHeader is Call with the header of the response, which is nil if there was none.
func (c *Client) CallHeader(ctx context.Context, addr string, req *Request, limit int64) (status int, header http.Header, body []byte, err error) {
	resp, err := c.Do(ctx, addr, req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Close()
	body, err = resp.ReadAll(limit)
	if err != nil {
		return resp.Status, resp.Header, nil, &Error{Addr: addr, Sent: true, Err: err}
	}
	return resp.Status, resp.Header, body, nil
}
