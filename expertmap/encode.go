package expertmap

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
)

// MaxCanonicalBytes bounds the canonical form while unpacking; 256 ranks, 256
// experts and 60 layers take 0.25 MB.
const MaxCanonicalBytes = 8 << 20

// MaxPackedBytes is the largest value that the store takes.
const MaxPackedBytes = 1 << 20

// Canonical returns the canonical JSON (RFC 8785) of the map.
func (m *Map) Canonical() ([]byte, error) {
	return json.Marshal(m)
}

// Digest returns the hex SHA-256 of canonical bytes.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// PackedMap is a map in the form in which it is stored and sent: DEFLATE of the
// canonical JSON. Digest covers the canonical JSON.
type PackedMap struct {
	Number uint64
	Digest string
	Bytes  []byte
}

// Pack encodes the map.
func Pack(m *Map) (PackedMap, error) {
	canonical, err := m.Canonical()
	if err != nil {
		return PackedMap{}, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return PackedMap{}, err
	}
	if _, err := w.Write(canonical); err != nil {
		return PackedMap{}, err
	}
	if err := w.Close(); err != nil {
		return PackedMap{}, err
	}
	if b.Len() > MaxPackedBytes {
		return PackedMap{}, invalid(KindShape, "the packed map has %d bytes, the store takes %d", b.Len(), MaxPackedBytes)
	}
	return PackedMap{Number: m.Number, Digest: Digest(canonical), Bytes: b.Bytes()}, nil
}

// Unpack decodes and validates a packed map.
func Unpack(packed []byte) (*Map, PackedMap, error) {
	canonical, err := Inflate(packed)
	if err != nil {
		return nil, PackedMap{}, err
	}
	m, err := Decode(canonical)
	if err != nil {
		return nil, PackedMap{}, err
	}
	return m, PackedMap{Number: m.Number, Digest: Digest(canonical), Bytes: packed}, nil
}

// Inflate returns the canonical JSON of a packed map.
func Inflate(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	canonical, err := io.ReadAll(io.LimitReader(r, MaxCanonicalBytes+1))
	if err != nil {
		return nil, invalid(KindEncoding, "cannot inflate: %v", err)
	}
	if len(canonical) > MaxCanonicalBytes {
		return nil, invalid(KindEncoding, "more than %d bytes", MaxCanonicalBytes)
	}
	return canonical, nil
}

// Decode parses and validates canonical JSON. Other spellings of the same map
// are refused, because their digest differs.
func Decode(canonical []byte) (*Map, error) {
	m := &Map{}
	if err := json.Unmarshal(canonical, m); err != nil {
		return nil, invalid(KindEncoding, "not JSON of a map: %v", err)
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}
	again, err := m.Canonical()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(again, canonical) {
		return nil, invalid(KindEncoding, "the JSON is not canonical")
	}
	return m, nil
}
