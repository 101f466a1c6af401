package pipeline

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Guards against a failing plain call, and against the API key, or a header
// that makes Go's HTTP client retry a POST, reaching the endpoint.
func TestPlainCall(t *testing.T) {
	is := is.New(t)
	e := newEnv(t, "desk", respondOK)
	got := e.do("GET", "/v1/call/desk/stock/rope?n=2", "", "X-Idempotency-Key: k", "Wasabinotch-Request-Id: r1")
	is.NoErr(got.err)
	is.Equal(got.status, 201)
	is.Equal(got.body, "ran /stock/rope?n=2")
	is.Equal(got.header.Get("X-Part"), "p1")
	is.Equal(got.header.Get(api.HeaderBundle), "3 d3")
	is.Equal(got.header.Get(api.HeaderRequestID), "r1")
	sent := e.agents[0].requests()[0].Call.Header
	is.Equal(len(sent["Authorization"])+len(sent["X-Idempotency-Key"]), 0)
	is.Equal(e.agents[0].lastHTTP.Get("Authorization"), "Bearer token")
	is.True(len(e.Decisions().Explain("r1")) >= 2)
}

// Guards against lost, duplicate or foreign tokens when frames of other
// requests and attempts, or duplicate frames, are mixed into a stream.
func TestStreamDropsForeignFrames(t *testing.T) {
	is := is.New(t)
	e := newEnv(t, "helper", func(req *wire.ExecuteRequest, f *frameSender) {
		f.accept()
		f.sendRaw(wire.Frame{RequestID: "other", Attempt: req.Attempt, Seq: 1, Kind: wire.FrameToken, Text: "X"})
		f.sendRaw(wire.Frame{RequestID: req.RequestID, Attempt: req.Attempt + 1, Seq: 1, Kind: wire.FrameToken, Text: "X"})
		f.sendTokens(2)
		f.sendRaw(wire.Frame{RequestID: req.RequestID, Attempt: req.Attempt, Seq: 1, Kind: wire.FrameToken, Text: "X"})
		f.send(wire.Frame{Kind: wire.FrameEnd, Reason: "stop"})
	})
	got := e.generate(5, "Wasabinotch-Request-Id: r1")
	is.Equal(got.body, `data: {"request_id":"r1","position":0,"text":"t0 "}

data: {"request_id":"r1","position":1,"text":"t1 "}

event: end
data: {"request_id":"r1","tokens":2,"reason":"stop"}

`)
}

// Guards against an incomplete stream being taken for complete, and against
// duplicate or missing tokens after a resume, for each way in which a stream
// can be interrupted.
func TestStreamResumes(t *testing.T) {
	interruptions := map[string]func(*wire.ExecuteRequest, *frameSender){
		"connection lost": func(_ *wire.ExecuteRequest, f *frameSender) { f.abort() },
		"truncated frame": func(_ *wire.ExecuteRequest, f *frameSender) {
			_, _ = f.w.Write([]byte(`{"request_id":"r1","attempt":1,"se`))
		},
		"no end frame": func(*wire.ExecuteRequest, *frameSender) {},
		"missing frame": func(_ *wire.ExecuteRequest, f *frameSender) {
			f.seq++
			f.send(wire.Frame{Kind: wire.FrameEnd, Reason: "stop"})
		},
		"missing token": func(_ *wire.ExecuteRequest, f *frameSender) {
			f.send(wire.Frame{Kind: wire.FrameToken, Position: 4, Text: "X"})
		},
		"cancel of another attempt": func(_ *wire.ExecuteRequest, f *frameSender) {
			f.send(wire.Frame{Kind: wire.FrameEnd, Reason: "cancelled"})
		},
	}
	for name, interrupt := range interruptions {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := true
			script := func(req *wire.ExecuteRequest, f *frameSender) {
				if !first {
					respondAllTokens(req, f)
					return
				}
				first = false
				f.accept()
				f.sendTokens(3)
				interrupt(req, f)
			}
			e := newEnv(t, "helper", script, script)
			got := e.generate(5, "Wasabinotch-Request-Id: r1")
			is.Equal(strings.Count(got.body, `"position"`), 5)
			is.Equal(strings.Count(got.body, "event: end"), 1)
			for _, a := range e.agents {
				for _, req := range a.requests() {
					if req.Attempt == 2 {
						is.Equal(req.Generate.ResumeFrom, 3)
						is.Equal(req.Generate.Prefix, "t0 t1 t2 ")
					}
				}
			}
			is.Equal(e.executeCount(), 2)
		})
	}
}

