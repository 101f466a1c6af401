package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/intake"
	"github.com/wasabinotch/wasabinotch/limits"
)

// maxAdminBytes bounds the request body of an operator command. A larger bundle could
// not be rolled out, since the store accepts values of at most 1 MB.
const maxAdminBytes = 1 << 20

// adminBundle handles PathAdminBundle: it rolls out a signed bundle.
func (e *Entry) adminBundle(ctx context.Context, command []byte) (any, *api.Refusal) {
	var signed bundle.Signed
	if refusal := decodeCommand(command, &signed); refusal != nil {
		return nil, refusal
	}
	result, err := e.deps.Control.RollOutBundle(ctx, &signed)
	if err != nil {
		return nil, adminRefusal(err)
	}
	e.log.Info("Rolled out a bundle.", "version", signed.Bundle.Version, "in_store", result.InStore)
	return result, nil
}

// adminIntents handles PathAdminIntents: it takes a zone or VM out of service or
// returns it to service.
func (e *Entry) adminIntents(ctx context.Context, command []byte) (any, *api.Refusal) {
	var in bundle.Intent
	if refusal := decodeCommand(command, &in); refusal != nil {
		return nil, refusal
	}
	result, err := e.deps.Control.ApplyIntent(ctx, in)
	if err != nil {
		return nil, adminRefusal(err)
	}
	e.log.Info("Applied an intent.", "kind", in.Kind, "target", in.Target, "out", in.Out, "revision", result.Revision)
	return result, nil
}

// commandPartBytes is the memory that one value of a command takes at most when it is
// decoded: the largest element of a list, and the free space of the list.
const commandPartBytes = 512

// serveCommand returns a handler that reads an operator command and writes the result of h
// as JSON. Anyone can send a command, so its memory is claimed before it is decoded.
func (e *Entry) serveCommand(h func(ctx context.Context, command []byte) (any, *api.Refusal)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := e.setCommonHeaders(w)
		claim := intake.NewClaim(e.intake.Memory, w, r)
		defer claim.Release()
		command, refusal := e.readCommand(r, claim)
		var v any
		if refusal == nil {
			v, refusal = h(r.Context(), command)
		}
		data, refusal := render(claim, v, refusal)
		respond(w, claim, id, data, refusal)
	})
}

// readCommand reads a command and claims what decoding it takes.
func (e *Entry) readCommand(r *http.Request, claim *intake.Claim) ([]byte, *api.Refusal) {
	if r.Method != http.MethodPost {
		return nil, api.NotRun(api.KindBadRequest, "method is "+r.Method, "use POST")
	}
	command, err := claim.ReadBody(r, maxAdminBytes, 2)
	if err == nil {
		parts := bytes.Count(command, []byte(",")) + bytes.Count(command, []byte("{")) + bytes.Count(command, []byte("["))
		// The command, the decoder's copy, and the decoded values with their texts.
		cost := int64(3*len(command) + parts*commandPartBytes)
		if size := e.intake.Memory.Size(); size > 0 && cost > size/2 {
			return nil, api.NotRun(api.KindTooLarge, fmt.Sprintf("command has %d parts, for which this entry has too little memory", parts), "send a smaller one, or raise memory_mb")
		}
		err = claim.Resize(cost)
	}
	switch {
	case err == nil:
		return command, nil
	case errors.Is(err, limits.ErrTooLarge):
		return nil, api.NotRun(api.KindTooLarge, fmt.Sprintf("command exceeds %d bytes", maxAdminBytes), "send a smaller one")
	case errors.Is(err, limits.ErrSpent), errors.Is(err, limits.ErrRevoked):
		return nil, api.NotRun(api.KindOverloaded, "this entry has no memory left for the command", "send the command to another entry, or again later")
	}
	return nil, api.NotRun(api.KindBadRequest, "command could not be read whole: "+err.Error(), "send the whole command at once")
}

// decodeCommand decodes an operator command into v. It must be one JSON object without
// unknown fields.
func decodeCommand(command []byte, v any) *api.Refusal {
	d := json.NewDecoder(bytes.NewReader(command))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		_, err = d.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("data after the JSON object")
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
