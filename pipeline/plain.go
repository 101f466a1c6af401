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
func (r *plainResponse) writeFrame(f *wire.Frame) (bool, error) {
	switch {
	case f.Kind == wire.FrameHead && r.head == nil:
		if f.Status < 200 || f.Status > 599 {
			return false, trace.BadParameter("status %d is not valid", f.Status)
		}
		r.head = f
		return false, nil
	case f.Kind == wire.FrameData && r.head != nil:
		r.body = append(r.body, f.Data...)
		// The memory of the slice is at most twice its length.
		if len(r.body) > maxHeldBytes || r.c.hold(&r.c.held.response, 2*int64(len(r.body))) != nil {
			return false, r.write()
		}
		return false, nil
	case f.Kind == wire.FrameEnd && r.head != nil:
		if !r.headerSent {
			r.c.w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
		}
		return true, r.write()
	}
	return false, trace.BadParameter("unexpected frame %q in a plain answer", f.Kind)
}

// write sends the status and headers, unless they were already sent, and the
// held part of the body.
func (r *plainResponse) write() error {
	if !r.headerSent {
		r.headerSent = true
		r.writeHead()
	}
	data := r.body
	r.body = nil
	defer r.c.release(&r.c.held.response, 0)
	if len(data) == 0 || r.callerLost {
		return nil
	}
	err := r.c.writeToCaller(len(data), func() error {
		_, err := r.c.w.Write(data)
		return err
	})
	if err == nil {
		return nil
	}
	if r.c.isOrder {
		r.callerLost = true // the order continues; a later attempt gets the response
		return nil
	}
	return callerWriteError{err}
}

func (r *plainResponse) writeHead() {
	h := r.c.w.Header()
	for name, values := range forwardedHeaders(r.head.Header) {
		h[name] = values
	}
	r.c.w.WriteHeader(r.head.Status)
}

// flush implements response.
func (r *plainResponse) flush() error { return nil }

// abort closes the connection. A response whose headers were sent cannot be
// turned into a refusal, and the caller must not take it for complete.
func (r *plainResponse) abort(*api.Refusal) { panic(http.ErrAbortHandler) }
