package wire

// LoadReport is a datagram in which an agent tells subscribed entries the load
// of its endpoint. A lost one is replaced by the next.
type LoadReport struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string `json:"e"`
	Running  int    `json:"r"`
	Waiting  int    `json:"w"`
	// Stalled says that the endpoint's rank group can't serve.
	Stalled bool `json:"b,omitempty"`
	// StepTimeMS is the time of a pass of the rank group.
	StepTimeMS int64 `json:"p,omitempty"`
	// ColdRemainingMS is how much longer the endpoint bears little load.
	ColdRemainingMS int64 `json:"c,omitempty"`
}

// LoadSubscription is a datagram with which an entry asks an agent for load
// reports. It is repeated; an agent forgets entries that fall silent.
type LoadSubscription struct {
	Entry string `json:"entry"`
	// Endpoint is the ID under which the entry knows the agent's endpoint.
	Endpoint string `json:"endpoint"`
}

// OperatorState is what an entry knows of the operator's writes. Entries that
// can't reach the store read it from others.
type OperatorState struct {
	// Revision is the store's revision of the newest write in the state.
	Revision uint64 `json:"revision"`
	// Config is the configuration as the operator wrote it.
	Config []byte `json:"config"`
	// ZonesOut lists the availability zones that are taken out.
	ZonesOut []string `json:"zones_out"`
}
