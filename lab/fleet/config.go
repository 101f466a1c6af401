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

// Names of the keys in the measured configuration.
const (
	memberName   = "member"
	operatorName = "operator"
)

// serviceCount is the number of model serviceCount, as in the design size.
const serviceCount = 4

// signingKeys signs bundles and intents.
type signingKeys struct {
	memberKey, operatorKey       ed25519.PrivateKey
	memberPublic, operatorPublic bundle.PublicKey
}

func newSigningKeys() (signingKeys, error) {
	var id signingKeys
	var err error
	if id.memberPublic, id.memberKey, err = newKey(memberName); err != nil {
		return id, err
	}
	id.operatorPublic, id.operatorKey, err = newKey(operatorName)
	return id, err
}

func newKey(name string) (bundle.PublicKey, ed25519.PrivateKey, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return bundle.PublicKey{}, nil, trace.Wrap(err)
	}
	return bundle.PublicKey{Name: name, Public: base64.StdEncoding.EncodeToString(public)}, private, nil
}

// Bundle returns a bundle with the given organisations, all of which have a
// share of every service, and zones.
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

func (id signingKeys) signedBundle(version uint64, previous string, organisations, zones int) (*bundle.Signed, error) {
	b := Bundle(version, previous, organisations, zones)
	b.Operators = []bundle.PublicKey{id.operatorPublic}
	sig, err := b.Sign(memberName, id.memberKey)
	return &bundle.Signed{Bundle: b, Signatures: []bundle.Signature{sig}}, trace.Wrap(err)
}

func (id signingKeys) signedZoneIntent(zone string, out bool, revision uint64) (bundle.Intent, error) {
	in := bundle.Intent{Kind: bundle.TargetZone, Target: zone, Out: out, Revision: revision}
	return in, trace.Wrap(in.Sign(operatorName, id.operatorKey))
}

func (id signingKeys) memberKeys() []bundle.PublicKey { return []bundle.PublicKey{id.memberPublic} }
