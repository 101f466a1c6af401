package bundle

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// Key returns the intent's key in Intents.Targets.
func (in Intent) Key() string {
	return in.Kind + "/" + in.Target
}

// supersedes reports whether in replaces old: the higher revision wins, and at
// equal revisions the intent to take the target out of service. The signature
// value, then the operator and the reason, break the remaining ties, so that all
// nodes keep the same intent.
func (in Intent) supersedes(old Intent) bool {
	if in.Revision != old.Revision {
		return in.Revision > old.Revision
	}
	if in.Out != old.Out {
		return in.Out
	}
	if in.Signature.Value != old.Signature.Value {
		return in.Signature.Value > old.Signature.Value
	}
	return in.Operator+"\n"+in.Reason > old.Operator+"\n"+old.Reason
}

// Merge combines two records, keeping for each target the intent that supersedes
// the other. It is commutative, associative and idempotent.
func Merge(a, b Intents) Intents {
	out := Intents{Revision: max(a.Revision, b.Revision), Targets: make(map[string]Intent, len(a.Targets))}
	maps.Copy(out.Targets, a.Targets)
	for key, in := range b.Targets {
		old, found := out.Targets[key]
		if !found || in.supersedes(old) {
			out.Targets[key] = in
		}
	}
	return out
}

// WithIntent returns a copy of the record merged with in. Its revision is above
// that of the old record and at least that of the intent.
func (r Intents) WithIntent(in Intent) Intents {
	intentOnly := Intents{Targets: map[string]Intent{in.Key(): in}}
	out := Merge(r, intentOnly)
	out.Revision = max(r.Revision+1, in.Revision)
	return out
}

// Hash returns a 64-bit hash of the canonical record, 0 for an empty record.
func (r Intents) Hash() uint64 {
	data, err := Canonical(r)
	if err != nil || len(r.Targets) == 0 {
		return 0
	}
	return xxhash.Sum64(data)
}

// SameTargets reports whether both records hold the same intents.
func (r Intents) SameTargets(other Intents) bool {
	return maps.Equal(r.Targets, other.Targets)
}

// ZonesOut returns those of the given zones that are out of service. If the
// intents take out all of them, the zone with the highest (revision, name) stays
// in service.
func (r Intents) ZonesOut(zones []string) map[string]bool {
	out := make(map[string]bool)
	last, lastRevision := "", uint64(0)
	for _, z := range zones {
		in, found := r.Targets[TargetZone+"/"+z]
		if !found || !in.Out {
			continue
		}
		out[z] = true
		if in.Revision > lastRevision || (in.Revision == lastRevision && z > last) {
			last, lastRevision = z, in.Revision
		}
	}
	if len(out) == len(zones) {
		delete(out, last)
	}
	return out
}

// AllZonesOut reports whether the intents take out every given zone. ZonesOut keeps
// one of them in service in that case.
func (r Intents) AllZonesOut(zones []string) bool {
	for _, z := range zones {
		if !r.Targets[TargetZone+"/"+z].Out {
			return false
		}
	}
	return len(zones) > 0
}

// VMsOut returns the names of the VMs that are out of service.
func (r Intents) VMsOut() map[string]bool {
	out := make(map[string]bool)
	for _, in := range r.Targets {
		if in.Kind == TargetVM && in.Out {
			out[in.Target] = true
		}
	}
	return out
}
