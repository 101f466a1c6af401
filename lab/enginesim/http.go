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

func (e *Engine) handleCompletions(w http.ResponseWriter, r *http.Request) {
	e.waitWhileFrozen()
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
		e.writeCompletion(w, r, q, req)
	}
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, q completionRequest, req *request) {
	a := &completionWriter{w: w, controller: http.NewResponseController(w), q: q, completion: CompletionFor(q.Prompt), model: e.opt.Name, created: time.Now().Unix()}
	if q.Stream {
		a.startStream()
	}
	for {
		select {
		case position, open := <-req.positions:
			e.waitWhileFrozen()
			if !open {
				a.writeEnd(req)
				return
			}
			a.writeToken(position)
		case <-req.aborted:
			simhttp.AbortConnection(w)
			return
		case <-r.Context().Done():
			e.cancelRequest(req.id)
			return
		}
	}
}

// completionWriter writes one answer.
type completionWriter struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	q            completionRequest
	completion   Completion
	model        string
	created      int64
	bufferedText strings.Builder // of an answer that is not streamed
}

func (a *completionWriter) startStream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	_ = a.controller.Flush()
}

func (a *completionWriter) writeToken(position int) {
	text := a.completion.Token(position)
	if !a.q.Stream {
		a.bufferedText.WriteString(text)
		return
	}
	a.writeEvent(choice{Text: text, Position: position})
}

func (a *completionWriter) writeEnd(req *request) {
	reason := finishReason(req.prompt, req.maxTokens)
	if req.cancelled {
		reason = "cancelled"
	}
	last := choice{Text: a.bufferedText.String(), FinishReason: &reason, Position: req.nextPosition}
	if !a.q.Stream {
		simhttp.WriteJSON(a.w, http.StatusOK, a.response(last))
		return
	}
	a.writeEvent(last)
	_, _ = fmt.Fprint(a.w, "data: [DONE]\n\n") // the connection is gone if this fails
}

func (a *completionWriter) writeEvent(c choice) {
	data, err := json.Marshal(a.response(c))
	if err != nil {
		return // the type has no values that cannot be marshalled
	}
	_, _ = fmt.Fprintf(a.w, "data: %s\n\n", data) // the connection is gone if this fails
	_ = a.controller.Flush()
}

func (a *completionWriter) response(c choice) completionResponse {
	return completionResponse{
		ID:        "cmpl-" + a.q.RequestID,
		Object:    "text_completion",
		Created:   a.created,
		Model:     a.model,
		Choices:   []choice{c},
		RequestID: a.q.RequestID,
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.waitWhileFrozen()
	simhttp.WriteJSON(w, http.StatusOK, e.Load())
}

// handleCancel answers once the request has left the batch.
func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.waitWhileFrozen()
	var q struct {
		RequestID string `json:"request_id"`
	}
	if !simhttp.ReadJSON(w, r, &q) {
		return
	}
	found := e.cancelRequest(q.RequestID)
	awaitEnd(r.Context(), found)
	simhttp.WriteJSON(w, http.StatusOK, map[string]int{"cancelled": len(found)})
}
