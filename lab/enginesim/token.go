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

// Answer is the whole answer to one prompt. It depends on nothing else, so
// that a checker can recompute it.
type Answer struct{ seed uint64 }

// AnswerTo returns the answer to prompt.
func AnswerTo(prompt string) Answer { return Answer{seed: xxhash.Sum64String(prompt)} }

// Token returns the text of the token at a 0-based position.
func (a Answer) Token(position int) string {
	var in [16]byte
	binary.LittleEndian.PutUint64(in[:8], a.seed)
	binary.LittleEndian.PutUint64(in[8:], uint64(position))
	var out [8]byte
	binary.BigEndian.PutUint64(out[:], xxhash.Sum64(in[:]))
	return hex.EncodeToString(out[:tokenBytes]) + " "
}

// Length returns the number of tokens of the answer.
func (a Answer) Length(maxTokens int) int {
	stop := minStop + int(a.seed%stopRange)
	return min(stop, maxTokens)
}

// Token returns the text of one token of the answer to prompt.
func Token(prompt string, position int) string { return AnswerTo(prompt).Token(position) }

// Length returns the number of tokens of the answer to prompt.
func Length(prompt string, maxTokens int) int { return AnswerTo(prompt).Length(maxTokens) }

// finishReason is "stop" if the answer ended by itself and "length" if
// max_tokens cut it.
func finishReason(prompt string, maxTokens int) string {
	if Length(prompt, maxTokens) < maxTokens {
		return "stop"
	}
	return "length"
}
