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
	// closeWait bounds the wait for the end of the body after [DONE]. Reading
	// to the end keeps the connection for the next request.
	closeWait = 10 * time.Millisecond
	// cancelTimeout bounds a cancel call, which outlives its request.
	cancelTimeout = 2 * time.Second
)

// completion is the body of a completions request with our extension fields.
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

// modelRun is one model request at the endpoint.
type modelRun struct {
	gate    *Gate
	req     *wire.ExecuteRequest
	out     *stream
	start   time.Time
	last    time.Time // of the last token
	next    int       // position of the next token
	reason  string
	res     result
	sendErr error
}

func (g *Gate) runModel(ctx context.Context, req *wire.ExecuteRequest, s *stream, sl *slot) result {
	m := &modelRun{gate: g, req: req, out: s, start: g.cfg.Clock.Now(), next: req.Generate.ResumeFrom, reason: "stop"}
	traced, sent := traceSent(ctx)
	resp, err := g.postCompletion(traced, req)
	if err != nil {
		return m.failed(ctx, sent.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	g.taken(sl)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 256)) // only for the message
		m.res.refusal = endpointFailed(fmt.Sprintf("the endpoint answered %d: %s", resp.StatusCode, strings.TrimSpace(string(text))))
		return m.res
	}
	removeHopHeaders(resp.Header)
	if m.sendErr = s.head(resp.StatusCode, resp.Header); m.sendErr == nil {
		err = m.relay(resp.Body)
	}
	if err != nil || m.sendErr != nil {
		return m.failed(ctx, true, err)
	}
	readToEnd(resp.Body)
	m.res.good = true
	m.res.reason = m.reason
	return m.res
}

func readToEnd(body io.ReadCloser) {
	timer := time.AfterFunc(closeWait, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxEventBytes)) // a failure only costs the connection
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
	return g.client.Do(hr)
}

// relay sends the tokens of an event stream until [DONE]. A stream that ends
// without it is not whole.
func (m *modelRun) relay(body io.Reader) error {
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
		if err := m.event(data); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("the stream ended without [DONE]")
}

func (m *modelRun) event(data string) error {
	var ev completionEvent
	if err := json.Unmarshal([]byte(data), &ev); err != nil {
		return fmt.Errorf("bad event: %w", err)
	}
	if len(ev.Choices) == 0 {
		return nil
	}
	choice := ev.Choices[0]
	if choice.FinishReason != nil && *choice.FinishReason != "" {
		m.reason = *choice.FinishReason
	}
	if choice.Text == "" {
		return nil
	}
	position := m.next
	if choice.Position != nil {
		position = *choice.Position
	}
	if position < m.next {
		return nil // a repeated token
	}
	if position > m.next {
		return fmt.Errorf("token %d is missing, got %d", m.next, position)
	}
	now := m.gate.cfg.Clock.Now()
	if m.res.firstToken == 0 {
		m.res.firstToken = now.Sub(m.start)
		m.gate.tokenAfter(m.res.firstToken, true)
	} else {
		m.gate.tokenAfter(now.Sub(m.last), false)
	}
	m.last = now
	m.next++
	m.res.stepped = true
	m.res.served++
	m.sendErr = m.out.token(position, choice.Text)
	return m.sendErr
}

// failed ends a run without a whole answer: after a cancellation, a passed
// deadline, the loss of the entry, or a fault of the endpoint.
func (m *modelRun) failed(ctx context.Context, sent bool, err error) result {
	if !sent {
		m.res.unsent = true
		m.res.refusal = notConnected(ctx, err)
		return m.res
	}
	if ctx.Err() == nil && m.sendErr == nil {
		m.res.abandoned = true
		m.res.refusal = endpointFailed("the answer of the endpoint is not whole: " + err.Error())
		return m.res
	}
	m.res.stopped = m.gate.cancelAtEndpoint(m.req.RequestID)
	m.res.abandoned = !m.res.stopped
	if errors.Is(context.Cause(ctx), errCancelled) {
		m.res.reason = "cancelled"
		return m.res
	}
	m.res.refusal = endedWhileRunning(ctx)
	return m.res
}

// notConnected is the refusal of a request of which nothing was sent.
func notConnected(ctx context.Context, err error) *api.Refusal {
	if ctx.Err() != nil {
		return endedWhileQueued(ctx)
	}
	return api.NotRun(api.KindEndpointFailed, "no connection to the endpoint: "+err.Error(), useOther)
}

// cancelAtEndpoint asks the endpoint to stop the request.
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
	resp, err := g.client.Do(hr)
	if err != nil {
		g.cfg.Log.Info("cancel failed", "request_id", requestID, "reason", err.Error())
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}
