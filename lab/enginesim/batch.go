package enginesim

import (
	"context"
	"time"
)

// request is one completion request in the engine.
type request struct {
	id            string
	prompt        string
	maxTokens     int
	nextPosition  int // index of the next token
	tokenCount    int
	receivedAt    time.Time
	prefillEndsAt time.Time     // time at which the prompt has been processed
	positions     chan int      // indexes of generated tokens; closed when the completion is finished
	aborted       chan struct{} // closed when the engine ends the request without a response
	ended         chan struct{} // closed when the request is finished or aborted
	cancelled     bool
}

func newRequest(id, prompt string, maxTokens, resumeFrom int) *request {
	tokenCount := TokenCount(prompt, maxTokens)
	return &request{
		id:           id,
		prompt:       prompt,
		maxTokens:    maxTokens,
		nextPosition: resumeFrom,
		tokenCount:   tokenCount,
		// Buffers the complete response, so that a slow reader does not delay a step.
		positions: make(chan int, max(tokenCount-resumeFrom, 0)),
		aborted:   make(chan struct{}),
		ended:     make(chan struct{}),
	}
}

// finish ends the completion after the tokens emitted so far.
func (r *request) finish() {
	close(r.positions)
	close(r.ended)
}

// abort ends the request without a response.
func (r *request) abort() {
	close(r.aborted)
	close(r.ended)
}

// admission is the result of submitting a request to the engine.
type admission int

const (
	admitted admission = iota
	queueFull
	crashed
	unavailable
)

// admit adds r to the batch, or to the queue if the batch is full. A cold
// engine crashes on a request beyond its capacity, unless the grace period of
// TurnCold still runs.
func (e *Engine) admit(r *request) admission {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.closed {
		return unavailable
	}
	e.lastRequestTime = time.Now()
	r.receivedAt = e.lastRequestTime
	requestCount, capacity := len(e.running)+len(e.waiting)+1, e.capacity()
	switch {
	case requestCount <= capacity:
		e.startRequest(r)
	case e.isCold() && time.Now().After(e.coldGraceEnd):
		e.maxOverload = max(e.maxOverload, requestCount-capacity)
		e.crash(requestCount, capacity)
		return crashed
	case requestCount > capacity+e.opt.QueueLimit:
		return queueFull
	default:
		e.waiting = append(e.waiting, r)
	}
	e.recordLoad()
	e.stateChanged.Broadcast()
	return admitted
}

// startRequest adds r to the batch. The caller holds mu.
func (e *Engine) startRequest(r *request) {
	uncached := len(r.prompt) - e.cache.lookupAndAdd(r.prompt)
	prefill := float64(e.opt.PrefillTimePerKiB) * float64(uncached) / 1024 * e.slowdown()
	now := time.Now()
	r.prefillEndsAt = now.Add(time.Duration(prefill))
	e.running = append(e.running, r)
	e.runs = append(e.runs, Run{RequestID: r.id, ResumeFrom: r.nextPosition, Incarnation: e.incarnation, StartedAt: now, ReceivedAt: r.receivedAt})
}

// runBatch runs decoding steps until the engine is closed.
func (e *Engine) runBatch() {
	defer close(e.batchDone)
	for {
		d, open := e.awaitStep()
		if !open {
			return
		}
		time.Sleep(d)
		e.step()
	}
}

// awaitStep waits until the batch has a request and the engine is not frozen,
// and returns the duration of the next step. It returns false if the engine is
// closed.
func (e *Engine) awaitStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for !e.closed && (e.frozen || len(e.running) == 0) {
		e.stateChanged.Wait()
	}
	if e.closed {
		return 0, false
	}
	additional := time.Duration(max(len(e.running)-1, 0))
	d := e.opt.BaseStepTime + additional*e.opt.StepTimePerRequest
	return time.Duration(float64(d) * e.slowdown()), true
}

// step emits one token of each running request whose prefill is over, and then
// fills the batch from the queue.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen {
		return
	}
	now := time.Now()
	remaining := e.running[:0:0]
	for _, r := range e.running {
		if e.advance(r, now) {
			remaining = append(remaining, r)
		}
	}
	endedCount := len(e.running) - len(remaining)
	e.running = remaining
	e.fillBatch()
	if endedCount > 0 {
		e.recordLoad()
	}
}

// advance moves r by one step and reports whether it stays in the batch. The
// caller holds mu.
func (e *Engine) advance(r *request, now time.Time) bool {
	switch {
	case r.cancelled:
		r.finish()
		return false
	case now.Before(r.prefillEndsAt):
		return true
	case r.nextPosition < r.tokenCount:
		r.positions <- r.nextPosition
		r.nextPosition++
		e.tokens++
	}
	if r.nextPosition < r.tokenCount {
		return true
	}
	e.capacityGain = min(e.capacityGain+e.opt.CapacityGainPerRequest, float64(e.opt.WarmCapacity-e.opt.ColdCapacity))
	r.finish()
	return false
}

// fillBatch moves waiting requests into the batch. The caller holds mu.
func (e *Engine) fillBatch() {
	for len(e.waiting) > 0 && len(e.running) < e.capacity() {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.startRequest(r)
	}
}

// cancelRequest removes waiting requests with this ID at once; running ones
// leave the batch at the next step. It returns all of them.
func (e *Engine) cancelRequest(id string) []*request {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []*request
	for _, r := range e.running {
		if r.id == id {
			r.cancelled = true
			found = append(found, r)
		}
	}
	remaining := e.waiting[:0:0]
	for _, r := range e.waiting {
		if r.id != id {
			remaining = append(remaining, r)
			continue
		}
		r.cancelled = true
		r.finish()
		found = append(found, r)
	}
	e.waiting = remaining
	e.recordLoad()
	return found
}

// awaitEnd waits until the requests have ended or ctx is done.
func awaitEnd(ctx context.Context, requests []*request) {
	for _, r := range requests {
		select {
		case <-r.ended:
		case <-ctx.Done():
			return
		}
	}
}
