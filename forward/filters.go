package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
)

// identify finds the request's route, service and deadline.
func (x *exchange) identify() *api.Refusal {
	names := &x.h.cfg.Headers
	ids := x.r.Header.Values(names.RequestID)
	if len(ids) == 1 {
		x.id = ids[0] // refusals bear it too
	}
	if x.cfg == nil {
		x.retryAfter(noConfigPause)
		return api.NotRun(api.KindNoBundle, "this entry has no configuration yet", "try another entry")
	}
	if x.h.refusing.Load() {
		x.retryAfter(0)
		x.cause = errLeaving
		return api.NotRun(api.KindOverloaded, "this entry is shutting down", "try another entry")
	}
	if len(ids) != 1 || ids[0] == "" {
		return api.NotRun(api.KindBadRequest, "the request has no single "+names.RequestID, "send one "+names.RequestID+" header")
	}
	x.target = x.r.URL.RequestURI()
	if strings.HasPrefix(x.r.RequestURI, "/") {
		x.target = x.r.RequestURI
	}
	path, _, _ := strings.Cut(x.target, "?")
	x.route = x.cfg.Match(x.r.Host, path)
	if x.route == nil {
		return api.NotRun(api.KindUnknownService, "no route matches host and path", "check the host and the path")
	}
	x.service = x.cfg.Target(x.route, x.id)
	x.priority = x.route.Priority
	x.deadline = x.arrived.Add(x.route.Timeout)
	if v := x.r.Header.Get(names.Deadline); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Seconds()*1000 {
			return api.NotRun(api.KindBadRequest, names.Deadline+" is not a number of milliseconds", "send a positive number")
		}
		if d := x.arrived.Add(time.Duration(ms * float64(time.Millisecond))); d.Before(x.deadline) {
			x.deadline = d
		}
	}
	return nil
}

const (
	// maxDeadline bounds a caller's own deadline.
	maxDeadline = 24 * time.Hour
	// noConfigPause is how long a starting entry takes to read its configuration.
	noConfigPause = 200 * time.Millisecond
	bearer        = "Bearer "
)

// authorise finds the organisation that holds the caller's key.
func (x *exchange) authorise() *api.Refusal {
	value := x.r.Header.Get("Authorization")
	if key, ok := strings.CutPrefix(value, bearer); ok {
		x.organisation = x.cfg.Organisation(key)
	}
	if x.organisation == nil && x.cfg.NeedsKey(x.route) {
		return api.NotRun(api.KindUnauthenticated, "the API key is missing or unknown", "send a key of the current configuration as a bearer token")
	}
	if x.organisation != nil && x.organisation.Priority != nil {
		x.priority = *x.organisation.Priority
	}
	return nil
}

// readBody reads the request's body, so that it can be sent more than once.
func (x *exchange) readBody() *api.Refusal {
	if x.r.Body == nil || x.r.ContentLength == 0 {
		return nil
	}
	limit := x.cfg.Limits.BodyBytes
	if limit > 0 && x.r.ContentLength > limit {
		return api.NotRun(api.KindTooLarge, "the body is over the limit", "send a smaller body")
	}
	body := io.Reader(x.r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	rc := http.NewResponseController(x.w)
	if err := rc.SetReadDeadline(x.deadline); err != nil {
		x.h.cfg.Log.Error(err, "Cannot bound the reading of a body.", "request", x.id)
	}
	b, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return api.NotRun(api.KindTooLarge, "the body is over the limit", "send a smaller body")
	case err != nil && x.remaining() <= 0:
		x.cause = err
		x.w.Header().Set("Connection", "close")
		return api.NotRun(api.KindRequestTimeout, "the body did not arrive in time", "send the request again")
	case err != nil:
		x.cause = err
		x.w.Header().Set("Connection", "close")
		return api.NotRun(api.KindBadRequest, "the body could not be read", "check the framing of the request")
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		x.h.cfg.Log.Error(err, "Cannot lift the bound on reading.", "request", x.id)
	}
	x.body = b
	return nil
}

// retryAfter tells the caller when to come back, in seconds with a fraction.
func (x *exchange) retryAfter(d time.Duration) {
	x.w.Header().Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', -1, 64))
}

// errLeaving tells refusals of an ending entry from those of a busy one.
var errLeaving = errors.New("this entry is shutting down")

// refuse ends a request with an answer of this entry's own.
func (x *exchange) refuse(refusal *api.Refusal) {
	if x.relay.started || x.callerLeft() {
		// The answer has begun, or nobody waits for one.
		x.relay.broken = x.relay.broken || x.relay.started
		x.relay.outcome = string(refusal.Kind)
		return
	}
	refusal.RequestID = x.id
	if x.id != "" {
		x.w.Header().Set(x.h.cfg.Headers.RequestID, x.id)
	}
	x.relay.outcome = string(refusal.Kind)
	x.relay.status = refusal.Status()
	refusal.WriteHTTP(x.w)
}
