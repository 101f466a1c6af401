package rankgroup

import (
	"context"
	"sync"
)

// contribution is the data that one rank sends in the exchange before a step.
type contribution struct {
	held []uint64 // numbers of the maps that the rank can use
}

// exchange is the all-gather of the ranks before each step. A round ends when all
// ranks have contributed; each of them then gets the map numbers of all ranks.
type exchange struct {
	mu       sync.Mutex
	ranks    int
	round    uint64
	sets     [][]uint64 // map numbers of the round so far, by rank
	missing  int        // ranks that have not contributed to the round
	done     chan struct{}
	lastSets [][]uint64 // of the last complete round
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

// contribute blocks until all ranks have contributed to the current round, and
// returns the number of the round and the map numbers of all ranks, by rank.
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
	// lastSets is of this round: the next one can't end before this rank
	// contributes to it.
	return round, x.lastSets, nil
}
