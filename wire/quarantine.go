package wire

// PathQuarantine is the HTTP path at which entries share what they know of prompt parts
// that may crash endpoints. The body is a QuarantineReport, the response a
// QuarantineReply.
const PathQuarantine = "/quarantine"

// QuarantineReport says what an entry has learned about parts of a service's prompts.
type QuarantineReport struct {
	Service string `json:"service"`
	// Crash identifies an endpoint's crash, "" for none; Parts are those of requests
	// whose answer had not begun then.
	Crash string   `json:"crash,omitempty"`
	Parts []string `json:"parts,omitempty"`
	// Answered lists parts of prompts to which an answer has begun after a crash.
	Answered []string `json:"answered,omitempty"`
	// Proven lists parts of prompts to which an answer had begun before the crash.
	Proven []string `json:"proven,omitempty"`
	// Trying lists suspect parts of a prompt that the entry sends to an endpoint to learn
	// whether they are sound. Entries of earlier versions ignore it.
	Trying []string `json:"trying,omitempty"`
}

// QuarantineReply lists the parts of the report's crash that are proven sound at the
// replying entry.
type QuarantineReply struct {
	Proven []string `json:"proven"`
}
