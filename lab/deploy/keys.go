package deploy

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"

	"github.com/google/uuid"

	"github.com/wasabinotch/wasabinotch/bundle"
)

// Sizes and contents of keys. Example keys are marked as such in their content.
const (
	authKeyBytes     = 32
	exampleAuthKey   = "EXAMPLE KEY - NOT FOR PRODUCTION"
	exampleKeyPrefix = "EXAMPLE KEY - NOT FOR PRODUCTION: "
)

// Key is a named Ed25519 private key, as in a key file.
type Key struct {
	Name string `json:"name"`
	// PublicKey is the public key, base64.
	PublicKey string `json:"public"`
	// PrivateKey is the 32-byte seed of the private key, base64.
	PrivateKey string `json:"private"`
}

// Public returns the public part.
func (k Key) Public() bundle.PublicKey { return bundle.PublicKey{Name: k.Name, Public: k.PublicKey} }

// Private returns the private key; nil if the key is malformed.
func (k Key) Private() ed25519.PrivateKey {
	seed, err := base64.StdEncoding.DecodeString(k.PrivateKey)
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil
	}
	return ed25519.NewKeyFromSeed(seed)
}

// newKey returns a random key, or an example key derived from the name.
func newKey(name string, example bool) Key {
	seed := make([]byte, ed25519.SeedSize)
	_, _ = rand.Read(seed) // never fails, as documented
	if example {
		digest := sha256.Sum256([]byte(exampleKeyPrefix + name))
		copy(seed, digest[:])
	}
	public := ed25519.NewKeyFromSeed(seed).Public().(ed25519.PublicKey)
	return Key{
		Name:       name,
		PublicKey:  base64.StdEncoding.EncodeToString(public),
		PrivateKey: base64.StdEncoding.EncodeToString(seed),
	}
}

// newAPIKey returns a random API key, or an example key that contains the name.
func newAPIKey(name string, example bool) string {
	if example {
		return "example-key-not-for-production-" + name
	}
	return uuid.NewString()
}
