package enginesim

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/wasabinotch/wasabinotch/lab/simhttp"
)

// defaultMaxTokens is the max_tokens default of the completions protocol.
const defaultMaxTokens = 16

// completionRequest is the body of POST /v1/completions. RequestID and
// ResumeFrom are extensions. max_tokens counts positions from 0, also when
// resume_from is set.
type completionRequest struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	RequestID  string `json:"request_id"`
	ResumeFrom int    `json:"resume_from"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
	// Position is the 0-based token position, an extension.
	Position int `json:"position"`
}

type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	// RequestID repeats the request's ID, an extension.
	RequestID string `json:"request_id"`
}

func (e *Engine) completions(w http.ResponseWriter, r *http.Request) {
	e.waitThawed()
	q := completionRequest{MaxTokens: defaultMaxTokens}
	if !simhttp.ReadJSON(w, r, &q) {
		return
	}
	if q.ResumeFrom < 0 || q.MaxTokens < 1 {
		http.Error(w, "resume_from is negative or max_tokens is below 1", http.StatusBadRequest)
		return
	}
	if q.RequestID == "" {
		q.RequestID = uuid.NewString()
	}
	req := newRequest(q.RequestID, q.Prompt, q.MaxTokens, q.ResumeFrom)
	switch e.admit(req) {
	case queueFull:
		http.Error(w, "queue is full", http.StatusServiceUnavailable)
	case crashed, unavailable:
		simhttp.AbortConnection(w)
	case admitted:
		e.answer(w, r, q, req)
	}
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, q completionRequest, req *request) {
	a := &answerer{w: w, flush: http.NewResponseController(w), q: q, whole: CompletionFor(q.Prompt), model: e.opt.Name, created: time.Now().Unix()}
	if q.Stream {
		a.startStream()
	}
	for {
		select {
		case position, open := <-req.out:
			e.waitThawed()
			if !open {
				a.finish(req)
				return
			}
			a.token(position)
		case <-req.dropped:
			simhttp.AbortConnection(w)
			return
		case <-r.Context().Done():
			e.cancelRequest(req.id)
			return
		}
	}
}

// answerer writes one answer.
type answerer struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	q       completionRequest
	whole   Completion
	model   string
	created int64
	text    strings.Builder // of an answer that is not streamed
}

func (a *answerer) startStream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	_ = a.flush.Flush()
}

func (a *answerer) token(position int) {
	text := a.whole.Token(position)
	if !a.q.Stream {
		a.text.WriteString(text)
		return
	}
	a.event(choice{Text: text, Position: position})
}

func (a *answerer) finish(req *request) {
	reason := finishReason(req.prompt, req.maxTokens)
	if req.cancelled {
		reason = "cancelled"
	}
	last := choice{Text: a.text.String(), FinishReason: &reason, Position: req.position}
	if !a.q.Stream {
		simhttp.WriteJSON(a.w, http.StatusOK, a.completion(last))
		return
	}
	a.event(last)
	_, _ = fmt.Fprint(a.w, "data: [DONE]\n\n") // the connection is gone if this fails
}

func (a *answerer) event(c choice) {
	data, err := json.Marshal(a.completion(c))
	if err != nil {
		return // the type has no values that cannot be marshalled
	}
	_, _ = fmt.Fprintf(a.w, "data: %s\n\n", data) // the connection is gone if this fails
	_ = a.flush.Flush()
}

func (a *answerer) completion(c choice) completionResponse {
	return completionResponse{
		ID:        "cmpl-" + a.q.RequestID,
		Object:    "text_completion",
		Created:   a.created,
		Model:     a.model,
		Choices:   []choice{c},
		RequestID: a.q.RequestID,
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.waitThawed()
	simhttp.WriteJSON(w, http.StatusOK, e.Load())
}

// cancel answers once the request has left the batch.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.waitThawed()
	var q struct {
		RequestID string `json:"request_id"`
	}
	if !simhttp.ReadJSON(w, r, &q) {
		return
	}
	found := e.cancelRequest(q.RequestID)
	awaitLeft(r.Context(), found)
	simhttp.WriteJSON(w, http.StatusOK, map[string]int{"cancelled": len(found)})
}
