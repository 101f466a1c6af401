package control

import (
	"time"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/wire"
)

// candidate is a bundle whose structure and signatures have been checked.
type candidate struct {
	signed *bundle.Signed
	raw    []byte
	digest string
}

// checkBundle decodes and verifies an encoded bundle. It returns nil for a
// bundle that is not newer than the one in force. It runs outside the loop,
// since verification of a large bundle takes milliseconds.
func (l *Loop) checkBundle(raw []byte, source string) *candidate {
	if len(raw) == 0 {
		return nil
	}
	s, err := bundle.Decode(raw)
	if err != nil {
		l.log.Info("ignored a bundle: it is malformed", "source", source, "reason", err.Error())
		return nil
	}
	if b := l.Snapshot().Bundle; b != nil && s.Bundle.Version <= b.Version {
		return nil
	}
	digest, err := s.Verify(l.cfg.Members, l.cfg.Threshold)
	if err != nil {
		l.log.Info("ignored a bundle: it is not signed", "source", source, "version", s.Bundle.Version, "reason", err.Error())
		return nil
	}
	return &candidate{signed: s, raw: raw, digest: digest}
}

// checkIntents decodes an intents record; signatures are checked on merging,
// against the bundle then in force.
func (l *Loop) checkIntents(raw []byte, source string) *bundle.Intents {
	if len(raw) == 0 {
		return nil
	}
	r, err := bundle.DecodeIntents(raw)
	if err != nil {
		l.log.Info("ignored intents: they are malformed", "source", source, "reason", err.Error())
		return nil
	}
	return &r
}

// applyBundle puts a checked bundle in force if its version is higher.
func (l *Loop) applyBundle(c *candidate, source string) bool {
	if c == nil || (l.signed != nil && c.signed.Bundle.Version <= l.signed.Bundle.Version) {
		return false
	}
	l.signed, l.signedRaw, l.digest = c.signed, c.raw, c.digest
	l.self.BundleVersion = c.signed.Bundle.Version
	l.self.BundleDigest = c.digest
	l.log.Info("bundle in force", "version", l.self.BundleVersion, "digest", c.digest, "source", source)
	metricBundle.Set(int64(l.self.BundleVersion))
	l.applyOut()
	l.configChanged()
	return true
}

// mergeIntents merges the validly signed intents of r into the record.
func (l *Loop) mergeIntents(r *bundle.Intents, source string) bool {
	if r == nil || l.signed == nil {
		return false
	}
	accepted := bundle.Intents{Revision: r.Revision, Targets: make(map[string]bundle.Intent)}
	for key, in := range r.Targets {
		if l.intents.Targets[key] == in {
			continue
		}
		if err := in.Verify(l.signed.Bundle.Operators); err != nil {
			l.log.Info("ignored an intent: it is not signed", "target", key, "revision", in.Revision, "source", source)
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
		l.log.Error(err, "cannot encode intents; keeping the old ones")
		return false
	}
	l.logIntents(merged, source)
	l.intents, l.intentsRaw, l.intentsHash = merged, raw, hash
	l.self.IntentsRev = merged.Revision
	metricIntents.Set(int64(merged.Revision))
	l.applyOut()
	l.configChanged()
	return true
}

func (l *Loop) logIntents(merged bundle.Intents, source string) {
	for key, in := range merged.Targets {
		if l.intents.Targets[key] == in {
			continue
		}
		l.log.Info("intent in force", "target", key, "out", in.Out, "revision", in.Revision,
			"operator", in.Operator, "source", source)
	}
}

// applyOut recomputes the zones and VMs that are out and notes when one
// comes back in.
func (l *Loop) applyOut() {
	now := l.clock.Now()
	zones := l.intents.ZonesOut(l.signed.Bundle.Zones)
	vms := l.intents.VMsOut()
	for z := range l.zonesOut {
		if !zones[z] {
			l.inSince[bundle.TargetZone+"/"+z] = now
		}
	}
	for vm := range l.vmsOut {
		if !vms[vm] {
			l.inSince[bundle.TargetVM+"/"+vm] = now
		}
	}
	l.zonesOut, l.vmsOut = zones, vms
	for id, e := range l.endpoints {
		next := *e
		next.ReturnedAt = l.inSinceOf(e.Node)
		l.endpoints[id] = &next
	}
}

func (l *Loop) inSinceOf(n wire.Node) time.Time {
	zone := l.inSince[bundle.TargetZone+"/"+n.Zone]
	vm := l.inSince[bundle.TargetVM+"/"+n.VM]
	if vm.After(zone) {
		return vm
	}
	return zone
}

// configChanged announces a new bundle or new intents to the other nodes. The
// versions travel in heartbeats and reports, so that a roll-out does not make
// every record of the fleet count as changed.
func (l *Loop) configChanged() {
	l.self.Seq++
	l.publishNow = true
	l.reportAllNow()
	if l.isEntry() {
		l.push()
	}
}

// config returns the configuration state that this node announces. The digest
// of the bundle is in the node record.
func (l *Loop) config(now time.Time) wire.Config {
	return wire.Config{
		BundleVersion:  l.self.BundleVersion,
		IntentsRev:     l.intents.Revision,
		IntentsHash:    l.intentsHash,
		ConfirmedAgeMS: l.confirm.storeAge(now),
	}
}

// heardConfig notes a peer's configuration state.
func (l *Loop) heardConfig(id string, c wire.Config) {
	if old, found := l.configs[id]; !found || old.BundleVersion != c.BundleVersion || old.IntentsRev != c.IntentsRev {
		digest := ""
		if c.BundleVersion == l.self.BundleVersion {
			digest = l.digest
		}
		l.table.SetVersions(id, c.BundleVersion, digest, c.IntentsRev)
		l.publishLater = true
	}
	l.configs[id] = c
}

// lacks reports what a node with configuration c is missing, as far as known.
func (l *Loop) lacks(c wire.Config) (bundleMissing, intentsMissing bool) {
	return c.BundleVersion < l.self.BundleVersion, c.IntentsHash != l.intentsHash && len(l.intents.Targets) > 0
}

// covers reports whether this node has all of the configuration c.
func (l *Loop) covers(c wire.Config) bool {
	return l.self.BundleVersion >= c.BundleVersion && l.intentsHash == c.IntentsHash
}
