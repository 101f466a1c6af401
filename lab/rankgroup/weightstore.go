package rankgroup

import (
	"context"

	"golang.org/x/time/rate"
)

// WeightStore delivers expert weights to all ranks of a group at a common rate.
type WeightStore struct {
	limiter *rate.Limiter
}

// chunkBytes is the unit in which loads share the rate.
const chunkBytes = 1 << 20

// NewWeightStore returns a store with a rate in bytes/s.
func NewWeightStore(bytesPerSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes)}
}

// Load blocks until bytes have been delivered.
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
