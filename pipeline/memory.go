package pipeline

import (
	"strings"
	"unicode/utf8"
)

// Memory of a call. Its parts are claimed from the budget of the entry before they are
// allocated; the claim is released when the call ends.
const (
	// bodyCopies is the memory that a request takes at a time until it is sent, in
	// multiples of its body: that of a plain call and its envelope in base64.
	bodyCopies = 4
	// encodeFactor is the memory that encoding takes, in multiples of its result: the
	// encoder's growing buffer and the copy that is sent.
	encodeFactor = 2
	// textStep is the step in which the claim for a stream's text grows.
	textStep = 4 << 10
	// maxDecisionBytes bounds the text of a recorded decision, which may quote a caller.
	maxDecisionBytes = 300
)

// held is the memory in bytes that a call holds.
type held struct {
	request  int64 // body, prompt
	envelope int64 // request to the agent
	text     int64 // of a stream, kept for resuming it
	response int64 // held part of a plain response
}

// claimHeld adjusts the claim to c.held. If it fails, the claim is unchanged.
func (c *call) claimHeld() error {
	return c.claim.Resize(c.held.request + c.held.envelope + c.held.text + c.held.response)
}

// hold changes one part of c.held. If there is no memory left, nothing changes.
func (c *call) hold(part *int64, n int64) error {
	before := *part
	*part = n
	if err := c.claimHeld(); err != nil {
		*part = before
		return err
	}
	return nil
}

// release sets one part of c.held to n, which is not more than before.
func (c *call) release(part *int64, n int64) {
	*part = min(*part, n)
	_ = c.claimHeld() // can't fail, since the claim shrinks
}

// clip shortens a text that may quote a caller to maxDecisionBytes.
func clip(text string) string {
	if len(text) <= maxDecisionBytes {
		return text
	}
	end := maxDecisionBytes
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return strings.Clone(text[:end]) + "..."
}
