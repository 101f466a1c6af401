package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/routing"
	"github.com/wasabinotch/wasabinotch/upstream"
)

const (
	// minRemaining is the least time left for which a request is still sent;
	// no endpoint answers sooner.
	minRemaining = 15 * time.Millisecond
	// slowFactor times the target latency is when an endpoint that hasn't begun
	// its answer counts as failing. By then the answer is late, and another
	// endpoint can still give one before the caller leaves.
	slowFactor = 2
	// streamSilence is how long callers wait for the next event of a stream.
	streamSilence = 2 * time.Second
	// watchAgain is the interval at which an attempt that should be left is
	// looked at again.
	watchAgain = 100 * time.Millisecond
	// maxUnreached bounds the endpoints that are tried without reaching one.
	maxUnreached = 3
	// maxMoveWait bounds the wait of a request that left an endpoint; it is less
	// than half of streamSilence.
	maxMoveWait = 800 * time.Millisecond
	// retryAfterPerWaiting is the time in which one waiting request is served.
	retryAfterPerWaiting = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the pause asked of a refused caller.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 2500 * time.Millisecond
)

// verdict says what one attempt means for the request.
type verdict int

const (
	// delivered: the caller has its answer, or left.
	delivered verdict = iota
	// unreached: the endpoint never got the request.
	unreached
	// rejected: the endpoint didn't run the request.
	rejected
	// lost: the endpoint may have run the request; there is no usable answer.
	lost
	// failed: the endpoint ran the request and answered with a failure.
	failed
)

// String implements fmt.Stringer.
func (v verdict) String() string {
	return [...]string{"delivered", "unreached", "rejected", "lost", "failed"}[v]
}

// serve sends the request to endpoints until one answers or no other may be tried.
func (x *exchange) serve() *api.Refusal {
	ctx, cancel := x.context()
	defer cancel()
	budget := x.h.budget(x.service)
	budget.RecordRequest()
	misses := 0
	var last verdict
	for {
		if x.remaining() < minRemaining {
			return x.giveUp(last)
		}
		pick, why := x.place(ctx)
		if pick == nil {
			return x.noPlace(why, last)
		}
		if x.attempts > 0 && !x.takeRepeat(budget) {
			pick.Inconclusive()
			x.cause = errors.Join(x.cause, errBudget)
			return x.giveUp(last)
		}
		last = x.attempt(ctx, pick, budget)
		x.h.cfg.Stats.attempt(last)
		switch last {
		case delivered:
			return nil
		case unreached:
			if misses++; misses >= maxUnreached {
				return x.giveUp(last)
			}
		case rejected:
			x.attempts++
		case lost, failed:
			x.attempts++
			x.mayHaveRun = true
			if !x.route.Retryable() {
				return x.giveUp(last)
			}
		}
		x.tried = append(x.tried, pick.Endpoint)
		if x.attempts >= x.route.MaxAttempts || x.callerLeft() {
			return x.giveUp(last)
		}
	}
}

// takeRepeat takes a repeat from the budget, unless one was taken before the
// last attempt was ended.
func (x *exchange) takeRepeat(budget *fleet.RetryBudget) bool {
	return x.reserved.Swap(false) || budget.TakeRetry(x.h.cfg.Fleet.Entries())
}

// place waits for an endpoint.
func (x *exchange) place(ctx context.Context) (*fleet.Pick, fleet.Availability) {
	began := time.Now()
	ask := &fleet.Request{Service: x.service, Priority: x.priority, Exclude: x.tried, MaxWait: x.maxWait()}
	pick, why := x.h.cfg.Fleet.Acquire(ctx, ask)
	x.waited += time.Since(began)
	if pick != nil {
		x.endpoint, x.load, x.age = pick.Endpoint.ID, pick.Load, pick.ReportAge
	}
	return pick, why
}

// maxWait is how long a request may wait for an endpoint: while its answer can
// still be on time, but no longer than it is worth to the caller. One that may
// have run already, on a group that stood still, can't be refused as not run;
// for it a late answer is better than none.
func (x *exchange) maxWait() time.Duration {
	if x.mayHaveRun {
		return min(maxMoveWait, x.remaining()/4)
	}
	return min(x.route.TargetLatency-time.Since(x.arrived), x.remaining()/4)
}

