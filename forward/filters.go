package forward

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/limits"
)

// identify determines the request's ID, route, service and deadline. A draining
// process then refuses what may outlast it.
func (x *exchange) identify() *api.Refusal {
	names := &x.handler.cfg.Headers
	ids := x.r.Header.Values(names.RequestID)
	if len(ids) == 1 {
		x.requestID = ids[0] // refusals carry it too
	}
	if x.config == nil {
		x.setRetryAfter(noConfigRetryAfter)
		return api.NotRun(api.KindNoBundle, "this entry has no configuration yet", "try another entry")
	}
	if len(ids) != 1 || ids[0] == "" {
		return api.NotRun(api.KindBadRequest, "the request has no single "+names.RequestID, "send one "+names.RequestID+" header")
	}
	x.target = x.r.URL.RequestURI()
	if strings.HasPrefix(x.r.RequestURI, "/") {
		x.target = x.r.RequestURI
	}
	path, _, _ := strings.Cut(x.target, "?")
	x.route = x.config.Match(x.r.Host, path)
	if x.route == nil {
		return api.NotRun(api.KindUnknownService, "no route matches host and path", "check the host and the path")
	}
	x.service = x.config.Target(x.route, x.requestID)
	if v := x.r.Header.Get(names.PromptParts); v != "" {
		x.promptParts = x.handler.cfg.SharedParts(v)
	}
	x.work = x.handler.cfg.ParseWork(x.r.Header.Get(names.TokenUsage), x.r.Header.Get(names.LengthHint), x.r.Header.Get(names.PromptParts))
	x.deadline = x.arrived.Add(x.route.Timeout)
	if v := x.r.Header.Get(names.Deadline); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || !(ms > 0 && ms <= maxDeadline.Seconds()*1000) { // also NaN
			return api.NotRun(api.KindBadRequest, names.Deadline+" is not a number of milliseconds", "send a positive number")
		}
		if d := x.arrived.Add(time.Duration(ms * float64(time.Millisecond))); d.Before(x.deadline) {
			x.deadline = d
		}
	}
	if d := x.handler.drain.Load(); d != nil && !d.accepts(x.arrived, x.deadline) {
		x.setRetryAfter(0)
		x.cause = errShuttingDown
		return api.NotRun(api.KindOverloaded, "this entry is shutting down", "try another entry")
	}
	return nil
}

const (
	// maxDeadline bounds the deadline that a caller may set.
	maxDeadline = 24 * time.Hour
	// noConfigRetryAfter is the time in which a starting entry reads its
	// configuration.
	noConfigRetryAfter = 200 * time.Millisecond
	// bearerScheme is the scheme of API keys. Schemes are case-insensitive (RFC 9110, section 11.1).
	bearerScheme = "bearer"
)

// authorise finds the organisation that holds the caller's key. Only a request without
// credentials is anonymous: one whose key is unknown, or was removed, is refused on every
// route.
func (x *exchange) authorise() *api.Refusal {
	credentials := x.r.Header.Values("Authorization")
	anonymous := len(credentials) == 0 || len(credentials) == 1 && credentials[0] == ""
	if len(credentials) == 1 { // of several, it isn't known which one counts
		scheme, key, ok := strings.Cut(credentials[0], " ")
		if ok && strings.EqualFold(scheme, bearerScheme) {
			x.organisation = x.config.Organisation(strings.TrimLeft(key, " "))
		}
	}
	if x.organisation != nil || anonymous && !x.config.NeedsKey(x.route) || !x.config.HasKeys() {
		return nil
	}
	return api.NotRun(api.KindUnauthenticated, "the API key is missing or unknown",
		"send one key of the current configuration as a bearer token; a route that allows anonymous requests also takes those without an Authorization header")
}

// readBody reads the whole request body, so that it can be sent more than once.
func (x *exchange) readBody() *api.Refusal {
	if x.r.Body != nil && x.r.ContentLength != 0 {
		if refusal := x.collectBody(); refusal != nil {
			return refusal
		}
	}
	x.claim.EndWait()
	if x.claim.Revoked() { // after the last byte had arrived
		return x.refuseBody(limits.ErrRevoked)
	}
	x.bodyRead = true
	if !limits.RequestRead(x.r.Context()) {
		x.cause = errConnectionDisplaced
		return api.NotRun(api.KindOverloaded, "the connection was closed for another one", "try again on a new connection")
	}
	return nil
}

// errConnectionDisplaced is the logged cause if a connection was closed while its request was read.
var errConnectionDisplaced = errors.New("the connection was closed for another one before the request was passed on")

