package control

import (
	"time"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/wire"
)

// candidate is a bundle whose structure and signatures have been verified.
type candidate struct {
	signed *bundle.Signed
	raw    []byte
	digest string
}

// checkBundle decodes and verifies an encoded bundle. It returns nil if the bundle
// is empty, invalid or not newer than the one in force. It runs outside the
// loop's goroutine, since verifying a large bundle takes milliseconds.
func (l *Loop) checkBundle(raw []byte, source string) *candidate {
	if len(raw) == 0 {
		return nil
	}
	s, err := bundle.Decode(raw)
	if err != nil {
		l.log.Info("Bundle ignored: it is malformed.", "source", source, "reason", err.Error())
		return nil
	}
	if b := l.Snapshot().Bundle; b != nil && s.Bundle.Version <= b.Version {
		return nil
	}
	digest, err := s.Verify(l.cfg.Members, l.cfg.Threshold)
	if err != nil {
		l.log.Info("Bundle ignored: its signatures are not valid.", "source", source, "version", s.Bundle.Version, "reason", err.Error())
		return nil
	}
	return &candidate{signed: s, raw: raw, digest: digest}
}

// checkIntents decodes a record of intents, which are operators' signed commands to
// take a zone or VM out of service or to return it to service. It returns nil if the
// record is empty or malformed. Signatures are verified when the record is merged,
// against the bundle that is then in force.
func (l *Loop) checkIntents(raw []byte, source string) *bundle.Intents {
	if len(raw) == 0 {
		return nil
	}
	r, err := bundle.DecodeIntents(raw)
	if err != nil {
		l.log.Info("Intents ignored: they are malformed.", "source", source, "reason", err.Error())
		return nil
	}
	return &r
}

// applyBundle puts a verified bundle in force if its version is higher than that
// of the current one, and reports whether it did.
func (l *Loop) applyBundle(c *candidate, source string) bool {
	if c == nil || (l.signedBundle != nil && c.signed.Bundle.Version <= l.signedBundle.Bundle.Version) {
		return false
	}
	l.signedBundle, l.bundleRaw, l.bundleDigest = c.signed, c.raw, c.digest
	l.self.BundleVersion = c.signed.Bundle.Version
	l.self.BundleDigest = c.digest
	l.log.Info("Bundle in force.", "version", l.self.BundleVersion, "digest", c.digest, "source", source)
	metricBundle.Set(int64(l.self.BundleVersion))
	l.updateOutOfService()
	l.announceConfig()
	return true
}

// mergeIntents merges those intents of r that have a valid signature into the
// intents in force, and reports whether these changed. Without a bundle it
// ignores them, since the operators' keys are in the bundle.
func (l *Loop) mergeIntents(r *bundle.Intents, source string) bool {
	if r == nil || l.signedBundle == nil {
		return false
	}
	accepted := bundle.Intents{Revision: r.Revision, Targets: make(map[string]bundle.Intent)}
	for key, in := range r.Targets {
		if l.intents.Targets[key] == in {
			continue
		}
		if err := in.Verify(l.signedBundle.Bundle.Operators); err != nil {
			l.log.Info("Intent ignored: its signature is not valid.", "target", key, "revision", in.Revision, "source", source)
			continue
		}
		accepted.Targets[key] = in
	}
	merged := bundle.Merge(l.intents, accepted)
	hash := merged.Hash()
	if hash == l.intentsHash {
		return false
	}
	raw, err := merged.Encode()
	if err != nil {
		l.log.Error(err, "Intents not encoded; the previous ones stay in force.")
		return false
	}
	l.logIntents(merged, source)
	l.intents, l.intentsRaw, l.intentsHash = merged, raw, hash
	l.self.IntentsRev = merged.Revision
	metricIntents.Set(int64(merged.Revision))
	l.updateOutOfService()
	l.announceConfig()
	return true
}

