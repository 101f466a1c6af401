package agent

import (
	"context"
	"crypto/hmac"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	// maxEnvelopeBytes bounds an execute envelope. A body of 1 MiB, the default limit
	// of entries, takes 1.4 MiB in base64.
	maxEnvelopeBytes  = 8 << 20
	readHeaderTimeout = 5 * time.Second
)

// newHTTPServer returns the server for entries. The request timeout of kratos is
// disabled, since a response may take longer.
func (a *Agent) newHTTPServer(ln net.Listener) *khttp.Server {
	srv := khttp.NewServer(
		khttp.Listener(ln),
		khttp.Timeout(0),
		khttp.NotFoundHandler(http.NotFoundHandler()),
		khttp.MethodNotAllowedHandler(http.NotFoundHandler()),
	)
	srv.ReadHeaderTimeout = readHeaderTimeout
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
			a.log.Info("Request refused.", "from", r.RemoteAddr, "kind", api.KindUnauthenticated, "reason", "the execute token does not match")
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

// decodeExecute decodes an execute envelope. It rejects data after the JSON object.
func decodeExecute(r io.Reader) (*wire.ExecuteRequest, error) {
	req := new(wire.ExecuteRequest)
	d := json.NewDecoder(r)
	if err := d.Decode(req); err != nil {
		return nil, trace.BadParameter("the envelope is not valid: %v; send a wire.ExecuteRequest as JSON", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, trace.BadParameter("data follows the envelope; send one JSON object")
	}
	return req, nil
}

func (a *Agent) execute(w http.ResponseWriter, r *http.Request) {
	req, err := decodeExecute(http.MaxBytesReader(w, r.Body, maxEnvelopeBytes))
	if err != nil {
		a.log.Info("Request refused.", "from", r.RemoteAddr, "kind", api.KindBadRequest, "reason", err.Error())
		api.Unknown(api.KindBadRequest, err.Error(), "send a whole envelope of at most 8 MiB").WriteHTTP(w)
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
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEnvelopeBytes)).Decode(&req); err != nil {
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
