package enginesim

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// A completion that max_tokens does not cut has minNaturalTokens to
// minNaturalTokens+naturalTokenRange-1 tokens.
const (
	minNaturalTokens  = 16
	naturalTokenRange = 240
)

// hashBytesPerToken is the number of hash bytes shown in a token's text, in
// hexadecimal.
const hashBytesPerToken = 3

// Completion is the complete generated text for one prompt. It depends only on
// the prompt, so that a checker can recompute it.
type Completion struct{ seed uint64 }

// CompletionFor returns the completion of prompt.
func CompletionFor(prompt string) Completion { return Completion{seed: xxhash.Sum64String(prompt)} }

// Token returns the text of the token at a 0-based position.
func (c Completion) Token(position int) string {
	var in [16]byte
	binary.LittleEndian.PutUint64(in[:8], c.seed)
	binary.LittleEndian.PutUint64(in[8:], uint64(position))
	var out [8]byte
	binary.BigEndian.PutUint64(out[:], xxhash.Sum64(in[:]))
	return hex.EncodeToString(out[:hashBytesPerToken]) + " "
}

// TokenCount returns the number of tokens of the completion, at most
// maxTokens.
func (c Completion) TokenCount(maxTokens int) int {
	stop := minNaturalTokens + int(c.seed%naturalTokenRange)
	return min(stop, maxTokens)
}

// CompletionToken returns the text of the token at a 0-based position of the
// completion of prompt.
func CompletionToken(prompt string, pos int) string { return CompletionFor(prompt).Token(pos) }

// TokenCount returns the number of tokens of the completion of prompt, at most
// maxTokens.
func TokenCount(prompt string, maxTokens int) int { return CompletionFor(prompt).TokenCount(maxTokens) }

// finishReason is "stop" if the completion ended before max_tokens and
// "length" if max_tokens cut it.
func finishReason(prompt string, maxTokens int) string {
	if TokenCount(prompt, maxTokens) < maxTokens {
		return "stop"
	}
	return "length"
}
