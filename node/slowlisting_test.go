package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/lab/platformsim"
	"github.com/wasabinotch/wasabinotch/pause"
	"github.com/wasabinotch/wasabinotch/rankgroup"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/store"
	"github.com/wasabinotch/wasabinotch/wire"
)

// pageKeys is the number of keys that fill a page of the simulated store.
const pageKeys = 5

// putOddRecords writes records of other writers that fill a number of pages.
func putOddRecords(sim *platformsim.Store, pages int, name string) {
	for i := range pages * pageKeys {
		sim.Put(fmt.Sprintf("servers/%s-%02d", name, i), []byte{0xff})
	}
}

// Guards against a rank group that finds no coordinator, since the listing of the endpoints
// takes longer than an agent waits for a response: large records of other writers come
// before or after those of the ranks.
func TestRanksAreFoundInASlowListing(t *testing.T) {
	const oddPages = 3
	for _, c := range []struct {
		odd string
		// listings is the most pages that are requested: that of the configuration, that of the
		// ranks, and those of the odd records that are needed, or under way when all ranks are found.
		listings int
	}{
		{"a", 2 + oddPages},
		{"z", 2 + 1},
	} {
		t.Run("odd="+c.odd, func(t *testing.T) {
			is := is.New(t)
			sim, err := platformsim.Listen("127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(sim.Close)
			sim.Put("op/config", []byte(`{"version":1,"services":[{"name":"s","engine":{"slots":4,"step_ms":20,"per_seq_ms":0.3,"read_per_s":70000,"usual":{"prompt":8,"answer":8},
				"expert_sets":2,"experts":4,"placements":4,"spares":1,"expert_mb":1,"link_mbps":1000}}]}`))
			port := freePorts(t, 8)
			addr := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", port+i) }
			for i, id := range []string{"m-0", "m-1", "m-2", "m-3", "m-4"} {
				record := endpointRecord(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port + 5 + i%2}, "ready")
				sim.Put("servers/"+id, record)
			}
			putOddRecords(sim, oddPages, c.odd)
			sim.DelayListings("servers/"+c.odd, discoveryTimeout*4/5)
			agent, err := net.Listen("tcp", addr(2))
			is.NoErr(err)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_ = json.NewEncoder(w).Encode(wire.RankReply{Report: &rankgroup.Report{Group: "g", Rank: 1, Size: 2, Open: true}})
			})}
			go server.Serve(agent)
			t.Cleanup(func() { server.Close() })

			a := NewAgent(settings.PlatformAgent{PlatformNode: settings.PlatformNode{ID: "agent", Zone: "z1", IP: "127.0.0.1", PeerPort: port, StoreAddr: sim.Addr(),
				Service: "s", EndpointAddr: addr(5)}}, logr.Discard())
			_, engines, err := a.newCoordinator(t.Context(), 1, rankgroup.Report{Group: "g", Rank: 0, Size: 2, Open: true})
			is.NoErr(err)
			_, found := engines[1].(*remoteRank) // and not an absentRank
			is.True(found)
			is.True(sim.Listings() <= c.listings)
		})
	}
}

// arrivingFeed is a store whose response to a call for changes takes a time to arrive.
type arrivingFeed struct {
	store.ChangeFeed
	duration, interval time.Duration
}

func (f arrivingFeed) Changes(ctx context.Context, _ string, _ store.Position, _ time.Duration) ([]store.Event, store.Position, error) {
	for began := time.Now(); time.Since(began) < f.duration && ctx.Err() == nil; {
		pause.For(ctx, f.interval)
		store.RecordProgress(ctx)
	}
	return nil, store.Position{Revision: 11}, context.Cause(ctx)
}

// Guards against ending a call for changes whose response is still arriving over a narrow
// link: the next one would be ended too, so that the entry lists all keys again and again.
func TestArrivingChangesAreNotStale(t *testing.T) {
	for _, c := range []struct {
		interval time.Duration
		stale    bool
	}{
		{staleWatchTimeout / 4, false},
		{staleWatchTimeout * 2, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			m := newMonitoredFeed(arrivingFeed{duration: 10 * staleWatchTimeout, interval: c.interval}, metrics.NewSet(), logr.Discard())
			ctx, cancel := context.WithCancel(t.Context())
			var peer sync.WaitGroup
			peer.Go(func() {
				for ctx.Err() == nil {
					m.recordPeer(store.Position{Revision: 11})
					time.Sleep(10 * time.Millisecond)
				}
			})
			_, _, err := m.Changes(t.Context(), "", store.Position{Revision: 10}, time.Minute)
			cancel()
			peer.Wait()
			is.Equal(err != nil, c.stale)
		})
	}
}

