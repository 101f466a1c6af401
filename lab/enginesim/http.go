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

// defaultMaxTokens is the default of max_tokens in the completions protocol.
const defaultMaxTokens = 16

// completionRequest is the body of POST /v1/completions. RequestID and
// ResumeFrom are extensions of the protocol. max_tokens counts tokens from
// position 0, also when resume_from is set.
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
	// Position is the 0-based token position, an extension of the protocol.
	Position int `json:"position"`
}

type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	// RequestID echoes the ID of the request, an extension of the protocol.
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
	cw := &completionWriter{w: w, controller: http.NewResponseController(w), q: q, completion: CompletionFor(q.Prompt), model: e.opt.Name, created: time.Now().Unix()}
	if q.Stream {
		cw.startStream()
	}
	for {
		select {
		case position, open := <-req.positions:
			e.waitWhileFrozen()
			if !open {
				cw.writeEnd(req)
				return
			}
			cw.writeToken(position)
		case <-req.aborted:
			simhttp.AbortConnection(w)
			return
		case <-r.Context().Done():
			e.cancelRequest(req.id)
			return
		}
	}
}

// completionWriter writes one response, streamed or not.
type completionWriter struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	q            completionRequest
	completion   Completion
	model        string
	created      int64
	bufferedText strings.Builder // of a response that is not streamed
}

func (cw *completionWriter) startStream() {
	cw.w.Header().Set("Content-Type", "text/event-stream")
	cw.w.WriteHeader(http.StatusOK)
	_ = cw.controller.Flush()
}

func (cw *completionWriter) writeToken(position int) {
	text := cw.completion.Token(position)
	if !cw.q.Stream {
		cw.bufferedText.WriteString(text)
		return
	}
	cw.writeEvent(choice{Text: text, Position: position})
}

func (cw *completionWriter) writeEnd(req *request) {
	reason := finishReason(req.prompt, req.maxTokens)
	if req.cancelled {
		reason = "cancelled"
	}
	last := choice{Text: cw.bufferedText.String(), FinishReason: &reason, Position: req.nextPosition}
	if !cw.q.Stream {
		simhttp.WriteJSON(cw.w, http.StatusOK, cw.response(last))
		return
	}
	cw.writeEvent(last)
	_, _ = fmt.Fprint(cw.w, "data: [DONE]\n\n") // fails only if the connection is closed
}

func (cw *completionWriter) writeEvent(c choice) {
	data, err := json.Marshal(cw.response(c))
	if err != nil {
		return // unreachable: all values of the type can be marshalled
	}
	_, _ = fmt.Fprintf(cw.w, "data: %s\n\n", data) // fails only if the connection is closed
	_ = cw.controller.Flush()
}

func (cw *completionWriter) response(c choice) completionResponse {
	return completionResponse{
		ID:        "cmpl-" + cw.q.RequestID,
		Object:    "text_completion",
		Created:   cw.created,
		Model:     cw.model,
		Choices:   []choice{c},
		RequestID: cw.q.RequestID,
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.waitWhileFrozen()
	simhttp.WriteJSON(w, http.StatusOK, e.Load())
}

// handleCancel responds after the cancelled requests have left the engine.
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
