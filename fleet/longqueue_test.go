package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a full queue of long prompts that each search all endpoints whenever a
// request ends, and against a shorter one behind them that isn't tried.
func TestQueueOfLongPromptsIsSearchedInPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := memoryFleet(1, 0, 1, 100_000)
		f.RecordLoad("e0", Load{Running: 4, MemoryTotal: 100_000, MemoryShare: 0.6})
		wait := func(prompt int) <-chan *Pick {
			result := make(chan *Pick, 1)
			go func() {
				p, _ := f.Acquire(t.Context(), &Request{Service: service, Work: Work{PromptTokens: prompt, ResponseTokens: 1}, MaxWait: 900 * time.Millisecond})
				result <- p
			}()
			synctest.Wait()
			return result
		}
		for range 60 {
			wait(50_000)
		}
		before := f.PlacementCounts().MemoryShort
		f.mu.Lock()
		f.assignWaiting(service)
		f.mu.Unlock()
		is.Equal(int(f.PlacementCounts().MemoryShort-before), maxMemoryTries)
		is.True(<-wait(1000) != nil)
		time.Sleep(2 * time.Second)
	})
}
