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

// Kinds of failures that the caller itself sees.
const (
	KindConnectFailed  api.Kind = "caller_connect"    // no connection, nothing was sent
	KindConnectionLost api.Kind = "caller_lost"       // connection lost before the whole answer
	kindNotRefusal     api.Kind = "caller_bad_answer" // an error status without a refusal
)

// maxAnswerBytes bounds an answer that is not a stream.
const maxAnswerBytes = 1 << 20

// send makes one attempt. The caller closes the body of the answer.
func (g *Generator) send(ctx context.Context, method, entry, path string, header http.Header, body []byte) (*http.Response, *api.Refusal) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, api.NotRun(KindConnectFailed, err.Error(), "check the entry address")
	}
	// net/http repeats a request with an Idempotency-Key by itself when a kept
	// connection is lost, unless it cannot read the body again. Such a repeat
	// would still carry "Wasabinotch-Attempt: 1".
	r.GetBody = nil
	if len(body) == 0 {
		r.Body = http.NoBody
		r.ContentLength = 0
	}
	r.Header = header
	resp, err := g.http.Do(r)
	if err != nil {
		return nil, connectionRefusal(err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, readRefusal(resp)
}

// connectionRefusal tells failed dials, after which nothing was sent, from
// lost connections.
func connectionRefusal(err error) *api.Refusal {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return api.NotRun(KindConnectFailed, err.Error(), "use another entry")
	}
	return api.Unknown(KindConnectionLost, err.Error(), "repeat with the same Idempotency-Key")
}

func readRefusal(resp *http.Response) *api.Refusal {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	var refusal api.Refusal
	if err == nil && json.Unmarshal(data, &refusal) == nil && refusal.Kind != "" && refusal.Outcome != "" {
		return &refusal
	}
	return api.Unknown(kindNotRefusal, resp.Status+": "+string(data), "see the entry's log")
}

// permanent reports whether a request would be refused again in the same way.
func permanent(refusal *api.Refusal) bool {
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

// readJSON reads an answer that is one JSON value.
func readJSON(resp *http.Response, v any) *api.Refusal {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return api.Unknown(KindConnectionLost, err.Error(), "repeat the request")
	}
	if err := json.Unmarshal(data, v); err != nil {
		return api.Unknown(kindNotRefusal, err.Error(), "see the entry's log")
	}
	return nil
}

func (g *Generator) header(org Organisation, requestID string) http.Header {
	h := make(http.Header)
	h.Set("Authorization", "Bearer "+org.APIKey)
	h.Set("Content-Type", "application/json")
	h.Set(api.HeaderOrganisation, org.Name)
	h.Set(api.HeaderRequestID, requestID)
	return h
}

// resolve asks one entry.
func (g *Generator) resolve(ctx context.Context, c *caller, entry, service string) (*api.ResolveResponse, *api.Refusal) {
	q := url.Values{"service": {service}}
	if c.zone != "" {
		q.Set("zone", c.zone)
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	resp, refusal := g.send(ctx, http.MethodGet, entry, api.PathResolve+"?"+q.Encode(), g.header(c.org, newID()), nil)
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
