package gate

import (
	"sync"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/wire"
)

// SendFunc delivers one frame to the entry.
type SendFunc func(wire.Frame) error

// stream numbers the frames of one answer.
type stream struct {
	req  *wire.ExecuteRequest
	send SendFunc

	mu    sync.Mutex
	seq   int
	ended bool
}

func newStream(req *wire.ExecuteRequest, send SendFunc) *stream {
	return &stream{req: req, send: send}
}

// put sends a frame; nothing is sent after an end or refused frame.
func (s *stream) put(f wire.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	f.RequestID, f.Attempt, f.Seq = s.req.RequestID, s.req.Attempt, s.seq
	s.seq++
	s.ended = f.Kind == wire.FrameEnd || f.Kind == wire.FrameRefused
	return s.send(f)
}

// sent returns the number of frames sent.
func (s *stream) sent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seq
}

func (s *stream) accepted(limit, inFlight int) error {
	return s.put(wire.Frame{Kind: wire.FrameAccepted, Limit: limit, InFlight: inFlight})
}

func (s *stream) refused(r *api.Refusal, limit, inFlight int) {
	copied := *r
	copied.RequestID = s.req.RequestID
	_ = s.put(wire.Frame{Kind: wire.FrameRefused, Refusal: &copied, Limit: limit, InFlight: inFlight}) // the entry is gone if this fails
}

func (s *stream) head(status int, header map[string][]string) error {
	return s.put(wire.Frame{Kind: wire.FrameHead, Status: status, Header: header})
}

func (s *stream) data(p []byte) error {
	return s.put(wire.Frame{Kind: wire.FrameData, Data: p})
}

func (s *stream) token(position int, text string) error {
	return s.put(wire.Frame{Kind: wire.FrameToken, Position: position, Text: text})
}

func (s *stream) end(reason string) error {
	return s.put(wire.Frame{Kind: wire.FrameEnd, Reason: reason})
}
