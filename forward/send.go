package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/fleet"
	"github.com/wasabinotch/wasabinotch/quarantine"
	"github.com/wasabinotch/wasabinotch/routing"
	"github.com/wasabinotch/wasabinotch/upstream"
)

const (
	// minRemaining is the least time before the deadline at which a request is
	// still sent; no endpoint responds sooner.
	minRemaining = 15 * time.Millisecond
	// overdueFactor times the target latency is the time after which a response
	// that hasn't begun is overdue, unless load reports show that the endpoint
	// works (see watch). By then the response is late, and another endpoint can
	// still give one before the caller gives up.
	overdueFactor = 2
	// streamSilence is how long callers wait for the next event of a stream.
	streamSilence = 2 * time.Second
	// watchInterval is the interval at which watch checks an attempt again that
	// it didn't cancel: because the endpoint works and may take longer, or
	// because the retry budget was spent.
	watchInterval = 100 * time.Millisecond
	// maxUnreached bounds the number of endpoints to which the request couldn't
	// be sent. These attempts don't count towards the route's MaxAttempts.
	maxUnreached = 3
	// maxFailoverWait bounds the wait for another endpoint after an endpoint may
	// have run the request. It is less than half of streamSilence: the first
	// endpoint can have used the other half (see maxResponseWait), and the next
	// event must still arrive before the caller gives up.
	maxFailoverWait = 800 * time.Millisecond
	// baseRetryAfter is the least range over which callers return after a pause.
	baseRetryAfter = 300 * time.Millisecond
	// maxRetryAfter is the longest Retry-After time, and maxRetryAfterShare the longest one
	// as a fraction of the time left, beyond which callers don't wait.
	maxRetryAfter      = 2500 * time.Millisecond
	maxRetryAfterShare = 0.3
	// maxStartWait bounds the time from the arrival of a request whose target latency is
	// shorter to its place at an endpoint. The first event of a stream must still arrive
	// within streamSilence.
	maxStartWait = streamSilence / 2
)

// verdict classifies the result of one attempt at an endpoint.
type verdict int

const (
	// delivered: no other endpoint can help, since the caller has its response,
	// has disconnected, or has received a part of a long response that broke off.
	delivered verdict = iota
	// unreached: the endpoint never got the request.
	unreached
	// rejected: the endpoint didn't run the request.
	rejected
	// lost: the endpoint may have run the request; there is no usable response.
	lost
	// failed: the endpoint responded with an error that doesn't say that the
	// request wasn't run. How much of it ran is unknown.
	failed
	// held: the request wasn't sent, since package quarantine holds a part of its prompt.
	held
)

// String implements fmt.Stringer.
func (v verdict) String() string {
	return [...]string{"delivered", "unreached", "rejected", "lost", "failed", "held"}[v]
}

// serve sends the request to endpoints until one responds or no other may be
// tried.
func (x *exchange) serve() *api.Refusal {
	ctx, cancel := x.context()
	defer cancel()
	budget := x.handler.retryBudget(x.service)
	budget.RecordRequest()
	if x.heldFor = x.handler.cfg.Quarantine.RetryAfter(x.service, x.promptParts); x.heldFor > 0 {
		return x.refuseHeld()
	}
	unreachedCount := 0
	var last verdict
	for {
		if x.remaining() < minRemaining {
			return x.giveUp(last)
		}
		pick, availability := x.acquire(ctx)
		if pick == nil {
			return x.refuseUnplaced(availability, last)
		}
		if x.attempts > 0 && !x.takeRetry(budget) {
			pick.EndInconclusive()
			x.cause = errors.Join(x.cause, errRetryBudgetSpent)
			return x.giveUp(last)
		}
		last = x.attempt(ctx, pick, budget)
		x.handler.cfg.Stats.countAttempt(last)
		switch last {
		case delivered:
			return nil
		case held:
			return x.refuseHeld()
		case unreached:
			if unreachedCount++; unreachedCount >= maxUnreached {
				return x.giveUp(last)
			}
		case rejected:
			x.attempts++
		case lost, failed:
			x.attempts++
			x.mayHaveRun = true
			if x.brokeOff {
				x.recordBreak(pick)
			}
			if !x.route.Retryable() {
				return x.giveUp(last)
			}
		}
		x.tried = append(x.tried, pick.Endpoint)
		if x.attempts >= x.route.MaxAttempts || x.callerDisconnected() {
			return x.giveUp(last)
		}
	}
}

