// Package pause provides a sleep that a context can cancel.
package pause

import (
	"context"
	"time"
)

// For sleeps for d, or until ctx ends if that is earlier.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
