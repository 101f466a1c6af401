package bundle

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// Key returns the intent's key in Intents.Targets.
func (in Intent) Key() string {
	return in.Kind + "/" + in.Target
}

// supersedes reports whether in takes the place of old: the higher revision
// wins, at equal revisions out wins. The signature breaks the remaining ties
// so that all nodes keep the same intent.
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

// Merge combines two records. It is commutative, associative and idempotent.
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

// WithIntent returns a copy of the record that holds in as well. The revision rises
// above that of the old record and to that of the intent at least.
func (r Intents) WithIntent(in Intent) Intents {
	one := Intents{Targets: map[string]Intent{in.Key(): in}}
	out := Merge(r, one)
	out.Revision = max(r.Revision+1, in.Revision)
	return out
}

// Hash identifies the record; 0 stands for the empty record.
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

// ZonesOut returns those of the given zones that are effectively out. If all
// were out, the one with the highest (revision, name) stays in.
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

// AllZonesOut reports whether every given zone is named out.
func (r Intents) AllZonesOut(zones []string) bool {
	for _, z := range zones {
		if !r.Targets[TargetZone+"/"+z].Out {
			return false
		}
	}
	return len(zones) > 0
}

// VMsOut returns the VMs that are out.
func (r Intents) VMsOut() map[string]bool {
	out := make(map[string]bool)
	for _, in := range r.Targets {
		if in.Kind == TargetVM && in.Out {
			out[in.Target] = true
		}
	}
	return out
}
