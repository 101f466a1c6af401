package wire

import (
	"time"

	"github.com/wasabinotch/wasabinotch/api"
)

// HTTP paths served by an agent.
const (
	PathExecute = "/agent/v1/execute"
	PathCancel  = "/agent/v1/cancel"
)

// CallerWriteTimeout bounds one write to a caller. If a caller reads nothing for longer, its
// request is cancelled to free the endpoint. While an entry waits for a caller, it may read
// nothing from the agent either.
const CallerWriteTimeout = 30 * time.Second

// ExecuteRequest is the envelope in which an entry sends a caller's request to an
// agent.
type ExecuteRequest struct {
	RequestID    string `json:"request_id"`
	Attempt      int    `json:"attempt"`
	EntryID      string `json:"entry_id"`
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Priority     int    `json:"priority"` // higher first, 0 default
	// Cost is the expected cost in tokens; 1 for a PlainCall.
	Cost float64 `json:"cost"`
	// NonIdempotent marks an order. It requires Identity.
	NonIdempotent bool   `json:"non_idempotent,omitempty"`
	Identity      string `json:"identity,omitempty"`
	// ExpectIncarnation is the only agent incarnation that may run the request; all
	// others refuse it. 0 accepts any.
	ExpectIncarnation uint64 `json:"expect_incarnation,omitempty"`
	// Generate is set for a model request, Call for a request to a plain service.
	Generate *GenerateCall `json:"generate,omitempty"`
	Call     *PlainCall    `json:"call,omitempty"`
	// DeadlineMS is the remaining time for queueing and running, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// GenerateCall is a model request.
type GenerateCall struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// ResumeFrom is the position of the first token to generate.
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

type FrameKind string

// Kinds of frames. A response without an end frame is incomplete.
const (
	FrameAccepted FrameKind = "accepted" // the request was passed to the endpoint
	FrameRefused  FrameKind = "refused"  // carries Refusal
	FrameHead     FrameKind = "head"     // status and header of a plain response
	FrameData     FrameKind = "data"     // part of a plain response's body
	FrameToken    FrameKind = "token"    // one token of a model response
	FrameEnd      FrameKind = "end"      // end of a complete response
)

// Frame is one JSON line of an agent's response. Seq counts from 0 within an
// attempt.
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
	// Limit is the number of concurrent requests that the agent admits now, and
	// InFlight the number that it runs. The first frame carries them.
	Limit    int `json:"limit,omitempty"`
	InFlight int `json:"in_flight,omitempty"`
}

// CancelRequest is the body of a request to PathCancel. It stops a running or
// queued request.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}
