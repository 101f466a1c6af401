package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
)

// maxNameBytes bounds names, which appear in logs, headers and store keys.
const maxNameBytes = 128

const nameRemedy = "use 1 to 128 letters, digits, '-', '_' or '.'"

// Validate checks the values of the bundle's fields and the references between them,
// e.g. that shares name organisations of the bundle. It does not check signatures or
// the bundle in force. The error is a FieldError.
func (b *Bundle) Validate() error {
	if b.Version < 1 || b.Version > maxInteger {
		return &FieldError{"version", fmt.Sprintf("is %d", b.Version), "use the version in force plus 1, from 1"}
	}
	if (b.Version == 1) != (b.Previous == "") {
		return &FieldError{"previous", "does not fit the version", "give the digest of the bundle in force, or nothing for version 1"}
	}
	if b.Previous != "" && !isDigest(b.Previous) {
		return &FieldError{"previous", "is not a hex SHA-256 digest", "copy the digest shown by 'wasabinotch bundle status'"}
	}
	if err := checkNames("zones", b.Zones); err != nil {
		return err
	}
	organisations, err := b.checkOrganisations()
	if err != nil {
		return err
	}
	if err := b.checkOperators(); err != nil {
		return err
	}
	services, err := b.checkServices(organisations)
	if err != nil {
		return err
	}
	return b.checkGroups(services)
}

func (b *Bundle) checkOrganisations() (map[string]bool, error) {
	names := make([]string, len(b.Organisations))
	owner := make(map[string]string)
	for i, o := range b.Organisations {
		names[i] = o.Name
		for j, d := range o.KeyDigests {
			field := fmt.Sprintf("organisations[%d].key_digests[%d]", i, j)
			if !isDigest(d) {
				return nil, &FieldError{field, "is not a hex SHA-256 digest in lower case", "create it with 'wasabinotch keys'"}
			}
			if other, found := owner[d]; found {
				return nil, &FieldError{field, "is also a key of " + other, "give each key to one organisation"}
			}
			owner[d] = o.Name
		}
	}
	return toSet(names), checkNames("organisations", names)
}

func (b *Bundle) checkOperators() error {
	names := make([]string, len(b.Operators))
	for i, k := range b.Operators {
		names[i] = k.Name
		public, err := base64.StdEncoding.DecodeString(k.Public)
		if err != nil || len(public) != ed25519.PublicKeySize {
			return &FieldError{fmt.Sprintf("operators[%d].public", i), "is not 32 bytes in base64", "create one with 'wasabinotch keys'"}
		}
	}
	return checkNames("operators", names)
}

func (b *Bundle) checkServices(organisations map[string]bool) (map[string]Service, error) {
	names := make([]string, len(b.Services))
	services := make(map[string]Service)
	for i, s := range b.Services {
		names[i] = s.Name
		services[s.Name] = s
		if err := s.check(fmt.Sprintf("services[%d]", i), organisations); err != nil {
			return nil, err
		}
	}
	return services, checkNames("services", names)
}

func (s Service) check(field string, organisations map[string]bool) error {
	if s.Kind != KindModel && s.Kind != KindPlain {
		return &FieldError{field + ".kind", fmt.Sprintf("is %q", s.Kind), `use "model" or "plain"`}
	}
	if s.ColdLimit < 1 {
		return &FieldError{field + ".cold_limit", fmt.Sprintf("is %d", s.ColdLimit), "use at least 1"}
	}
	if s.WarmLimit < s.ColdLimit {
		return &FieldError{field + ".warm_limit", "is below cold_limit", "use at least cold_limit"}
	}
	if s.QueueLimit < 0 {
		return &FieldError{field + ".queue_limit", "is negative", "use 0 or more"}
	}
	if s.TimeoutMS < 1 {
		return &FieldError{field + ".timeout_ms", fmt.Sprintf("is %d", s.TimeoutMS), "use at least 1"}
	}
	for _, p := range s.NonIdempotentPaths {
		if !strings.HasPrefix(p, "/") {
			return &FieldError{field + ".non_idempotent_paths", fmt.Sprintf("%q has no leading slash", p), "start each path prefix with '/'"}
		}
	}
	return checkShares(field+".shares", s.Shares, organisations)
}