// Guards against a stream that looks complete although no endpoint finished it.
func TestStreamFailsInBand(t *testing.T) {
	is := is.New(t)
	e := newEnv(t, "helper", func(_ *wire.ExecuteRequest, f *frameSender) {
		f.accept()
		f.sendTokens(1)
		f.abort()
	})
	got := e.generate(5)
	is.True(strings.Contains(got.body, "event: error"))
	is.True(strings.Contains(got.body, `"outcome":"unknown"`))
	is.True(!strings.Contains(got.body, "event: end"))
}

// Guards against repeated, malformed or oversized input reaching an agent.
func TestRefusesBadInput(t *testing.T) {
	e := newEnv(t, "desk", respondOK)
	for name, c := range map[string]struct {
		method, path, body string
		headers            []string
		want               api.Kind
	}{
		"repeated key":     {"POST", "/v1/call/desk/orders", "", []string{"Idempotency-Key: e1.a", "Idempotency-Key: e1.b", "Wasabinotch-Attempt: 1"}, api.KindBadRequest},
		"repeated attempt": {"POST", "/v1/call/desk/x", "", []string{"Wasabinotch-Attempt: 1", "Wasabinotch-Attempt: 1"}, api.KindBadRequest},
		"oversized body":   {"POST", "/v1/call/desk/x", strings.Repeat("x", 1<<16+1), nil, api.KindTooLarge},
		"wrong name":       {"GET", "/v1/call/desk/x", "", []string{"Wasabinotch-Organisation: tidewrack"}, api.KindWrongOrganisation},
		"no service":       {"GET", "/v1/call/none/x", "", nil, api.KindUnknownService},
		"wrong kind":       {"POST", "/v1/generate/desk", "{}", nil, api.KindBadRequest},
		"no identity":      {"POST", "/v1/call/desk/orders/1", "", nil, api.KindIdentityRequired},
		"hidden order":     {"POST", "/v1/call/desk/x/..%2Forders", "", nil, api.KindBadRequest},
		"bad request ID":   {"GET", "/v1/call/desk/x", "", []string{"Wasabinotch-Request-Id: a b"}, api.KindBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := e.do(c.method, c.path, c.body, c.headers...)
			is.Equal(got.refusal.Kind, c.want)
			is.Equal(got.refusal.Outcome, api.OutcomeNotRun)
			is.True(got.refusal.RequestID != "")
			is.Equal(e.executeCount(), 0)
		})
	}
}

// Guards against new calls being admitted on an unconfirmed view, in an entry
// that is out of service, or in one that has stopped admitting.
func TestAdmit(t *testing.T) {
	is := is.New(t)
	e := newEnv(t, "desk", respondOK)
	e.update(func(s *control.Snapshot) { s.ConfirmedAt = time.Now().Add(-4 * time.Second) })
	is.Equal(e.do("GET", "/v1/call/desk/x", "").refusal.Kind, api.KindUnconfirmedView)
	e.update(func(s *control.Snapshot) {
		s.ConfirmedAt = time.Now().Add(time.Hour)
		s.ZonesOut = map[string]bool{"a": true}
		s.Entries = []control.Entry{{Node: wire.Node{ID: "entry-2", Zone: "b", State: wire.StateReady, HTTPAddr: "192.0.2.2:1"}, LastSeen: time.Now()}}
	})
	got := e.do("GET", "/v1/call/desk/x", "")
	is.Equal(got.status, http.StatusMisdirectedRequest)
	is.Equal(got.refusal.Entries, []api.ResolvedEntry{{Address: "192.0.2.2:1", Zone: "b"}})
	e.update(func(s *control.Snapshot) { s.ZonesOut = nil })
	e.StopAdmitting()
	is.Equal(e.do("GET", "/v1/call/desk/x", "").refusal.Kind, api.KindLeaving)
	is.Equal(e.executeCount(), 0)
}

