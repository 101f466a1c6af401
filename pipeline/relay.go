package pipeline

import (
	"context"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// streamFrameBuffer is the number of frames buffered for a slow caller.
	// When the buffer is full, nothing more is read from the agent
	// (back-pressure).
	streamFrameBuffer = 64
	// plainFrameBuffer is the same for plain calls, whose frames are large.
	plainFrameBuffer = 2
	// connReuseWait is the time to wait, after the end frame, for the end of
	// the agent's HTTP response, so that the connection can be reused.
	connReuseWait = 20 * time.Millisecond
)

// response is the response to a caller.
type response interface {
	// writeFrame writes a frame that follows the accepted frame. done is true
	// after the end frame.
	writeFrame(f *wire.Frame) (done bool, err error)
	// flush sends buffered data to the caller.
	flush() error
}

// callerWriteError is the error of a failed write to the caller.
type callerWriteError struct{ error }

// receivedFrame is a frame, or the error that ended the stream.
type receivedFrame struct {
	frame *wire.Frame
	err   error
}

// relay passes the checked frames of the attempt to the caller. It is the last
// filter of the chain.
func (p *Pipeline) relay(handler) handler {
	return func(c *call) *failure {
		size := plainFrameBuffer
		if c.stream != nil {
			size = streamFrameBuffer
		}
		in := make(chan receivedFrame, size)
		readerDone := make(chan struct{})
		go readFrames(c.attemptCtx, c.decoder, in, readerDone)
		f := p.relayFrames(c, in)
		if f == nil {
			select {
			case <-readerDone:
			case <-time.After(connReuseWait):
			}
		}
		return f
	}
}

// readFrames sends frames to in, up to the end frame or an error. It closes
// readerDone when it returns.
func readFrames(ctx context.Context, d *decoder, in chan<- receivedFrame, readerDone chan<- struct{}) {
	defer close(readerDone)
	for {
		f, err := d.Next()
		select {
		case in <- receivedFrame{f, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
		if f.Kind == wire.FrameEnd || f.Kind == wire.FrameRefused {
			_, _ = io.CopyN(io.Discard, d.r, 1) // reads the end of the HTTP response
			return
		}
	}
}

// relayFrames runs the state machine of the response in one attempt.
func (p *Pipeline) relayFrames(c *call, in <-chan receivedFrame) *failure {
	resp := c.attemptResponse()
	accepted := false
	for {
		got, f := p.receive(c, in, resp)
		if f != nil {
			return f
		}
		p.recordFrame(c)
		frame := got.frame
		switch {
		case frame.Kind == wire.FrameRefused && frame.Refusal != nil:
			c.pick.RecordResponse(p.Clock.Now(), frame.Limit, frame.InFlight)
			return reportedByAgent(frame.Refusal)
		case !accepted && frame.Kind == wire.FrameAccepted:
			accepted = true
			c.pick.RecordResponse(p.Clock.Now(), frame.Limit, frame.InFlight)
		case !accepted || frame.Kind == wire.FrameAccepted:
			return c.interruptedFailure(c.attemptCtx, trace.BadParameter("unexpected frame %q", frame.Kind))
		default:
			done, err := resp.writeFrame(frame)
			if err != nil {
				return c.relayFailure(err)
			}
			if done {
				return nil
			}
		}
	}
}

// receive returns the next frame. It flushes only if no frame is waiting, so
// that a fast stream needs fewer writes.
func (p *Pipeline) receive(c *call, in <-chan receivedFrame, resp response) (receivedFrame, *failure) {
	var got receivedFrame
	select {
	case got = <-in:
	default:
		if err := resp.flush(); err != nil {
			return got, c.relayFailure(err)
		}
		select {
		case got = <-in:
		case <-c.attemptCtx.Done():
			return got, p.stoppedFailure(c)
		}
	}
	if got.err != nil {
		if c.attemptCtx.Err() != nil {
			return got, p.stoppedFailure(c)
		}
		return got, c.interruptedFailure(c.attemptCtx, got.err)
	}
	return got, nil
}

// stoppedFailure returns the failure of an attempt that this entry stopped.
func (p *Pipeline) stoppedFailure(c *call) *failure {
	return c.interruptedFailure(c.attemptCtx, c.attemptCtx.Err())
}

// relayFailure returns the failure for an error while a response is written. A
// failed write ends the call, since the caller has disconnected or has read
// nothing for writeTimeout; any other error means that the agent's response is
// invalid.
func (c *call) relayFailure(err error) *failure {
	if writeErr, ok := err.(callerWriteError); ok {
		c.mayHaveRun = true
		c.cancel(writeErr.error)
		return c.contextFailure()
	}
	return c.interruptedFailure(c.attemptCtx, err)
}
