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
	c    *call
	head *wire.Frame
	// parts are the held parts of the body, of size bytes together.
	parts      [][]byte
	size       int
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
		r.parts, r.size = append(r.parts, f.Data), r.size+len(f.Data)
		if r.size > maxHeldBytes || r.c.hold(&r.c.held.response, int64(r.size)) != nil {
			return false, r.write()
		}
		return false, nil
	case f.Kind == wire.FrameEnd && r.head != nil:
		if !r.headerSent {
			r.c.w.Header().Set("Content-Length", strconv.Itoa(r.size))
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
	parts, size := r.parts, r.size
	r.parts, r.size = nil, 0
	defer r.c.release(&r.c.held.response, 0)
	if size == 0 || r.callerLost {
		return nil
	}
	for _, part := range parts {
		// Part by part, so that a caller that reads makes progress.
		err := r.c.writeToCaller(len(part), func() error {
			_, err := r.c.w.Write(part)
			return err
		})
		switch {
		case err == nil:
		case r.c.isOrder:
			r.callerLost = true // the order continues; a later attempt gets the response
			return nil
		default:
			return callerWriteError{err}
		}
	}
	return nil
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
