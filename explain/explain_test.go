package explain

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/limits"
)

func textLog(name, lines string) Log {
	return Log{Name: name, Open: func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(lines)), nil }}
}

// Log lines of one run in which the coordinator's VM froze during a switch.
const (
	entryLog = `not a log line
{"logger":"entry/endpoints","ts":"2026-07-02 04:29:05.000000","level":0,"msg":"Endpoint changed.","endpoint":"i-3f9a00492e","service":"nose93a","address":"10.1.0.23:8161"}
{"logger":"entry/store","ts":"2026-07-02 04:29:05.100000","level":0,"msg":"Store lost.","cause":"long before"}
{"logger":"entry/forward","ts":"2026-07-02 04:29:21.117535","level":0,"msg":"Request ended.","request":"811f76cc07af8666","outcome":"endpoint_failed","status":502,"ms":800,"endpoint":"i-3f9a00492e","load":2,"load_age_ms":1295,"waited_ms":0,"attempts":1,"events":0,"may_have_run":true,"route":"r-f5vqj9c","service":"nose93a","config":8,"organisation":"wule402","cause":"10.1.0.23:8161: no answer: the endpoint doesn't begin its answer; another endpoint is tried; the request may have run"}
{"logger":"entry/endpoints","ts":"2026-07-02 04:29:22.000000","level":0,"msg":"Endpoint is gone.","endpoint":"i-other","service":"another"}
`
	agentLog = `-13.9 side-1 {"logger":"agent","ts":"2026-07-02 04:29:01.000000","level":0,"msg":"Agent starts.","id":"side-1","endpoint":"10.1.0.24:8161"}
6.1 side-1 {"logger":"agent","ts":"2026-07-02 04:29:20.119529","level":0,"msg":"Coordinating.","group":"g0-0","rank":1,"term":2,"ranks":8}
6.2 side-1 {"logger":"agent","ts":"2026-07-02 04:29:20.200000","level":0,"msg":"Engine lost.","endpoint":"10.1.0.24:8161"}
9.4 side-1 {"logger":"agent/coordinator","ts":"2026-07-02 04:29:23.364496","level":0,"msg":"Undoing another coordinator's switch.","epoch":1,"step":175}
`
)

// Guards against a report that leaves out related lines of other processes, or
// that includes lines of other endpoints or other times.
func TestFindReturnsRelatedLinesOfOtherLogs(t *testing.T) {
	is := is.New(t)
	r, err := Find("811f76cc07af8666", []Log{textLog("entry-1.log", entryLog), textLog("agents.log", agentLog)})
	is.NoErr(err)
	is.Equal(len(r.RequestLines), 1)
	is.Equal(len(r.Related), 2) // another agent took over coordination, and the switch was rolled back
	var b strings.Builder
	is.NoErr(r.Write(&b))
	for _, want := range []string{"the outcome is unknown", "it may have run", "stopped reporting", "side-1 agent: Coordinating.", "configuration 8"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in:\n%s", want, b.String())
		}
	}
}

// Guards against an empty report on an unknown request, which would read as if
// nothing had gone wrong.
func TestUnknownRequest(t *testing.T) {
	is := is.New(t)
	_, err := Find("other", []Log{textLog("entry-1.log", entryLog)})
	is.True(errors.Is(err, ErrNotFound))
}

// Guards against an explanation that says a request may be sent again when it
// may have run, or that names the wrong reason.
func TestRetryAdvice(t *testing.T) {
	is := is.New(t)
	for _, x := range []struct {
		fields map[string]any
		want   string
	}{
		{map[string]any{"outcome": "overloaded", "status": json.Number("503"), "waited_ms": json.Number("390")}, "no endpoint had a free slot in 390 ms"},
		{map[string]any{"outcome": "overloaded", "status": json.Number("503"), "attempts": json.Number("2")}, "2 endpoints rejected it"},
		{map[string]any{"outcome": "overloaded", "may_have_run": false}, "may be sent again"},
		{map[string]any{"outcome": "endpoint_failed", "status": json.Number("502"), "may_have_run": true}, "check before sending it again"},
		{map[string]any{"outcome": "endpoint_failed", "status": json.Number("200"), "events": json.Number("7"), "may_have_run": true}, "broke off after 7 events"},
		{map[string]any{"outcome": "overloaded", "cause": "this entry is shutting down"}, "the entry was shutting down"},
		{map[string]any{"outcome": "overloaded", "cause": limits.ErrSpent.Error()}, "no memory left for its body"},
		{map[string]any{"outcome": "overloaded", "cause": limits.ErrRevoked.Error()}, "no memory left for its body"},
		{map[string]any{"outcome": "cancelled", "cause": "the caller did not read its response by the deadline"}, "did not read its response"},
		{map[string]any{"outcome": "request_timeout", "cause": "i/o timeout"}, "did not arrive in time"},
		{map[string]any{"outcome": "overloaded", "cause": "all endpoints are at the rate limits that they named"}, "at the rate limits that they named"},
		{map[string]any{"outcome": "overloaded", "cause": "all endpoints ask for a pause", "attempts": json.Number("1")}, "had asked for a pause"},
		{map[string]any{"outcome": "no_endpoint", "cause": "the prompt exceeds the memory of every endpoint"}, "its prompt exceeds the memory of every endpoint"},
		{map[string]any{"outcome": "no_endpoint"}, "zones out of service"},
		{map[string]any{"outcome": "overloaded", "cause": "endpoints: 0 out of service\nno endpoint is expected to come free in time"}, "refused at once"},
		{map[string]any{"outcome": "overloaded", "cause": "the queue is full of requests that go first"}, "the queue was full"},
		{map[string]any{"outcome": "quarantined", "status": json.Number("503")}, "a part of the prompt is held"},
		{map[string]any{"outcome": "timeout", "endpoint": "i-1", "load_age_ms": json.Number("-1")}, "had not reported its load"},
		{map[string]any{"outcome": "answered", "status": json.Number("500")}, "the endpoint itself responded"},
	} {
		got := strings.Join(Explain(Line{Fields: x.fields}), "\n")
		is.True(strings.Contains(got, x.want)) // the explanation fits the outcome
	}
}

// Guards against a log line that makes the tool panic.
func FuzzParse(f *testing.F) {
	for _, l := range strings.Split(entryLog+agentLog, "\n") {
		f.Add(l)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if l, ok := Parse(s, "file"); ok {
			Explain(l)
			_ = l.String()
		}
	})
}
