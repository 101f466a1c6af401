package gate

import (
	"testing"
	"time"
)

// Measures the pass over a queue of 64 requests of 8 organisations at an
// endpoint with 16 slots, as made on each arrival and completion.
func BenchmarkShed(b *testing.B) {
	h := newHarness(b)
	h.poll(b.Context())
	h.pace.step(time.Millisecond, 1)
	h.limit.set(16)
	for i := range 80 {
		w := &waiter{org: string(rune('a' + i%8)), cost: 10, ready: make(chan struct{}), deadline: h.clock.Now().Add(time.Minute)}
		h.queue.push(w)
		h.dispatch()
	}
	for b.Loop() {
		h.shed(nil)
	}
}
