package pipeline

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/wire"
)

// writeTimeout bounds one write to a caller. A caller that reads nothing for
// longer has its request cancelled, so that it frees the endpoint.
const writeTimeout = 30 * time.Second

const reasonCancelled = "cancelled"

// stream answers a model request with server-sent events. It outlives
// attempts: position and text are where the next one resumes.
type stream struct {
	c        *call
	position int
	text     strings.Builder
	begun    bool
	dirty    bool
}

// frame implements answer.
func (s *stream) frame(f *wire.Frame) (bool, error) {
	switch f.Kind {
	case wire.FrameHead:
		return false, nil // of the endpoint's HTTP answer; callers get events
	case wire.FrameToken:
		return false, s.token(f)
	case wire.FrameEnd:
		if f.Reason == reasonCancelled && !s.c.cancelled.Load() {
			// A late cancel of another attempt must not end this one.
			return false, trace.BadParameter("the agent ended the request as cancelled, which the caller did not ask for")
		}
		return true, s.end(f.Reason)
	}
	return false, trace.BadParameter("unexpected frame %q in a stream", f.Kind)
}

func (s *stream) token(f *wire.Frame) error {
	if f.Position < s.position {
		droppedFrames.Add(1)
		return nil
	}
	if f.Position > s.position {
		return trace.BadParameter("token %d is missing", s.position)
	}
	if err := s.event("", api.TokenEvent{RequestID: s.c.id, Position: f.Position, Text: f.Text}); err != nil {
		return err
	}
	s.position++
	s.text.WriteString(f.Text)
	return nil
}

// end writes the last event of a whole answer.
func (s *stream) end(reason string) error {
	err := s.event("end", api.EndEvent{RequestID: s.c.id, Tokens: s.position, Reason: reason})
	if err != nil {
		return err
	}
	return s.flush()
}

// fail reports a refusal inside a stream that has begun. Without an end event
// the answer is not whole.
func (s *stream) fail(r *api.Refusal) {
	if s.event("error", r) == nil {
		_ = s.flush() // the caller is gone if this fails
	}
}

func (s *stream) event(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return trace.Wrap(err)
	}
	if !s.begun {
		s.begun = true
		h := s.c.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		s.c.w.WriteHeader(http.StatusOK)
	}
	if name != "" {
		name = "event: " + name + "\n"
	}
	s.c.extendWrite()
	if _, err := fmt.Fprintf(s.c.w, "%sdata: %s\n\n", name, data); err != nil {
		return errCaller{err}
	}
	s.dirty = true
	return nil
}

// flush implements answer.
func (s *stream) flush() error {
	if !s.dirty {
		return nil
	}
	s.dirty = false
	if err := http.NewResponseController(s.c.w).Flush(); err != nil {
		return errCaller{err}
	}
	return nil
}

// extendWrite moves the deadline of writes to the caller.
func (c *call) extendWrite() {
	// Not supported by test recorders.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(writeTimeout))
}
