package enginesim

import (
	"context"
	"time"
)

// request is one completion in the engine.
type request struct {
	id        string
	prompt    string
	maxTokens int
	position  int // of the next token
	length    int
	handed    time.Time
	readyAt   time.Time     // end of the prefill
	out       chan int      // positions; closed when the answer is finished
	dropped   chan struct{} // closed when the engine ends the request without an answer
	left      chan struct{} // closed in both cases
	cancelled bool
}

func newRequest(id, prompt string, maxTokens, resumeFrom int) *request {
	length := CompletionTokenCount(prompt, maxTokens)
	return &request{
		id:        id,
		prompt:    prompt,
		maxTokens: maxTokens,
		position:  resumeFrom,
		length:    length,
		// Holds the whole answer, so that a slow reader does not delay a step.
		out:     make(chan int, max(length-resumeFrom, 0)),
		dropped: make(chan struct{}),
		left:    make(chan struct{}),
	}
}

// finish ends the answer after the tokens emitted so far.
func (r *request) finish() {
	close(r.out)
	close(r.left)
}

// drop ends the request without an answer.
func (r *request) drop() {
	close(r.dropped)
	close(r.left)
}

// admission is the result of giving a request to the engine.
type admission int

const (
	admitted admission = iota
	queueFull
	crashed
	unavailable
)

// admit gives r to the engine. An engine that is not warm crashes on a request
// beyond its capacity.
func (e *Engine) admit(r *request) admission {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead || e.closed {
		return unavailable
	}
	e.lastWork = time.Now()
	r.handed = e.lastWork
	given, capacity := len(e.running)+len(e.waiting)+1, e.capacity()
	switch {
	case given <= capacity:
		e.start(r)
	case e.cold() && time.Now().After(e.graceEnd):
		e.overload = max(e.overload, given-capacity)
		e.crash(given, capacity)
		return crashed
	case given > capacity+e.opt.QueueLimit:
		return queueFull
	default:
		e.waiting = append(e.waiting, r)
	}
	e.record()
	e.wake.Broadcast()
	return admitted
}

// start puts r into the batch. The caller holds mu.
func (e *Engine) start(r *request) {
	uncached := len(r.prompt) - e.cache.use(r.prompt)
	prefill := float64(e.opt.PrefillTimePerKiB) * float64(uncached) / 1024 * e.slowdown()
	now := time.Now()
	r.readyAt = now.Add(time.Duration(prefill))
	e.running = append(e.running, r)
	e.runs = append(e.runs, Run{RequestID: r.id, ResumeFrom: r.position, Incarnation: e.bootID, StartedAt: now, ReceivedAt: r.handed})
}

// batch runs decoding steps until the engine is closed.
func (e *Engine) batch() {
	defer close(e.done)
	for {
		d, open := e.nextStep()
		if !open {
			return
		}
		time.Sleep(d)
		e.step()
	}
}

// nextStep waits for work and returns the time that the next step takes.
func (e *Engine) nextStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for !e.closed && (e.frozen || len(e.running) == 0) {
		e.wake.Wait()
	}
	if e.closed {
		return 0, false
	}
	further := time.Duration(max(len(e.running)-1, 0))
	d := e.opt.BaseStepTime + further*e.opt.StepTimePerRequest
	return time.Duration(float64(d) * e.slowdown()), true
}

// step emits one token of each running request whose prefill is over.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen {
		return
	}
	now := time.Now()
	staying := e.running[:0:0]
	for _, r := range e.running {
		if e.advance(r, now) {
			staying = append(staying, r)
		}
	}
	left := len(e.running) - len(staying)
	e.running = staying
	e.fill()
	if left > 0 {
		e.record()
	}
}

// advance moves r by one step and reports whether it stays in the batch.
func (e *Engine) advance(r *request, now time.Time) bool {
	switch {
	case r.cancelled:
		r.finish()
		return false
	case now.Before(r.readyAt):
		return true
	case r.position < r.length:
		r.out <- r.position
		r.position++
		e.tokens++
	}
	if r.position < r.length {
		return true
	}
	e.warmth = min(e.warmth+e.opt.CapacityGainPerRequest, float64(e.opt.WarmCapacity-e.opt.ColdCapacity))
	r.finish()
	return false
}

// fill moves waiting requests into the batch. The caller holds mu.
func (e *Engine) fill() {
	for len(e.waiting) > 0 && len(e.running) < e.capacity() {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(r)
	}
}

// cancelRequest removes waiting requests with this ID at once; running ones
// leave the batch at the next step.
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
	staying := e.waiting[:0:0]
	for _, r := range e.waiting {
		if r.id != id {
			staying = append(staying, r)
			continue
		}
		r.cancelled = true
		r.finish()
		found = append(found, r)
	}
	e.waiting = staying
	e.record()
	return found
}

// awaitLeft waits until the requests have left the engine or ctx has ended.
func awaitLeft(ctx context.Context, requests []*request) {
	for _, r := range requests {
		select {
		case <-r.left:
		case <-ctx.Done():
			return
		}
	}
}
