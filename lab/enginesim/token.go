package enginesim

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// An answer stops by itself after minStop to minStop+stopRange-1 tokens.
const (
	minStop   = 16
	stopRange = 240
)

// Token returns the text of the token at a 0-based position of the answer to
// prompt. It depends on nothing else, so that a checker can recompute it.
func Token(prompt string, position int) string {
	h := xxhash.Sum64String(prompt + "\x00" + strconv.Itoa(position))
	return fmt.Sprintf("%06x ", h&0xffffff)
}

// Length returns the number of tokens of the whole answer to prompt.
func Length(prompt string, maxTokens int) int {
	stop := minStop + int(xxhash.Sum64String(prompt)%stopRange)
	return min(stop, maxTokens)
}

// finishReason is "stop" if the answer ended by itself and "length" if
// max_tokens cut it.
func finishReason(prompt string, maxTokens int) string {
	if Length(prompt, maxTokens) < maxTokens {
		return "stop"
	}
	return "length"
}
