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

// job is one request with its scheduled time.
type job struct {
	caller *caller
	at     time.Time
	stats  *stats
	class  class
	text   string // prompt, kit or order number
	ownKey bool   // of an order
}

// model sends one model request; refusals that did not run are retried at
// another entry under a new request ID.
func (g *Generator) model(ctx context.Context, j job) {
	for attempt := 0; ; attempt++ {
		entry, _, refusal := g.entry(ctx, j.caller, g.cfg.ModelService)
		if refusal == nil {
			refusal = g.modelAttempt(ctx, j, entry)
		}
		if refusal == nil {
			return
		}
		j.stats.refused(refusal)
		if refusal.Outcome != api.OutcomeNotRun || permanent(refusal) || attempt+1 >= g.cfg.MaxAttempts || ctx.Err() != nil {
			j.stats.failed(refusal)
			return
		}
		j.caller.avoid(g.cfg.ModelService, entry, refusal)
		pause(ctx, refusal, attempt)
	}
}

func (g *Generator) modelAttempt(ctx context.Context, j job, entry string) *api.Refusal {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.AttemptTimeout)
	defer cancel()
	id := newID()
	body, err := json.Marshal(api.GenerateRequest{Prompt: j.text, MaxTokens: g.cfg.MaxTokens})
	if err != nil {
		return api.NotRun(KindConnectFailed, err.Error(), "report a defect")
	}
	resp, refusal := g.send(ctx, http.MethodPost, entry, api.PathGenerate+g.cfg.ModelService, g.header(j.caller.org, id), body)
	if refusal != nil {
		return refusal
	}
	defer func() { _ = resp.Body.Close() }()
	if answerID := resp.Header.Get(api.HeaderRequestID); answerID != "" {
		id = answerID
	}
	check := &streamCheck{job: j, id: id, expected: enginesim.CompletionFor(j.text), maxTokens: g.cfg.MaxTokens}
	return check.run(resp.Body)
}

// streamCheck checks one streamed answer.
type streamCheck struct {
	job       job
	id        string
	expected  enginesim.Completion
	maxTokens int
	next      int // position of the next token
	last      time.Time
	wrong     string // first deviation from the expected answer
	ended     bool
	refusal   *api.Refusal
}

// run reads the stream to its end and records the result. It returns a refusal
// that was sent inside the stream.
func (s *streamCheck) run(body io.Reader) *api.Refusal {
	readEvents(body, s.event)
	switch {
	case s.wrong != "":
		s.job.stats.wrong(s.wrong)
	case s.refusal != nil:
		return s.refusal
	case !s.ended:
		s.job.stats.truncated()
	default:
		s.job.stats.whole(s.job)
	}
	return nil
}

func (s *streamCheck) event(name, data string) {
	switch name {
	case "end":
		s.end(data)
	case "error", "refusal":
		s.refusal = &api.Refusal{}
		if err := json.Unmarshal([]byte(data), s.refusal); err != nil {
			s.deviate("refusal in the stream is not JSON: " + data)
		}
	default:
		s.token(data)
	}
}

func (s *streamCheck) token(data string) {
	var t api.TokenEvent
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		s.deviate("event is not JSON: " + data)
		return
	}
	now := time.Now()
	if s.next == 0 {
		s.job.stats.firstToken(now.Sub(s.job.at))
	} else {
		s.job.stats.tokenGap(now.Sub(s.last))
	}
	s.last = now
	switch {
	case s.ended:
		s.deviate("token after the end")
	case t.RequestID != s.id:
		s.deviate("token of request " + t.RequestID + " in the answer to " + s.id)
	case t.Position != s.next:
		s.deviate("token out of sequence in the answer to " + s.id)
	case t.Text != s.expected.Token(t.Position):
		s.deviate("token of another prompt in the answer to " + s.id)
	}
	s.next++
}

func (s *streamCheck) end(data string) {
	var e api.EndEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		s.deviate("end event is not JSON: " + data)
		return
	}
	s.ended = true
	want := s.expected.TokenCount(s.maxTokens)
	if e.RequestID != s.id || e.Tokens != s.next || s.next != want {
		s.deviate("end event does not match the answer to " + s.id)
	}
}

func (s *streamCheck) deviate(what string) {
	if s.wrong == "" {
		s.wrong = what
	}
}

// readEvents calls event for each server-sent event until the stream ends or
// is cut. The end event alone tells the two apart.
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