// logIntents logs the intents that the merge changed.
func (l *Loop) logIntents(merged bundle.Intents, source string) {
	for key, in := range merged.Targets {
		if l.intents.Targets[key] == in {
			continue
		}
		l.log.Info("Intent in force.", "target", key, "out", in.Out, "revision", in.Revision,
			"operator", in.Operator, "source", source)
	}
}

// updateOutOfService recomputes the zones and VMs that are out of service, records
// when one is returned to service, and updates ReturnedAt of the endpoints.
func (l *Loop) updateOutOfService() {
	now := l.clock.Now()
	zones := l.intents.ZonesOut(l.signedBundle.Bundle.Zones)
	vms := l.intents.VMsOut()
	for z := range l.zonesOut {
		if !zones[z] {
			l.returnedAt[bundle.TargetZone+"/"+z] = now
		}
	}
	for vm := range l.vmsOut {
		if !vms[vm] {
			l.returnedAt[bundle.TargetVM+"/"+vm] = now
		}
	}
	l.zonesOut, l.vmsOut = zones, vms
	for id, e := range l.endpoints {
		next := *e
		next.ReturnedAt = l.returnedAtOf(e.Node)
		l.endpoints[id] = &next
	}
}

// returnedAtOf returns the later of the times at which the node's zone and its VM
// were last returned to service; zero if neither was ever returned.
func (l *Loop) returnedAtOf(n wire.Node) time.Time {
	zone := l.returnedAt[bundle.TargetZone+"/"+n.Zone]
	vm := l.returnedAt[bundle.TargetVM+"/"+n.VM]
	if vm.After(zone) {
		return vm
	}
	return zone
}

// announceConfig announces a new bundle or new intents to the other nodes. The
// versions are sent in heartbeats and reports. They do not raise the record's
// ContentSeq, whose change makes nodes send a record in full, so that a roll-out
// does not cause every record of the fleet to be sent again.
func (l *Loop) announceConfig() {
	l.self.Seq++
	l.publishNow = true
	l.scheduleAllReports()
	if l.isEntry() {
		l.pushConfig()
	}
}

// config returns the configuration state that this node announces. It leaves out
// the digest of the bundle, which is sent in the full node record. ConfirmedAgeMS is
// the age of the store's last confirmation that this node's view is current.
func (l *Loop) config(now time.Time) wire.Config {
	return wire.Config{
		BundleVersion:  l.self.BundleVersion,
		IntentsRev:     l.intents.Revision,
		IntentsHash:    l.intentsHash,
		ConfirmedAgeMS: l.confirmation.storeAge(now),
	}
}

// recordPeerConfig stores the configuration state that a peer announced. If the
// versions changed, it also updates the peer's node record. c has no bundle digest:
// a peer with this node's bundle version is assumed to have the same bundle; for any
// other version the digest is unknown ("") until the peer's versions change again or
// its full record arrives.
func (l *Loop) recordPeerConfig(id string, c wire.Config) {
	if old, found := l.peerConfigs[id]; !found || old.BundleVersion != c.BundleVersion || old.IntentsRev != c.IntentsRev {
		digest := ""
		if c.BundleVersion == l.self.BundleVersion {
			digest = l.bundleDigest
		}
		l.table.SetVersions(id, c.BundleVersion, digest, c.IntentsRev)
		l.publishLater = true
	}
	l.peerConfigs[id] = c
}

// missingFrom reports whether a node with configuration c lacks the bundle or
// intents of this node. Intents that differ count as missing, unless this node has
// none.
func (l *Loop) missingFrom(c wire.Config) (bundleMissing, intentsMissing bool) {
	return c.BundleVersion < l.self.BundleVersion, c.IntentsHash != l.intentsHash && len(l.intents.Targets) > 0
}

// covers reports whether this node has at least the bundle version of c and the
// same intents.
func (l *Loop) covers(c wire.Config) bool {
	return l.self.BundleVersion >= c.BundleVersion && l.intentsHash == c.IntentsHash
}