func checkShares(field string, shares map[string]float64, organisations map[string]bool) error {
	if len(shares) == 0 {
		return &FieldError{field, "is empty", "give at least one organisation a share"}
	}
	for name, share := range shares {
		if !organisations[name] {
			return &FieldError{field + "." + name, "names no organisation of the bundle", "add the organisation or remove its share"}
		}
		if !(share > 0) || math.IsInf(share, 0) {
			return &FieldError{field + "." + name, fmt.Sprintf("is %v", share), "use a positive weight"}
		}
	}
	return nil
}

func (b *Bundle) checkGroups(services map[string]Service) error {
	names := make([]string, len(b.Groups))
	for i, g := range b.Groups {
		field := fmt.Sprintf("groups[%d]", i)
		names[i] = g.Name
		if services[g.Service].Kind != KindModel {
			return &FieldError{field + ".service", fmt.Sprintf("%q is no model service of the bundle", g.Service), "name a service of kind model"}
		}
		if g.Ranks < 1 || g.Layers < 1 || g.Experts < 1 || g.SlotsPerRank < 1 || g.ExpertBytes < 1 {
			return &FieldError{field, "has a size below 1", "give ranks, layers, experts, slots_per_rank and expert_bytes of at least 1"}
		}
		if g.Experts > g.Ranks*g.SlotsPerRank {
			return &FieldError{field + ".slots_per_rank", fmt.Sprintf("%d ranks have no room for %d experts", g.Ranks, g.Experts), "raise slots_per_rank or ranks"}
		}
	}
	if len(names) == 0 {
		return nil // groups are optional
	}
	return checkNames("groups", names)
}

// Validate checks the revision, the keys and each intent, but no signatures. The error
// is a FieldError.
func (r Intents) Validate() error {
	if r.Revision > maxInteger {
		return &FieldError{"revision", "is too large", "use at most 2^53-1"}
	}
	for key, in := range r.Targets {
		if key != in.Key() {
			return &FieldError{"targets." + key, "holds the intent of " + in.Key(), "use kind/target as the key"}
		}
		if err := in.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Validate checks the kind, target and revision of the intent, but not its signature
// or whether the target exists. The error is a FieldError.
func (in Intent) Validate() error {
	if in.Kind != TargetZone && in.Kind != TargetVM {
		return &FieldError{"kind", fmt.Sprintf("is %q", in.Kind), `use "zone" or "vm"`}
	}
	if !isValidName(in.Target) {
		return &FieldError{"target", fmt.Sprintf("%q is no name", in.Target), nameRemedy}
	}
	if in.Revision < 1 || in.Revision > maxInteger {
		return &FieldError{"revision", fmt.Sprintf("is %d", in.Revision), "use the target's revision plus 1, at most 2^53-1"}
	}
	return nil
}

// checkNames checks that there is at least one name, and that the names are valid and
// distinct.
func checkNames(field string, names []string) error {
	if len(names) == 0 {
		return &FieldError{field, "is empty", "give at least one"}
	}
	seen := make(map[string]bool)
	for i, n := range names {
		if !isValidName(n) {
			return &FieldError{fmt.Sprintf("%s[%d]", field, i), fmt.Sprintf("%q is no name", n), nameRemedy}
		}
		if seen[n] {
			return &FieldError{fmt.Sprintf("%s[%d]", field, i), fmt.Sprintf("%q stands twice", n), "use distinct names"}
		}
		seen[n] = true
	}
	return nil
}

func isValidName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool {
		return !('a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || strings.ContainsRune("-_.", r))
	}) < 0
}

// isDigest reports whether s is a SHA-256 digest in lower-case hex.
func isDigest(s string) bool {
	data, err := hex.DecodeString(s)
	return err == nil && len(data) == 32 && strings.ToLower(s) == s
}

func toSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}
