package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
)

type fileArg struct {
	File string `positional-arg-name:"FILE"`
}

// readBundle reads and validates a bundle file, which holds a signed bundle or a
// plain one, returned without signatures.
func readBundle(path string) (*bundle.Signed, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.BadParameter("bundle file: %v; name a readable JSON file", err)
	}
	var probe struct {
		Bundle json.RawMessage `json:"bundle"`
	}
	if err := json.Unmarshal(data, &probe); err == nil && probe.Bundle == nil {
		data = fmt.Appendf(nil, `{"bundle":%s,"signatures":[]}`, data)
	}
	s, err := bundle.Decode(data)
	if err != nil {
		return nil, err
	}
	return s, s.Bundle.Validate()
}

// BundleCheckCommand validates a bundle file and prints its digest.
type BundleCheckCommand struct {
	Args   fileArg `positional-args:"yes" required:"yes"`
	global *GlobalOptions
}

func (b *BundleCheckCommand) Execute([]string) error {
	s, err := readBundle(b.Args.File)
	if err != nil {
		return err
	}
	digest, err := s.Bundle.Digest()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(b.global.Out, "bundle %d is valid, digest %s, signatures %d\n", s.Bundle.Version, digest, len(s.Signatures))
	return trace.Wrap(err)
}

// BundleSignCommand adds a member's signature to a bundle file, or replaces the
// one that the member gave before.
type BundleSignCommand struct {
	Key    string  `long:"key" required:"yes" description:"member's key file"`
	Out    string  `long:"out" description:"file to write; default: the bundle file itself"`
	Args   fileArg `positional-args:"yes" required:"yes"`
	global *GlobalOptions
}

const bundleFileMode = 0o644

func (b *BundleSignCommand) Execute([]string) error {
	s, err := readBundle(b.Args.File)
	if err != nil {
		return err
	}
	name, key, err := ReadSigningKey(b.Key)
	if err != nil {
		return err
	}
	sig, err := s.Bundle.Sign(name, key)
	if err != nil {
		return err
	}
	s.Signatures = slices.DeleteFunc(s.Signatures, func(old bundle.Signature) bool { return old.Name == name })
	s.Signatures = append(s.Signatures, sig)
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	out := b.Out
	if out == "" {
		out = b.Args.File
	}
	if err := os.WriteFile(out, append(data, '\n'), bundleFileMode); err != nil {
		return trace.Wrap(err)
	}
	_, err = fmt.Fprintf(b.global.Out, "bundle %d signed by %s, signatures %d\n", s.Bundle.Version, name, len(s.Signatures))
	return trace.Wrap(err)
}

// BundleRollOutCommand sends a signed bundle to an entry, which rolls it out.
type BundleRollOutCommand struct {
	Args   fileArg `positional-args:"yes" required:"yes"`
	global *GlobalOptions
}

func (b *BundleRollOutCommand) Execute([]string) error {
	s, err := readBundle(b.Args.File)
	if err != nil {
		return err
	}
	c, err := b.global.newClient()
	if err != nil {
		return err
	}
	var result api.AdminResult
	if err := c.do(http.MethodPost, api.PathAdminBundle, s, &result); err != nil {
		return err
	}
	return b.global.printJSON(result)
}

// BundleStatusCommand shows the bundle in force on each node.
type BundleStatusCommand struct{ global *GlobalOptions }

func (b *BundleStatusCommand) Execute([]string) error {
	var s api.Status
	if err := b.global.get(api.PathStatus, &s); err != nil {
		return err
	}
	return printNodes(b.global.Out, s.Nodes)
}
