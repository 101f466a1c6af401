package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/routing"
	"github.com/wasabinotch/wasabinotch/upstream"
)

const (
	// maxBuffered is the largest answer in bytes that is held until it is
	// whole, so that a cut one can be replaced.
	maxBuffered = 64 << 10
	// streamBuffer is the read size for event streams in bytes.
	streamBuffer = 4 << 10
	// maxEvent bounds one event in bytes.
	maxEvent = 1 << 20
)

// relay is what the caller has got of its answer.
type relay struct {
	started bool
	// broken is set if the answer can't be completed.
	broken    bool
	status    int
	lastEvent string
	events    int
	outcome   string
}

// deliver passes an answer on, or says that another endpoint may be asked.
func (x *exchange) deliver(ctx context.Context, pick *fleet.Pick, resp *upstream.Response) verdict {
	signed := resp.Header.Get(x.h.cfg.Headers.Signature) != ""
	success := resp.Status >= 200 && resp.Status < 300
	switch {
	case success && !signed:
		// Not the endpoint's own answer.
		pick.Unreachable()
		return lost
	case success && x.route.Kind == routing.Streaming:
		return x.stream(ctx, pick, resp)
	}
	if x.relay.started {
		// A stream is under way; a failure can't be passed on.
		pick.Failed()
		return failed
	}
	body, err := resp.ReadAll(maxBuffered)
	if err == nil {
		return x.whole(pick, resp, body, success)
	}
	if int64(len(body)) > maxBuffered && success {
		return x.long(pick, resp, body)
	}
	x.cause = err
	if x.callerLeft() {
		pick.Inconclusive()
		return delivered
	}
	pick.Unreachable()
	return lost
}

// whole passes a complete answer on.
func (x *exchange) whole(pick *fleet.Pick, resp *upstream.Response, body []byte, success bool) verdict {
	if success {
		pick.Done()
	} else {
		pick.Failed()
		again := resp.Status >= 500 && x.route.Retryable() && x.attempts+1 < x.route.MaxAttempts && x.remaining() > x.route.TargetLatency/4
		if again {
			return failed
		}
		if promise := resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusTooManyRequests; promise && !x.route.Retryable() {
			// Callers read these statuses as "not run", which nothing proves here.
			return failed
		}
	}
	x.copyHeaders(resp)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.start(resp.Status)
	if _, err := x.w.Write(body); err != nil {
		x.cause = err
	}
	x.relay.outcome = "answered"
	return delivered
}

// long passes an answer on that is too long to be held.
func (x *exchange) long(pick *fleet.Pick, resp *upstream.Response, head []byte) verdict {
	x.copyHeaders(resp)
	if resp.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.start(resp.Status)
	_, err := x.w.Write(head)
	if err == nil {
		_, err = io.Copy(x.w, resp)
	}
	if err != nil {
		x.cause = err
		x.relay.broken = true
		pick.Unreachable()
		return delivered
	}
	x.relay.outcome = "answered"
	pick.Done()
	return delivered
}

func (x *exchange) copyHeaders(resp *upstream.Response) {
	named := connectionTokens(resp.Header)
	out := x.w.Header()
	for name, values := range resp.Header {
		if !hopHeaders[name] && !named[name] {
			out[name] = values
		}
	}
}

func (x *exchange) start(status int) {
	x.relay.started = true
	x.begun.Store(true)
	x.relay.status = status
	x.w.WriteHeader(status)
	x.h.cfg.Stats.firstByte(x)
}

// stream passes events on as they arrive. Only whole events are passed on, so
// that another endpoint can go on after the last one.
func (x *exchange) stream(ctx context.Context, pick *fleet.Pick, resp *upstream.Response) verdict {
	var pending []byte
	buf := make([]byte, streamBuffer)
	flush := http.NewResponseController(x.w)
	for {
		n, err := resp.Read(buf)
		pending = append(pending, buf[:n]...)
		events, rest := splitEvents(pending)
		if len(events) > 0 {
			if !x.relay.started {
				x.copyHeaders(resp)
				x.start(resp.Status)
			}
			x.note(events)
			_, werr := x.w.Write(events)
			if werr == nil {
				werr = flush.Flush()
			}
			if werr != nil {
				x.cause = werr
				x.relay.broken = true
				pick.Inconclusive()
				return delivered
			}
			pending = append(pending[:0], rest...)
		}
		if len(pending) > maxEvent {
			err = io.ErrShortBuffer
		}
		switch {
		case err == nil:
			continue
		case err == io.EOF && len(pending) == 0:
			if !x.relay.started {
				x.copyHeaders(resp)
				x.start(resp.Status)
			}
			x.relay.outcome = "answered"
			pick.Done()
			return delivered
		case x.callerLeft():
			x.relay.broken = true
			pick.Inconclusive()
			return delivered
		}
		x.cause = err
		if ctx.Err() != nil {
			x.cause = context.Cause(ctx) // the connection only says that it was ended
			pick.Inconclusive()
		} else {
			pick.Unreachable()
		}
		return lost
	}
}

// splitEvents returns the whole events at the start of b and the rest.
func splitEvents(b []byte) (events, rest []byte) {
	end := bytes.LastIndex(b, []byte("\n\n"))
	if crlf := bytes.LastIndex(b, []byte("\r\n\r\n")); crlf >= 0 && crlf+2 > end {
		end = crlf + 2
	}
	if end < 0 {
		return nil, b
	}
	return b[:end+2], b[end+2:]
}

// note records the ID of the last event.
func (x *exchange) note(events []byte) {
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			x.relay.lastEvent = string(bytes.TrimSpace(id))
			x.relay.events++
		}
	}
}
