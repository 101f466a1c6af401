package expertmap

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
)

// MaxCanonicalBytes bounds the canonical JSON during decompression. A map of 256
// ranks, 256 experts and 60 layers takes 0.25 MB.
const MaxCanonicalBytes = 8 << 20

// MaxPackedBytes is the largest value that the store accepts.
const MaxPackedBytes = 1 << 20

// Canonical returns the canonical JSON (RFC 8785) of the map, which Digest covers.
func (m *Map) Canonical() ([]byte, error) {
	return json.Marshal(m)
}

// Digest returns the SHA-256 of the canonical JSON of a map, in hex.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// PackedMap is a map as it is stored and sent. Bytes is the canonical JSON
// compressed with DEFLATE; Digest covers the uncompressed canonical JSON.
type PackedMap struct {
	Number uint64
	Digest string
	Bytes  []byte
}

// Pack encodes the map. It fails if the result exceeds MaxPackedBytes.
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
		return PackedMap{}, invalidMap(KindShape, "the packed map has %d bytes, the store accepts at most %d", b.Len(), MaxPackedBytes)
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

// Inflate decompresses a packed map. It fails if the result exceeds
// MaxCanonicalBytes.
func Inflate(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	canonical, err := io.ReadAll(io.LimitReader(r, MaxCanonicalBytes+1))
	if err != nil {
		return nil, invalidMap(KindEncoding, "cannot decompress the map: %v", err)
	}
	if len(canonical) > MaxCanonicalBytes {
		return nil, invalidMap(KindEncoding, "the canonical JSON exceeds %d bytes", MaxCanonicalBytes)
	}
	return canonical, nil
}

// Decode parses and validates the canonical JSON of a map. It rejects any other
// JSON encoding of the same map, because its digest differs.
func Decode(canonical []byte) (*Map, error) {
	m := &Map{}
	if err := json.Unmarshal(canonical, m); err != nil {
		return nil, invalidMap(KindEncoding, "cannot parse the map: %v", err)
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}
	reencoded, err := m.Canonical()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(reencoded, canonical) {
		return nil, invalidMap(KindEncoding, "the JSON is not canonical")
	}
	return m, nil
}