// takeRetry takes a retry from the budget, unless watch already took one when
// it cancelled the previous attempt.
func (x *exchange) takeRetry(budget *fleet.RetryBudget) bool {
	return x.retryReserved.Swap(false) || budget.TakeRetry(x.handler.cfg.Fleet.RetryPart())
}

// acquire waits for an endpoint with capacity.
func (x *exchange) acquire(ctx context.Context) (*fleet.Pick, fleet.Availability) {
	began := time.Now()
	pick, availability := x.handler.cfg.Fleet.Acquire(ctx, x.fleetRequest())
	x.waited += time.Since(began)
	x.handler.cfg.Stats.countAdmission(availability)
	if pick != nil {
		x.lastEndpoint, x.lastLoad, x.lastLoadAge, x.lastRateLimit = pick.Endpoint.ID, pick.Load, pick.ReportAge, pick.RateLimit
		x.lastScore = pick.Score
		x.lastStepTime = pick.StepTime
	}
	return pick, availability
}

// fleetRequest describes the request to the fleet.
func (x *exchange) fleetRequest() *fleet.Request {
	request := &fleet.Request{
		Service: x.service, Priority: x.rank(), Exclude: x.tried, MaxWait: x.maxAcquireWait(),
		Kind: x.route.Name, Cost: x.cost(), Work: x.work, Aim: x.aim(), Deadline: x.deadline,
	}
	if x.organisation != nil {
		request.Organisation = x.organisation.Name
	}
	return request
}

// rank returns the request's place among the ranks of its service.
func (x *exchange) rank() int { return x.config.Rank(x.service, x.route, x.organisation) }

// aim returns the time from which the response is late.
func (x *exchange) aim() time.Time { return x.arrived.Add(x.route.TargetLatency) }

// cost returns the seconds for which the request is expected to occupy a slot of the
// service's engines, 0 if unknown.
func (x *exchange) cost() float64 {
	service := x.config.Service(x.service)
	if service == nil || service.Engine == nil {
		return 0
	}
	return service.Engine.SlotSeconds(x.work.PromptTokens, x.work.ResponseTokens)
}

// maxAcquireWait returns how long the request may wait for an endpoint: until the target
// latency or maxStartWait has passed since its arrival, whichever is later, since a late
// response is better than none; but at most a quarter of the time left, since a longer wait
// isn't worth it to the caller. A request that may have run already, such as one on a group
// that stalled, can't be refused as not run; it waits up to maxFailoverWait.
func (x *exchange) maxAcquireWait() time.Duration {
	quarter := x.remaining() / 4
	if x.mayHaveRun {
		return min(maxFailoverWait, quarter)
	}
	return min(quarter, max(x.route.TargetLatency, maxStartWait)-time.Since(x.arrived))
}

// refuseUnplaced returns the refusal of a request for which no endpoint could be
// acquired.
func (x *exchange) refuseUnplaced(availability fleet.Availability, last verdict) *api.Refusal {
	if availability == fleet.Paused && !x.mayHaveRun && !x.callerDisconnected() {
		return x.refusePaused()
	}
	if x.attempts > 0 || x.mayHaveRun {
		return x.giveUp(last)
	}
	if x.callerDisconnected() {
		return api.NotRun(api.KindCancelled, "the caller left", "none")
	}
	if availability == fleet.TooLarge {
		// Callers return at the time that a refusal names; this one names none.
		x.cause = errors.Join(x.cause, errTooLarge)
		return api.NotRun(api.KindNoEndpoint, "the prompt exceeds the memory of every endpoint of the service", "send a shorter prompt")
	}
	x.setRetryAfter(x.retryAfterDelay(availability))
	x.cause = errors.Join(x.cause, errors.New(x.handler.cfg.Fleet.Obstacles(x.fleetRequest()).String()))
	switch availability {
	case fleet.Unavailable:
		return api.NotRun(api.KindNoEndpoint, "no endpoint of the service can take the request", "try again after the given time")
	case fleet.RateLimited:
		x.cause = errors.Join(x.cause, errRateLimited)
		return api.NotRun(api.KindOverloaded, "all endpoints of the service are at their rate limits", "try again after the given time")
	case fleet.NotInTime:
		x.cause = errors.Join(x.cause, errNotInTime)
	case fleet.Displaced:
		x.cause = errors.Join(x.cause, errDisplaced)
	}
	return api.NotRun(api.KindOverloaded, "all endpoints of the service are busy", "try again after the given time")
}

