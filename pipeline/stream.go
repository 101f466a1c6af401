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

const writeTimeout = wire.CallerWriteTimeout

const reasonCancelled = "cancelled"

// streamResponse is the response to a model request, sent as server-sent
// events. It is kept across attempts: the next attempt resumes after text, at
// position.
type streamResponse struct {
	c        *call
	position int
	text     strings.Builder
	// textDropped is set if there was no memory left to keep text. The response
	// can't be resumed then.
	textDropped bool
	headerSent  bool
	unflushed   bool
}

// writeFrame implements response.
func (s *streamResponse) writeFrame(f *wire.Frame) (bool, error) {
	switch f.Kind {
	case wire.FrameHead:
		return false, nil // callers get events instead of the endpoint's HTTP status and headers
	case wire.FrameToken:
		return false, s.writeToken(f)
	case wire.FrameEnd:
		if f.Reason == reasonCancelled && !s.c.cancelRequested.Load() {
			// A late cancellation of another attempt must not end this one.
			return false, trace.BadParameter("the agent ended the request as cancelled, which the caller did not ask for")
		}
		return true, s.writeEnd(f.Reason)
	}
	return false, trace.BadParameter("unexpected frame %q in a stream", f.Kind)
}

func (s *streamResponse) writeToken(f *wire.Frame) error {
	if f.Position < s.position {
		droppedFrames.Add(1)
		return nil
	}
	if f.Position > s.position {
		return trace.BadParameter("token %d is missing", s.position)
	}
	if err := s.writeEvent("", api.TokenEvent{RequestID: s.c.id, Position: f.Position, Text: f.Text}); err != nil {
		return err
	}
	s.position++
	s.keepText(f.Text)
	return nil
}

// keepText adds the text of a token to what is kept for resuming the response. The
// memory of the builder is at most twice its length.
func (s *streamResponse) keepText(text string) {
	if s.textDropped {
		return
	}
	needed := (2*int64(s.text.Len()+len(text)) + textStep - 1) / textStep * textStep
	if needed > s.c.held.text {
		if err := s.c.hold(&s.c.held.text, needed); err != nil {
			s.textDropped = true
			s.text.Reset()
			s.c.release(&s.c.held.text, 0)
			return
		}
	}
	s.text.WriteString(text)
}

// writeEnd writes the last event of a complete response.
func (s *streamResponse) writeEnd(reason string) error {
	err := s.writeEvent("end", api.EndEvent{RequestID: s.c.id, Tokens: s.position, Reason: reason})
	if err != nil {
		return err
	}
	return s.flush()
}

// writeError reports a refusal within a stream that has started. Without an end
// event, the response is incomplete.
func (s *streamResponse) writeError(r *api.Refusal) {
	if s.writeEvent("error", r) == nil {
		_ = s.flush() // fails only if the caller has disconnected
	}
}

func (s *streamResponse) writeEvent(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return trace.Wrap(err)
	}
	if !s.headerSent {
		s.headerSent = true
		h := s.c.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		s.c.w.WriteHeader(http.StatusOK)
	}
	if name != "" {
		name = "event: " + name + "\n"
	}
	err = s.c.writeToCaller(len(data), func() error {
		_, err := fmt.Fprintf(s.c.w, "%sdata: %s\n\n", name, data)
		return err
	})
	if err != nil {
		return callerWriteError{err}
	}
	s.unflushed = true
	return nil
}

// flush implements response.
func (s *streamResponse) flush() error {
	if !s.unflushed {
		return nil
	}
	s.unflushed = false
	if err := s.c.writeToCaller(0, http.NewResponseController(s.c.w).Flush); err != nil {
		return callerWriteError{err}
	}
	return nil
}

// writeToCaller calls write, which sends n bytes to the caller. While it waits for the
// caller to read, the memory of the call may be given to others.
func (c *call) writeToCaller(n int, write func() error) error {
	c.extendWriteDeadline()
	return c.claim.Write(n, write)
}

// extendWriteDeadline sets the deadline for writes to the caller to
// writeTimeout from now.
func (c *call) extendWriteDeadline() {
	// httptest.ResponseRecorder does not support deadlines.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(writeTimeout))
}
