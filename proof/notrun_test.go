package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/lab/enginesim"
)

// modelResults are the outcomes of the model requests sent.
type modelResults struct {
	mu            sync.Mutex
	notRun        map[string]string // request ID to response with the refusal
	completeCount int
	otherCount    int
}

// sendModelRequest sends one model request and records whether it was refused as
// not run, before or within the stream, or completed.
func (c *cluster) sendModelRequest(entry, id string, results *modelResults) {
	body, err := json.Marshal(api.GenerateRequest{Prompt: "prompt of " + id, MaxTokens: 24})
	c.must(err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+api.PathGenerate+modelService, bytes.NewReader(body))
	c.must(err)
	req.Header.Set("Authorization", "Bearer "+c.organisations[0].APIKey)
	req.Header.Set(api.HeaderRequestID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	results.mu.Lock()
	defer results.mu.Unlock()
	switch {
	case strings.Contains(string(data), `"not_run"`):
		results.notRun[id] = string(data)
	case strings.Contains(string(data), "event: end"):
		results.completeCount++
	default:
		results.otherCount++
	}
}

// Guards against a refusal that says "not run" for a request that an engine ran:
// under overload, when engines exit, agents are killed or frozen, traffic between
// an entry and an agent is blocked and arrives late, and a zone is taken out of
// service.
func TestNotRunMeansNotRun(t *testing.T) {
	s := defaultOptions()
	s.engineOptions = enginesim.Options{BaseStepTime: 20 * time.Millisecond, WarmCapacity: 4}
	s.changeModelService = func(svc *bundle.Service) { svc.WarmLimit, svc.QueueLimit, svc.TimeoutMS = 4, 4, 3000 }
	c := newCluster(t, s)
	results := &modelResults{notRun: map[string]string{}}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for i, entry := range c.entryAddrs() {
		for k := range 12 {
			senders.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
						c.sendModelRequest(entry, fmt.Sprintf("r-%d-%d-%d", i, k, n), results)
						time.Sleep(20 * time.Millisecond)
					}
				}
			})
		}
	}
	c.injectModelFaults()
	close(stop)
	senders.Wait()

	ran := map[string]bool{}
	for _, e := range c.engines {
		for _, r := range e.Record().Runs {
			id, _, _ := strings.Cut(r.RequestID, ".") // entries may add a suffix to the ID
			ran[id] = true
		}
	}
	for id, refusal := range results.notRun {
		if ran[id] {
			t.Errorf("request %s ran, but its refusal says not run: %s", id, refusal)
		}
	}
	t.Logf("%d complete responses, %d refused as not run, %d other", results.completeCount, len(results.notRun), results.otherCount)
	if len(results.notRun) < 20 || results.completeCount < 20 {
		t.Error("too few refusals or complete responses for the test to show anything")
	}
}

func (c *cluster) injectModelFaults() {
	pause := func() { time.Sleep(1500 * time.Millisecond) }
	pause()
	c.engines["model-z1-1"].Kill()
	pause()
	c.must(c.engines["model-z1-1"].Restart())
	c.killNode("model-z2-1")
	pause()
	c.startNode("model-z2-1")
	c.freezeNode("model-z3-1")
	pause()
	pause()
	c.resumeNode("model-z3-1")
	endFault := c.blockTraffic("entry-z1-1", "model-z1-1")
	pause()
	endFault()
	_, _ = c.sendIntent(c.entryAddrs()[1], bundle.TargetZone, "z3", true)
	pause()
	_, _ = c.sendIntent(c.entryAddrs()[1], bundle.TargetZone, "z3", false)
	pause()
}
