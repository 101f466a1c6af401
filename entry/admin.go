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

// maxAdminBytes bounds an operator command. The store keeps values up to
// 1 MB, so that a larger bundle could not be rolled out.
const maxAdminBytes = 1 << 20

// adminBundle rolls out a signed bundle.
func (e *Entry) adminBundle(r *http.Request) (any, *api.Refusal) {
	var signed bundle.Signed
	if refusal := decodeCommand(r, &signed); refusal != nil {
		return nil, refusal
	}
	result, err := e.deps.Control.RollOutBundle(r.Context(), &signed)
	if err != nil {
		return nil, adminRefusal(err)
	}
	e.log.Info("rolled out a bundle", "version", signed.Bundle.Version, "in_store", result.InStore)
	return result, nil
}

// adminIntents takes a zone or VM out, or brings it back in.
func (e *Entry) adminIntents(r *http.Request) (any, *api.Refusal) {
	var in bundle.Intent
	if refusal := decodeCommand(r, &in); refusal != nil {
		return nil, refusal
	}
	result, err := e.deps.Control.ApplyIntent(r.Context(), in)
	if err != nil {
		return nil, adminRefusal(err)
	}
	e.log.Info("applied an intent", "kind", in.Kind, "target", in.Target, "out", in.Out, "revision", result.Revision)
	return result, nil
}

// decodeCommand reads one strict JSON object.
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

func adminRefusal(err error) *api.Refusal {
	var r *api.Refusal
	if errors.As(err, &r) {
		return r
	}
	return api.Unknown(api.KindInternal, err.Error(), "ask /v1/status whether the command is in force")
}
