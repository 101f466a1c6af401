package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/limits"
	"github.com/wasabinotch/wasabinotch/quarantine"
	"github.com/wasabinotch/wasabinotch/routing"
	"github.com/wasabinotch/wasabinotch/upstream"
)

const (
	// maxBufferedBytes is the size of the largest response body that is
	// buffered until it is complete, so that a truncated one can be replaced.
	maxBufferedBytes = 64 << 10
	// streamReadBytes is the read size for event streams.
	streamReadBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// freePartialBytes is the part of an incomplete event that doesn't count towards
	// maxPartialBytes, the bound of all incomplete events that a process holds.
	freePartialBytes = 16 << 10
	maxPartialBytes  = 16 << 20
)

// errEventTooLong means that an endpoint sends an event without an end.
var errEventTooLong = fmt.Errorf("an event is incomplete after %d bytes, or those of all streams together after %d", maxEventBytes, maxPartialBytes)

// partialEvent accounts for the incomplete event that a stream holds.
type partialEvent struct {
	total   *atomic.Int64 // of all streams
	claim   *limits.Claim
	counted int64
}

// growthFactor is the memory of a buffer that grows, in relation to its content.
const growthFactor = 2

// resize records the size of the incomplete event in bytes, and reports whether it may
// grow further.
func (p *partialEvent) resize(size int) bool {
	counted := int64(max(0, size-freePartialBytes))
	grown := counted - p.counted
	switch {
	case grown < 0:
		p.claim.Shrink(-grown * growthFactor)
	case grown > 0 && p.claim.Grow(grown*growthFactor) != nil:
		return false
	}
	p.counted = counted
	return (p.total.Add(grown) <= maxPartialBytes || grown <= 0) && size <= maxEventBytes
}

// callerResponse is the state of the response to the caller.
type callerResponse struct {
	// started is set once the status and the headers have been written.
	started bool
	// mustAbort is set if a started response can't be completed.
	mustAbort bool
	status    int
	// contentType is the type of a started response.
	contentType string
	// lastEventID is the ID of the last event written.
	lastEventID string
	// eventCount is the number of events written that have an ID.
	eventCount int
	// outcome is the outcome label in the metrics and in the log.
	outcome string
}

// deliver relays a response to the caller, or returns a verdict that lets
// another endpoint be tried.
func (x *exchange) deliver(ctx context.Context, pick *fleet.Pick, guard *quarantine.Attempt, resp *upstream.Response) verdict {
	signed := resp.Header.Get(x.handler.cfg.Headers.Signature) != ""
	success := resp.Status >= 200 && resp.Status < 300
	switch {
	case success && !signed:
		// Without a signature the response wasn't made by the endpoint itself.
		pick.EndUnusable()
		return lost
	case success && x.route.Kind == routing.Streaming:
		return x.relayStream(ctx, pick, guard, resp)
	}
	if x.response.started {
		// The caller already receives a stream, so an error response can't be
		// relayed.
		pick.EndFailed()
		return failed
	}
	held := int64(maxBufferedBytes) * growthFactor
	if resp.Length >= 0 {
		held = min(resp.Length, maxBufferedBytes)
	}
	if err := x.claim.Grow(held); err != nil {
		if !success {
			x.cause = err
			pick.EndFailed()
			return failed
		}
		// Without memory to buffer it, the response is relayed as it arrives.
		guard.Began()
		return x.relayLong(ctx, pick, resp, nil)
	}
	defer x.claim.Shrink(held)
	body, err := resp.ReadAll(maxBufferedBytes)
	if success && (err == nil || int64(len(body)) > maxBufferedBytes) {
		guard.Began()
	}
	if err == nil {
		return x.relayComplete(pick, resp, body, success)
	}
	if int64(len(body)) > maxBufferedBytes && success {
		return x.relayLong(ctx, pick, resp, body)
	}
	x.cause = err
	switch {
	case x.callerDisconnected():
		pick.EndInconclusive()
		return delivered
	case ctx.Err() != nil:
		x.cause = context.Cause(ctx) // err only says that the connection was closed
		pick.EndInconclusive()
		return lost
	}
	pick.EndUnusable()
	return lost
}

// relayComplete relays a complete response. It returns failed instead if
// another endpoint may be tried, or if the status would mislead the caller.
func (x *exchange) relayComplete(pick *fleet.Pick, resp *upstream.Response, body []byte, success bool) verdict {
	if success {
		pick.EndSucceeded()
	} else {
		pick.EndFailed()
		retry := resp.Status >= 500 && x.route.Retryable() && x.attempts+1 < x.route.MaxAttempts && x.remaining() > x.route.TargetLatency/4
		if retry {
			return failed
		}
		if impliesNotRun := resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusTooManyRequests; impliesNotRun && !x.route.Retryable() {
			// Callers take these statuses to mean that the request did not run,
			// which isn't certain here.
			return failed
		}
	}
	x.copyHeaders(resp)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.startResponse(resp.Status)
	if err := x.writeToCaller(func() error { _, err := x.w.Write(body); return err }); err != nil {
		x.cause = err
	}
	x.response.outcome = "answered"
	return delivered
}

