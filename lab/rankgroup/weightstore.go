package rankgroup

import (
	"context"

	"golang.org/x/time/rate"
)

// WeightStore simulates a store that delivers expert weights to the ranks of a
// group, which share its rate.
type WeightStore struct {
	limiter *rate.Limiter
}

// chunkBytes is the size of the chunks by which concurrent loads share the rate.
const chunkBytes = 1 << 20

// NewWeightStore returns a store with the given total rate.
func NewWeightStore(bytesPerSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes)}
}

// Load blocks until the given number of bytes has been delivered or ctx ends.
func (w *WeightStore) Load(ctx context.Context, bytes int64) error {
	for bytes > 0 {
		n := min(bytes, chunkBytes)
		if err := w.limiter.WaitN(ctx, int(n)); err != nil {
			return err
		}
		bytes -= n
	}
	return nil
}
