package api

import "time"

// HTTP headers of the caller contract.
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
	PathRequests     = "/v1/requests/" // + request ID, DELETE cancels
	PathExplain      = "/v1/explain/"  // + request ID
	PathStatus       = "/v1/status"
	PathShares       = "/v1/shares"
	PathAdminBundle  = "/v1/admin/bundle"
	PathAdminIntents = "/v1/admin/intents"
)

// ResolveValidity is how long a caller may keep a resolve answer.
const ResolveValidity = 10 * time.Second

// ResolveResponse is the answer to a resolve request. Callers use the entries in the
// given order and ask again once ValidMS has passed.
type ResolveResponse struct {
	Service string          `json:"service"`
	Entries []ResolvedEntry `json:"entries"`
	// ValidMS is the validity of this answer in milliseconds.
	ValidMS int64 `json:"valid_ms"`
	// OrderIdentity is set for a non-idempotent service: an Idempotency-Key
	// bound to one agent incarnation, for one order.
	OrderIdentity string `json:"order_identity,omitempty"`
	// OrderEpoch prefixes a caller's own key: "e<epoch>.<key>".
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
	// MaxTokens bounds the answer; it is also the token cost used for shares.
	MaxTokens int `json:"max_tokens"`
}

// TokenEvent is one server-sent event of a model answer.
type TokenEvent struct {
	RequestID string `json:"request_id"`
	Position  int    `json:"position"` // 0-based token position
	Text      string `json:"text"`
}

// EndEvent is the last server-sent event ("event: end") of a whole answer.
type EndEvent struct {
	RequestID string `json:"request_id"`
	Tokens    int    `json:"tokens"`
	Reason    string `json:"reason"` // "stop", "length" or "cancelled"
}

// Status is the answer of PathStatus.
type Status struct {
	NodeID         string       `json:"node_id"`
	Incarnation    uint64       `json:"incarnation"`
	Zone           string       `json:"zone"`
	State          string       `json:"state"`
	BundleVersion  uint64       `json:"bundle_version"`
	BundleDigest   string       `json:"bundle_digest"`
	IntentsRev     uint64       `json:"intents_revision"`
	ZonesOut       []string     `json:"zones_out"`
	VMsOut         []string     `json:"vms_out"`
	StoreOK        bool         `json:"store_ok"`
	ConfirmedAgeMS int64        `json:"confirmed_age_ms"`
	Nodes          []NodeStatus `json:"nodes"`
}

// NodeStatus is one node as this entry sees it.
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
	LastSeenAgeMS int64  `json:"heard_age_ms"`
}

// Shares is the answer of PathShares: agreed shares and what each
// organisation really got on the endpoints this entry knows.
type Shares struct {
	BundleVersion uint64       `json:"bundle_version"`
	BundleDigest  string       `json:"bundle_digest"`
	Services      []ShareUsage `json:"services"`
	Nodes         []NodeStatus `json:"nodes"`
}

// ShareUsage compares agreed and served shares of one service.
type ShareUsage struct {
	Service      string  `json:"service"`
	Organisation string  `json:"organisation"`
	AgreedShare  float64 `json:"agreed_share"` // fraction of 1
	ServedShare  float64 `json:"served_share"` // fraction of 1 of the token cost served
	ServedCost   float64 `json:"served_cost"`  // tokens
	// Queued is the number of requests of the service that wait now, of all
	// organisations.
	Queued int `json:"queued"`
}

// Decision is one routing or placement decision as kept for explain.
type Decision struct {
	At        time.Time `json:"at"`
	Component string    `json:"part"`
	Text      string    `json:"text"`
	Attempt   int       `json:"attempt"`
}

// AdminResult is the answer to an operator command.
type AdminResult struct {
	Accepted bool   `json:"accepted"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest,omitempty"`
	// InStore is false when the command took effect among the nodes while the
	// store was unavailable.
	InStore bool `json:"in_store"`
	// ConfirmedZones lists the zones in which at least one other node, or this
	// node itself, confirmed the command.
	ConfirmedZones []string `json:"confirmed_zones"`
}