// Guards against a configuration that takes effect only after a long listing: it is
// written while an entry reads large records of other writers.
func TestLongListingDelaysNoConfiguration(t *testing.T) {
	is := is.New(t)
	sim, _ := storeWithEndpoint(t)
	a := startEntry(t, "a", sim.Addr())
	eventually(t, "an order is served", func() bool { return a.sendOrder(t, "k1") == http.StatusOK })
	putOddRecords(sim, 10, "x")
	time.Sleep(2 * settleTime)
	const pageDelay = time.Second
	sim.DelayListings("servers/x", pageDelay)
	listed := sim.Listings()
	sim.Compact()
	sim.Compact() // the position of the watch is now before the oldest one
	eventually(t, "the entry lists the keys", func() bool { return sim.Listings() > listed+1 })
	sim.Put("op/config", configWith(2, "k2"))
	within(t, applyBound, "the configuration is in force", func() bool { return a.sendOrder(t, "k2") == http.StatusOK })
	is.Equal(a.sendOrder(t, "k1"), http.StatusUnauthorized)
}

// Guards against a watch that may be silent for longer because the last listing was long:
// only the store's delay counts, not the size of the listing.
func TestLongListingAllowsNoLongerSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMonitoredFeed(longFeed{}, metrics.NewSet(), logr.Discard())
		_, _, err := m.List(t.Context(), "")
		is.NoErr(err)
		is.True(m.listTime <= 100*time.Millisecond)
	})
}

// longFeed is a store whose listing takes ten seconds, in which parts of it keep arriving.
type longFeed struct{ store.ChangeFeed }

func (longFeed) List(ctx context.Context, _ string) ([]store.KeyValue, store.Position, error) {
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		store.RecordProgress(ctx)
	}
	return nil, store.Position{Revision: 10}, nil
}

// silentFeed is a store that doesn't answer the first listing.
type silentFeed struct {
	store.ChangeFeed
	listings int
}

func (f *silentFeed) List(ctx context.Context, _ string) ([]store.KeyValue, store.Position, error) {
	if f.listings++; f.listings == 1 {
		<-ctx.Done()
		return nil, store.Position{}, context.Cause(ctx)
	}
	return nil, store.Position{Revision: 10}, nil
}

func (f *silentFeed) Changes(ctx context.Context, _ string, _ store.Position, _ time.Duration) ([]store.Event, store.Position, error) {
	<-ctx.Done()
	return nil, store.Position{}, context.Cause(ctx)
}

// followHandler is a store.ChangeHandler that ends the following at the first listing.
type followHandler struct {
	watchMonitor
	end context.CancelFunc
}

func (h followHandler) Reset([]store.KeyValue, store.Position) { h.end() }
func (h followHandler) Apply(store.Event)                      {}

// Guards against a listing on a silent connection that never ends because responses to
// other reads count as its progress.
func TestOtherReadsKeepNoSilentListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMonitoredFeed(&silentFeed{}, metrics.NewSet(), logr.Discard())
		reads := 0
		m.readUrgent = func(ctx context.Context) {
			reads++
			store.RecordProgress(ctx)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		store.Follow(ctx, m, "", 0, followHandler{watchMonitor{health: testHealth(), feed: m, cuts: new(metrics.Counter), log: logr.Discard()}, cancel})
		is.True(reads > 0)
		is.True(time.Since(began) < 2*store.ReadStallTimeout)
	})
}

// Guards against a large configuration that an entry never gets from another one, since it
// takes longer to arrive than the other may be silent.
func TestLargeStateOfAPeerIsAdopted(t *testing.T) {
	is := is.New(t)
	const chunks, chunkDelay = 10, dialTimeout / 2
	state, err := json.Marshal(wire.OperatorState{Era: 1, Revision: 5, Config: configWith(7, "k")})
	is.NoErr(err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range chunks {
			_, _ = w.Write(state[i*len(state)/chunks : (i+1)*len(state)/chunks])
			w.(http.Flusher).Flush()
			time.Sleep(chunkDelay)
		}
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	e := NewEntry(settings.PlatformEntry{PlatformNode: settings.PlatformNode{ID: "a", Zone: "z1", IP: "127.0.0.1"}}, logr.Discard())
	is.NoErr(e.pollPeer(t.Context(), ln.Addr().String()))
	is.Equal(e.operator.configVersion(), uint64(7))
}
