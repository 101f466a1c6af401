package cli

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/bundle"
)

// KeyFile is the JSON file of a signing key, which stays on the machine of the
// member or operator.
type KeyFile struct {
	Name string `json:"name"`
	// Public and Private are in base64 (standard encoding). Private is the Ed25519 seed.
	Public  string `json:"public"`
	Private string `json:"private"`
}

// keyFileMode makes private keys readable by their owner only.
const keyFileMode = 0o600

// ReadSigningKey reads a KeyFile and returns the name and the private key in it.
func ReadSigningKey(path string) (name string, key ed25519.PrivateKey, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", nil, trace.BadParameter("key file: %v; create one with 'wasabinotch keys'", err)
	}
	var f KeyFile
	if err := json.Unmarshal(data, &f); err != nil {
		return "", nil, trace.BadParameter("key file %s is not JSON: %v; create one with 'wasabinotch keys'", path, err)
	}
	seed, err := base64.StdEncoding.DecodeString(f.Private)
	if err != nil || len(seed) != ed25519.SeedSize || f.Name == "" {
		return "", nil, trace.BadParameter("key file %s has no name or no 32-byte seed; create one with 'wasabinotch keys'", path)
	}
	return f.Name, ed25519.NewKeyFromSeed(seed), nil
}

// SigningKeyCommand creates the signing key of a member or an operator.
type SigningKeyCommand struct {
	Out  string `long:"out" required:"yes" description:"file to write the private key to; must not exist"`
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
	global *GlobalOptions
}

func (k *SigningKeyCommand) Execute([]string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return trace.Wrap(err)
	}
	f := KeyFile{
		Name:    k.Args.Name,
		Public:  base64.StdEncoding.EncodeToString(public),
		Private: base64.StdEncoding.EncodeToString(private.Seed()),
	}
	data, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	out, err := os.OpenFile(k.Out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return trace.BadParameter("key file: %v; choose a file that does not exist", err)
	}
	if _, err := out.Write(append(data, '\n')); err != nil {
		_ = out.Close()
		return trace.Wrap(err)
	}
	if err := out.Close(); err != nil {
		return trace.Wrap(err)
	}
	return k.global.printJSON(bundle.PublicKey{Name: f.Name, Public: f.Public})
}

// AuthKeyCommand prints a key for the auth_key setting.
type AuthKeyCommand struct{ global *GlobalOptions }

func (k *AuthKeyCommand) Execute([]string) error {
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return trace.Wrap(err)
	}
	_, err := fmt.Fprintln(k.global.Out, base64.StdEncoding.EncodeToString(secret))
	return trace.Wrap(err)
}

// APIKeyCommand prints a new API key and the digest for the bundle.
type APIKeyCommand struct{ global *GlobalOptions }

func (k *APIKeyCommand) Execute([]string) error {
	key := rand.Text()
	sum := sha256.Sum256([]byte(key))
	return k.global.printJSON(struct {
		Key    string `json:"key"`
		Digest string `json:"key_digest"`
	}{key, hex.EncodeToString(sum[:])})
}
