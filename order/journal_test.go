package order

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wasabinotch/wasabinotch/api"
	"github.com/wasabinotch/wasabinotch/store"
)

// faultyStore is an in-memory store whose calls fail at random, and in which another
// entry can write between the read and the write of an entry.
type faultyStore struct {
	store.Store
	mu     sync.Mutex
	values map[string]store.KeyValue
	index  uint64
	writes int
	rng    *rand.Rand // nil for no faults
	down   bool
	// beforeWrite runs once ahead of the next write, as a write of another entry
	// would.
	beforeWrite func()
}

func (s *faultyStore) fault(percent int) bool {
	return s.rng != nil && s.rng.Intn(100) < percent
}

func (s *faultyStore) Get(_ context.Context, key string) (store.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.fault(5) {
		return store.KeyValue{}, store.ErrUnavailable
	}
	kv := s.values[key]
	kv.Key = key
	return kv, nil
}

func (s *faultyStore) CompareAndSwap(_ context.Context, key string, value []byte, revision uint64) error {
	s.mu.Lock()
	beforeWrite := s.beforeWrite
	s.beforeWrite = nil
	s.mu.Unlock()
	if beforeWrite != nil {
		beforeWrite()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.fault(5) {
		return store.ErrUnavailable
	}
	if s.fault(10) {
		return store.ErrResultUnknown // not applied
	}
	if s.values[key].Revision != revision {
		return store.ErrConflict
	}
	s.index++
	s.writes++
	s.values[key] = store.KeyValue{Key: key, Value: value, Revision: s.index}
	if s.fault(15) {
		return store.ErrResultUnknown // applied, but the response was lost
	}
	return nil
}

func newTestJournal(s store.Store) *Journal {
	return NewJournal(s, JournalConfig{Clock: clockwork.NewRealClock(), Log: logr.Discard(), Services: func() []string { return []string{"svc"} }})
}

// agentModel models agents that run or refuse orders, and entries that send each
// order to the agent to which it is bound and rebind it after a refusal.
type agentModel struct {
	ran      map[string]map[Binding]bool
	refused  map[string]map[Binding]bool
	rng      *rand.Rand
	journals []*Journal
}

// nextEntryAfterRefusal maps an entry whose order was refused to the entry that
// sends the same key next; 0 for none. An entry that acts during a call of another
// one must be a different one, since an entry waits until its writes have ended.
var nextEntryAfterRefusal = [5]int{0: 3, 1: 3, interferingEntry: 4}

// interferingEntry is the entry that acts between the read and the write of another
// one.
const interferingEntry = 2

func (w *agentModel) randomBinding() Binding {
	return Binding{AgentID: fmt.Sprintf("a%d", w.rng.Intn(3)), Incarnation: uint64(1 + w.rng.Intn(2))}
}

// dispatch sends the key through one entry; the agent runs, joins or refuses the
// order.
func (w *agentModel) dispatch(entry int, key string) {
	j := w.journals[entry]
	id, _ := ParseIdentity(key)
	b, err := j.Bind(context.Background(), "svc", id, w.randomBinding())
	for range 4 {
		if err != nil {
			return
		}
		if w.ran[key] == nil {
			w.ran[key], w.refused[key] = map[Binding]bool{}, map[Binding]bool{}
		}
		if !w.refused[key][b] && (w.ran[key][b] || w.rng.Intn(2) == 0) {
			w.ran[key][b] = true
			return
		}
		w.refused[key][b] = true
		if next := nextEntryAfterRefusal[entry]; next != 0 && w.rng.Intn(3) == 0 { // another entry sends the same key before this one rebinds it
			w.dispatch(next, key)
		}
		b, err = j.Rebind(context.Background(), "svc", id, b, w.randomBinding())
	}
}

func (w *agentModel) step(entry int) {
	j := w.journals[entry]
	switch w.rng.Intn(8) {
	case 0:
		_ = j.RefreshEpoch(context.Background(), "svc") // faults are part of the test
		_ = j.AdvanceEpoch(context.Background(), "svc")
	case 1:
		_ = j.sealClosedEpochs(context.Background(), "svc")
	default:
		w.dispatch(entry, fmt.Sprintf("e%d.k%d", 1+w.rng.Intn(4), w.rng.Intn(2)))
	}
}

// Guards against a key that two agent incarnations run, under conflicts, lost
// responses, outages, outdated views of the epoch, and rebinding after a refusal.
func TestNoKeyRunsAtTwoIncarnations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		s := &faultyStore{values: map[string]store.KeyValue{}, rng: rng}
		w := &agentModel{ran: map[string]map[Binding]bool{}, refused: map[string]map[Binding]bool{}, rng: rng}
		for range nextEntryAfterRefusal {
			w.journals = append(w.journals, newTestJournal(s))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rng.Intn(3) == 0 {
				s.beforeWrite = func() { w.step(interferingEntry) }
			}
			w.step(rng.Intn(interferingEntry))
			s.beforeWrite = nil // it must not block a later step of the same entry
			for key, agents := range w.ran {
				if len(agents) > 1 {
					t.Fatalf("%s ran at %v", key, agents)
				}
			}
		}
	})
}

