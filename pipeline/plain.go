package pipeline

import (
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/wire"
)

// maxHeldBytes is the size up to which a plain response is held back until it
// is complete, so that the call can be retried if the response is interrupted.
const maxHeldBytes = 256 << 10

// plainResponse is the response to a plain call, with status, headers and body.
type plainResponse struct {
	c          *call
	head       *wire.Frame
	body       []byte
	headerSent bool
	callerLost bool
}

// writeFrame implements response.
func (a *plainResponse) writeFrame(f *wire.Frame) (bool, error) {
	switch {
	case f.Kind == wire.FrameHead && a.head == nil:
		if f.Status < 200 || f.Status > 599 {
			return false, trace.BadParameter("status %d is not valid", f.Status)
		}
		a.head = f
		return false, nil
	case f.Kind == wire.FrameData && a.head != nil:
		a.body = append(a.body, f.Data...)
		if len(a.body) > maxHeldBytes {
			return false, a.write()
		}
		return false, nil
	case f.Kind == wire.FrameEnd && a.head != nil:
		if !a.headerSent {
			a.c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		}
		return true, a.write()
	}
	return false, trace.BadParameter("unexpected frame %q in a plain answer", f.Kind)
}

// write sends the status and headers, unless they were already sent, and the
// held part of the body.
func (a *plainResponse) write() error {
	if !a.headerSent {
		a.headerSent = true
		a.writeHead()
	}
	data := a.body
	a.body = nil
	if len(data) == 0 || a.callerLost {
		return nil
	}
	a.c.extendWriteDeadline()
	_, err := a.c.w.Write(data)
	if err == nil {
		return nil
	}
	if a.c.isOrder {
		a.callerLost = true // the order continues; a later attempt gets the response
		return nil
	}
	return callerWriteError{err}
}

func (a *plainResponse) writeHead() {
	h := a.c.w.Header()
	for name, values := range forwardedHeaders(a.head.Header) {
		h[name] = values
	}
	a.c.w.WriteHeader(a.head.Status)
}

// flush implements response.
func (a *plainResponse) flush() error { return nil }

// abort closes the connection. A response whose headers were sent cannot be
// turned into a refusal, and the caller must not take it for complete.
func (a *plainResponse) abort(*api.Refusal) { panic(http.ErrAbortHandler) }
