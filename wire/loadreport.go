package wire

// LoadReport is a datagram in which an agent reports the load of its endpoint to
// subscribed entries. A lost report is not sent again; the next one replaces it.
// The JSON keys of Stalled ("b") and StepTimeMS ("p") are the initials of former field
// names; they stay, since nodes of other versions use them.
type LoadReport struct {
	Endpoint string `json:"e"` // ID of the endpoint
	Running  int    `json:"r"` // number of running requests
	Waiting  int    `json:"w"` // number of queued requests
	// Stalled is set if the endpoint's rank group cannot serve requests.
	Stalled bool `json:"b,omitempty"`
	// StepTimeMS is the duration of one engine step of the rank group, in
	// milliseconds.
	StepTimeMS int64 `json:"p,omitempty"`
	// ColdRemainingMS is the time, in milliseconds, until the endpoint is warm; 0 if
	// it is warm. A cold endpoint sustains only a fraction of its normal load.
	ColdRemainingMS int64 `json:"c,omitempty"`
	// PacePercent is how long the endpoint takes for the same work, as a percentage of the
	// time that it should take, rounded down to a multiple of 25; 0 below 125.
	PacePercent int64 `json:"s,omitempty"`
	// RateLimit is the number of requests a second that the endpoint accepts from all
	// entries together, RateLimitNone after a limit has ended, and empty if it hasn't
	// named one since the agent started.
	RateLimit string `json:"l,omitempty"`
	// Leaving is set if the endpoint says that it leaves, Incarnation is then its run.
	Leaving     bool  `json:"x,omitempty"`
	Incarnation int64 `json:"i,omitempty"`
	// MemoryTotal is the engine's memory in tokens. It is left out of most reports, since it
	// doesn't change.
	MemoryTotal int `json:"m,omitempty"`
	// MemoryUsed is the part of it that is in use, in units of 1/MemoryUnits, rounded down.
	MemoryUsed int `json:"u,omitempty"`
	// ReadingMS is the time in milliseconds until the endpoint has read the long prompts of
	// which entries have told the agent.
	ReadingMS int64 `json:"q,omitempty"`
}

// MemoryUnits is the number of units in which load reports express an engine's memory.
const MemoryUnits = 32

// RateLimitNone is the value of RateLimit fields if the endpoint names no limit any more.
const RateLimitNone = "none"

// EndpointNotice is a datagram in which an entry tells the other entries what an endpoint
// said of itself in a response: the rate limit that one without an agent names, or that
// it leaves. None of its JSON keys is one of LoadReport, which is received at the same
// port.
type EndpointNotice struct {
	Endpoint  string `json:"endpoint"`             // ID of the endpoint
	RateLimit string `json:"rate_limit,omitempty"` // as in LoadReport
	// Leaving and Incarnation are as in LoadReport.
	Leaving     bool  `json:"leaving,omitempty"`
	Incarnation int64 `json:"incarnation,omitempty"`
	// Entry and Weight are set instead of Endpoint in the datagrams of an entry that can't
	// reach the store, so that the others go on to count it: its store key, and its weight
	// among those that share limits.
	Entry  string  `json:"entry,omitempty"`
	Weight float64 `json:"weight,omitempty"`
}

// LoadSubscription is a datagram with which an entry subscribes to the load
// reports of an agent. The entry sends it periodically; the agent removes
// subscribers from which it no longer receives one.
type LoadSubscription struct {
	Entry string `json:"entry"` // ID of the entry
	// Endpoint is the ID under which the entry knows the agent's endpoint.
	Endpoint string `json:"endpoint"`
	// ReadingMS is set if the entry has just sent the endpoint a long prompt, to the time in
	// milliseconds that reading it takes.
	ReadingMS int64 `json:"reading_ms,omitempty"`
}

// OperatorState is an entry's copy of what the operator wrote to the store: the
// configuration and the availability zones that are taken out of service. Entries that
// cannot reach the store read it from other entries.
type OperatorState struct {
	// Era and Revision are the position in the store's history of the newest write in
	// the state, as in package store.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// Config is the configuration exactly as the operator wrote it.
	Config []byte `json:"config"`
	// ZonesOut lists the availability zones that are taken out of service.
	ZonesOut []string `json:"zones_out"`
}
