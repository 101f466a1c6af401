package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/gowebpki/jcs"
	"github.com/gravitational/trace"
)

// Context strings that signed messages start with (domain separation), so that a
// signature over a bundle cannot be presented as one over an intent.
const (
	bundleContext = "wasabinotch bundle 1\n"
	intentContext = "wasabinotch intent 1\n"
)

// Canonical returns the canonical JSON (RFC 8785) of v.
func Canonical(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	out, err := jcs.Transform(data)
	return out, trace.Wrap(err)
}

// Digest returns the hex SHA-256 of the bundle's canonical JSON.
func (b *Bundle) Digest() (string, error) {
	data, err := Canonical(b)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Sign returns a signature over the bundle's digest with a member's key. Members are
// the holders of the keys that nodes trust to sign bundles; name is the member's name.
func (b *Bundle) Sign(name string, key ed25519.PrivateKey) (Signature, error) {
	digest, err := b.Digest()
	if err != nil {
		return Signature{}, err
	}
	return newSignature(name, key, []byte(bundleContext+digest)), nil
}

// Verify checks that members with at least threshold distinct names signed the bundle,
// and returns its digest. Invalid signatures and those by other keys are ignored. The
// error is a SignatureError if there are too few valid signatures or threshold is
// below 1.
func (s *Signed) Verify(members []PublicKey, threshold int) (string, error) {
	digest, err := s.Bundle.Digest()
	if err != nil {
		return "", err
	}
	message := []byte(bundleContext + digest)
	valid := make(map[string]bool)
	for _, sig := range s.Signatures {
		if signedByNamedKey(members, sig, message) {
			valid[sig.Name] = true
		}
	}
	if threshold < 1 || len(valid) < threshold {
		return "", &SignatureError{
			Reason: fmt.Sprintf("bundle %d has %d valid member signatures, %d are needed", s.Bundle.Version, len(valid), threshold),
			Remedy: "have more members sign it with 'wasabinotch bundle sign'",
		}
	}
	return digest, nil
}

// Sign sets Operator and Signature of the intent.
func (in *Intent) Sign(operator string, key ed25519.PrivateKey) error {
	in.Operator = operator
	message, err := in.signedMessage()
	if err != nil {
		return err
	}
	in.Signature = newSignature(operator, key, message)
	return nil
}

// Verify checks that the operator that the intent names signed it with a key that
// operators, the list in a bundle, gives for that name. Otherwise the error is a
// SignatureError.
func (in Intent) Verify(operators []PublicKey) error {
	message, err := in.signedMessage()
	if err != nil {
		return err
	}
	if in.Signature.Name != in.Operator || !signedByNamedKey(operators, in.Signature, message) {
		return &SignatureError{
			Reason: fmt.Sprintf("the intent on %s is not signed by an operator of the bundle in force", in.Key()),
			Remedy: "sign it with the key of an operator named in the bundle",
		}
	}
	return nil
}

// signedMessage returns the bytes that an operator signs: the context and the
// canonical intent without its signature.
func (in Intent) signedMessage() ([]byte, error) {
	in.Signature = Signature{}
	data, err := Canonical(in)
	return append([]byte(intentContext), data...), err
}

func newSignature(name string, key ed25519.PrivateKey, message []byte) Signature {
	return Signature{Name: name, Value: base64.StdEncoding.EncodeToString(ed25519.Sign(key, message))}
}

// signedByNamedKey reports whether sig is a signature of message by the key with
// the name that sig gives.
func signedByNamedKey(keys []PublicKey, sig Signature, message []byte) bool {
	value, err := base64.StdEncoding.DecodeString(sig.Value)
	if err != nil {
		return false
	}
	for _, k := range keys {
		public, err := base64.StdEncoding.DecodeString(k.Public)
		if err != nil || len(public) != ed25519.PublicKeySize || k.Name != sig.Name {
			continue
		}
		if ed25519.Verify(public, message, value) {
			return true
		}
	}
	return false
}
