package gate

import (
	"testing"
	"time"
)

// Measures shed with a queue of 64 requests of 8 organisations at an endpoint
// with 16 slots. It runs on each arrival and completion of a request.
func BenchmarkShed(b *testing.B) {
	h := newHarness(b)
	h.poll(b.Context())
	h.slotTimes.addGap(time.Millisecond, 1)
	h.limit.set(16)
	for i := range 80 {
		w := &waiter{org: string(rune('a' + i%8)), cost: 10, decided: make(chan struct{}), deadline: h.clock.Now().Add(time.Minute)}
		h.queue.push(w)
		h.grantSlots()
	}
	for b.Loop() {
		h.shed(nil)
	}
}
