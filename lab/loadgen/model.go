package loadgen

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/lab/enginesim"
)

// job is one scheduled request; it may take several attempts.
type job struct {
	caller       *caller
	scheduledAt  time.Time
	stats        *stats
	class        class
	payload      string // prompt, kit name or order number
	useCallerKey bool   // the order carries an idempotency key chosen by the caller
}

// sendModelRequest sends one model request. A refusal with the outcome not run is
// retried at another entry with a new request ID; any other ends the request,
// since the model may have run it.
func (g *Generator) sendModelRequest(ctx context.Context, j job) {
	for attempt := 0; ; attempt++ {
		entry, _, refusal := g.chooseEntry(ctx, j.caller, g.cfg.ModelService)
		if refusal == nil {
			refusal = g.modelAttempt(ctx, j, entry)
		}
		if refusal == nil {
			return
		}
		j.stats.countRefusedAttempt(refusal)
		if refusal.Outcome != api.OutcomeNotRun || isPermanent(refusal) || attempt+1 >= g.cfg.MaxAttempts || ctx.Err() != nil {
			j.stats.countFailure(refusal)
			return
		}
		j.caller.removeEntry(g.cfg.ModelService, entry, refusal)
		backOff(ctx, refusal, attempt)
	}
}

func (g *Generator) modelAttempt(ctx context.Context, j job, entry string) *api.Refusal {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.AttemptTimeout)
	defer cancel()
	id := newID()
	body, err := json.Marshal(api.GenerateRequest{Prompt: j.payload, MaxTokens: g.cfg.MaxTokens})
	if err != nil {
		return api.NotRun(KindConnectFailed, err.Error(), "report a defect")
	}
	resp, refusal := g.send(ctx, http.MethodPost, entry, api.PathGenerate+g.cfg.ModelService, g.requestHeader(j.caller.org, id), body)
	if refusal != nil {
		return refusal
	}
	defer func() { _ = resp.Body.Close() }()
	if responseID := resp.Header.Get(api.HeaderRequestID); responseID != "" {
		id = responseID
	}
	check := &streamCheck{job: j, id: id, expected: enginesim.CompletionFor(j.payload), maxTokens: g.cfg.MaxTokens}
	return check.run(resp.Body)
}

// streamCheck compares one streamed response with the expected one.
type streamCheck struct {
	job          job
	id           string
	expected     enginesim.Completion
	maxTokens    int
	nextPosition int // position of the next token
	lastTokenAt  time.Time
	deviation    string // first difference from the expected response; empty for none
	ended        bool
	refusal      *api.Refusal
}

// run reads the stream to its end and records the result in the statistics. A
// refusal inside the stream is returned instead of recorded.
func (s *streamCheck) run(body io.Reader) *api.Refusal {
	readEvents(body, s.handleEvent)
	switch {
	case s.deviation != "":
		s.job.stats.countWrong(s.deviation)
	case s.refusal != nil:
		return s.refusal
	case !s.ended:
		s.job.stats.countTruncated()
	default:
		s.job.stats.countComplete(s.job)
	}
	return nil
}

func (s *streamCheck) handleEvent(name, data string) {
	switch name {
	case "end":
		s.checkEnd(data)
	case "error", "refusal":
		s.refusal = &api.Refusal{}
		if err := json.Unmarshal([]byte(data), s.refusal); err != nil {
			s.recordDeviation("refusal in the stream is not valid JSON: " + data)
		}
	default:
		s.checkToken(data)
	}
}

func (s *streamCheck) checkToken(data string) {
	var t api.TokenEvent
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		s.recordDeviation("token event is not valid JSON: " + data)
		return
	}
	now := time.Now()
	if s.nextPosition == 0 {
		s.job.stats.recordFirstToken(now.Sub(s.job.scheduledAt))
	} else {
		s.job.stats.recordTokenGap(now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	switch {
	case s.ended:
		s.recordDeviation("token after the end event")
	case t.RequestID != s.id:
		s.recordDeviation("token of request " + t.RequestID + " in the response to " + s.id)
	case t.Position != s.nextPosition:
		s.recordDeviation("token out of sequence in the response to " + s.id)
	case t.Text != s.expected.Token(t.Position):
		s.recordDeviation("token of another prompt in the response to " + s.id)
	}
	s.nextPosition++
}

func (s *streamCheck) checkEnd(data string) {
	var e api.EndEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		s.recordDeviation("end event is not valid JSON: " + data)
		return
	}
	s.ended = true
	want := s.expected.TokenCount(s.maxTokens)
	if e.RequestID != s.id || e.Tokens != s.nextPosition || s.nextPosition != want {
		s.recordDeviation("end event does not match the response to " + s.id)
	}
}

func (s *streamCheck) recordDeviation(what string) {
	if s.deviation == "" {
		s.deviation = what
	}
}

// readEvents calls event for each server-sent event until the stream ends. A
// truncated stream is not reported as an error; it lacks the end event.
func readEvents(body io.Reader, event func(name, data string)) {
	r := bufio.NewReader(body)
	name, data := "", []string{}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "" && len(data) > 0:
			event(name, strings.Join(data, "\n"))
			name, data = "", data[:0]
		case field == "event":
			name = value
		case field == "data":
			data = append(data, value)
		}
	}
}