// refusePaused returns the refusal of a request that has not run while all endpoints of
// its service ask for a pause.
func (x *exchange) refusePaused() *api.Refusal {
	x.cause = errors.Join(x.cause, errPaused)
	left, _ := x.handler.cfg.Fleet.PausedFor(x.service, x.tried)
	x.setRetryAfter(spread(left))
	return api.NotRun(api.KindOverloaded, "all endpoints of the service ask for a pause", "try again after the given time")
}

// spread returns a random time after a pause at which a refused caller may return, so
// that callers don't return together when an endpoint takes requests again.
func spread(pause time.Duration) time.Duration {
	return pause + rand.N(max(baseRetryAfter, pause/2))
}

// errPaused is the logged cause if all endpoints have asked for a pause. Package explain
// recognises it by the words "ask for a pause".
var errPaused = errors.New("all endpoints ask for a pause")

// errRateLimited is the logged cause if the rate limits that the endpoints name leave no
// room for the request. Package explain recognises it by the words "rate limits".
var errRateLimited = errors.New("all endpoints are at the rate limits that they named")

// errNotInTime and errDisplaced are the logged causes of refusals by the forecast and by a
// full queue. Package explain recognises them by the words "expected to come free in time"
// and "full of requests that go first".
var (
	errNotInTime = errors.New("no endpoint is expected to come free in time")
	errDisplaced = errors.New("the queue is full of requests that go first")
)

// errTooLarge is the logged cause if no endpoint can hold the prompt. Package explain
// recognises it by the words "memory of every endpoint".
var errTooLarge = errors.New("the prompt exceeds the memory of every endpoint")

// retryAfterDelay returns the Retry-After time of a refusal: when the request can be
// expected to be served, at most as long as the caller waits.
func (x *exchange) retryAfterDelay(why fleet.Availability) time.Duration {
	limit := time.Duration(maxRetryAfterShare * float64(x.remaining()))
	return x.handler.cfg.Fleet.RetryAfter(x.fleetRequest(), why, min(maxRetryAfter, limit))
}

// giveUp returns the refusal of a request for which no endpoint gave a usable
// response. A refusal for a disconnected caller isn't sent; only its kind is
// logged and counted, so its outcome doesn't matter.
func (x *exchange) giveUp(last verdict) *api.Refusal {
	switch {
	case x.callerDisconnected():
		return api.Unknown(api.KindCancelled, "the caller left", "none")
	case !x.mayHaveRun && x.remaining() < minRemaining:
		return api.NotRun(api.KindOverloaded, "no endpoint could take the request in time", "send it again with a later deadline")
	case !x.mayHaveRun:
		x.setRetryAfter(x.retryAfterDelay(fleet.AllBusy))
		return api.NotRun(api.KindOverloaded, "no endpoint took the request", "try again after the given time")
	case x.remaining() < minRemaining:
		return api.Unknown(api.KindTimeout, "no answer came in time", "check whether the request ran before sending it again")
	}
	return api.Unknown(api.KindEndpointFailed, "the endpoint gave no whole answer", "check whether the request ran before sending it again")
}

