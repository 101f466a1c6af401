package rankgroup

import (
	"context"
	"sync"
)

// contribution is what one rank puts into the exchange of a step.
type contribution struct {
	held []uint64
}

// exchange is the all-gather that ranks do before every step. A round ends when
// every rank has contributed; all then get the same sets.
type exchange struct {
	mu       sync.Mutex
	ranks    int
	round    uint64
	sets     [][]uint64
	missing  int
	done     chan struct{}
	lastSets [][]uint64
}

func newExchange(ranks int) *exchange {
	x := &exchange{ranks: ranks}
	x.reset()
	return x
}

func (x *exchange) reset() {
	x.sets = make([][]uint64, x.ranks)
	x.missing = x.ranks
	x.done = make(chan struct{})
}

// contribute blocks until all ranks have contributed to the round, and returns
// its number and all sets.
func (x *exchange) contribute(ctx context.Context, rank int, c contribution) (uint64, [][]uint64, error) {
	x.mu.Lock()
	round, done := x.round, x.done
	x.sets[rank] = c.held
	x.missing--
	if x.missing == 0 {
		x.lastSets = x.sets
		x.round++
		x.reset()
		close(done)
		sets := x.lastSets
		x.mu.Unlock()
		return round, sets, nil
	}
	x.mu.Unlock()
	select {
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	case <-done:
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	// No later round can end before this rank contributes to it.
	return round, x.lastSets, nil
}
