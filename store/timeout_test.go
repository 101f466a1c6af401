package store

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/pause"
)

// Guards against a read that ends although it progresses, one that a dead connection keeps
// for long, and one that a trickle of bytes keeps for good.
func TestReadEndsOnlyWithoutProgress(t *testing.T) {
	timeouts := ReadTimeouts{First: 2 * time.Second, Stall: time.Second, Total: time.Minute}
	for _, c := range []struct {
		name  string
		first time.Duration // until the first arrival
		gap   time.Duration // between two arrivals
		count int           // of arrivals
		ended time.Duration
		cause error
	}{
		{"nothing arrives", time.Hour, 0, 1, 2 * time.Second, ErrStalled},
		{"silent after some arrivals", 1900 * time.Millisecond, 900 * time.Millisecond, 3, 1900*time.Millisecond + 2*900*time.Millisecond + time.Second, ErrStalled},
		{"long but progressing", time.Second, 900 * time.Millisecond, 60, 0, nil},
		{"trickle", time.Second, 900 * time.Millisecond, 1000, time.Second + time.Minute, ErrReadTooLong},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := timeouts.Start(t.Context())
				defer cancel()
				began := time.Now()
				pause.For(ctx, c.first)
				for n := 1; n <= c.count && ctx.Err() == nil; n++ {
					RecordProgress(ctx)
					if n < c.count {
						pause.For(ctx, c.gap)
					}
				}
				if c.cause == nil {
					is.NoErr(ctx.Err())
					return
				}
				<-ctx.Done()
				is.Equal(time.Since(began), c.ended)
				is.True(errors.Is(context.Cause(ctx), c.cause))
			})
		})
	}
}

// Guards against a read that ends by its timeouts after its caller has ended it.
func TestCancelEndsTheTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := ReadTimeouts{First: time.Second, Stall: time.Second, Total: time.Second}.Start(t.Context())
		cancel()
		RecordProgress(ctx)
		time.Sleep(time.Minute)
		is.Equal(context.Cause(ctx), context.Canceled)
	})
}

// Guards against a read that counts for an inner context only, or as progress of another
// read.
func TestProgressReachesOuterReads(t *testing.T) {
	is := is.New(t)
	outer, inner := 0, 0
	ctx := WithProgress(t.Context(), func() { outer++ })
	RecordProgress(WithProgress(ctx, func() { inner++ }))
	RecordProgress(WithoutProgress(ctx))
	RecordProgress(t.Context())
	is.Equal([]int{outer, inner}, []int{1, 1})
}
