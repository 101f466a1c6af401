package fleet

import "github.com/wasabinotch/wasabinotch/placement"

// Work is what a request is expected to cost an endpoint, as its caller states it. The zero
// value means that nothing is known.
type Work struct {
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// ResponseTokens is the expected length of the response. It is a caller's estimate:
	// about right in the median, but often far off.
	ResponseTokens int
	// MaxResponseTokens is the length at which the response ends at the latest.
	MaxResponseTokens int
	// Parts are the parts of the prompt in order. The last one belongs to the request or its
	// session alone.
	Parts []PromptPart
}

// PromptPart is a part of a prompt that other prompts may begin with too.
type PromptPart = placement.Part

// placement returns what package placement needs of the work.
func (w *Work) placement() placement.Work {
	return placement.Work{Prompt: w.PromptTokens, Response: w.ResponseTokens, MaxResponse: w.MaxResponseTokens}
}
