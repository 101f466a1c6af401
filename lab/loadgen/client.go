package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/wasabinotch/wasabinotch/api"
)

// Refusal kinds for failures that the caller detects itself, without a refusal
// from an entry.
const (
	KindConnectFailed  api.Kind = "caller_connect"    // the connection could not be opened; nothing was sent
	KindConnectionLost api.Kind = "caller_lost"       // connection lost before the end of the response
	kindBadResponse    api.Kind = "caller_bad_answer" // neither a refusal nor the expected JSON
)

// maxResponseBytes bounds the body of a response that is not a stream.
const maxResponseBytes = 1 << 20

// send makes one attempt and returns the response if its status is 200,
// otherwise a refusal. The code that calls send closes the response body.
func (g *Generator) send(ctx context.Context, method, entry, path string, header http.Header, body []byte) (*http.Response, *api.Refusal) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, api.NotRun(KindConnectFailed, err.Error(), "check the entry address")
	}
	// net/http retries a request with an Idempotency-Key when a reused connection
	// is lost, unless it cannot read the body again. Such a retry would still
	// carry "Wasabinotch-Attempt: 1".
	r.GetBody = nil
	if len(body) == 0 {
		r.Body = http.NoBody
		r.ContentLength = 0
	}
	r.Header = header
	resp, err := g.client.Do(r)
	if err != nil {
		return nil, connectionRefusal(err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, readRefusal(resp)
}

// connectionRefusal converts a transport error into a refusal: not run after a
// failed dial, since nothing was sent, and unknown after a lost connection.
func connectionRefusal(err error) *api.Refusal {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return api.NotRun(KindConnectFailed, err.Error(), "use another entry")
	}
	return api.Unknown(KindConnectionLost, err.Error(), "repeat with the same Idempotency-Key")
}

// readRefusal reads the refusal in the body of an error response. A body without
// a refusal leaves the outcome unknown.
func readRefusal(resp *http.Response) *api.Refusal {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	var refusal api.Refusal
	if err == nil && json.Unmarshal(data, &refusal) == nil && refusal.Kind != "" && refusal.Outcome != "" {
		return &refusal
	}
	return api.Unknown(kindBadResponse, resp.Status+": "+string(data), "see the entry's log")
}

// isPermanent reports whether a retry of the request would be refused for the
// same reason.
func isPermanent(refusal *api.Refusal) bool {
	if refusal.Outcome != api.OutcomeNotRun {
		return false
	}
	switch refusal.Kind {
	case api.KindBadRequest, api.KindTooLarge, api.KindUnauthenticated, api.KindWrongOrganisation,
		api.KindUnknownService, api.KindIdentityRequired:
		return true
	}
	return false
}

// readJSON decodes a response whose body is one JSON value, and closes the body.
func readJSON(resp *http.Response, v any) *api.Refusal {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return api.Unknown(KindConnectionLost, err.Error(), "repeat the request")
	}
	if err := json.Unmarshal(data, v); err != nil {
		return api.Unknown(kindBadResponse, err.Error(), "see the entry's log")
	}
	return nil
}

func (g *Generator) requestHeader(org Organisation, requestID string) http.Header {
	h := make(http.Header)
	h.Set("Authorization", "Bearer "+org.APIKey)
	h.Set("Content-Type", "application/json")
	h.Set(api.HeaderOrganisation, org.Name)
	h.Set(api.HeaderRequestID, requestID)
	return h
}

// resolve sends a resolve request to one entry. A response that lists no entries
// is returned as a refusal.
func (g *Generator) resolve(ctx context.Context, c *caller, entry, service string) (*api.ResolveResponse, *api.Refusal) {
	q := url.Values{"service": {service}}
	if c.zone != "" {
		q.Set("zone", c.zone)
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	resp, refusal := g.send(ctx, http.MethodGet, entry, api.PathResolve+"?"+q.Encode(), g.requestHeader(c.org, newID()), nil)
	if refusal != nil {
		return nil, refusal
	}
	var resolved api.ResolveResponse
	if refusal := readJSON(resp, &resolved); refusal != nil {
		return nil, refusal
	}
	if len(resolved.Entries) == 0 {
		return nil, api.NotRun(api.KindNoEndpoint, "resolve names no entry", "ask again later")
	}
	return &resolved, nil
}
