package order

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// MaxIdentityBytes is the maximum length of an Idempotency-Key.
const MaxIdentityBytes = 200

// Binding is the only agent incarnation that may run an order.
type Binding struct {
	AgentID     string `json:"agent_id"`
	Incarnation uint64 `json:"incarnation"`
}

// Identity is a parsed Idempotency-Key.
type Identity struct {
	// Raw is the complete key. Two orders are the same if their organisations and
	// keys are equal.
	Raw string
	// Organisation is the scope of the key, so that equal keys of two organisations
	// are distinct. ParseIdentity leaves it empty; entries and agents set it.
	Organisation string
	// Issued is true for a key issued by /v1/resolve; Binding and AgentEpoch are set
	// only then.
	Issued     bool
	Binding    Binding
	AgentEpoch uint64
	// JournalEpoch is the journal epoch of a key chosen by the caller.
	JournalEpoch uint64
}

const identityRemedy = "ask /v1/resolve for an order_identity, or prefix your own key with the order_epoch: e<epoch>.<key>"

// ParseIdentity parses "o1.<agent ID>.<incarnation>.<agent epoch>.<random>" or
// "e<epoch>.<key>". Agent IDs contain no dots.
func ParseIdentity(raw string) (Identity, error) {
	if len(raw) > MaxIdentityBytes {
		return Identity{}, trace.BadParameter("Idempotency-Key has %d bytes, at most %d are allowed; %s", len(raw), MaxIdentityBytes, identityRemedy)
	}
	// JSON encoding in the journal would change other bytes.
	if strings.ContainsFunc(raw, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return Identity{}, trace.BadParameter("Idempotency-Key %q has characters other than printable ASCII; %s", raw, identityRemedy)
	}
	if strings.HasPrefix(raw, "o1.") {
		return parseIssued(raw)
	}
	head, key, found := strings.Cut(raw, ".")
	if !found || key == "" || !strings.HasPrefix(head, "e") {
		return Identity{}, trace.BadParameter("Idempotency-Key %q has no epoch; %s", raw, identityRemedy)
	}
	epoch, err := parseCanonical(head[1:])
	if err != nil {
		return Identity{}, trace.BadParameter("Idempotency-Key %q has no valid epoch; %s", raw, identityRemedy)
	}
	return Identity{Raw: raw, JournalEpoch: epoch}, nil
}

func parseIssued(raw string) (Identity, error) {
	parts := strings.Split(raw, ".")
	if len(parts) != 5 || parts[1] == "" || parts[4] == "" {
		return Identity{}, trace.BadParameter("Idempotency-Key %q is not an issued identity; %s", raw, identityRemedy)
	}
	incarnation, err := parseCanonical(parts[2])
	if err != nil {
		return Identity{}, trace.BadParameter("Idempotency-Key %q has no valid incarnation; %s", raw, identityRemedy)
	}
	epoch, err := parseCanonical(parts[3])
	if err != nil {
		return Identity{}, trace.BadParameter("Idempotency-Key %q has no valid agent epoch; %s", raw, identityRemedy)
	}
	b := Binding{AgentID: parts[1], Incarnation: incarnation}
	return Identity{Raw: raw, Issued: true, Binding: b, AgentEpoch: epoch}, nil
}

// parseCanonical parses a decimal number and accepts only its shortest form.
func parseCanonical(s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if strconv.FormatUint(n, 10) != s {
		return 0, trace.BadParameter("%q is not in its shortest form", s)
	}
	return n, nil
}

// ScopedKey returns the organisation and the key, separated by a space. A key
// contains no space, so different pairs never have the same result.
func (id Identity) ScopedKey() string {
	return id.Organisation + " " + id.Raw
}

// FormatIssued returns an issued identity; random must be unique for the binding.
func FormatIssued(b Binding, agentEpoch uint64, random string) string {
	return fmt.Sprintf("o1.%s.%d.%d.%s", b.AgentID, b.Incarnation, agentEpoch, random)
}

// Binder binds keys chosen by callers to agent incarnations. Its errors are of type
// *api.Refusal.
type Binder interface {
	// Bind returns the binding of the key, creating it with want if there is
	// none yet. A returned binding is recorded in the store.
	Bind(ctx context.Context, service string, id Identity, want Binding) (Binding, error)
	// Rebind replaces the binding old by want. It may be called only after the agent
	// of old has replied that the order is refused and did not run.
	Rebind(ctx context.Context, service string, id Identity, old, want Binding) (Binding, error)
	// JournalEpoch returns the current journal epoch of the service.
	JournalEpoch(service string) uint64
}
