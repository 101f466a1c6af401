package gate

import (
	"sync"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/wire"
)

// SendFunc delivers one frame to the entry.
type SendFunc func(wire.Frame) error

// stream sends and numbers the frames of one response.
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

// sendFrame sends a frame. It sends nothing after an end or refused frame.
func (s *stream) sendFrame(f wire.Frame) error {
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

// framesSent returns the number of frames sent.
func (s *stream) framesSent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seq
}

func (s *stream) accepted(limit, inFlight int) error {
	return s.sendFrame(wire.Frame{Kind: wire.FrameAccepted, Limit: limit, InFlight: inFlight})
}

func (s *stream) refused(r *api.Refusal, limit, inFlight int) {
	copied := *r
	copied.RequestID = s.req.RequestID
	_ = s.sendFrame(wire.Frame{Kind: wire.FrameRefused, Refusal: &copied, Limit: limit, InFlight: inFlight}) // fails only if the entry is unreachable
}

func (s *stream) head(status int, header map[string][]string) error {
	return s.sendFrame(wire.Frame{Kind: wire.FrameHead, Status: status, Header: header})
}

func (s *stream) data(p []byte) error {
	return s.sendFrame(wire.Frame{Kind: wire.FrameData, Data: p})
}

func (s *stream) token(position int, text string) error {
	return s.sendFrame(wire.Frame{Kind: wire.FrameToken, Position: position, Text: text})
}

func (s *stream) end(reason string) error {
	return s.sendFrame(wire.Frame{Kind: wire.FrameEnd, Reason: reason})
}
