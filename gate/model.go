package gate

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/wire"
)

const (
	pathCompletions = "/v1/completions"
	pathCancel      = "/cancel"
	// maxEventBytes bounds one line of an endpoint's event stream.
	maxEventBytes = 1 << 20
	// bodyDrainTimeout bounds the wait for the end of the body after [DONE]. Reading
	// to the end keeps the connection for the next request.
	bodyDrainTimeout = 10 * time.Millisecond
	// cancelTimeout bounds a cancel call, which has a context separate from its
	// request's.
	cancelTimeout = 2 * time.Second
)

// completion is the body of a completions request with the extension
// fields request_id, priority, resume_from and prefix.
type completion struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	RequestID  string `json:"request_id"`
	Priority   int    `json:"priority"`
	ResumeFrom int    `json:"resume_from"`
	Prefix     string `json:"prefix,omitempty"`
}

// completionEvent is one event of a completions stream.
type completionEvent struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
		// Position is the token position, an extension; engines without it
		// send each token once and in order.
		Position *int `json:"position"`
	} `json:"choices"`
}

// modelRun is one model request that runs at the endpoint.
type modelRun struct {
	gate         *Gate
	req          *wire.ExecuteRequest
	frames       *stream
	startedAt    time.Time
	lastTokenAt  time.Time // when the last token arrived
	nextPosition int       // position of the next token
	finishReason string
	result       requestResult
	sendErr      error
}

// runModel sends a model request to the endpoint and relays its tokens.
func (g *Gate) runModel(ctx context.Context, req *wire.ExecuteRequest, s *stream, sl *slot) requestResult {
	m := &modelRun{gate: g, req: req, frames: s, startedAt: g.cfg.Clock.Now(), nextPosition: req.Generate.ResumeFrom, finishReason: "stop"}
	traced, sent := traceSent(ctx)
	resp, err := g.postCompletion(traced, req)
	if err != nil {
		return m.failedResult(ctx, sent.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	g.markReceived(sl)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 256)) // only for the message
		m.result.refusal = endpointFailed(fmt.Sprintf("the endpoint answered %d: %s", resp.StatusCode, strings.TrimSpace(string(text))))
		return m.result
	}
	removeHopByHopHeaders(resp.Header)
	if m.sendErr = s.head(resp.StatusCode, resp.Header); m.sendErr == nil {
		err = m.relayEvents(resp.Body)
	}
	if err != nil || m.sendErr != nil {
		return m.failedResult(ctx, true, err)
	}
	drainBody(resp.Body)
	m.result.succeeded = true
	m.result.endReason = m.finishReason
	return m.result
}

// drainBody reads the body to its end for at most bodyDrainTimeout.
func drainBody(body io.ReadCloser) {
	timer := time.AfterFunc(bodyDrainTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxEventBytes)) // after a failure the connection is not reused
}

func (g *Gate) postCompletion(ctx context.Context, req *wire.ExecuteRequest) (*http.Response, error) {
	body, err := json.Marshal(completion{
		Model:      req.Service,
		Prompt:     req.Generate.Prompt,
		MaxTokens:  req.Generate.MaxTokens,
		Stream:     true,
		RequestID:  req.RequestID,
		Priority:   req.Priority,
		ResumeFrom: req.Generate.ResumeFrom,
		Prefix:     req.Generate.Prefix,
	})
	if err != nil {
		return nil, err
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.cfg.EndpointAddr+pathCompletions, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	hr.Header.Set("Content-Type", "application/json")
	hr.Header.Set(api.HeaderRequestID, req.RequestID)
	return g.callClient.Do(hr)
}

// relayEvents relays the tokens of an event stream until [DONE]. It returns an
// error if the stream ends without it.
func (m *modelRun) relayEvents(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data:")
		if !found {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return nil
		}
		if err := m.handleEvent(data); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("the stream ended without [DONE]")
}

// handleEvent relays the token of one event and records its arrival time. It
// ignores tokens that were sent already and fails if one is missing.
func (m *modelRun) handleEvent(data string) error {
	var ev completionEvent
	if err := json.Unmarshal([]byte(data), &ev); err != nil {
		return fmt.Errorf("bad event: %w", err)
	}
	if len(ev.Choices) == 0 {
		return nil
	}
	choice := ev.Choices[0]
	if choice.FinishReason != nil && *choice.FinishReason != "" {
		m.finishReason = *choice.FinishReason
	}
	if choice.Text == "" {
		return nil
	}
	position := m.nextPosition
	if choice.Position != nil {
		position = *choice.Position
	}
	if position < m.nextPosition {
		return nil // a duplicate token
	}
	if position > m.nextPosition {
		return fmt.Errorf("token %d is missing, got %d", m.nextPosition, position)
	}
	if position >= m.req.Generate.MaxTokens {
		// The entry keeps the text until the end, in order to resume it elsewhere.
		return fmt.Errorf("more than %d tokens", m.req.Generate.MaxTokens)
	}
	now := m.gate.cfg.Clock.Now()
	if m.result.firstTokenTime == 0 {
		m.result.firstTokenTime = now.Sub(m.startedAt)
		m.gate.recordTokenTime(m.result.firstTokenTime, true)
	} else {
		m.gate.recordTokenTime(now.Sub(m.lastTokenAt), false)
	}
	m.lastTokenAt = now
	m.nextPosition++
	m.result.gapsMeasured = true
	m.result.servedCost++
	m.sendErr = m.frames.token(position, choice.Text)
	return m.sendErr
}

// failedResult returns the result of a run without a complete response: after a
// cancellation, a passed deadline, the loss of the entry, or a failure of the
// endpoint. It cancels the request at the endpoint unless the endpoint failed.
func (m *modelRun) failedResult(ctx context.Context, sent bool, err error) requestResult {
	if !sent {
		m.result.unsent = true
		m.result.refusal = notConnected(ctx, err)
		return m.result
	}
	if ctx.Err() == nil && m.sendErr == nil {
		m.result.mayStillRun = true
		m.result.refusal = endpointFailed("the answer of the endpoint is not whole: " + err.Error())
		return m.result
	}
	m.result.cancelConfirmed = m.gate.cancelAtEndpoint(m.req.RequestID)
	m.result.mayStillRun = !m.result.cancelConfirmed
	if errors.Is(context.Cause(ctx), errCancelled) {
		m.result.endReason = "cancelled"
		return m.result
	}
	m.result.refusal = endedWhileRunning(ctx)
	return m.result
}

// notConnected returns the refusal of a request of which nothing was sent.
func notConnected(ctx context.Context, err error) *api.Refusal {
	if ctx.Err() != nil {
		return endedWhileQueued(ctx)
	}
	return api.NotRun(api.KindEndpointFailed, "no connection to the endpoint: "+err.Error(), remedyOtherEndpoint)
}

// cancelAtEndpoint requests the endpoint to stop the request and reports whether
// the endpoint confirmed it.
func (g *Gate) cancelAtEndpoint(requestID string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	body, err := json.Marshal(wire.CancelRequest{RequestID: requestID})
	if err != nil {
		return false
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.cfg.EndpointAddr+pathCancel, bytes.NewReader(body))
	if err != nil {
		return false
	}
	hr.Header.Set("Content-Type", "application/json")
	resp, err := g.callClient.Do(hr)
	if err != nil {
		g.cfg.Log.Info("Cancel request to the endpoint failed.", "request_id", requestID, "reason", err.Error())
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}