// Guards against an entry with an outdated view of the epoch that binds a key again
// after another entry has sealed the key's segment.
func TestOldViewCannotBindSealedKey(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &faultyStore{values: map[string]store.KeyValue{}}
	old, current := newTestJournal(s), newTestJournal(s)
	is.NoErr(old.RefreshEpoch(ctx, "svc"))
	id, err := ParseIdentity("e1.k")
	is.NoErr(err)
	first := Binding{AgentID: "a1", Incarnation: 1}
	got, err := old.Bind(ctx, "svc", id, first)
	is.NoErr(err)
	is.Equal(got, first)
	is.NoErr(current.RefreshEpoch(ctx, "svc"))
	for range 2 {
		is.NoErr(current.AdvanceEpoch(ctx, "svc"))
	}
	is.NoErr(current.sealClosedEpochs(ctx, "svc"))
	is.Equal(old.JournalEpoch("svc"), uint64(1))
	for _, key := range []string{"e1.k", "e1.another"} {
		id, _ := ParseIdentity(key)
		for _, j := range []*Journal{old, current} {
			_, err := j.Bind(ctx, "svc", id, Binding{AgentID: "a2", Incarnation: 2})
			var r *api.Refusal
			is.True(errors.As(err, &r))
			is.Equal(r.Kind, api.KindIdentityClosed)
			is.Equal(r.Outcome, api.OutcomeUnknown)
		}
	}
}

// Guards against one store write per order, segments above the store's value limit,
// and an outage that is not reported as not_run.
func TestBatchesBoundAndOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &faultyStore{values: map[string]store.KeyValue{}}
	j := newTestJournal(s)
	is.NoErr(j.RefreshEpoch(ctx, "svc"))
	var wg sync.WaitGroup
	full := make(chan *api.Refusal, 12_000)
	for i := range 12_000 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id, _ := ParseIdentity(fmt.Sprintf("e1.%05d%s", i, strings.Repeat("<", 180)))
			_, err := j.Bind(ctx, "svc", id, selfBinding)
			var r *api.Refusal
			if errors.As(err, &r) {
				full <- r
			}
		}()
	}
	wg.Wait()
	t.Logf("%d writes for 12000 keys, %d refused as full", s.writes, len(full))
	is.True(s.writes < 1200)
	is.True(len(full) > 0)
	r := <-full
	is.Equal(r.Kind, api.KindStoreUnavailable)
	is.Equal(r.Outcome, api.OutcomeNotRun)
	for key, kv := range s.values {
		is.True(len(kv.Value) <= maxSegmentBytes)
		is.True(key == epochKey("svc") || len(kv.Value) > maxSegmentBytes*9/10)
	}
	is.True(j.isAdvanceDue("svc")) // so that maintainEpoch opens a new epoch
	is.NoErr(j.maintainEpoch(ctx, "svc"))
	is.Equal(j.JournalEpoch("svc"), uint64(2))
	s.down = true
	id, _ := ParseIdentity("e2.k")
	_, err := j.Bind(ctx, "svc", id, selfBinding)
	is.True(errors.As(err, &r))
	is.Equal(r.Kind, api.KindStoreUnavailable)
	is.Equal(r.Outcome, api.OutcomeNotRun)
}
