package entry

import (
	"encoding/json"
	"expvar"
	"fmt"
	nethttp "net/http"
	"path"
	"strings"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport/http"
	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/wasabinotch/wasabinotch/api"
)

const (
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
	// writeTimeout bounds the answer to a request that sets no other
	// deadline. Streams move their deadline with each write. It also resets
	// the deadline that an earlier request left on the connection.
	writeTimeout = time.Minute
)

// newServer returns the HTTP server with all routes.
func (e *Entry) newServer() *http.Server {
	klog.SetLogger(kratosLog{e.log.WithName("http")})
	s := http.NewServer(
		http.Listener(e.listener),
		http.Address(e.set.HTTPAddr),
		http.Timeout(0), // services set their own time-outs
		http.StrictSlash(false),
		http.Filter(e.refuseUnclean),
		http.NotFoundHandler(e.control(e.notFound)),
		http.MethodNotAllowedHandler(e.control(e.notFound)),
	)
	s.ReadHeaderTimeout = time.Duration(e.set.ReadHeaderTimeoutMS) * time.Millisecond
	s.IdleTimeout = idleTimeout
	s.WriteTimeout = writeTimeout
	s.MaxHeaderBytes = maxHeaderBytes
	s.HandlePrefix(api.PathGenerate, e.pipeline)
	s.HandlePrefix(api.PathCall, e.pipeline)
	s.HandlePrefix(api.PathRequests, e.pipeline)
	s.Handle(api.PathResolve, e.control(e.resolve))
	s.Handle(api.PathStatus, e.control(e.status))
	s.Handle(api.PathShares, e.control(e.shares))
	s.HandlePrefix(api.PathExplain, e.control(e.explain))
	s.Handle(api.PathAdminBundle, e.control(e.adminBundle))
	s.Handle(api.PathAdminIntents, e.control(e.adminIntents))
	s.HandleFunc("/debug/vars", func(w nethttp.ResponseWriter, r *nethttp.Request) {
		e.stamp(w)
		expvar.Handler().ServeHTTP(w, r)
	})
	return s
}

// refuseUnclean keeps the router from redirecting a path with empty or dot
// segments: a redirect carries no outcome. The pipeline refuses such calls.
func (e *Entry) refuseUnclean(next nethttp.Handler) nethttp.Handler {
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
		e.control(e.notFound).ServeHTTP(w, r)
	})
}

func (e *Entry) notFound(r *nethttp.Request) (any, *api.Refusal) {
	refusal := api.NotRun(api.KindUnknownService, "no such path: "+r.URL.Path, "see the paths of the caller contract")
	if r.Header.Get(api.HeaderIdempotency) != "" && r.Header.Get(api.HeaderAttempt) != "1" {
		refusal.Outcome = api.OutcomeUnknown
	}
	return nil, refusal
}

// controlHandler answers a request other than a routed one.
type controlHandler func(r *nethttp.Request) (any, *api.Refusal)

// control adds the common headers and writes the answer as JSON.
func (e *Entry) control(h controlHandler) nethttp.Handler {
	return nethttp.HandlerFunc(func(w nethttp.ResponseWriter, r *nethttp.Request) {
		id := e.stamp(w)
		r.Body = nethttp.MaxBytesReader(w, r.Body, maxAdminBytes)
		v, refusal := h(r)
		if refusal != nil {
			answer := *refusal
			answer.RequestID = id
			answer.WriteHTTP(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v) // the connection is gone if this fails
	})
}

// stamp sets the headers that every answer carries and returns the request ID.
func (e *Entry) stamp(w nethttp.ResponseWriter) string {
	id := uuid.NewString()
	w.Header().Set(api.HeaderRequestID, id)
	if snap := e.deps.Control.Snapshot(); snap.Bundle != nil {
		w.Header().Set(api.HeaderBundle, fmt.Sprintf("%d %s", snap.Bundle.Version, snap.BundleDigest))
	}
	return id
}

// kratosLog writes kratos' own messages to the entry's log.
type kratosLog struct{ log logr.Logger }

// Log implements the logger of kratos.
func (k kratosLog) Log(level klog.Level, keyvals ...any) error {
	k.log.Info("kratos", append([]any{"level", level.String()}, keyvals...)...)
	return nil
}
