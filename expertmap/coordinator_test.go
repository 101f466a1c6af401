package expertmap

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/store"
	"github.com/wasabinotch/wasabinotch/wire"
)

// fakeStore is a store with one key. The next write returns err; if err is set, the
// write takes effect only if applied is set.
type fakeStore struct {
	store.Store
	stored  store.KeyValue
	err     error
	applied bool
	calls   int
}

func (s *fakeStore) Get(context.Context, string) (store.KeyValue, error) {
	s.calls++
	return s.stored, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, revision uint64) error {
	s.calls++
	err := s.err
	s.err = nil
	if revision != s.stored.Revision {
		return store.ErrConflict
	}
	if err == nil || s.applied {
		s.stored = store.KeyValue{Key: key, Value: value, Revision: revision + 1}
	}
	return err
}

// fakeAgents simulates the agents of two ranks that load each map immediately and
// report loads of 1 and 3 in their first two slots.
type fakeAgents struct {
	mu      sync.Mutex
	replies [2]wire.MapReply
	sent    []uint64
	calls   int
}

func (f *fakeAgents) Call(_ context.Context, addr, _ string, args, reply any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deliver(addr, args.(wire.MapArgs), reply)
}

func (f *fakeAgents) deliver(addr string, a wire.MapArgs, reply any) error {
	f.calls++
	r := &f.replies[addr[0]-'0']
	if len(a.Content) > 0 {
		f.sent = append(f.sent, a.Number)
		m, _, err := Unpack(a.Content)
		if err != nil {
			return err
		}
		r.Held, r.Active, r.Highest, r.LoadsOf, r.StepMS = []uint64{a.Number}, a.Number, a.Number, a.Number, 1
		loads := make([][]float64, len(m.Layers))
		for l := range loads {
			loads[l] = make([]float64, m.Slots)
			for k := range loads[l] {
				loads[l][k] = float64(1 + 2*k)
			}
		}
		r.Loads = PackLoads(loads)
		for _, next := range a.Relay {
			a.Relay = nil
			if err := f.deliver(next, a, reply); err != nil {
				return err
			}
		}
	}
	*reply.(*wire.MapReply) = *r
	return nil
}

type fixture struct {
	snap        control.Snapshot
	clock       *clockwork.FakeClock
	store       fakeStore
	agents      fakeAgents
	coordinator *Coordinator
}

func (f *fixture) Snapshot() *control.Snapshot { return &f.snap }

// tick advances the clock, confirms the view and runs one round.
func (f *fixture) tick(advance time.Duration) {
	f.clock.Advance(advance)
	f.snap.ConfirmedAt = f.clock.Now()
	f.coordinator.tick(context.Background())
}

func newFixture() *fixture {
	f := &fixture{clock: clockwork.NewFakeClock()}
	f.snap = control.Snapshot{
		Self:   wire.Node{ID: "e1", State: wire.StateReady},
		Bundle: &bundle.Bundle{Groups: []bundle.Group{{Name: "g", Ranks: 2, Layers: 1, Experts: 3, SlotsPerRank: 2, ExpertBytes: 1}}},
		AgentByID: map[string]*control.Endpoint{
			"a0": {Node: wire.Node{ID: "a0", Group: "g", Rank: 0, RPCAddr: "0"}},
			"a1": {Node: wire.Node{ID: "a1", Group: "g", Rank: 1, RPCAddr: "1"}},
		},
	}
	f.coordinator = NewCoordinator(CoordinatorConfig{View: f, Store: &f.store, Pool: &f.agents, Clock: f.clock, Log: logr.Discard(), MinSaving: -1})
	return f
}

