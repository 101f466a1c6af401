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

func start(t *testing.T, opt Options) *Engine {
	t.Helper()
	e, err := Listen("127.0.0.1:0", opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// stream returns the text and whether the stream was ended by [DONE].
func stream(e *Engine, id, prompt string, maxTokens, from int) (string, bool) {
	body, _ := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": maxTokens, "stream": true, "request_id": id, "resume_from": from})
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

func want(prompt string, maxTokens, from int) string {
	text := ""
	for i := from; i < CompletionTokenCount(prompt, maxTokens); i++ {
		text += CompletionToken(prompt, i)
	}
	return text
}

var fast = Options{BaseStepTime: time.Millisecond, StepTimePerRequest: 10 * time.Microsecond, ReportLag: time.Millisecond, RestartDelay: 20 * time.Millisecond}

// Guards against answers that a checker cannot recompute, whole or resumed.
func TestAnswersAreDeterministic(t *testing.T) {
	is := is.New(t)
	e := start(t, fast)
	text, whole := stream(e, "r1", "a prompt", 12, 0)
	is.True(whole)
	is.Equal(text, want("a prompt", 12, 0))
	text, whole = stream(e, "r2", "a prompt", 12, 5)
	is.True(whole)
	is.Equal(text, want("a prompt", 12, 5))
	runs := e.Record().Runs
	is.Equal(len(runs), 2)
	is.Equal(runs[1].ResumeFrom, 5)
}

// Guards against a cold engine that silently bears a full load, and a warm one
// that crashes under it.
func TestColdOverload(t *testing.T) {
	is := is.New(t)
	opt := fast
	opt.ColdCapacity, opt.WarmCapacity = 2, 6
	e := start(t, opt)
	for i := range 4 {
		_, whole := stream(e, fmt.Sprint("warm", i), "p", 2, 0)
		is.True(whole)
	}
	is.True(!e.Record().overloaded())
	is.Equal(together(e, 6), 6)
	boot := e.Load().Incarnation
	e.TurnCold(0)
	is.True(together(e, 6) < 6)
	r := e.Record()
	is.True(r.overloaded())
	for e.Load().Incarnation == boot {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(5 * opt.RestartDelay)
	_, whole := stream(e, "again", "p", 2, 0)
	is.True(whole)
}

func (r Record) overloaded() bool { return len(r.Crashes) > 0 || r.MaxOverload > 0 }

// together runs n requests at once and returns how many answers were whole.
func together(e *Engine, n int) int {
	var group sync.WaitGroup
	whole := make([]bool, n)
	for i := range n {
		group.Go(func() { _, whole[i] = stream(e, fmt.Sprint("t", i), "together", 16, 0) })
	}
	group.Wait()
	count := 0
	for _, w := range whole {
		if w {
			count++
		}
	}
	return count
}

// Guards against a cancelled request that keeps its place in the batch.
func TestCancel(t *testing.T) {
	is := is.New(t)
	e := start(t, Options{BaseStepTime: 5 * time.Millisecond, ReportLag: time.Millisecond})
	done := make(chan string, 1)
	prompt := "cancel me"
	go func() {
		text, _ := stream(e, "c1", prompt, 200, 0)
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
	is.True(len(<-done) < len(want(prompt, 200, 0)))
}

// Guards against a load report without lag, and one from before the start.
func TestReportLag(t *testing.T) {
	is := is.New(t)
	before := time.Now()
	e := start(t, Options{ReportLag: time.Hour})
	_, whole := stream(e, "l1", "p", 1, 0)
	is.True(whole)
	l := e.Load()
	is.True(!l.ReportedAt.Before(before))
	is.Equal(l.GeneratedTokens, int64(0))
}

// Guards against a cache without effect, or one that exceeds its memory.
func TestPrefixCache(t *testing.T) {
	is := is.New(t)
	c := newPrefixCache(4 * blockBytes)
	shared := strings.Repeat("s", 2*blockBytes)
	is.Equal(c.use(shared+strings.Repeat("a", blockBytes)), 0)
	is.Equal(c.use(shared+strings.Repeat("b", blockBytes)), 2*blockBytes)
	is.Equal(c.use(strings.Repeat("c", 4*blockBytes)), 0)
	is.Equal(c.order.Len(), 4)
	is.Equal(c.use(shared), 0)
}

// Guards against an engine that starts again after Die because it had crashed before.
func TestDieAfterCrash(t *testing.T) {
	is := is.New(t)
	opt := fast
	opt.ColdCapacity, opt.WarmCapacity = 1, 8
	e := start(t, opt)
	is.True(together(e, 4) < 4)
	e.Kill()
	time.Sleep(3 * opt.RestartDelay)
	_, err := http.Get("http://" + e.Addr() + "/load")
	is.True(err != nil)
	is.NoErr(e.Restart())
	_, whole := stream(e, "alive", "p", 2, 0)
	is.True(whole)
}