// attempt sends the request to one endpoint and relays its response.
func (x *exchange) attempt(ctx context.Context, pick *fleet.Pick, budget *fleet.RetryBudget) verdict {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.brokeOff = false
	var guard *quarantine.Attempt
	if guard, x.heldFor = x.handler.cfg.Quarantine.Begin(x.service, x.promptParts, crashName(pick.Endpoint), cancel); guard == nil {
		pick.EndInconclusive()
		return held
	}
	defer guard.End()
	go x.watch(ctx, pick, budget, x.mayFailOver(), time.Now().Add(x.maxResponseWait()), cancel)
	resp, err := x.handler.cfg.Client.Do(ctx, pick.Endpoint.Address, x.endpointRequest(pick))
	if err != nil {
		x.cause = err
		switch {
		case upstream.NotSent(err) && ctx.Err() == nil:
			pick.EndUnusable()
			return unreached
		case upstream.NotSent(err):
			pick.EndInconclusive()
			return unreached
		case context.Cause(ctx) == errGroupStalled, context.Cause(ctx) == errResponseOverdue, context.Cause(ctx) == quarantine.ErrHeld:
			pick.EndInconclusive()
			return lost
		case x.callerDisconnected():
			pick.EndInconclusive()
			return delivered
		}
		pick.EndUnusable()
		x.brokeOff = true
		return lost
	}
	defer resp.Close()
	names := &x.handler.cfg.Headers
	if resp.Header.Get(names.RequestID) != x.requestID {
		// Whatever the response says, even that a request didn't run, it says of another
		// request: responses on the connection no longer match the requests.
		x.cause = errOtherResponse
		pick.EndUnusable()
		return lost
	}
	if load, ok := x.handler.cfg.ParseLoad(resp.Header.Get(names.Load)); ok {
		pick.RecordLoad(load)
	}
	x.recordRateLimit(pick, resp)
	x.recordNotice(pick, resp)
	if resp.Header.Get(names.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest {
		guard.Rejected()
		x.drainRejection(resp)
		switch {
		case resp.Status == http.StatusMisdirectedRequest:
			pick.EndMisdirected() // it names a failed rank, too: itself
		case resp.Header.Get(names.FailedRank) != "":
			pick.EndUnusable()
		default:
			pick.EndRejected()
		}
		return rejected
	}
	pick.RecordBegin()
	return x.deliver(ctx, pick, guard, resp)
}

// recordRateLimit records the rate limit that a response names. Only a response that is
// certain to be the endpoint's own shows that it names none.
func (x *exchange) recordRateLimit(pick *fleet.Pick, resp *upstream.Response) {
	names := &x.handler.cfg.Headers
	if resp.Status == http.StatusMisdirectedRequest {
		return
	}
	value := resp.Header.Get(names.RateLimit)
	limit, ok := x.handler.cfg.ParseRateLimit(value)
	if !ok {
		x.handler.cfg.Log.Info("Malformed rate limit ignored.", "endpoint", pick.Endpoint.ID, "value", value)
		return
	}
	if !limit.Named && resp.Header.Get(names.Signature) == "" {
		return
	}
	changed, tell := pick.RecordRateLimit(limit)
	if tell {
		x.handler.cfg.TellRateLimit(pick.Endpoint.ID, limit)
	}
	if changed {
		x.handler.cfg.Log.Info("Endpoint changed its rate limit.", "endpoint", pick.Endpoint.ID, "per_second", limit.String(), "source", "response", "request", x.requestID)
	}
}

// recordNotice records that the endpoint leaves, or that it asks for a pause, if a
// response says so.
func (x *exchange) recordNotice(pick *fleet.Pick, resp *upstream.Response) {
	cfg := &x.handler.cfg
	if resp.Status == http.StatusMisdirectedRequest {
		return // another endpoint at the address responded
	}
	if cfg.ParseLeaving(resp.Header.Get(cfg.Headers.Leaving)) && pick.RecordLeaving() {
		cfg.TellLeaving(pick.Run())
		cfg.Log.Info("Endpoint leaves.", "endpoint", pick.Endpoint.ID, "source", "response", "request", x.requestID)
	}
	if resp.Status != http.StatusServiceUnavailable {
		pick.RecordTaken()
		return
	}
	value := resp.Header.Get("Retry-After")
	d, ok := cfg.ParsePause(value)
	switch {
	case !ok:
		cfg.Log.Info("Malformed Retry-After ignored.", "endpoint", pick.Endpoint.ID, "value", value)
	case d > 0:
		pick.RecordPause(d)
		cfg.Log.Info("Endpoint asks for a pause.", "endpoint", pick.Endpoint.ID, "pause_ms", d.Milliseconds(), "request", x.requestID)
	}
}

// refuseHeld returns the refusal of a request with a part that is held.
func (x *exchange) refuseHeld() *api.Refusal {
	x.cause = errors.Join(x.cause, quarantine.ErrHeld)
	if x.mayHaveRun {
		return api.Unknown(api.KindEndpointFailed, "the endpoint gave no whole answer, and a part of the prompt is held", "send the request without the part")
	}
	x.setRetryAfter(x.heldFor)
	return api.NotRun(api.KindQuarantined, "a part of the prompt is held because endpoints crashed on it", "send the request without the part, or again after the given time")
}

// recordBreak reports the crash of an endpoint that broke off a request before its
// answer began, if nothing listens there any more. It waits for the result only if the
// request may have caused the crash, since it must then not be sent to another endpoint.
func (x *exchange) recordBreak(pick *fleet.Pick) {
	if len(x.promptParts) == 0 || pick.Leaving() {
		return
	}
	h, endpoint, service, parts := x.handler, pick.Endpoint, x.service, x.promptParts
	request, cause := x.requestID, x.cause
	report := func() {
		gone := h.cfg.Client.Refuses(context.Background(), endpoint.Address) // the caller may have left; the dial timeout bounds it
		h.cfg.Log.Info("Endpoint broke off before the first event.", "request", request, "endpoint", endpoint.ID, "gone", gone, "parts", parts, "cause", cause.Error())
		if gone {
			h.cfg.Quarantine.ReportCrash(crashName(endpoint), service, parts)
		}
	}
	if h.cfg.Quarantine.Suspected(service, parts) {
		report()
	} else {
		go report()
	}
}

// crashName returns the name of the crash that ends an incarnation of an endpoint.
func crashName(endpoint *fleet.Endpoint) string {
	return endpoint.ID + "@" + strconv.FormatInt(endpoint.Incarnation, 10)
}

// watch cancels an attempt if the endpoint's rank group stalls or if its
// response is overdue, provided that mayFailOver is set and the budget has a
// retry left. Without one the attempt continues: a late response is better than
// none. If the endpoint's load reports show that it works, its response isn't
// overdue before waitUntil. ctx ends with the attempt.
func (x *exchange) watch(ctx context.Context, pick *fleet.Pick, budget *fleet.RetryBudget, mayFailOver bool, waitUntil time.Time, cancel context.CancelCauseFunc) {
	recheck := time.NewTimer(overdueFactor * x.route.TargetLatency)
	defer recheck.Stop()
	stalled := pick.Stalled
	if !mayFailOver {
		stalled = nil
	}
	var reason error
	for {
		select {
		case <-ctx.Done():
			return
		case <-stalled:
			stalled, reason = nil, errGroupStalled
		case <-recheck.C:
			if reason == errGroupStalled && pick.ReportsHealthy() || reason == errResponseOverdue && x.responseStarted.Load() {
				reason = nil // it recovered while no retry was left
				stalled = pick.NextStall()
			}
			if reason == nil && x.responseStarted.Load() {
				continue // a response that has begun is abandoned only if the group stalls
			}
			if reason == nil && pick.ReportsHealthy() && time.Now().Before(waitUntil) {
				// The endpoint works, but serves other requests first. Another
				// endpoint would only repeat the work done for this request.
				recheck.Reset(watchInterval)
				continue
			}
			if reason == nil {
				reason = errResponseOverdue
				pick.RecordSlowStart()
			}
		}
		if !mayFailOver {
			return
		}
		if budget.TakeRetry(x.handler.cfg.Fleet.RetryPart()) {
			x.retryReserved.Store(true)
			cancel(reason)
			return
		}
		recheck.Reset(watchInterval)
	}
}

// maxResponseWait returns how long a working endpoint may take to begin its
// response. The time left after it is enough for an idle endpoint to begin one.
func (x *exchange) maxResponseWait() time.Duration {
	d := x.remaining()
	if x.route.Kind == routing.Streaming {
		d = min(d, streamSilence)
	}
	return d / 2
}

// Package explain recognises the following three errors in the log by the words
// "doesn't begin", "budget for repeats" and "stands still".

// errResponseOverdue cancels an attempt at an endpoint that doesn't begin its
// response.
var errResponseOverdue = errors.New("the endpoint doesn't begin its response; another endpoint is tried")

// errRetryBudgetSpent is the logged cause if the retry budget allows no other
// attempt.
var errRetryBudgetSpent = errors.New("the budget for repeats is spent")

// errOtherResponse is the logged cause if a response bears the ID of another request, or
// none.
var errOtherResponse = errors.New("the endpoint's response belongs to another request")

// errGroupStalled cancels an attempt at an endpoint whose rank group stalled.
var errGroupStalled = errors.New("the endpoint's rank group stands still; another endpoint is tried")

// mayFailOver reports whether the request may be sent to another endpoint
// although the current one may have run it.
func (x *exchange) mayFailOver() bool {
	return x.route.Retryable() && x.attempts+1 < x.route.MaxAttempts
}

// drainRejection reads the body of a rejection so that its connection can be
// reused.
func (x *exchange) drainRejection(resp *upstream.Response) {
	if _, err := resp.ReadAll(maxBufferedBytes); err != nil {
		x.cause = err
	}
}

// droppedHeaders are not forwarded in either direction: the hop-by-hop headers;
// Content-Length, which is set anew; and Expect, since the entry reads the whole
// body before it sends the request.
var droppedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// connectionTokens returns the names of the headers that the Connection header
// lists as hop-by-hop.
func connectionTokens(h http.Header) map[string]bool {
	values := h.Values("Connection")
	if len(values) == 0 {
		return nil
	}
	listed := make(map[string]bool)
	for _, v := range values {
		for _, token := range strings.Split(v, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return listed
}

// endpointRequest builds the request to an endpoint.
func (x *exchange) endpointRequest(pick *fleet.Pick) *upstream.Request {
	names := &x.handler.cfg.Headers
	connectionListed := connectionTokens(x.r.Header)
	header := make(http.Header, len(x.r.Header)+3)
	for name, values := range x.r.Header {
		if droppedHeaders[name] || connectionListed[name] && !x.alwaysForwarded(name) {
			continue
		}
		header[name] = values
	}
	header.Del("Authorization")
	header.Del(names.Priority)
	if ranks := x.config.Ranks(x.service); ranks > 1 {
		place, late := x.rank(), !time.Now().Before(x.aim())
		if pick.Expedited {
			place, late = 0, false
		}
		header.Set(names.Priority, x.handler.cfg.FormatPriority(place, ranks, late))
	}
	header.Del(names.Organisation)
	if x.organisation != nil {
		header.Set(names.Organisation, x.organisation.Name)
	}
	header.Set(names.Target, pick.Endpoint.ID)
	header.Set(names.Deadline, strconv.FormatInt(max(1, x.remaining().Milliseconds()), 10))
	if x.response.lastEventID != "" {
		header.Set(names.LastEventID, x.response.lastEventID)
	}
	req := &upstream.Request{Method: x.r.Method, Target: x.target, Host: x.r.Host, Header: header}
	if len(x.body) > 0 {
		req.Body, req.Rest = x.body[0], x.body[1:]
	}
	return req
}

// alwaysForwarded reports whether a header must reach the endpoint even if the
// caller's Connection header lists it as hop-by-hop. The endpoint needs these to
// run the request as the caller means it, and to return the request ID, without
// which its response is discarded.
func (x *exchange) alwaysForwarded(name string) bool {
	names := &x.handler.cfg.Headers
	switch name {
	case names.RequestID, names.TokenUsage, names.PromptParts, names.LastEventID, names.ExpectVersion, names.Model:
		return true
	}
	return false
}