// Guards against sending a map that is not in the store after a compare-and-swap
// that failed or whose outcome is unknown: only a map that a read returned may be
// sent, and the next plan starts from it.
func TestCompareAndSwapOutcomes(t *testing.T) {
	for _, tc := range []struct {
		err     error
		applied bool
		want    []uint64 // maps sent to the two ranks
	}{
		{nil, true, []uint64{1, 1, 2, 2}},
		{store.ErrResultUnknown, true, []uint64{1, 1, 2, 2}},
		{store.ErrResultUnknown, false, []uint64{1, 1}},
		{store.ErrUnavailable, false, []uint64{1, 1}},
	} {
		t.Run(fmt.Sprint(tc.err, tc.applied), func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.tick(10 * time.Second) // records map 1
			f.tick(10 * time.Second) // sends map 1
			f.store.err, f.store.applied = tc.err, tc.applied
			f.tick(10 * time.Second) // polls: map 1 is in use
			f.tick(10 * time.Second) // plans and records map 2
			f.tick(10 * time.Second) // sends map 2 if it is in the store
			is.Equal(f.agents.sent, tc.want)
		})
	}
}

// Guards against a coordinator that overwrites or ignores a map that another
// coordinator has recorded.
func TestConflictingRecordIsReread(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.tick(time.Second)
	f.tick(time.Second)
	m, err := NewEvenMap("g", 2, 1, 3, 2)
	is.NoErr(err)
	m.Number = 2
	other, err := Pack(m)
	is.NoErr(err)
	f.store.stored = store.KeyValue{Value: other.Bytes, Revision: 7}
	f.tick(time.Minute) // polls: map 1 is in use
	f.tick(time.Second) // reads the record before planning and finds map 2
	f.tick(time.Second)
	is.Equal(f.agents.sent, []uint64{1, 1, 2, 2})
	is.Equal(f.store.stored.Revision, uint64(7))
}

// Guards against store or agent calls by an entry whose view is no longer
// confirmed, or that is not the coordinator of the group.
func TestNoWorkWithoutConfirmedView(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.snap.ConfirmedAt = f.clock.Now().Add(-control.MaxConfirmationAge - time.Millisecond)
	f.coordinator.tick(context.Background())
	f.snap.Self.State = wire.StateLeaving
	f.tick(time.Second)
	is.Equal(f.store.calls+f.agents.calls, 0)
}

// Guards against reusing a map number that ranks have seen for another content,
// after the record in the store was lost.
func TestFirstMapIsNumberedAboveRanks(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.agents.replies[1].Highest = 41
	f.tick(time.Second)
	f.agents.replies[1].Highest = 41
	f.tick(time.Second)
	is.Equal(f.agents.sent, []uint64{42, 42})
}

// Guards against a group that keeps a map of the old dimensions after a bundle
// changed its number of slots.
func TestBundleChangesShape(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.coordinator.cfg.MinSaving = 1 // records no planned map
	for range 4 {
		f.tick(10 * time.Second)
	}
	f.snap.Bundle = &bundle.Bundle{Groups: []bundle.Group{f.snap.Bundle.Groups[0]}}
	f.snap.Bundle.Groups[0].SlotsPerRank = 3
	for range 3 {
		f.tick(10 * time.Second)
	}
	m, _, err := Unpack(f.store.stored.Value)
	is.NoErr(err)
	is.Equal(m.Slots, 3)
	is.Equal(f.agents.sent, []uint64{1, 1, 2, 2})
}

// Guards against polls that exceed the control traffic budget while all ranks use
// the recorded map.
func TestSettledGroupIsPolledRarely(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.coordinator.cfg.MinSaving = 1 // records no planned map
	for range 4 {
		f.tick(5 * time.Second) // records, sends, polls, plans
	}
	before := f.agents.calls
	for range 56 {
		f.tick(500 * time.Millisecond)
	}
	is.True(f.agents.calls-before <= 2) // 28 s, one poll of two ranks
	is.Equal(slices.Max(f.agents.sent), uint64(1))
}

