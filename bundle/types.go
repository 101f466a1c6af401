package bundle

// Bundle is the configuration that members sign and all nodes use. Its digest is
// SHA-256 over its canonical JSON (RFC 8785).
type Bundle struct {
	// Version increases by one with each bundle, from 1.
	Version uint64 `json:"version"`
	// Previous is the digest of the bundle with Version-1, "" for version 1.
	Previous      string         `json:"previous"`
	Organisations []Organisation `json:"organisations"`
	Services      []Service      `json:"services"`
	Zones         []string       `json:"zones"`
	Operators     []PublicKey    `json:"operators"`
	Groups        []Group        `json:"groups,omitempty"`
}

// Organisation is a customer; its callers authenticate with API keys.
type Organisation struct {
	Name string `json:"name"`
	// KeyDigests are hex SHA-256 digests of the API keys of the organisation.
	KeyDigests []string `json:"key_digests"`
}

// Service kinds.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Service is a service to which requests are routed.
type Service struct {
	Name string `json:"name"`
	// Kind is "model" for a model engine, which streams tokens, or "plain" for any
	// other HTTP service.
	Kind string `json:"kind"`
	// NonIdempotentPaths lists the path prefixes of non-idempotent calls, which
	// must not be executed twice, for methods other than GET and HEAD, e.g.
	// "/orders".
	NonIdempotentPaths []string `json:"non_idempotent_paths,omitempty"`
	// ColdLimit is the number of concurrent requests that a cold endpoint handles.
	ColdLimit int `json:"cold_limit"`
	// WarmLimit is the number of concurrent requests that a warm endpoint handles.
	WarmLimit int `json:"warm_limit"`
	// QueueLimit bounds the requests that wait for one endpoint.
	QueueLimit int `json:"queue_limit"`
	// TimeoutMS bounds the duration of a request, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
	// Shares are the weights by which organisations share the service. What one
	// organisation leaves unused is available to the others.
	Shares map[string]float64 `json:"shares"`
	// EnforcesFencing states whether the service's endpoints check fencing tokens.
	EnforcesFencing bool `json:"enforces_fencing,omitempty"`
}

// Group is a rank group: engine ranks that run in lock-step on one expert map.
type Group struct {
	Name         string `json:"name"`
	Service      string `json:"service"`
	Ranks        int    `json:"ranks"`
	Layers       int    `json:"layers"`
	Experts      int    `json:"experts"`        // per layer
	SlotsPerRank int    `json:"slots_per_rank"` // per layer
	// ExpertBytes is the size of one expert's weights, in bytes.
	ExpertBytes int64 `json:"expert_bytes"`
}

// PublicKey is a named Ed25519 public key; Public is in base64 (standard encoding).
type PublicKey struct {
	Name   string `json:"name"`
	Public string `json:"public"`
}

// Signature is an Ed25519 signature by the member or operator Name; Value is in
// base64 (standard encoding).
type Signature struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Signed is a bundle with the signatures of members over its digest.
type Signed struct {
	Bundle     Bundle      `json:"bundle"`
	Signatures []Signature `json:"signatures"`
}

// Target kinds of intents.
const (
	TargetZone = "zone"
	TargetVM   = "vm"
)

// Intent is an operator's signed command to take a zone or a VM out of service, or
// to return it to service.
type Intent struct {
	Kind   string `json:"kind"` // "zone" or "vm"
	Target string `json:"target"`
	// Out is true to take the target out of service, false to return it to service.
	Out bool `json:"out"`
	// Revision orders the intents of one target. At equal revisions, Out wins.
	Revision  uint64    `json:"revision"`
	Operator  string    `json:"operator"`
	Reason    string    `json:"reason,omitempty"`
	Signature Signature `json:"signature"`
}

// Intents is the record of the latest intent for each target. Revision increases
// with each write to the store.
type Intents struct {
	Revision uint64            `json:"revision"`
	Targets  map[string]Intent `json:"targets"` // by kind + "/" + target
}
