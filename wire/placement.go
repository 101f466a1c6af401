package wire

// PathPlacement is the path at which an entry says to operators where a request would go.
// The body is a PlacementQuery, the response a PlacementReply.
const PathPlacement = "/placement"

// PlacementQuery describes a request. It names the service, or the host and the path from
// which the entry finds the route.
type PlacementQuery struct {
	Service string `json:"service,omitempty"`
	Host    string `json:"host,omitempty"`
	Path    string `json:"path,omitempty"`
	// RequestID decides between the services of a route that splits its traffic.
	RequestID string `json:"request_id,omitempty"`
	// TargetMS is the target latency in milliseconds; 0 for that of the route.
	TargetMS int64 `json:"target_ms,omitempty"`
	// PromptTokens, ResponseTokens and MaxResponseTokens are the request's lengths.
	PromptTokens      int `json:"prompt_tokens,omitempty"`
	ResponseTokens    int `json:"response_tokens,omitempty"`
	MaxResponseTokens int `json:"max_response_tokens,omitempty"`
	// Parts are the parts of the prompt in order, the last one its own.
	Parts []PlacementPart `json:"parts,omitempty"`
}

// PlacementPart is a part of a prompt.
type PlacementPart struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// PlacementReply says where a request would go.
type PlacementReply struct {
	Entry     string `json:"entry"`
	EntryZone string `json:"entry_zone"`
	Config    uint64 `json:"config"`
	Route     string `json:"route,omitempty"`
	Service   string `json:"service"`
	// Outcome says what would happen to the request now.
	Outcome string `json:"outcome"`
	// Waiting is the number of requests of the service that wait at this entry, Entries the
	// number of entries among which shared limits are divided.
	Waiting int `json:"waiting"`
	Entries int `json:"entries"`
	// MemoryTokens is the memory that the request is expected to take.
	MemoryTokens int                 `json:"memory_tokens"`
	Endpoints    []PlacementEndpoint `json:"endpoints"`
}

// PlacementEndpoint is an endpoint that was considered.
type PlacementEndpoint struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// State is "candidate", "last resort: ..." or "excluded: ...".
	State string `json:"state"`
	// Chance is the probability that it is chosen.
	Chance float64 `json:"chance"`
	// Cost is the sum of the costs that follow, less Held; in fractions of its slots.
	Cost     float64 `json:"cost"`
	Load     float64 `json:"load_cost"`
	Reading  float64 `json:"reading_cost"`
	Held     float64 `json:"held_gain"`
	Failures float64 `json:"failure_cost"`
	ZoneCost float64 `json:"zone_cost"`
	// Requests is the number of requests there, OwnRequests that of this entry's ones.
	Requests    int `json:"requests"`
	OwnRequests int `json:"own_requests"`
	UsableSlots int `json:"usable_slots"`
	// HeldTokens is the part of the prompt that it holds, MemoryRoom the tokens that its
	// memory has left for the request, -1 if unknown.
	HeldTokens int `json:"held_tokens"`
	MemoryRoom int `json:"memory_room"`
	// ReportAgeMS is the age of its last load report in milliseconds, -1 if there is none.
	ReportAgeMS int64   `json:"report_age_ms"`
	StepTimeMS  int64   `json:"step_time_ms"`
	Pace        float64 `json:"pace"`
}