// Guards against entries that choose different coordinators under the same view,
// and against choosing an entry that sends no heartbeats, is leaving, or is in a
// zone out of service.
func TestChooseCoordinator(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	node := func(id, zone string, state wire.State) wire.Node { return wire.Node{ID: id, Zone: zone, State: state} }
	all := []wire.Node{node("a", "z1", wire.StateReady), node("b", "z2", wire.StateReady), node("c", "z2", wire.StateLeaving), node("d", "z3", wire.StateReady)}
	for g := range 50 {
		group := fmt.Sprint("g", g)
		chosen := ""
		for _, self := range all {
			snap := &control.Snapshot{Self: self, ZonesOut: map[string]bool{"z3": true}}
			for _, n := range all {
				snap.Entries = append(snap.Entries, control.Entry{Node: n, LastSeen: now})
			}
			expired := node("expired", "z1", wire.StateReady)
			snap.Entries = append(snap.Entries, control.Entry{Node: expired, LastSeen: now.Add(-EntryTimeout - 1)})
			id := ChooseCoordinator(group, snap, now)
			is.True(id == "a" || id == "b")
			is.True(chosen == "" || chosen == id)
			chosen = id
		}
	}
}

// Guards against an agent that has its rank load a map that is outdated, altered,
// of another group, renumbered, or of too few ranks to include its rank.
func TestMapLoaderRejectsInvalidMaps(t *testing.T) {
	is := is.New(t)
	var posted []uint64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			var req RankMapRequest
			is.NoErr(json.NewDecoder(r.Body).Decode(&req))
			posted = append(posted, req.Number)
		}
		_, _ = w.Write([]byte(`{"boot_id":"b","held":[4]}`))
	}))
	defer srv.Close()
	loader := NewMapLoader(MapLoaderConfig{Group: "g", Rank: 1, Endpoint: strings.TrimPrefix(srv.URL, "http://"), Log: logr.Discard()})
	args := func(number uint64, ranks int) wire.MapArgs {
		m, err := NewEvenMap("g", ranks, 1, 2, 2)
		is.NoErr(err)
		m.Number = number
		p, err := Pack(m)
		is.NoErr(err)
		return wire.MapArgs{Group: "g", Number: number, Digest: p.Digest, Content: p.Bytes}
	}
	altered, other, renumbered := args(5, 2), args(5, 2), args(5, 2)
	altered.Digest = strings.Repeat("0", 64)
	other.Group = "h"
	renumbered.Number = 6
	for _, a := range []wire.MapArgs{altered, other, renumbered, args(5, 1)} {
		_, err := loader.Handle(context.Background(), a)
		is.True(err != nil)
	}
	reply, err := loader.Handle(context.Background(), args(3, 2)) // outdated: the rank holds map 4
	is.NoErr(err)
	is.True(reply.Refused)
	reply, err = loader.Handle(context.Background(), args(5, 2))
	is.NoErr(err)
	is.Equal(reply.Loading, uint64(5))
	is.Equal(posted, []uint64{5})
}

// Guards against estimates that miss a slow rank, lose load, or mix reports under
// different maps.
func TestSpeedsAndLoadsFromReports(t *testing.T) {
	is := is.New(t)
	in := randomInput(8, 3, 16, 3, 5)
	replies := make([]wire.MapReply, 8)
	for r := range replies {
		work := 0.0
		loads := make([][]float64, 3)
		for l, layer := range in.Current.Layers {
			loads[l] = make([]float64, 3)
			for k := range loads[l] {
				if e := layer.Experts[r*3+k]; e != NoExpert {
					loads[l][k] = in.Loads[l][e] * float64(layer.Weights[r*3+k]) / WeightTotal
				}
				work += loads[l][k]
			}
		}
		replies[r] = wire.MapReply{Loads: PackLoads(loads), LoadsOf: 1, StepMS: work}
	}
	replies[3].StepMS *= 1.2
	loads, work, ok := SumLoads(in.Current, replies)
	is.True(ok)
	for l := range loads {
		for e := range loads[l] {
			is.True(loads[l][e] > in.Loads[l][e]*0.996 && loads[l][e] < in.Loads[l][e]*1.004)
		}
	}
	speeds := RelativeSpeeds(work, replies)
	is.True(speeds[3] > 0.83 && speeds[3] < 0.84)
	is.True(speeds[0] > 0.99 && speeds[0] < 1.01)
	replies[2].LoadsOf = 9 // counted under another map
	_, _, ok = SumLoads(in.Current, replies)
	is.True(!ok)
}
