package pipeline

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/limits"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Guards against a request for which there is no memory that is sent to an agent all the
// same, or whose refusal doesn't say that it didn't run and when to return.
func TestNoMemoryIsNotRun(t *testing.T) {
	for name, path := range map[string]string{"plain call": "/v1/call/desk/stock", "order": "/v1/call/desk/orders", "prompt": "/v1/generate/helper"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service := "desk"
			if name == "prompt" {
				service = "helper"
			}
			e := newEnv(t, service, respondOK, respondOK)
			e.Memory = limits.NewMemory(64<<10, nil)
			body := `{"max_tokens":1,"prompt":"` + strings.Repeat("a", 40<<10) + `"}`
			got := e.do("POST", path, body, "Idempotency-Key: e1.k", "Wasabinotch-Attempt: 1")
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(got.refusal.Kind, api.KindOverloaded)
			is.Equal(got.refusal.Outcome, api.OutcomeNotRun)
			is.True(got.refusal.RetryAfterMS >= minMemoryRetryMS)
			is.Equal(e.executeCount(), 0)
			is.Equal(e.Memory.Held(), int64(0))
		})
	}
}

// Guards against a refusal for lack of memory that says not run although an earlier attempt
// of the order may have run.
func TestNoMemoryForRepeatedOrderIsUnknown(t *testing.T) {
	is := is.New(t)
	e := newEnv(t, "desk", respondOK)
	e.Memory = limits.NewMemory(64<<10, nil)
	got := e.do("POST", "/v1/call/desk/orders", strings.Repeat("a", 40<<10), "Idempotency-Key: e1.k", "Wasabinotch-Attempt: 2")
	is.Equal(got.refusal.Kind, api.KindOverloaded)
	is.Equal(got.refusal.Outcome, api.OutcomeUnknown)
}

// Guards against memory that a request still claims after its end, and against a claim that
// is smaller than what it holds while it runs.
func TestMemoryOfRunningRequests(t *testing.T) {
	is := is.New(t)
	prompt := strings.Repeat("a", 40<<10)
	var e *env
	held := int64(0)
	e = newEnv(t, "helper", func(req *wire.ExecuteRequest, f *frameSender) {
		held = e.Memory.Held()
		respondAllTokens(req, f)
	})
	e.Memory = limits.NewMemory(1<<20, nil)
	got := e.do("POST", "/v1/generate/helper", `{"max_tokens":3,"prompt":"`+prompt+`"}`)
	is.Equal(got.status, http.StatusOK)
	is.True(held >= 2*int64(len(prompt))) // prompt and envelope
	is.True(held <= 5*int64(len(prompt))/2)
	is.Equal(e.Memory.Held(), int64(0))
}

// Guards against a stream that is resumed without its text when there was no memory to keep
// it, and against a stream that ends for that reason alone.
func TestTextIsDroppedWithoutMemory(t *testing.T) {
	is := is.New(t)
	whole := func(req *wire.ExecuteRequest, f *frameSender) {
		f.accept()
		for i := range req.Generate.MaxTokens {
			f.send(wire.Frame{Kind: wire.FrameToken, Position: i, Text: strings.Repeat("t", 4<<10)})
		}
		f.send(wire.Frame{Kind: wire.FrameEnd, Reason: "length"})
	}
	e := newEnv(t, "helper", whole)
	e.Memory = limits.NewMemory(128<<10, nil)
	got := e.generate(64)
	is.Equal(strings.Count(got.body, `"position"`), 64)
	is.True(strings.Contains(got.body, "event: end"))

	interrupted := func(req *wire.ExecuteRequest, f *frameSender) {
		req.Generate.MaxTokens--
		f.accept()
		for i := range req.Generate.MaxTokens {
			f.send(wire.Frame{Kind: wire.FrameToken, Position: i, Text: strings.Repeat("t", 4<<10)})
		}
		f.abort()
	}
	e = newEnv(t, "helper", interrupted, interrupted)
	e.Memory = limits.NewMemory(128<<10, nil)
	got = e.generate(64)
	is.Equal(strings.Count(got.body, `"position"`), 63)
	is.True(strings.Contains(got.body, "event: error"))
	is.True(!strings.Contains(got.body, "event: end"))
	is.Equal(e.executeCount(), 1)
	is.Equal(e.Memory.Held(), int64(0))
}

// Guards against a plain response that fails because there is no memory to hold it back
// until it is complete.
func TestLargeResponseWithoutMemory(t *testing.T) {
	is := is.New(t)
	part := strings.Repeat("d", 16<<10)
	e := newEnv(t, "desk", func(_ *wire.ExecuteRequest, f *frameSender) {
		f.accept()
		f.send(wire.Frame{Kind: wire.FrameHead, Status: 200})
		for range 12 {
			f.send(wire.Frame{Kind: wire.FrameData, Data: []byte(part)})
		}
		f.send(wire.Frame{Kind: wire.FrameEnd})
	})
	e.Memory = limits.NewMemory(64<<10, nil)
	got := e.do("GET", "/v1/call/desk/stock", "")
	is.NoErr(got.err)
	is.Equal(got.body, strings.Repeat(part, 12))
	is.Equal(e.Memory.Held(), int64(0))
}

// Guards against prompts that take six times their bytes in an envelope, so that an agent
// refuses what the entry accepted.
func TestEnvelopeKeepsMarkup(t *testing.T) {
	is := is.New(t)
	body, err := encodeEnvelope(&wire.ExecuteRequest{Generate: &wire.GenerateCall{Prompt: strings.Repeat("<&>", 1000)}})
	is.NoErr(err)
	is.True(len(body) < 3500)
}

// Guards against texts of callers that are kept whole in recorded decisions.
func TestDecisionsAreShort(t *testing.T) {
	is := is.New(t)
	e := newEnv(t, "desk", respondOK)
	got := e.do("GET", "/v1/call/desk/stock", "", "Wasabinotch-Request-Id: r1", "Wasabinotch-Attempt: "+strings.Repeat("ä", 5000))
	is.Equal(got.status, http.StatusBadRequest)
	found := e.Decisions().Explain("r1")
	is.Equal(len(found), 1)
	is.True(len(found[0].Text) < 2*maxDecisionBytes)
	is.True(utf8.ValidString(found[0].Text))
}

// failingBody is a body that fails after its first bytes.
type failingBody struct {
	io.Reader
	err error
}

func (b *failingBody) Read(p []byte) (int, error) {
	if n, _ := b.Reader.Read(p); n > 0 {
		return n, nil
	}
	return 0, b.err
}

// Guards against a refusal of a late body that can't be told from that of a malformed one,
// and against one of an incomplete body that is sent on.
func TestIncompleteBodies(t *testing.T) {
	for err, want := range map[error]api.Kind{os.ErrDeadlineExceeded: api.KindRequestTimeout, io.ErrUnexpectedEOF: api.KindBadRequest} {
		is := is.New(t)
		e := newEnv(t, "desk", respondOK)
		r := httptest.NewRequest("POST", "/v1/call/desk/stock", &failingBody{strings.NewReader("arm"), err})
		r.Header.Set("Authorization", "Bearer "+testKey)
		w := httptest.NewRecorder()
		e.ServeHTTP(w, r)
		var got api.Refusal
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &got))
		is.Equal(got.Kind, want)
		is.Equal(got.Outcome, api.OutcomeNotRun)
		is.Equal(e.executeCount(), 0)
	}
}