// noPlace refuses a request for which there is no endpoint.
func (x *exchange) noPlace(why fleet.Availability, last verdict) *api.Refusal {
	if x.attempts > 0 || x.mayHaveRun {
		return x.giveUp(last)
	}
	if x.callerLeft() {
		return api.NotRun(api.KindCancelled, "the caller left", "none")
	}
	if why == fleet.Unavailable {
		x.retryAfter(x.pause())
		return api.NotRun(api.KindNoEndpoint, "no endpoint of the service can take the request", "try again after the given time")
	}
	x.retryAfter(x.pause())
	return api.NotRun(api.KindOverloaded, "all endpoints of the service are busy", "try again after the given time")
}

// pause is when a refused caller should come back: later the more requests wait.
func (x *exchange) pause() time.Duration {
	waiting := x.h.cfg.Fleet.Waiting(x.service)
	d := minRetryAfter + time.Duration(waiting)*retryAfterPerWaiting
	return min(d, maxRetryAfter, x.remaining()/4)
}

// giveUp ends a request that no endpoint answered.
func (x *exchange) giveUp(last verdict) *api.Refusal {
	switch {
	case x.callerLeft():
		return api.Unknown(api.KindCancelled, "the caller left", "none")
	case !x.mayHaveRun && x.remaining() < minRemaining:
		return api.NotRun(api.KindOverloaded, "no endpoint could take the request in time", "send it again with a later deadline")
	case !x.mayHaveRun:
		x.retryAfter(x.pause())
		return api.NotRun(api.KindOverloaded, "no endpoint took the request", "try again after the given time")
	case x.remaining() < minRemaining:
		return api.Unknown(api.KindTimeout, "no answer came in time", "check whether the request ran before sending it again")
	}
	return api.Unknown(api.KindEndpointFailed, "the endpoint gave no whole answer", "check whether the request ran before sending it again")
}

