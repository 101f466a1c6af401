package agent

import (
	"context"
	"crypto/hmac"
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"net/http"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/intake"
	"github.com/wasabinotch/wasabinotch/limits"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// maxEnvelopeBytes bounds an execute envelope. A body of 1 MiB, the default limit
	// of entries, takes 1.4 MiB in base64.
	maxEnvelopeBytes  = 8 << 20
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds the head of a request of an entry, which is the same for all.
	maxHeaderBytes = 16 << 10
	// idleTimeout exceeds the minute after which an entry closes an idle connection.
	idleTimeout = 2 * time.Minute
	// writeTimeout bounds one write to an entry. It exceeds the time for which an entry
	// waits for a caller that doesn't read, during which it may not read either.
	writeTimeout = 2 * wire.CallerWriteTimeout
	// envelopeCopies is the memory that a request takes at a time, in multiples of its
	// envelope: a prompt, and its encoding for the endpoint with the encoder's buffer.
	envelopeCopies = 3
	// retryAfter is the wait requested after a refusal for lack of memory: about the time in
	// which a large body arrives.
	retryAfter = time.Second
	// maxCancelBytes bounds a cancel request.
	maxCancelBytes = 16 << 10
)

// newHTTPServer returns the server for entries. The request timeout of kratos is
// disabled, since a response may take longer.
func (a *Agent) newHTTPServer(ln net.Listener) *khttp.Server {
	srv := khttp.NewServer(
		khttp.Listener(ln),
		khttp.Timeout(0),
		khttp.Filter(intake.Handler),
		khttp.NotFoundHandler(http.NotFoundHandler()),
		khttp.MethodNotAllowedHandler(http.NotFoundHandler()),
	)
	srv.ReadHeaderTimeout = readHeaderTimeout
	srv.IdleTimeout = idleTimeout
	srv.MaxHeaderBytes = maxHeaderBytes
	a.intake.HTTP.Server(srv.Server)
	srv.Handle(wire.PathExecute, a.authenticated(a.execute))
	srv.Handle(wire.PathCancel, a.authenticated(a.cancel))
	srv.Handle("/debug/vars", expvar.Handler())
	return srv
}

// authenticated passes on POST requests that carry the execute token and refuses all
// others. The outcome of these refusals is unknown, since an earlier attempt of the same
// order may be running.
func (a *Agent) authenticated(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !hmac.Equal([]byte(token), []byte(a.executeToken)) {
			a.intake.Log.Info("Request refused.", "from", r.RemoteAddr, "kind", api.KindUnauthenticated, "reason", "the execute token does not match")
			api.Unknown(api.KindUnauthenticated, "the execute token does not match", "set the same auth_key on all nodes").WriteHTTP(w)
			return
		}
		if r.Method != http.MethodPost {
			api.Unknown(api.KindBadRequest, "the method is not POST", "use POST").WriteHTTP(w)
			return
		}
		next(w, r)
	})
}

// readExecute reads an execute envelope. The claim then holds the request and what is sent
// to the endpoint. No request of which the envelope wasn't decoded has run.
func readExecute(r *http.Request, claim *intake.Claim) (*wire.ExecuteRequest, *api.Refusal) {
	data, err := claim.ReadBody(r, maxEnvelopeBytes, envelopeCopies)
	switch {
	case errors.Is(err, limits.ErrSpent), errors.Is(err, limits.ErrRevoked):
		refusal := api.NotRun(api.KindOverloaded, "the agent has no memory left for the request", "send the request to another endpoint, or again later")
		refusal.RetryAfterMS = retryAfter.Milliseconds()
		return nil, refusal
	case errors.Is(err, limits.ErrTooLarge):
		return nil, api.Unknown(api.KindBadRequest, err.Error(), "send a whole envelope of at most 8 MiB")
	case err != nil:
		return nil, api.Unknown(api.KindBadRequest, "the envelope could not be read: "+err.Error(), "send a whole envelope of at most 8 MiB")
	}
	req, err := decodeExecute(data)
	if err != nil {
		return nil, api.Unknown(api.KindBadRequest, "the envelope is not valid: "+err.Error(), "send one wire.ExecuteRequest as JSON")
	}
	// A model request is encoded once more for the endpoint.
	claim.Shrink(claim.Bytes() - min(claim.Bytes(), requestBytes(req)))
	return req, nil
}

// decodeExecute decodes an execute envelope. It rejects data after the JSON object.
func decodeExecute(data []byte) (*wire.ExecuteRequest, error) {
	req := new(wire.ExecuteRequest)
	if err := json.Unmarshal(data, req); err != nil {
		return nil, trace.Wrap(err)
	}
	return req, nil
}

// requestBytes returns the memory of a decoded request and of what is sent to the endpoint.
func requestBytes(req *wire.ExecuteRequest) int64 {
	n := 0
	if req.Call != nil {
		n += len(req.Call.Body)
	}
	if req.Generate != nil {
		n += envelopeCopies * (len(req.Generate.Prompt) + len(req.Generate.Prefix))
	}
	return int64(n)
}

func (a *Agent) execute(w http.ResponseWriter, r *http.Request) {
	claim := intake.NewClaim(a.intake.Memory, w, r)
	defer claim.Release()
	req, refusal := readExecute(r, claim)
	if refusal != nil {
		a.intake.Log.Info("Request refused.", "from", r.RemoteAddr, "kind", refusal.Kind, "outcome", refusal.Outcome, "reason", refusal.Message)
		refusal.WriteHTTP(w)
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	encoder := json.NewEncoder(w)
	response := http.NewResponseController(w)
	a.gate.Execute(r.Context(), req, func(f wire.Frame) error {
		if err := encoder.Encode(f); err != nil || mayBuffer(f.Kind) {
			return err
		}
		return response.Flush()
	})
}

// mayBuffer reports whether a frame may be sent together with the next one. The entry
// holds a plain response back until it is complete, unless it is large, and a head frame
// is of no use without the frames that follow, so each omitted flush saves a system call
// and a wake-up.
func mayBuffer(kind wire.FrameKind) bool {
	return kind == wire.FrameHead || kind == wire.FrameData
}

func (a *Agent) cancel(w http.ResponseWriter, r *http.Request) {
	var req wire.CancelRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCancelBytes)).Decode(&req); err != nil {
		api.NotRun(api.KindBadRequest, err.Error(), "send a wire.CancelRequest as JSON").WriteHTTP(w)
		return
	}
	found := a.gate.Cancel(req.RequestID)
	a.log.Info("Received a cancel request.", "request_id", req.RequestID, "found", found)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]bool{"found": found}) // fails only if the connection is closed
}

// ignoreShutdownError returns nil for the errors that a planned stop causes, else err.
func ignoreShutdownError(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
