package placement

import "time"

const (
	// longPrompt is the length of a prompt, as a multiple of the mean one, from which entries
	// tell the endpoint's agent of it, and minReading the part of the target latency that
	// reading it must take. The number of requests says nothing of such prompts.
	longPrompt = 4.0
	minReading = 0.2
	// maxBacklog bounds what entries can make an agent report.
	maxBacklog = 10 * time.Second
)

// Tell returns the time in which the prompt of a request is read if the other entries
// should know of it, else 0.
func (e *Engine) Tell(d *Demand) time.Duration {
	if float64(d.Prompt) < longPrompt*e.MeanPrompt || e.readingCost(d.Prompt, d.Target) < minReading {
		return 0
	}
	return e.ReadingTime(d.Prompt)
}

// ReadingTime returns the time in which tokens of prompts are read.
func (e *Engine) ReadingTime(tokens int) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.ReadPerSecond * float64(time.Second))
}

// TokensReadIn returns the number of tokens that are read in a time.
func (e *Engine) TokensReadIn(d time.Duration) int { return int(d.Seconds() * e.ReadPerSecond) }

// Backlog is the reading of long prompts that entries have sent to an endpoint, as its agent
// knows it. Prompts are read one after the other, so that it shrinks as time passes.
type Backlog struct{ until time.Time }

// Add adds the reading time of a prompt that was sent now.
func (b *Backlog) Add(d time.Duration, now time.Time) {
	if b.until.Before(now) {
		b.until = now
	}
	b.until = b.until.Add(max(0, min(d, maxBacklog)))
	if most := now.Add(maxBacklog); b.until.After(most) {
		b.until = most
	}
}

// Left returns the time until the prompts have been read.
func (b *Backlog) Left(now time.Time) time.Duration { return max(0, b.until.Sub(now)) }
