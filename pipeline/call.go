package pipeline

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/balance"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/order"
	"github.com/wasabinotch/wasabinotch/wire"
)

// call is one caller's request on its way through the filters.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context // ends with the time-out, a cancel or the caller
	started time.Time
	snap    *control.Snapshot

	// Set by identify.
	id           string // as the caller sees it
	wireID       string // as agents see it
	organisation string
	priority     int
	body         []byte
	// firstAttempt is true if the caller states that no earlier attempt exists.
	firstAttempt bool
	// guarded is true if an earlier attempt elsewhere may have run the call.
	guarded bool

	// Set by classify.
	service  *bundle.Service
	order    bool
	identity order.Identity
	cost     float64
	generate *wire.GenerateCall
	plain    *wire.PlainCall
	prefix   string

	// State of the attempts.
	pick    *balance.Pick
	attempt int
	// expect is the only agent incarnation that may run the order.
	expect uint64
	// maybeRan is true once an attempt's fate is not known.
	maybeRan   bool
	attemptCtx context.Context // also ends when the agent is silent
	frames     *decoder
	agentAddr  atomic.Pointer[string]
	lastFrame  atomic.Int64 // time since started

	// stream is the answer to a model request, reply the one to a plain call.
	stream    *stream
	reply     *plainAnswer
	cancelled atomic.Bool
	cancel    context.CancelCauseFunc
}

// answerTo returns the writer of the answer. A plain answer starts anew with
// each attempt.
func (c *call) answerTo() answer {
	if c.stream != nil {
		return c.stream
	}
	c.reply = &plainAnswer{c: c}
	return c.reply
}

// position is the number of tokens that the caller got.
func (c *call) position() int {
	if c.stream == nil {
		return 0
	}
	return c.stream.position
}

// answerBegun reports whether the caller got a part of an answer that cannot
// be resumed.
func (c *call) answerBegun() bool {
	return c.reply != nil && c.reply.begun
}

// fate says what is known about the execution of a failed attempt.
type fate int

const (
	// fateOwn: this entry refused before any byte was sent to an agent.
	fateOwn fate = iota
	// fateClosed: the agent stated that the call did not run and never will
	// under this ID.
	fateClosed
	// fateStated: the agent stated another outcome.
	fateStated
	// fateUncertain: bytes were sent and no statement came back.
	fateUncertain
)

// failure is the reason why a call or an attempt got no whole answer.
type failure struct {
	refusal *api.Refusal
	fate    fate
}

// own returns a failure decided by this entry before anything was sent.
func own(kind api.Kind, message, remedy string) *failure {
	return &failure{refusal: api.NotRun(kind, message, remedy), fate: fateOwn}
}

// uncertain returns a failure after bytes were sent.
func uncertain(kind api.Kind, message, remedy string) *failure {
	return &failure{refusal: api.Unknown(kind, message, remedy), fate: fateUncertain}
}

// stated returns the failure that an agent's refusal reports.
func stated(r *api.Refusal) *failure {
	if r.Outcome != api.OutcomeNotRun && r.Outcome != api.OutcomeRan {
		r.Outcome = api.OutcomeUnknown // also if the agent named none
	}
	if r.Outcome == api.OutcomeNotRun {
		return &failure{refusal: r, fate: fateClosed}
	}
	return &failure{refusal: r, fate: fateStated}
}

// outcome returns what the caller may be told about the failed call.
func (c *call) outcome(f *failure) api.Outcome {
	switch f.fate {
	case fateStated:
		return f.refusal.Outcome
	case fateUncertain:
		return api.OutcomeUnknown
	case fateClosed:
		// The agent's statement covers all attempts of an order, since only
		// that agent may run it, but one attempt only of any other call.
		if c.maybeRan {
			return api.OutcomeUnknown
		}
		return api.OutcomeNotRun
	}
	if c.maybeRan || c.guarded && !c.firstAttempt {
		return api.OutcomeUnknown
	}
	return api.OutcomeNotRun
}
