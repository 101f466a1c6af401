package fleet

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/wasabinotch/wasabinotch/bundle"
)

// Names of the signing keys.
const (
	memberName   = "member"
	operatorName = "operator"
)

// serviceCount is the number of model services in the configuration; the system is
// designed for this number.
const serviceCount = 4

// signingKeys are the keys that sign bundles (member) and intents (operator).
type signingKeys struct {
	memberKey, operatorKey       ed25519.PrivateKey
	memberPublic, operatorPublic bundle.PublicKey
}

func newSigningKeys() (signingKeys, error) {
	var k signingKeys
	var err error
	if k.memberPublic, k.memberKey, err = newKey(memberName); err != nil {
		return k, err
	}
	k.operatorPublic, k.operatorKey, err = newKey(operatorName)
	return k, err
}

func newKey(name string) (bundle.PublicKey, ed25519.PrivateKey, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return bundle.PublicKey{}, nil, trace.Wrap(err)
	}
	return bundle.PublicKey{Name: name, Public: base64.StdEncoding.EncodeToString(public)}, private, nil
}

// Bundle returns an unsigned bundle with the given numbers of organisations and
// zones. Every organisation has a share of every service; the shares depend on the
// version, so that successive bundles differ.
func Bundle(version uint64, previous string, organisations, zones int) bundle.Bundle {
	b := bundle.Bundle{Version: version, Previous: previous}
	shares := make(map[string]float64, organisations)
	for i := range organisations {
		name := fmt.Sprintf("organisation-%03d", i)
		digest := sha256.Sum256([]byte(name))
		b.Organisations = append(b.Organisations, bundle.Organisation{Name: name, KeyDigests: []string{hex.EncodeToString(digest[:])}})
		shares[name] = 1 + float64((uint64(i)+version)%3)
	}
	for i := range serviceCount {
		b.Services = append(b.Services, bundle.Service{Name: serviceName(i), Kind: bundle.KindModel,
			ColdLimit: 2, WarmLimit: 16, QueueLimit: 64, TimeoutMS: 60_000, Shares: shares})
	}
	for i := range zones {
		b.Zones = append(b.Zones, zoneName(i))
	}
	return b
}

func zoneName(i int) string    { return fmt.Sprintf("zone-%02d", i) }
func serviceName(i int) string { return fmt.Sprintf("model-%d", i) }

func (k signingKeys) signedBundle(version uint64, previous string, organisations, zones int) (*bundle.Signed, error) {
	b := Bundle(version, previous, organisations, zones)
	b.Operators = []bundle.PublicKey{k.operatorPublic}
	sig, err := b.Sign(memberName, k.memberKey)
	return &bundle.Signed{Bundle: b, Signatures: []bundle.Signature{sig}}, trace.Wrap(err)
}

func (k signingKeys) signedZoneIntent(zone string, out bool, revision uint64) (bundle.Intent, error) {
	in := bundle.Intent{Kind: bundle.TargetZone, Target: zone, Out: out, Revision: revision}
	return in, trace.Wrap(in.Sign(operatorName, k.operatorKey))
}

func (k signingKeys) memberKeys() []bundle.PublicKey { return []bundle.PublicKey{k.memberPublic} }
