package fleet

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against requests that are never served though an idle engine can hold them: those
// of several entries that need more than what is left to long prompts beside ordinary ones.
func TestIdleEngineTakesTheLongestPrompts(t *testing.T) {
	for _, entries := range []int{1, 2, 16} {
		for _, prompt := range []int{40_000, 60_000, 85_000, 95_000} {
			synctest.Test(t, func(t *testing.T) {
				f := memoryFleet(entries, 0, 1, 100_000)
				limits := f.limits[service]
				limits.Engine.MeanPrompt, limits.Engine.MeanResponse = 500, 100
				f.SetLimits(service, limits)
				var p *Pick
				for range 200 { // all entries have had turns
					time.Sleep(250 * time.Millisecond)
					f.RecordLoad("e0", Load{MemoryTotal: 100_000})
					if p, _ = acquire(t, f, Request{Work: Work{PromptTokens: prompt, ResponseTokens: 1000}}); p != nil {
						break
					}
				}
				if p == nil {
					t.Errorf("%d entries: a prompt of %d tokens is never sent", entries, prompt)
				}
			})
		}
	}
}
