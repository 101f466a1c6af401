package wire

// LoadReport is a datagram in which an agent reports the load of its endpoint to
// subscribed entries. A lost report is not sent again; the next one replaces it.
type LoadReport struct {
	Endpoint string `json:"e"` // ID of the endpoint
	Running  int    `json:"r"`
	Waiting  int    `json:"w"`
	// Stalled is set if the endpoint's rank group cannot serve requests.
	Stalled bool `json:"b,omitempty"`
	// StepTimeMS is the duration of one engine step of the rank group, in
	// milliseconds.
	StepTimeMS int64 `json:"p,omitempty"`
	// ColdRemainingMS is the remaining time, in milliseconds, for which the endpoint
	// is cold, i.e. sustains a fraction of its normal load.
	ColdRemainingMS int64 `json:"c,omitempty"`
}

// LoadSubscription is a datagram with which an entry subscribes to the load
// reports of an agent. The entry sends it periodically; the agent removes
// subscribers from which it no longer receives one.
type LoadSubscription struct {
	Entry string `json:"entry"`
	// Endpoint is the ID under which the entry knows the agent's endpoint.
	Endpoint string `json:"endpoint"`
}

// OperatorState is the operator's writes to the store as an entry knows them.
// Entries that cannot reach the store read it from other entries.
type OperatorState struct {
	// Revision is the store's revision of the newest write in the state.
	Revision uint64 `json:"revision"`
	// Config is the configuration exactly as the operator wrote it.
	Config []byte `json:"config"`
	// ZonesOut lists the availability zones that are taken out of service.
	ZonesOut []string `json:"zones_out"`
}
