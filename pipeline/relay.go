package pipeline

import (
	"context"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// frameBuffer is the number of frames that may wait for a slow caller.
	// Beyond it, the agent is read no further (back-pressure).
	frameBuffer = 512
	// dataBuffer is the same for plain answers, whose frames are large.
	dataBuffer = 8
	// reuseWait is the time that the end of an agent's HTTP answer may take
	// after its end frame, for the connection to be used again.
	reuseWait = 20 * time.Millisecond
)

// answer writes an answer to the caller.
type answer interface {
	// frame takes the next frame after accepted; done is true after the end.
	frame(f *wire.Frame) (done bool, err error)
	// flush sends what is buffered.
	flush() error
}

// errCaller marks a failed write to the caller.
type errCaller struct{ error }

// received is a frame, or the error that ended the stream.
type received struct {
	frame *wire.Frame
	err   error
}

// relay passes the checked frames of the attempt on to the caller. It ends
// the chain.
func (p *Pipeline) relay(handler) handler {
	return func(c *call) *failure {
		size := dataBuffer
		if c.stream != nil {
			size = frameBuffer
		}
		in := make(chan received, size)
		closed := make(chan struct{})
		go readFrames(c.attemptCtx, c.frames, in, closed)
		f := p.relayFrames(c, in)
		if f == nil {
			select {
			case <-closed:
			case <-time.After(reuseWait):
			}
		}
		return f
	}
}

// readFrames reads until the end frame or an error.
func readFrames(ctx context.Context, d *decoder, in chan<- received, closed chan<- struct{}) {
	defer close(closed)
	for {
		f, err := d.Next()
		select {
		case in <- received{f, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
		if f.Kind == wire.FrameEnd || f.Kind == wire.FrameRefused {
			_, _ = io.CopyN(io.Discard, d.r, 1) // reads the end of the HTTP answer
			return
		}
	}
}

// relayFrames runs the state machine of one attempt's answer.
func (p *Pipeline) relayFrames(c *call, in <-chan received) *failure {
	to := c.answerTo()
	accepted := false
	for {
		got, f := p.receive(c, in, to)
		if f != nil {
			return f
		}
		p.heard(c)
		frame := got.frame
		switch {
		case frame.Kind == wire.FrameRefused && frame.Refusal != nil:
			c.pick.RecordResponse(p.Clock.Now(), frame.Limit, frame.InFlight)
			return stated(frame.Refusal)
		case !accepted && frame.Kind == wire.FrameAccepted:
			accepted = true
			c.pick.RecordResponse(p.Clock.Now(), frame.Limit, frame.InFlight)
		case !accepted || frame.Kind == wire.FrameAccepted:
			return c.interrupted(c.attemptCtx, trace.BadParameter("unexpected frame %q", frame.Kind))
		default:
			done, err := to.frame(frame)
			if err != nil {
				return c.relayFailure(err)
			}
			if done {
				return nil
			}
		}
	}
}

// receive returns the next frame. It flushes only when no frame is waiting,
// so that a fast stream needs fewer writes.
func (p *Pipeline) receive(c *call, in <-chan received, to answer) (received, *failure) {
	var got received
	select {
	case got = <-in:
	default:
		if err := to.flush(); err != nil {
			return got, c.relayFailure(err)
		}
		select {
		case got = <-in:
		case <-c.attemptCtx.Done():
			return got, p.stopped(c)
		}
	}
	if got.err != nil {
		if c.attemptCtx.Err() != nil {
			return got, p.stopped(c)
		}
		return got, c.interrupted(c.attemptCtx, got.err)
	}
	return got, nil
}

// stopped is the failure of an attempt that was stopped from this side.
func (p *Pipeline) stopped(c *call) *failure {
	return c.interrupted(c.attemptCtx, c.attemptCtx.Err())
}

// relayFailure tells a caller that went away from an answer that is broken.
func (c *call) relayFailure(err error) *failure {
	if gone, ok := err.(errCaller); ok {
		c.maybeRan = true
		c.cancel(gone.error)
		return c.ended()
	}
	return c.interrupted(c.attemptCtx, err)
}