// collectBody reads the body into memory that is claimed.
func (x *exchange) collectBody() *api.Refusal {
	rc := http.NewResponseController(x.w)
	if err := rc.SetReadDeadline(x.deadline); err != nil {
		x.handler.cfg.Log.Error(err, "Cannot set the read deadline for a body.", "request", x.requestID)
	}
	body, err := limits.ReadBody(x.r.Body, x.r.ContentLength, x.config.Limits.BodyBytes, x.claim)
	if err != nil {
		return x.refuseBody(err)
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		x.handler.cfg.Log.Error(err, "Cannot clear the read deadline.", "request", x.requestID)
	}
	x.body = body
	return nil
}

// refuseBody returns the refusal of a request whose body wasn't read to its end. No
// endpoint has got any of it.
func (x *exchange) refuseBody(err error) *api.Refusal {
	x.claim.Release() // before a response for which the caller may make the entry wait
	x.endedRead = errors.Is(err, limits.ErrSpent) || errors.Is(err, limits.ErrRevoked) || errors.Is(err, os.ErrDeadlineExceeded)
	x.w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, limits.ErrTooLarge):
		return api.NotRun(api.KindTooLarge, "the body is over the limit", "send a smaller body")
	case errors.Is(err, limits.ErrSpent), errors.Is(err, limits.ErrRevoked):
		x.cause = err
		x.setRetryAfter(spread(baseRetryAfter))
		return api.NotRun(api.KindOverloaded, "this entry has no memory left for the body", "try again after the given time")
	}
	x.cause = err
	if x.remaining() <= 0 {
		return api.NotRun(api.KindRequestTimeout, "the body did not arrive in time", "send the request again")
	}
	return api.NotRun(api.KindBadRequest, "the body could not be read", "check the framing of the request")
}

// revoke makes the exchange return from its wait for the caller; see limits.Memory.Claim.
func (x *exchange) revoke() {
	if x.writing.Load() {
		limits.Abort(x.r.Context())
		return
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// writeToCaller runs a write of a part of the response. While the caller doesn't read, the
// claim may be revoked.
func (x *exchange) writeToCaller(write func() error) error {
	x.writing.Store(true)
	x.claim.Wait()
	err := write()
	x.claim.EndWait()
	x.writing.Store(false)
	return err
}

// errUnread is the logged cause if a caller didn't read its response by the deadline.
var errUnread = errors.New("the caller did not read its response by the deadline")

// unreadGrace is the time after the deadline in which a caller may still read what was sent.
const unreadGrace = 500 * time.Millisecond

// endUnread ends the response after the deadline if a write still waits for the caller
// then: an endpoint and its slot wait too. The returned function ends the watch, and
// reports whether the response was ended.
func (x *exchange) endUnread() (stop func() bool) {
	var ended atomic.Bool
	timer := time.AfterFunc(x.remaining()+unreadGrace, func() {
		if x.writing.Load() {
			ended.Store(true)
			limits.Abort(x.r.Context())
		}
	})
	return func() bool {
		timer.Stop()
		return ended.Load()
	}
}

// unreadBodyTime bounds the wait for the rest of a body that a refusal leaves unread.
const unreadBodyTime = 500 * time.Millisecond

// setRetryAfter sets the Retry-After header to d in seconds, as a decimal
// fraction.
func (x *exchange) setRetryAfter(d time.Duration) {
	x.w.Header().Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', -1, 64))
}

// errShuttingDown is the logged cause of refusals during shutdown. It
// distinguishes them from refusals of an overloaded entry; package explain looks
// for the words "shutting down".
var errShuttingDown = errors.New("this entry is shutting down")

// refuse ends a request with a response made by this entry.
func (x *exchange) refuse(refusal *api.Refusal) {
	if x.response.started || x.callerDisconnected() && !x.endedRead {
		// The response has begun, or the caller has disconnected.
		x.response.mustAbort = x.response.mustAbort || x.response.started
		x.response.outcome = string(refusal.Kind)
		return
	}
	if !x.bodyRead && x.r.ContentLength != 0 {
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(unreadBodyTime)) // fails only if the connection is closed
	}
	refusal.RequestID = x.requestID
	if x.requestID != "" {
		x.w.Header().Set(x.handler.cfg.Headers.RequestID, x.requestID)
	}
	x.response.outcome = string(refusal.Kind)
	x.response.status = refusal.Status()
	refusal.WriteHTTP(x.w)
}
