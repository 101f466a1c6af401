package entry

import (
	"encoding/json"
	"expvar"
	"fmt"
	nethttp "net/http"
	"path"
	"strings"
	"time"

	"github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/intake"
)

const (
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
	// writeTimeout bounds the response to a request that sets no other deadline.
	// Streams extend their deadline with each write. It also replaces the deadline that
	// an earlier request on the connection has set.
	writeTimeout = time.Minute
)

// newHTTPServer returns the HTTP server with all routes.
func (e *Entry) newHTTPServer() *http.Server {
	s := http.NewServer(
		http.Listener(e.listener),
		http.Address(e.settings.HTTPAddr),
		http.Timeout(0), // each service sets its timeout
		http.StrictSlash(false),
		http.Filter(intake.Handler, e.blockPathRedirects),
		http.NotFoundHandler(e.serveJSON(e.notFound)),
		http.MethodNotAllowedHandler(e.serveJSON(e.notFound)),
	)
	s.ReadHeaderTimeout = time.Duration(e.settings.ReadHeaderTimeoutMS) * time.Millisecond
	s.IdleTimeout = idleTimeout
	s.WriteTimeout = writeTimeout
	s.MaxHeaderBytes = maxHeaderBytes
	e.intake.HTTP.Server(s.Server)
	s.HandlePrefix(api.PathGenerate, e.pipeline)
	s.HandlePrefix(api.PathCall, e.pipeline)
	s.HandlePrefix(api.PathRequests, e.pipeline)
	s.Handle(api.PathResolve, e.serveJSON(e.resolve))
	s.Handle(api.PathStatus, e.serveJSON(e.status))
	s.Handle(api.PathShares, e.serveJSON(e.shares))
	s.HandlePrefix(api.PathExplain, e.serveJSON(e.explain))
	s.Handle(api.PathAdminBundle, e.serveCommand(e.adminBundle))
	s.Handle(api.PathAdminIntents, e.serveCommand(e.adminIntents))
	s.HandleFunc("/debug/vars", func(w nethttp.ResponseWriter, r *nethttp.Request) {
		e.setCommonHeaders(w)
		expvar.Handler().ServeHTTP(w, r)
	})
	return s
}

// blockPathRedirects keeps the router from redirecting a path with empty or dot
// segments, since a redirect does not tell the caller the outcome of an order. The
// pipeline refuses calls with such paths; others get notFound.
func (e *Entry) blockPathRedirects(next nethttp.Handler) nethttp.Handler {
	return nethttp.HandlerFunc(func(w nethttp.ResponseWriter, r *nethttp.Request) {
		clean := path.Clean(r.URL.Path)
		if strings.TrimSuffix(r.URL.Path, "/") == strings.TrimSuffix(clean, "/") {
			next.ServeHTTP(w, r)
			return
		}
		if strings.HasPrefix(r.URL.Path, api.PathCall) {
			e.pipeline.ServeHTTP(w, r)
			return
		}
		e.serveJSON(e.notFound).ServeHTTP(w, r)
	})
}

// notFound refuses a request for an unknown path. The outcome of a retried order is
// unknown, since an earlier attempt may have run.
func (e *Entry) notFound(r *nethttp.Request) (any, *api.Refusal) {
	refusal := api.NotRun(api.KindUnknownService, "no such path: "+r.URL.Path, "see the paths of the caller contract")
	if r.Header.Get(api.HeaderIdempotency) != "" && r.Header.Get(api.HeaderAttempt) != "1" {
		refusal.Outcome = api.OutcomeUnknown
	}
	return nil, refusal
}

// jsonHandler handles a request that is not routed to an agent. It returns the response
// body or a refusal.
type jsonHandler func(r *nethttp.Request) (any, *api.Refusal)

// maxRendering bounds the responses that are assembled at a time, before it is known how
// much memory they take. Assembling one takes milliseconds and waits for nobody.
const maxRendering = 2

// serveJSON returns a handler that adds the common headers and writes the result of h,
// which must not wait for anything, as JSON. It ignores the request body.
func (e *Entry) serveJSON(h jsonHandler) nethttp.Handler {
	return nethttp.HandlerFunc(func(w nethttp.ResponseWriter, r *nethttp.Request) {
		id := e.setCommonHeaders(w)
		claim := intake.NewClaim(e.intake.Memory, w, r)
		defer claim.Release()
		claim.EndWait()
		select {
		case e.rendering <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		data, refusal := func() ([]byte, *api.Refusal) {
			defer func() { <-e.rendering }()
			v, refusal := h(r)
			return render(claim, v, refusal)
		}()
		respond(w, claim, id, data, refusal)
	})
}

// render encodes a result, for which the claim must have room.
func render(claim *intake.Claim, v any, refusal *api.Refusal) ([]byte, *api.Refusal) {
	if refusal != nil {
		return nil, refusal
	}
	data, err := json.Marshal(v)
	if err != nil {
		return nil, api.Unknown(api.KindInternal, err.Error(), "report this to the operators")
	}
	if err := claim.Resize(int64(len(data))); err != nil {
		return nil, api.NotRun(api.KindOverloaded, "this entry has no memory left for the response", "ask another entry, or ask again later")
	}
	return append(data, '\n'), nil
}

// respond writes an encoded result or a refusal.
func respond(w nethttp.ResponseWriter, claim *intake.Claim, id string, data []byte, refusal *api.Refusal) {
	if refusal != nil {
		response := *refusal
		response.RequestID = id
		response.WriteHTTP(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = claim.Write(len(data), func() error { // fails only if the connection is closed
		_, err := w.Write(data)
		return err
	})
}

// setCommonHeaders sets the headers that every response carries and returns the new
// request ID.
func (e *Entry) setCommonHeaders(w nethttp.ResponseWriter) string {
	id := uuid.NewString()
	w.Header().Set(api.HeaderRequestID, id)
	if snap := e.deps.Control.Snapshot(); snap.Bundle != nil {
		w.Header().Set(api.HeaderBundle, fmt.Sprintf("%d %s", snap.Bundle.Version, snap.BundleDigest))
	}
	return id
}
