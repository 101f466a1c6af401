package wire

import "github.com/wasabinotch/wasabinotch/api"

// HTTP paths served by an agent.
const (
	PathExecute = "/agent/v1/execute"
	PathCancel  = "/agent/v1/cancel"
)

// ExecuteRequest is the envelope that an entry sends to an agent.
type ExecuteRequest struct {
	RequestID    string `json:"request_id"`
	Attempt      int    `json:"attempt"`
	EntryID      string `json:"entry_id"`
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Priority     int    `json:"priority"` // higher first, 0 default
	// Cost is the expected token cost, 1 for plain calls.
	Cost float64 `json:"cost"`
	// NonIdempotent marks an order; Identity is then required.
	NonIdempotent bool   `json:"non_idempotent,omitempty"`
	Identity      string `json:"identity,omitempty"`
	// ExpectIncarnation refuses the request at any other agent incarnation; 0 accepts any.
	ExpectIncarnation uint64 `json:"expect_incarnation,omitempty"`
	// Generate is set for model requests, Call for plain ones.
	Generate *GenerateCall `json:"generate,omitempty"`
	Call     *PlainCall    `json:"call,omitempty"`
	// DeadlineMS is the time left for queueing and running, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// GenerateCall is a model request.
type GenerateCall struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// ResumeFrom is the position of the first token wanted.
	ResumeFrom int `json:"resume_from,omitempty"`
	// Prefix is the text generated before ResumeFrom.
	Prefix string `json:"prefix,omitempty"`
}

// PlainCall is a call to a plain service.
type PlainCall struct {
	Method string              `json:"method"`
	Path   string              `json:"path"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// FrameKind is the type of a frame.
type FrameKind string

// The kinds of frames. An answer is whole only with its end frame.
const (
	FrameAccepted FrameKind = "accepted" // handed to the endpoint
	FrameRefused  FrameKind = "refused"
	FrameHead     FrameKind = "head"
	FrameData     FrameKind = "data"
	FrameToken    FrameKind = "token"
	FrameEnd      FrameKind = "end"
)

// Frame is one JSON line of an answer. Seq counts from 0 within an attempt.
type Frame struct {
	RequestID string              `json:"request_id"`
	Attempt   int                 `json:"attempt"`
	Seq       int                 `json:"seq"`
	Kind      FrameKind           `json:"kind"`
	Status    int                 `json:"status,omitempty"`
	Header    map[string][]string `json:"header,omitempty"`
	Data      []byte              `json:"data,omitempty"`
	Position  int                 `json:"position,omitempty"` // token position
	Text      string              `json:"text,omitempty"`
	Reason    string              `json:"reason,omitempty"` // of the end frame
	Refusal   *api.Refusal        `json:"refusal,omitempty"`
	// Limit and InFlight of the agent, on the first frame.
	Limit    int `json:"limit,omitempty"`
	InFlight int `json:"in_flight,omitempty"`
}

// CancelRequest stops a running or queued request.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}
