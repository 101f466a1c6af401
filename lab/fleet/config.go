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

// services is the number of model services, as in the design size.
const services = 4

// identities signs bundles and intents.
type identities struct {
	member, operator             ed25519.PrivateKey
	memberPublic, operatorPublic bundle.PublicKey
}

func newIdentities() (identities, error) {
	var id identities
	var err error
	if id.memberPublic, id.member, err = newKey(memberName); err != nil {
		return id, err
	}
	id.operatorPublic, id.operator, err = newKey(operatorName)
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
	for i := range services {
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

func (id identities) bundle(version uint64, previous string, organisations, zones int) (*bundle.Signed, error) {
	b := Bundle(version, previous, organisations, zones)
	b.Operators = []bundle.PublicKey{id.operatorPublic}
	sig, err := b.Sign(memberName, id.member)
	return &bundle.Signed{Bundle: b, Signatures: []bundle.Signature{sig}}, trace.Wrap(err)
}

func (id identities) zone(zone string, out bool, revision uint64) (bundle.Intent, error) {
	in := bundle.Intent{Kind: bundle.TargetZone, Target: zone, Out: out, Revision: revision}
	return in, trace.Wrap(in.Sign(operatorName, id.operator))
}

func (id identities) members() []bundle.PublicKey { return []bundle.PublicKey{id.memberPublic} }
