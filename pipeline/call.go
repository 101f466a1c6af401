package pipeline

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/balance"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/intake"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/wire"
)

// call is one caller's request on its way through the filters.
type call struct {
	w http.ResponseWriter
	r *http.Request
	// ctx ends at the timeout, on cancellation and, except for orders, when the
	// caller disconnects.
	ctx     context.Context
	started time.Time
	snap    *control.Snapshot
	claim   *intake.Claim
	held    held

	// Set by identify.
	id           string // request ID in messages to the caller
	wireID       string // request ID in messages to agents
	organisation string
	priority     int
	body         []byte
	// firstAttempt is true if the caller states that it has not sent the call
	// before.
	firstAttempt bool
	// earlierAttemptPossible is true if the caller may have sent the call before,
	// possibly through another entry, so that it may have run already.
	earlierAttemptPossible bool

	// Set by classify.
	service      *bundle.Service
	isOrder      bool
	identity     order.Identity
	cost         float64
	generateCall *wire.GenerateCall
	plainCall    *wire.PlainCall
	prefix       string // start of the prompt, for endpoint affinity

	// State of this entry's attempts to run the call at endpoints.
	pick    *balance.Pick
	attempt int // number of the current attempt, from 1
	// expectIncarnation is the only agent incarnation that may run the order.
	expectIncarnation uint64
	// mayHaveRun is true once an attempt may have run the call. For an order,
	// this includes earlier or concurrent attempts through other entries;
	// routeOrder clears it after executionRuledOut.
	mayHaveRun      bool
	attemptCtx      context.Context // also ends when the agent times out
	decoder         *decoder
	agentAddr       atomic.Pointer[string]
	lastFrameOffset atomic.Int64 // from started to the last frame, in nanoseconds

	// stream is the response to a model request, plainResponse the one to a
	// plain call.
	stream          *streamResponse
	plainResponse   *plainResponse
	cancelRequested atomic.Bool
	cancel          context.CancelCauseFunc
}

// Wait requested after a refusal for lack of memory, in milliseconds: about the time in
// which large bodies arrive, spread so that callers don't return at one moment.
const (
	minMemoryRetryMS    = 1000
	memoryRetrySpreadMS = 1000
)

// attemptResponse returns the response that an attempt writes. A stream
// continues across attempts; a plain response starts anew with each attempt.
func (c *call) attemptResponse() response {
	if c.stream != nil {
		return c.stream
	}
	c.plainResponse = &plainResponse{c: c}
	return c.plainResponse
}

// position returns the number of tokens written to the caller.
func (c *call) position() int {
	if c.stream == nil {
		return 0
	}
	return c.stream.position
}

// responseStarted reports whether a plain response has been started, after which
// the call cannot be retried. It is false for streams, which the next attempt
// resumes.
func (c *call) responseStarted() bool {
	return c.plainResponse != nil && c.plainResponse.headerSent
}

// execution says what is known about the execution of a call in a failed
// attempt.
type execution int

const (
	// executionNotStarted: this entry refused the attempt before it sent any
	// byte, or the agent refused it with a plain HTTP response instead of a
	// stream of frames, possibly before it checked the order identity. It says
	// nothing about other attempts.
	executionNotStarted execution = iota
	// executionRuledOut: the agent reported in a frame that the call did not run.
	// An order will never run under its identity; any other call will not run
	// in this attempt, not even if its request arrives at the agent again.
	executionRuledOut
	// executionReported: the agent reported another outcome, ran or unknown.
	executionReported
	// executionUncertain: bytes were sent and the agent reported no outcome.
	executionUncertain
)

// failure is the reason why a call or an attempt got no complete response.
type failure struct {
	refusal   *api.Refusal
	execution execution
	// local is set if the cause is in this entry, so that another attempt would
	// meet it again.
	local bool
}

// notStarted returns a failure that this entry decided before it sent anything.
func notStarted(kind api.Kind, message, remedy string) *failure {
	return &failure{refusal: api.NotRun(kind, message, remedy), execution: executionNotStarted}
}

// noMemory returns the failure of a call for which this entry has no memory left.
func noMemory() *failure {
	f := notStarted(api.KindOverloaded, "this entry has no memory left for the request", "retry at another entry, or retry later")
	f.refusal.RetryAfterMS = minMemoryRetryMS + rand.Int64N(memoryRetrySpreadMS)
	f.local = true
	return f
}

// uncertain returns a failure after bytes were sent.
func uncertain(kind api.Kind, message, remedy string) *failure {
	return &failure{refusal: api.Unknown(kind, message, remedy), execution: executionUncertain}
}

// reportedByAgent returns the failure for a refusal that an agent sent as a frame
// of its response stream.
func reportedByAgent(r *api.Refusal) *failure {
	if r.Outcome != api.OutcomeNotRun && r.Outcome != api.OutcomeRan {
		r.Outcome = api.OutcomeUnknown // also if the agent set no outcome
	}
	if r.Outcome == api.OutcomeNotRun {
		return &failure{refusal: r, execution: executionRuledOut}
	}
	return &failure{refusal: r, execution: executionReported}
}

// outcome returns the outcome to report to the caller of a failed call.
func (c *call) outcome(f *failure) api.Outcome {
	switch f.execution {
	case executionReported:
		return f.refusal.Outcome
	case executionUncertain:
		return api.OutcomeUnknown
	case executionRuledOut:
		// For an order, the agent's report covers all attempts, since only that
		// agent may run it; routeOrder has therefore cleared mayHaveRun. For any
		// other call the report covers one attempt only, and an earlier one may
		// have run the call.
		if c.mayHaveRun {
			return api.OutcomeUnknown
		}
		return api.OutcomeNotRun
	}
	if c.mayHaveRun || c.earlierAttemptPossible && !c.firstAttempt {
		return api.OutcomeUnknown
	}
	return api.OutcomeNotRun
}
