package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
)

// maxAdminBytes bounds the request body of an operator command. A larger bundle could
// not be rolled out, since the store accepts values of at most 1 MB.
const maxAdminBytes = 1 << 20

// adminBundle handles PathAdminBundle: it rolls out a signed bundle.
func (e *Entry) adminBundle(r *http.Request) (any, *api.Refusal) {
	var signed bundle.Signed
	if refusal := decodeCommand(r, &signed); refusal != nil {
		return nil, refusal
	}
	result, err := e.deps.Control.RollOutBundle(r.Context(), &signed)
	if err != nil {
		return nil, adminRefusal(err)
	}
	e.log.Info("Rolled out a bundle.", "version", signed.Bundle.Version, "in_store", result.InStore)
	return result, nil
}

// adminIntents handles PathAdminIntents: it takes a zone or VM out of service or
// returns it to service.
func (e *Entry) adminIntents(r *http.Request) (any, *api.Refusal) {
	var in bundle.Intent
	if refusal := decodeCommand(r, &in); refusal != nil {
		return nil, refusal
	}
	result, err := e.deps.Control.ApplyIntent(r.Context(), in)
	if err != nil {
		return nil, adminRefusal(err)
	}
	e.log.Info("Applied an intent.", "kind", in.Kind, "target", in.Target, "out", in.Out, "revision", result.Revision)
	return result, nil
}

// decodeCommand decodes the body of an operator command into v. The body must be one
// JSON object without unknown fields.
func decodeCommand(r *http.Request, v any) *api.Refusal {
	if r.Method != http.MethodPost {
		return api.NotRun(api.KindBadRequest, "method is "+r.Method, "use POST")
	}
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		_, err = d.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("data after the JSON object")
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return api.NotRun(api.KindTooLarge, fmt.Sprintf("command exceeds %d bytes", maxAdminBytes), "send a smaller one")
	}
	return api.NotRun(api.KindBadRequest, "command is not valid: "+err.Error(), "create it with the wasabinotch command")
}

// adminRefusal returns the refusal in err. For any other error the outcome is unknown:
// the command may be in force.
func adminRefusal(err error) *api.Refusal {
	var r *api.Refusal
	if errors.As(err, &r) {
		return r
	}
	return api.Unknown(api.KindInternal, err.Error(), "ask /v1/status whether the command is in force")
}