// relayLong relays a response that is too long to be buffered. head is the part
// already read.
func (x *exchange) relayLong(ctx context.Context, pick *fleet.Pick, resp *upstream.Response, head []byte) verdict {
	x.copyHeaders(resp)
	if resp.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.startResponse(resp.Status)
	body := &errorReader{Reader: resp}
	stop := x.endUnread()
	caller := callerWriter{x}
	_, err := caller.Write(head)
	if err == nil {
		_, err = io.Copy(caller, body)
	}
	if stop() {
		err = errUnread
	}
	switch {
	case err == nil:
		x.response.outcome = "answered"
		pick.EndSucceeded()
		return delivered
	case body.err != nil && ctx.Err() == nil:
		pick.EndUnusable()
	default: // the caller left, or the entry ended the attempt
		pick.EndInconclusive()
	}
	x.cause = err
	x.response.mustAbort = true
	return delivered
}

// callerWriter writes parts of a response to the caller. Its claim may be revoked only
// within a write, not while the endpoint is waited for.
type callerWriter struct{ x *exchange }

// Write implements io.Writer.
func (w callerWriter) Write(p []byte) (n int, err error) {
	err = w.x.writeToCaller(func() error {
		n, err = w.x.w.Write(p)
		return err
	})
	return n, err
}

// errorReader is a Reader that keeps its error, so that it can be told from one of the
// Writer in io.Copy.
type errorReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *errorReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != io.EOF {
		r.err = err
	}
	return n, err
}

func (x *exchange) copyHeaders(resp *upstream.Response) {
	connectionListed := connectionTokens(resp.Header)
	out := x.w.Header()
	for name, values := range resp.Header {
		if !droppedHeaders[name] && !connectionListed[name] {
			out[name] = values
		}
	}
}

func (x *exchange) startResponse(status int) {
	x.response.started = true
	x.responseStarted.Store(true)
	x.response.status, x.response.contentType = status, x.w.Header().Get("Content-Type")
	x.w.WriteHeader(status)
	x.handler.cfg.Stats.observeFirstByte(x)
}

// relayStream relays events as they arrive. It writes only complete events, so
// that another endpoint can continue the stream after the last one.
func (x *exchange) relayStream(ctx context.Context, pick *fleet.Pick, guard *quarantine.Attempt, resp *upstream.Response) verdict {
	if x.response.started && !x.continues(resp) {
		x.cause = errNotContinuation
		pick.EndFailed()
		return failed
	}
	var pending []byte
	partial := partialEvent{total: &x.handler.partialBytes, claim: x.claim}
	defer partial.resize(0)
	buf := make([]byte, streamReadBytes)
	began := false
	controller := http.NewResponseController(x.w)
	stop := x.endUnread()
	defer stop()
	for {
		n, err := resp.Read(buf)
		pending = append(pending, buf[:n]...)
		events, rest, foreign := x.takeEvents(pending)
		if len(events) > 0 {
			if !began {
				began = true
				guard.Began()
				pick.RecordFirstToken()
			}
			if !x.response.started {
				x.copyHeaders(resp)
				x.startResponse(resp.Status)
			}
			writeErr := x.writeToCaller(func() error {
				if _, err := x.w.Write(events); err != nil {
					return err
				}
				return controller.Flush()
			})
			if writeErr != nil {
				x.cause = writeErr
				if stop() {
					x.cause = errUnread
				}
				x.response.mustAbort = true
				pick.EndInconclusive()
				return delivered
			}
			pending = append(pending[:0], rest...)
			if cap(pending) > freePartialBytes && len(pending) <= streamReadBytes {
				pending = slices.Clone(pending) // releases the memory of a long event
			}
		}
		switch mayGrow := partial.resize(len(pending)); {
		case foreign:
			err = errNotContinuation
		case !mayGrow && err == nil:
			err = errEventTooLong
		}
		switch {
		case err == nil:
			continue
		case err == io.EOF && len(pending) == 0 && (began || !resp.Unframed):
			if !x.response.started {
				x.copyHeaders(resp)
				x.startResponse(resp.Status)
			}
			x.response.outcome = "answered"
			pick.EndSucceeded()
			return delivered
		case x.callerDisconnected():
			x.response.mustAbort = true
			pick.EndInconclusive()
			return delivered
		}
		x.cause = err
		if ctx.Err() != nil {
			x.cause = context.Cause(ctx) // err only says that the connection was closed
			pick.EndInconclusive()
		} else {
			pick.EndUnusable()
			x.brokeOff = !began
		}
		return lost
	}
}

// continues reports whether a response can continue the stream that the caller receives.
func (x *exchange) continues(resp *upstream.Response) bool {
	return resp.Status == x.response.status && resp.Header.Get("Content-Type") == x.response.contentType
}

// takeEvents returns the complete events at the start of b that may follow those that
// the caller has, and the rest. It records their IDs. foreign is set if the rest begins
// with bytes that aren't the next event.
func (x *exchange) takeEvents(b []byte) (events, rest []byte, foreign bool) {
	rest = b
	for {
		event, after := nextEvent(rest)
		if event == nil {
			return b[:len(b)-len(rest)], rest, false
		}
		id, ok := eventID(event)
		if !ok || id != "" && !follows(id, x.response.lastEventID) {
			return b[:len(b)-len(rest)], rest, true
		}
		if id != "" {
			x.response.lastEventID = id
			x.response.eventCount++
		}
		rest = after
	}
}
