package order

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/wasabinotch/wasabinotch/store"
)

// budgetStore is the store client of one entry, with a call budget.
type budgetStore struct {
	store.Store
	budget    *rate.Limiter
	conflicts *atomic.Int64
}

func (s budgetStore) Get(ctx context.Context, key string) (store.KeyValue, error) {
	if s.budget.Wait(ctx) != nil {
		return store.KeyValue{}, store.ErrCallBudget
	}
	return s.Store.Get(ctx, key)
}

func (s budgetStore) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) error {
	if s.budget.Wait(ctx) != nil {
		return store.ErrCallBudget
	}
	err := s.Store.CompareAndSwap(ctx, key, value, revision)
	if errors.Is(err, store.ErrConflict) {
		s.conflicts.Add(1)
	}
	return err
}

// Guards against batches that wait for the call budget between their read and their
// write: writes of other entries make them conflict until orders are refused.
func TestSpentBudgetCausesNoConflicts(t *testing.T) {
	is := is.New(t)
	const calls, burst, entries, keys = 400, 40, 4, 300
	sharedStore := &faultyStore{values: map[string]store.KeyValue{}}
	var conflicts atomic.Int64
	var group sync.WaitGroup
	for e := range entries {
		client := budgetStore{Store: sharedStore, budget: rate.NewLimiter(calls, burst), conflicts: &conflicts}
		j := NewJournal(client, JournalConfig{
			Clock: clockwork.NewRealClock(), Log: logr.Discard(), Services: func() []string { return []string{"svc"} },
			BatchesPerSecond: calls / 2, Burst: burst / 2,
		})
		is.NoErr(j.RefreshEpoch(context.Background(), "svc"))
		arrivals := rate.NewLimiter(calls, 1) // twice the rate that the budget sustains without batching
		group.Go(func() {
			for k := range keys {
				_ = arrivals.Wait(context.Background()) // no error: the context is never cancelled
				group.Go(func() {
					id, _ := ParseIdentity(fmt.Sprintf("e1.k%d-%d", e, k))
					if _, err := j.Bind(context.Background(), "svc", id, Binding{AgentID: "a", Incarnation: 1}); err != nil {
						t.Error(err)
					}
				})
			}
		})
	}
	group.Wait()
	t.Logf("%d conflicts, %d writes", conflicts.Load(), sharedStore.writes)
	is.True(conflicts.Load() < int64(sharedStore.writes)/4)
}
