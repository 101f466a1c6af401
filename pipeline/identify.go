package pipeline

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/intake"
	"github.com/wasabinotch/wasabinotch/limits"
)

const maxPriority = 100

var (
	validID = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)
	// singleHeaders may not be repeated, since two components could then read
	// different values.
	singleHeaders = []string{
		"Authorization",
		api.HeaderRequestID,
		api.HeaderOrganisation,
		api.HeaderPriority,
		api.HeaderAttempt,
		api.HeaderIdempotency,
	}
)

// identify checks the headers, the API key and the size of the body.
func (p *Pipeline) identify(next handler) handler {
	return func(c *call) *failure {
		c.setRequestID()
		c.earlierAttemptPossible = len(c.r.Header[api.HeaderIdempotency]) > 0
		c.firstAttempt = isFirstAttempt(c.r.Header)
		if f := c.checkHeaders(); f != nil {
			return f
		}
		var f *failure
		if c.organisation, f = authenticate(c.snap, c.r.Header); f != nil {
			return f
		}
		if c.body, f = p.readBody(c); f != nil {
			return f
		}
		return next(c)
	}
}

// setRequestID uses the caller's request ID if it is valid, and generates one
// otherwise.
func (c *call) setRequestID() {
	c.id = c.r.Header.Get(api.HeaderRequestID)
	if !validID.MatchString(c.id) {
		c.id = uuid.NewString()
	}
	c.wireID = c.id
	c.w.Header().Set(api.HeaderRequestID, c.id)
}

// isFirstAttempt reports whether the caller states unambiguously that this
// is its first attempt.
func isFirstAttempt(h http.Header) bool {
	values := h[api.HeaderAttempt]
	return len(values) == 1 && values[0] == "1"
}

func (c *call) checkHeaders() *failure {
	for _, name := range singleHeaders {
		if len(c.r.Header[http.CanonicalHeaderKey(name)]) > 1 {
			return notStarted(api.KindBadRequest, "header "+name+" is repeated", "send it once")
		}
	}
	if id := c.r.Header.Get(api.HeaderRequestID); id != "" && id != c.id {
		return notStarted(api.KindBadRequest, "request ID is not valid", "use 1 to 128 letters, digits and . _ : -")
	}
	if a := c.r.Header.Get(api.HeaderAttempt); a != "" {
		if n, err := strconv.Atoi(a); err != nil || n < 1 {
			return notStarted(api.KindBadRequest, fmt.Sprintf("%s %q is not a positive number", api.HeaderAttempt, a), "count attempts from 1")
		}
	}
	if v := c.r.Header.Get(api.HeaderPriority); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < -maxPriority || n > maxPriority {
			return notStarted(api.KindBadRequest, fmt.Sprintf("%s %q is out of range", api.HeaderPriority, v), fmt.Sprintf("use a number from %d to %d", -maxPriority, maxPriority))
		}
		c.priority = n
	}
	return nil
}

// authenticate returns the organisation that owns the API key.
func authenticate(snap *control.Snapshot, h http.Header) (string, *failure) {
	if snap.Bundle == nil {
		return "", notStarted(api.KindNoBundle, "this entry has no bundle yet", "retry at another entry")
	}
	key, found := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return "", notStarted(api.KindUnauthenticated, "no API key", "send Authorization: Bearer KEY")
	}
	digest := sha256.Sum256([]byte(key))
	owner, found := snap.KeyOwner[hex.EncodeToString(digest[:])]
	if !found {
		return "", notStarted(api.KindUnauthenticated, "API key is not in the bundle", "use a key whose SHA-256 digest the bundle lists")
	}
	if claimed := h.Get(api.HeaderOrganisation); claimed != "" && claimed != owner {
		return "", notStarted(api.KindWrongOrganisation, "API key belongs to another organisation than "+api.HeaderOrganisation, "send the key of the organisation you name")
	}
	return owner, nil
}

func (p *Pipeline) readBody(c *call) ([]byte, *failure) {
	tooLarge := notStarted(api.KindTooLarge, fmt.Sprintf("body exceeds %d bytes", p.MaxBodyBytes), "send a smaller body")
	if c.r.ContentLength > p.MaxBodyBytes {
		return nil, tooLarge
	}
	// A body that is too slow ends by the deadline that intake.Handler has set.
	body, err := c.claim.ReadBody(c.r, p.MaxBodyBytes, bodyCopies)
	switch {
	case errors.Is(err, limits.ErrTooLarge):
		return nil, tooLarge
	case errors.Is(err, limits.ErrSpent):
		return nil, noMemory()
	case errors.Is(err, limits.ErrRevoked):
		f := noMemory()
		f.refusal.Message = "the body made least progress while this entry needed its memory for others"
		f.refusal.Remedy = "send the whole body without pauses, or retry at another entry"
		return nil, f
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, notStarted(api.KindRequestTimeout, "body did not arrive in time", fmt.Sprintf("send the whole body within %s", intake.BodyTimeout()))
	case err != nil:
		return nil, notStarted(api.KindBadRequest, "body could not be read whole", fmt.Sprintf("send the whole body within %s", intake.BodyTimeout()))
	}
	c.held.request = c.claim.Bytes()
	return body, nil
}