// Guards against "not run" for a call that an earlier attempt may have run: one
// agent drops the connection, then the other refuses.
func TestNotRunCoversAllAttempts(t *testing.T) {
	is := is.New(t)
	attempts := 0
	script := func(_ *wire.ExecuteRequest, f *frameSender) {
		attempts++
		if attempts == 1 {
			f.accept()
			f.abort()
		}
		f.refuse(api.NotRun(api.KindOverloaded, "full", "retry"))
	}
	e := newEnv(t, "desk", script, script)
	got := e.do("GET", "/v1/call/desk/x", "")
	is.Equal(got.refusal.Kind, api.KindOverloaded)
	is.Equal(got.refusal.Outcome, api.OutcomeUnknown)
	is.Equal(attempts, 2)
}

// Guards against retries that multiply load. Once the retry budget is spent, a
// refusal goes to the caller.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	full := refuseWith(api.NotRun(api.KindOverloaded, "full", "retry"))
	e := newEnv(t, "desk", full, full, full)
	for e.budget.TakeRetry() {
		continue
	}
	for range 10 {
		is.Equal(e.do("GET", "/v1/call/desk/x", "").refusal.Outcome, api.OutcomeNotRun)
	}
	is.True(e.executeCount() <= 12)
}

// Guards against an endpoint that continues to work for a caller that cancelled
// or disconnected.
func TestCancel(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 2)
	e := newEnv(t, "helper", func(_ *wire.ExecuteRequest, f *frameSender) {
		f.accept()
		f.sendTokens(1)
		started <- struct{}{}
		<-f.r.Context().Done()
	})
	done := make(chan callerResponse)
	go func() { done <- e.generate(5, "Wasabinotch-Request-Id: r1") }()
	<-started
	is.Equal(e.do("DELETE", "/v1/requests/r1", "").status, http.StatusOK)
	is.True(strings.Contains((<-done).body, `"reason":"cancelled"`))
	is.True(e.agents[0].cancelCount() >= 1)
	is.Equal(e.do("DELETE", "/v1/requests/r1", "").status, http.StatusConflict)

	before := e.agents[0].cancelCount()
	ctx, stop := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", e.server.URL+"/v1/generate/helper", strings.NewReader(`{"prompt":"x","max_tokens":9}`))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	<-started
	stop()
	_ = resp.Body.Close()
	for e.agents[0].cancelCount() == before {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a caller that does not read: its stream must be buffered in
// bounded memory, and other callers must be served meanwhile.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	text := strings.Repeat("x", 4096)
	e := newEnv(t, "helper", func(req *wire.ExecuteRequest, f *frameSender) {
		if req.Generate.MaxTokens < 10 {
			respondAllTokens(req, f)
			return
		}
		f.accept()
		for i := range req.Generate.MaxTokens {
			f.send(wire.Frame{Kind: wire.FrameToken, Position: i, Text: text})
			sent.Add(1)
		}
	})
	body := `{"prompt":"x","max_tokens":100000}`
	conn := e.dial(t, "POST /v1/generate/helper HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+
		"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	defer func() { _ = conn.Close() }()
	for before := int64(-1); before != sent.Load(); time.Sleep(300 * time.Millisecond) {
		before = sent.Load()
	}
	is.True(sent.Load() < 50000) // back-pressure stops the agent; 100,000 tokens are 400 MB
	is.True(strings.Contains(e.generate(3).body, "event: end"))
}

// BenchmarkChain measures the whole filter chain with a fake agent on the same
// machine, and the same agent called directly.
func BenchmarkChain(b *testing.B) {
	e := newEnv(b, "desk", respondOK)
	run := func(b *testing.B, url string, body []byte, key string) {
		times := hdrhistogram.New(1, 1e10, 3)
		for b.Loop() {
			start := time.Now()
			req, _ := http.NewRequest("POST", url, bytes.NewReader(body))
			req.Header.Set("Authorization", "Bearer "+key)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			_ = times.RecordValue(int64(time.Since(start)))
		}
		b.ReportMetric(float64(times.ValueAtQuantile(50))/1e3, "p50-µs")
		b.ReportMetric(float64(times.ValueAtQuantile(99))/1e3, "p99-µs")
	}
	direct, _ := json.Marshal(wire.ExecuteRequest{RequestID: "r", Attempt: 1, Call: &wire.PlainCall{Path: "/stock"}})
	b.Run("agent", func(b *testing.B) { run(b, e.agents[0].server.URL+wire.PathExecute, direct, "token") })
	b.Run("entry", func(b *testing.B) { run(b, e.server.URL+"/v1/call/desk/stock", nil, testKey) })
}
