package api

import "time"

// HTTP headers of requests and responses between callers and entries.
const (
	HeaderRequestID    = "Wasabinotch-Request-Id"
	HeaderOrganisation = "Wasabinotch-Organisation"
	HeaderPriority     = "Wasabinotch-Priority"
	HeaderAttempt      = "Wasabinotch-Attempt"
	HeaderBundle       = "Wasabinotch-Bundle"
	HeaderOutcome      = "Wasabinotch-Outcome"
	HeaderIdempotency  = "Idempotency-Key"
)

// HTTP paths served by an entry.
const (
	PathResolve      = "/v1/resolve"
	PathGenerate     = "/v1/generate/" // + service
	PathCall         = "/v1/call/"     // + service + "/" + path
	PathRequests     = "/v1/requests/" // + request ID; DELETE cancels the request
	PathExplain      = "/v1/explain/"  // + request ID
	PathStatus       = "/v1/status"
	PathShares       = "/v1/shares"
	PathAdminBundle  = "/v1/admin/bundle"
	PathAdminIntents = "/v1/admin/intents"
)

// ResolveValidity is how long a caller may use a resolve response.
const ResolveValidity = 10 * time.Second

// ResolveResponse is the response of PathResolve. Callers try the entries in the
// given order and resolve again after ValidMS.
type ResolveResponse struct {
	Service string          `json:"service"`
	Entries []ResolvedEntry `json:"entries"`
	// ValidMS is how long a caller may use the response, in milliseconds.
	ValidMS int64 `json:"valid_ms"`
	// OrderIdentity is an Idempotency-Key for one order, bound to one agent
	// incarnation. It is set only for a service with non-idempotent paths.
	OrderIdentity string `json:"order_identity,omitempty"`
	// OrderEpoch is the prefix of an Idempotency-Key that the caller generates:
	// "e<epoch>.<key>".
	OrderEpoch    uint64 `json:"order_epoch,omitempty"`
	BundleVersion uint64 `json:"bundle_version"`
	BundleDigest  string `json:"bundle_digest"`
}

// ResolvedEntry is the address of one entry.
type ResolvedEntry struct {
	Address string `json:"address"` // IP:port
	Zone    string `json:"zone"`
}

// GenerateRequest is the JSON body of a model request.
type GenerateRequest struct {
	Prompt string `json:"prompt"`
	// MaxTokens is the maximum number of generated tokens. It is also the cost that
	// counts towards the shares.
	MaxTokens int `json:"max_tokens"`
}

// TokenEvent is a server-sent event with one token of a model response.
type TokenEvent struct {
	RequestID string `json:"request_id"`
	Position  int    `json:"position"` // 0-based token position
	Text      string `json:"text"`
}

// EndEvent is the last server-sent event ("event: end") of a complete model response.
type EndEvent struct {
	RequestID string `json:"request_id"`
	Tokens    int    `json:"tokens"`
	Reason    string `json:"reason"` // "stop", "length" or "cancelled"
}

// Status is the response of PathStatus: the state of one entry and the nodes that it
// knows.
type Status struct {
	NodeID        string   `json:"node_id"`
	Incarnation   uint64   `json:"incarnation"`
	Zone          string   `json:"zone"`
	State         string   `json:"state"`
	BundleVersion uint64   `json:"bundle_version"`
	BundleDigest  string   `json:"bundle_digest"`
	IntentsRev    uint64   `json:"intents_revision"`
	ZonesOut      []string `json:"zones_out"`
	VMsOut        []string `json:"vms_out"`
	StoreOK       bool     `json:"store_ok"`
	// ConfirmedAgeMS is the age, in milliseconds, of the last confirmation that the
	// entry's configuration is current; -1 if there was none.
	ConfirmedAgeMS int64        `json:"confirmed_age_ms"`
	Nodes          []NodeStatus `json:"nodes"`
}

// NodeStatus is the state of one node as an entry knows it.
type NodeStatus struct {
	NodeID        string `json:"node_id"`
	Role          string `json:"role"`
	Zone          string `json:"zone"`
	VM            string `json:"vm"`
	State         string `json:"state"`
	Service       string `json:"service,omitempty"`
	Address       string `json:"address"`
	BundleVersion uint64 `json:"bundle_version"`
	BundleDigest  string `json:"bundle_digest"`
	IntentsRev    uint64 `json:"intents_revision"`
	// LastSeenAgeMS is the time since the entry last received a record or heartbeat of
	// the node, in milliseconds.
	LastSeenAgeMS int64 `json:"heard_age_ms"`
}

// Shares is the response of PathShares: the agreed share of each organisation and the
// share served to it by the endpoints that the entry knows.
type Shares struct {
	BundleVersion uint64       `json:"bundle_version"`
	BundleDigest  string       `json:"bundle_digest"`
	Services      []ShareUsage `json:"services"`
	Nodes         []NodeStatus `json:"nodes"`
}

// ShareUsage compares the agreed and the served share of an organisation in one
// service.
type ShareUsage struct {
	Service      string  `json:"service"`
	Organisation string  `json:"organisation"`
	AgreedShare  float64 `json:"agreed_share"` // 0 to 1
	ServedShare  float64 `json:"served_share"` // 0 to 1, of the served cost
	ServedCost   float64 `json:"served_cost"`  // tokens
	// Queued is the number of queued requests of the service, of all organisations.
	Queued int `json:"queued"`
}

// Decision is one routing decision about a request, as listed by PathExplain.
type Decision struct {
	At        time.Time `json:"at"`
	Component string    `json:"part"`
	Text      string    `json:"text"`
	Attempt   int       `json:"attempt"`
}

// AdminResult is the response to an operator command.
type AdminResult struct {
	Accepted bool   `json:"accepted"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest,omitempty"`
	// InStore is false if the command was distributed among the nodes only, since the
	// store was unavailable.
	InStore bool `json:"in_store"`
	// ConfirmedZones lists the zones in which at least one node, which may be the
	// responding entry, confirmed the command.
	ConfirmedZones []string `json:"confirmed_zones"`
}
