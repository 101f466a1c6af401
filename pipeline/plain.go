package pipeline

import (
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/wire"
)

// holdBytes is the size up to which a plain answer is held back until it is
// whole, so that a broken one can be asked for again.
const holdBytes = 256 << 10

// plainAnswer answers a plain call with status, headers and body.
type plainAnswer struct {
	c      *call
	head   *wire.Frame
	body   []byte
	begun  bool
	broken bool
}

// frame implements answer.
func (a *plainAnswer) frame(f *wire.Frame) (bool, error) {
	switch {
	case f.Kind == wire.FrameHead && a.head == nil:
		if f.Status < 200 || f.Status > 599 {
			return false, trace.BadParameter("status %d is not valid", f.Status)
		}
		a.head = f
		return false, nil
	case f.Kind == wire.FrameData && a.head != nil:
		a.body = append(a.body, f.Data...)
		if len(a.body) > holdBytes {
			return false, a.write()
		}
		return false, nil
	case f.Kind == wire.FrameEnd && a.head != nil:
		if !a.begun {
			a.c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		}
		return true, a.write()
	}
	return false, trace.BadParameter("unexpected frame %q in a plain answer", f.Kind)
}

// write sends the head, if it was not sent yet, and the held body.
func (a *plainAnswer) write() error {
	if !a.begun {
		a.begun = true
		a.writeHead()
	}
	data := a.body
	a.body = nil
	if len(data) == 0 || a.broken {
		return nil
	}
	a.c.extendWrite()
	_, err := a.c.w.Write(data)
	if err == nil {
		return nil
	}
	if a.c.order {
		a.broken = true // the order goes on; a later attempt gets the answer
		return nil
	}
	return errCaller{err}
}

func (a *plainAnswer) writeHead() {
	h := a.c.w.Header()
	for name, values := range endpointHeader(a.head.Header) {
		h[name] = values
	}
	a.c.w.WriteHeader(a.head.Status)
}

// flush implements answer.
func (a *plainAnswer) flush() error { return nil }

// fail cuts the connection: an answer whose head was sent cannot be turned
// into a refusal, and the caller must not take it for whole.
func (a *plainAnswer) fail(*api.Refusal) { panic(http.ErrAbortHandler) }
