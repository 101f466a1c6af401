package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// Outcome states whether a refused request ran, as far as is known.
type Outcome string

// Outcomes of refused requests.
const (
	OutcomeNotRun  Outcome = "not_run" // the request certainly did not run
	OutcomeUnknown Outcome = "unknown" // the request may have run
	OutcomeRan     Outcome = "ran"     // the request ran
)

// Kind is the type of a refusal.
type Kind string

// Kinds of refusals.
const (
	KindBadRequest        Kind = "bad_request"
	KindTooLarge          Kind = "too_large"
	KindUnauthenticated   Kind = "unauthenticated"
	KindWrongOrganisation Kind = "wrong_organisation"
	KindUnknownService    Kind = "unknown_service"
	KindOverShare         Kind = "over_share"
	KindOverloaded        Kind = "overloaded"
	KindNoEndpoint        Kind = "no_endpoint"
	KindZoneOut           Kind = "zone_out"
	KindLeaving           Kind = "leaving"
	KindUnconfirmedView   Kind = "unconfirmed_view"
	KindNoBundle          Kind = "no_bundle"
	KindEndpointFailed    Kind = "endpoint_failed"
	KindIdentityRequired  Kind = "identity_required"
	KindIdentityClosed    Kind = "identity_closed"
	KindStoreUnavailable  Kind = "store_unavailable"
	KindConflict          Kind = "conflict"
	KindUnsigned          Kind = "unsigned"
	KindLastZone          Kind = "last_zone"
	KindTimeout           Kind = "timeout" // the timeout of the service has passed
	KindCancelled         Kind = "cancelled"
	KindRequestTimeout    Kind = "request_timeout" // the request body did not arrive in time
	KindQuarantined       Kind = "quarantined"     // a part of the prompt is held
	KindInternal          Kind = "internal"
)

var httpStatus = map[Kind]int{
	KindBadRequest:        http.StatusBadRequest,
	KindTooLarge:          http.StatusRequestEntityTooLarge,
	KindUnauthenticated:   http.StatusUnauthorized,
	KindWrongOrganisation: http.StatusForbidden,
	KindUnknownService:    http.StatusNotFound,
	KindOverShare:         http.StatusTooManyRequests,
	KindOverloaded:        http.StatusServiceUnavailable,
	KindNoEndpoint:        http.StatusServiceUnavailable,
	KindZoneOut:           http.StatusMisdirectedRequest,
	KindLeaving:           http.StatusMisdirectedRequest,
	KindUnconfirmedView:   http.StatusServiceUnavailable,
	KindNoBundle:          http.StatusServiceUnavailable,
	KindEndpointFailed:    http.StatusBadGateway,
	KindIdentityRequired:  http.StatusBadRequest,
	KindIdentityClosed:    http.StatusConflict,
	KindStoreUnavailable:  http.StatusServiceUnavailable,
	KindConflict:          http.StatusConflict,
	KindUnsigned:          http.StatusForbidden,
	KindLastZone:          http.StatusConflict,
	KindTimeout:           http.StatusGatewayTimeout,
	KindRequestTimeout:    http.StatusRequestTimeout,
	KindQuarantined:       http.StatusServiceUnavailable,
	KindCancelled:         499, // nginx's status for a request that the client closed
}

// Refusal is the typed error that is returned to callers and from agents to entries.
type Refusal struct {
	Kind         Kind    `json:"kind"`
	Outcome      Outcome `json:"outcome"`
	Message      string  `json:"message"`
	Remedy       string  `json:"remedy"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	RequestID    string  `json:"request_id,omitempty"`
	// Entries lists other entries to use, on KindZoneOut and KindLeaving.
	Entries []ResolvedEntry `json:"entries,omitempty"`
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s; %s", r.Kind, r.Outcome, r.Message, r.Remedy)
}

// NotRun returns a refusal for a request that certainly did not run.
func NotRun(kind Kind, message, remedy string) *Refusal {
	return &Refusal{Kind: kind, Outcome: OutcomeNotRun, Message: message, Remedy: remedy}
}

// Unknown returns a refusal for a request that may have run.
func Unknown(kind Kind, message, remedy string) *Refusal {
	return &Refusal{Kind: kind, Outcome: OutcomeUnknown, Message: message, Remedy: remedy}
}

// Status returns the HTTP status code of the refusal.
func (r *Refusal) Status() int {
	if s, ok := httpStatus[r.Kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// WriteHTTP writes the refusal as an HTTP response. It keeps a Retry-After header
// that is already set.
func (r *Refusal) WriteHTTP(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(r.Outcome))
	if r.RetryAfterMS > 0 && h.Get("Retry-After") == "" {
		h.Set("Retry-After", strconv.FormatInt((r.RetryAfterMS+999)/1000, 10))
	}
	w.WriteHeader(r.Status())
	_ = json.NewEncoder(w).Encode(r) // fails only if the connection is closed
}
