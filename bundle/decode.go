package bundle

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxBytes bounds an encoded bundle or intents record; the store has the same
// limit for a value.
const MaxBytes = 1 << 20

// maxNestingDepth bounds the nesting of decoded JSON; bundles need fewer than ten levels.
const maxNestingDepth = 32

// maxInteger is the largest integer that canonical JSON (RFC 8785) represents exactly.
const maxInteger = 1<<53 - 1

// Decode decodes a signed bundle and validates it. It rejects unknown
// fields, duplicate keys and trailing data with a FieldError, and does not verify
// signatures.
func Decode(data []byte) (*Signed, error) {
	var s Signed
	if err := decodeStrict(data, &s); err != nil {
		return nil, err
	}
	if err := s.Bundle.Validate(); err != nil {
		return nil, err
	}
	return &s, nil
}

// DecodeIntents decodes an intents record as strictly as Decode, and validates it.
func DecodeIntents(data []byte) (Intents, error) {
	var r Intents
	if err := decodeStrict(data, &r); err != nil {
		return Intents{}, err
	}
	return r, r.Validate()
}

// DecodeIntent decodes one intent as strictly as Decode, and validates it.
func DecodeIntent(data []byte) (Intent, error) {
	var in Intent
	if err := decodeStrict(data, &in); err != nil {
		return Intent{}, err
	}
	return in, in.Validate()
}

// Encode returns the canonical JSON of a signed bundle.
func (s *Signed) Encode() ([]byte, error) {
	return Canonical(s)
}

// Encode returns the canonical JSON of an intents record.
func (r Intents) Encode() ([]byte, error) {
	return Canonical(r)
}

func decodeStrict(data []byte, v any) error {
	if len(data) > MaxBytes {
		return &FieldError{"(document)", fmt.Sprintf("has %d bytes", len(data)), fmt.Sprintf("keep it within %d bytes", MaxBytes)}
	}
	d := json.NewDecoder(bytes.NewReader(data))
	if err := rejectDuplicateKeys(d, "", 0); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &FieldError{"(document)", "has data after the object", "give one JSON object"}
	}
	d = json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return decodeError(err)
	}
	return nil
}

func decodeError(err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return &FieldError{t.Field, "is a JSON " + t.Value, "give a value of type " + t.Type.String()}
	}
	return &FieldError{"(document)", err.Error(), "give one JSON object with the documented fields only"}
}

// rejectDuplicateKeys reads one JSON value and rejects duplicate object keys, since
// decoders differ in which of the duplicates they keep.
func rejectDuplicateKeys(d *json.Decoder, path string, depth int) error {
	if depth > maxNestingDepth {
		return &FieldError{path, "is nested too deeply", "give the documented fields only"}
	}
	t, err := d.Token()
	if err != nil {
		return decodeError(err)
	}
	delim, ok := t.(json.Delim)
	if !ok {
		return nil
	}
	seen := make(map[string]bool)
	for i := 0; d.More(); i++ {
		child := fmt.Sprintf("%s[%d]", path, i)
		if delim == '{' {
			if child, err = readObjectKey(d, path, seen); err != nil {
				return err
			}
		}
		if err := rejectDuplicateKeys(d, child, depth+1); err != nil {
			return err
		}
	}
	if _, err = d.Token(); err != nil {
		return decodeError(err)
	}
	return nil
}

func readObjectKey(d *json.Decoder, path string, seen map[string]bool) (string, error) {
	t, err := d.Token()
	if err != nil {
		return "", decodeError(err)
	}
	key, _ := t.(string)
	child := path + "." + key
	if path == "" {
		child = key
	}
	if seen[key] {
		return "", &FieldError{child, "stands twice", "keep one of the two"}
	}
	seen[key] = true
	return child, nil
}