// attempt sends the request to one endpoint and passes its answer on.
func (x *exchange) attempt(ctx context.Context, pick *fleet.Pick, budget *fleet.RetryBudget) verdict {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go x.watch(ctx, pick, budget, x.mayMove(), time.Now().Add(x.patience()), cancel)
	resp, err := x.h.cfg.Client.Do(ctx, pick.Endpoint.Address, x.request(pick.Endpoint.ID))
	if err != nil {
		x.cause = err
		switch {
		case upstream.NotSent(err) && ctx.Err() == nil:
			pick.Unreachable()
			return unreached
		case upstream.NotSent(err):
			pick.Inconclusive()
			return unreached
		case context.Cause(ctx) == errStandsStill, context.Cause(ctx) == errSilent:
			pick.Inconclusive()
			return lost
		case x.callerLeft():
			pick.Inconclusive()
			return delivered
		}
		pick.Unreachable()
		return lost
	}
	defer resp.Close()
	names := &x.h.cfg.Headers
	if load, ok := x.h.cfg.ParseLoad(resp.Header.Get(names.Load)); ok {
		pick.RecordLoad(load)
	}
	if resp.Header.Get(names.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest {
		x.drainRejection(resp)
		switch {
		case resp.Header.Get(names.FailedRank) != "":
			pick.Unreachable()
		case resp.Status == http.StatusMisdirectedRequest:
			pick.Misdirected()
		default:
			pick.Rejected()
		}
		return rejected
	}
	if id := resp.Header.Get(names.RequestID); id != x.id {
		// The answer belongs to another request; the connection is out of step.
		pick.Unreachable()
		return lost
	}
	return x.deliver(ctx, pick, resp)
}

// watch ends an attempt at an endpoint whose group stands still, or that is
// silent for long, if another endpoint may be tried. Without a repeat left in
// the budget the attempt goes on: a late answer is better than none. move says
// whether another endpoint may be tried, patience until when one that works is
// waited for. ctx ends with the attempt.
func (x *exchange) watch(ctx context.Context, pick *fleet.Pick, budget *fleet.RetryBudget, move bool, patience time.Time, cancel context.CancelCauseFunc) {
	slow := time.NewTimer(slowFactor * x.route.TargetLatency)
	defer slow.Stop()
	broken := pick.Stalled
	if !move {
		broken = nil
	}
	var why error
	for {
		select {
		case <-ctx.Done():
			return
		case <-broken:
			broken, why = nil, errStandsStill
		case <-slow.C:
			if why == errStandsStill && pick.ReportsHealthy() || why == errSilent && x.begun.Load() {
				why = nil // it got on while no repeat was left
				broken = pick.NextStall()
			}
			if why == nil && x.begun.Load() {
				continue // from now on only a group that stands still matters
			}
			if why == nil && pick.ReportsHealthy() && time.Now().Before(patience) {
				// It works, but for others first. Leaving it would only repeat what
				// it has done for this request.
				slow.Reset(watchAgain)
				continue
			}
			if why == nil {
				why = errSilent
				pick.RecordSlowStart()
			}
		}
		if !move {
			return
		}
		if budget.TakeRetry(x.h.cfg.Fleet.Entries()) {
			x.reserved.Store(true)
			cancel(why)
			return
		}
		slow.Reset(watchAgain)
	}
}

// patience is how long an answer is waited for at an endpoint that works. What
// is left then is enough for an idle endpoint to begin an answer.
func (x *exchange) patience() time.Duration {
	d := x.remaining()
	if x.route.Kind == routing.Streaming {
		d = min(d, streamSilence)
	}
	return d / 2
}

// errSilent ends an attempt at an endpoint that doesn't begin its answer.
var errSilent = errors.New("the endpoint doesn't begin its answer; another endpoint is tried")

// errBudget keeps a request from another attempt.
var errBudget = errors.New("the budget for repeats is spent")

// errStandsStill ends an attempt at an endpoint whose group stands still.
var errStandsStill = errors.New("the endpoint's rank group stands still; another endpoint is tried")

// mayMove reports whether the request may be sent to another endpoint while
// this one may have run it.
func (x *exchange) mayMove() bool {
	return x.route.Retryable() && x.attempts+1 < x.route.MaxAttempts
}

// drainRejection reads a short rejection so that its connection can be kept.
func (x *exchange) drainRejection(resp *upstream.Response) {
	if _, err := resp.ReadAll(maxBuffered); err != nil {
		x.cause = err
	}
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// connectionTokens returns the headers that a Connection header names.
func connectionTokens(h http.Header) map[string]bool {
	values := h.Values("Connection")
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, v := range values {
		for _, token := range strings.Split(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return named
}

// request builds the request to an endpoint.
func (x *exchange) request(endpoint string) *upstream.Request {
	names := &x.h.cfg.Headers
	named := connectionTokens(x.r.Header)
	header := make(http.Header, len(x.r.Header)+3)
	for name, values := range x.r.Header {
		if hopHeaders[name] || named[name] && !x.ownHeader(name) {
			continue
		}
		header[name] = values
	}
	header.Del("Authorization")
	header.Del(names.Priority)
	header.Del(names.Organisation)
	if x.organisation != nil {
		header.Set(names.Organisation, x.organisation.Name)
	}
	header.Set(names.Target, endpoint)
	header.Set(names.Deadline, strconv.FormatInt(max(1, x.remaining().Milliseconds()), 10))
	if x.relay.lastEvent != "" {
		header.Set(names.LastEventID, x.relay.lastEvent)
	}
	return &upstream.Request{Method: x.r.Method, Target: x.target, Host: x.r.Host, Header: header, Body: x.body}
}

// ownHeader reports whether a header of the request must reach the endpoint
// even if the caller's Connection header names it.
func (x *exchange) ownHeader(name string) bool {
	names := &x.h.cfg.Headers
	switch name {
	case names.RequestID, names.TokenUsage, names.PromptParts, names.LastEventID, names.ExpectVersion, names.Model:
		return true
	}
	return false
}
