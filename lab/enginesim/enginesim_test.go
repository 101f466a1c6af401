package enginesim

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

func startEngine(t *testing.T, opt Options) *Engine {
	t.Helper()
	e, err := Listen("127.0.0.1:0", opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// streamCompletion requests a streamed completion. It returns its text, and
// whether the stream ended with [DONE].
func streamCompletion(e *Engine, id, prompt string, maxTokens, resumeFrom int) (string, bool) {
	body, _ := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": maxTokens, "stream": true, "request_id": id, "resume_from": resumeFrom})
	resp, err := http.Post("http://"+e.Addr()+"/v1/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	text := ""
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if data == "[DONE]" {
			return text, true
		}
		var c completionResponse
		if ok && json.Unmarshal([]byte(data), &c) == nil {
			text += c.Choices[0].Text
		}
	}
	return text, false
}

func expectedText(prompt string, maxTokens, resumeFrom int) string {
	text := ""
	for i := resumeFrom; i < TokenCount(prompt, maxTokens); i++ {
		text += CompletionToken(prompt, i)
	}
	return text
}

var fastOptions = Options{BaseStepTime: time.Millisecond, StepTimePerRequest: 10 * time.Microsecond, ReportLag: time.Millisecond, RestartDelay: 20 * time.Millisecond}

// Guards against completions, resumed or not, that a checker cannot recompute.
func TestCompletionsAreDeterministic(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, fastOptions)
	text, complete := streamCompletion(e, "r1", "a prompt", 12, 0)
	is.True(complete)
	is.Equal(text, expectedText("a prompt", 12, 0))
	text, complete = streamCompletion(e, "r2", "a prompt", 12, 5)
	is.True(complete)
	is.Equal(text, expectedText("a prompt", 12, 5))
	runs := e.Record().Runs
	is.Equal(len(runs), 2)
	is.Equal(runs[1].ResumeFrom, 5)
}

// Guards against a cold engine that sustains a full load without a crash, and
// a warm one that crashes under it.
func TestColdOverload(t *testing.T) {
	is := is.New(t)
	opt := fastOptions
	opt.ColdCapacity, opt.WarmCapacity = 2, 6
	e := startEngine(t, opt)
	for i := range 4 {
		_, complete := streamCompletion(e, fmt.Sprint("warm", i), "p", 2, 0)
		is.True(complete)
	}
	is.True(!e.Record().wasOverloaded())
	is.Equal(completeConcurrently(e, 6), 6)
	incarnation := e.Load().Incarnation
	e.TurnCold(0)
	is.True(completeConcurrently(e, 6) < 6)
	r := e.Record()
	is.True(r.wasOverloaded())
	for e.Load().Incarnation == incarnation {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(5 * opt.RestartDelay)
	_, complete := streamCompletion(e, "again", "p", 2, 0)
	is.True(complete)
}

func (r Record) wasOverloaded() bool { return len(r.Crashes) > 0 || r.MaxOverload > 0 }

// completeConcurrently sends n requests at once and returns the number of
// complete responses.
func completeConcurrently(e *Engine, n int) int {
	var group sync.WaitGroup
	complete := make([]bool, n)
	for i := range n {
		group.Go(func() { _, complete[i] = streamCompletion(e, fmt.Sprint("t", i), "together", 16, 0) })
	}
	group.Wait()
	count := 0
	for _, ok := range complete {
		if ok {
			count++
		}
	}
	return count
}

// Guards against a cancelled request that keeps its slot in the batch.
func TestCancel(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, Options{BaseStepTime: 5 * time.Millisecond, ReportLag: time.Millisecond})
	done := make(chan string, 1)
	prompt := "cancel me"
	go func() {
		text, _ := streamCompletion(e, "c1", prompt, 200, 0)
		done <- text
	}()
	for len(e.Record().Runs) == 0 {
		time.Sleep(time.Millisecond)
	}
	resp, err := http.Post("http://"+e.Addr()+"/cancel", "application/json", strings.NewReader(`{"request_id":"c1"}`))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	time.Sleep(5 * time.Millisecond)
	is.Equal(e.Load().Running, 0)
	is.True(len(<-done) < len(expectedText(prompt, 200, 0)))
}

// Guards against a load report that shows the current state without the lag,
// and one dated before the start of the engine.
func TestReportLag(t *testing.T) {
	is := is.New(t)
	before := time.Now()
	e := startEngine(t, Options{ReportLag: time.Hour})
	_, complete := streamCompletion(e, "l1", "p", 1, 0)
	is.True(complete)
	l := e.Load()
	is.True(!l.ReportedAt.Before(before))
	is.Equal(l.GeneratedTokens, int64(0))
}

// Guards against a prefix cache that never hits, or one that exceeds its
// memory.
func TestPrefixCache(t *testing.T) {
	is := is.New(t)
	c := newPrefixCache(4 * blockBytes)
	shared := strings.Repeat("s", 2*blockBytes)
	is.Equal(c.lookupAndAdd(shared+strings.Repeat("a", blockBytes)), 0)
	is.Equal(c.lookupAndAdd(shared+strings.Repeat("b", blockBytes)), 2*blockBytes)
	is.Equal(c.lookupAndAdd(strings.Repeat("c", 4*blockBytes)), 0)
	is.Equal(c.recency.Len(), 4)
	is.Equal(c.lookupAndAdd(shared), 0)
}

// Guards against an engine that restarts after Kill because the timer of an
// earlier crash still runs.
func TestKillAfterCrash(t *testing.T) {
	is := is.New(t)
	opt := fastOptions
	opt.ColdCapacity, opt.WarmCapacity = 1, 8
	e := startEngine(t, opt)
	is.True(completeConcurrently(e, 4) < 4)
	e.Kill()
	time.Sleep(3 * opt.RestartDelay)
	_, err := http.Get("http://" + e.Addr() + "/load")
	is.True(err != nil)
	is.NoErr(e.Restart())
	_, complete := streamCompletion(e, "restarted", "p", 2, 0)
	is.True(complete)
}
