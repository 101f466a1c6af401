package enginesim

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// An answer stops by itself after minStop to minStop+stopRange-1 tokens.
const (
	minStop   = 16
	stopRange = 240
)

// tokenBytes is the number of hashed bytes that a token shows.
const tokenBytes = 3

// Completion is the whole answer to one prompt. It depends on nothing else, so
// that a checker can recompute it.
type Completion struct{ seed uint64 }

// CompletionFor returns the answer to prompt.
func CompletionFor(prompt string) Completion { return Completion{seed: xxhash.Sum64String(prompt)} }

// Token returns the text of the token at a 0-based position.
func (a Completion) Token(position int) string {
	var in [16]byte
	binary.LittleEndian.PutUint64(in[:8], a.seed)
	binary.LittleEndian.PutUint64(in[8:], uint64(position))
	var out [8]byte
	binary.BigEndian.PutUint64(out[:], xxhash.Sum64(in[:]))
	return hex.EncodeToString(out[:tokenBytes]) + " "
}

// TokenCount returns the number of tokens of the answer.
func (a Completion) TokenCount(maxTokens int) int {
	stop := minStop + int(a.seed%stopRange)
	return min(stop, maxTokens)
}

// CompletionToken returns the text of one token of the answer to prompt.
func CompletionToken(prompt string, position int) string {
	return CompletionFor(prompt).Token(position)
}

// CompletionTokenCount returns the number of tokens of the answer to prompt.
func CompletionTokenCount(prompt string, maxTokens int) int {
	return CompletionFor(prompt).TokenCount(maxTokens)
}

// finishReason is "stop" if the answer ended by itself and "length" if
// max_tokens cut it.
func finishReason(prompt string, maxTokens int) string {
	if CompletionTokenCount(prompt, maxTokens) < maxTokens {
		return "stop"
	}
	return "length"
}
