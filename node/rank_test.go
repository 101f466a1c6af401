package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/platform"
	"github.com/wasabinotch/wasabinotch/rankgroup"
	"github.com/wasabinotch/wasabinotch/upstream"
	"github.com/wasabinotch/wasabinotch/wire"
)

// engineThat returns a rank whose engine handles orders with h.
func engineThat(t *testing.T, h http.HandlerFunc) *localRank {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body) // else the server doesn't see that the caller left
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h(w, r)
	}))
	t.Cleanup(server.Close)
	return &localRank{Engine: platform.NewEngine(strings.TrimPrefix(server.URL, "http://"), upstream.NewClient(time.Second))}
}

// Load: orders whose answers are lost, in a group that is held meanwhile. Guards
// against a hold that lasts for a long time-out, during which every stream of
// the group is late.
func TestUnansweredOrderIsGivenAgainAtOnce(t *testing.T) {
	is := is.New(t)
	var tries atomic.Int32
	l := engineThat(t, func(w http.ResponseWriter, r *http.Request) {
		if tries.Add(1) < 4 {
			<-r.Context().Done() // carried out or not, the answer doesn't come
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	result, err := l.Send(ctx, rankgroup.Command{Operation: rankgroup.Arm, Version: 1, Step: 1})
	is.NoErr(err)
	is.Equal(result, rankgroup.Accepted)
	is.Equal(tries.Load(), int32(4))
}

// Guards against a plan that is dropped because its copy had begun unnoticed:
// an engine takes a version only once.
func TestRepeatedPrepareIsNoRefusal(t *testing.T) {
	is := is.New(t)
	var taken atomic.Bool
	l := engineThat(t, func(w http.ResponseWriter, r *http.Request) {
		var o struct{ Version uint64 }
		if json.NewDecoder(r.Body).Decode(&o) == nil && !taken.Swap(true) {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(http.StatusConflict)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	prepare := rankgroup.Command{Operation: rankgroup.Prepare, Version: 1, Map: &rankgroup.Map{}}
	result, err := l.Send(ctx, prepare)
	is.NoErr(err)
	is.Equal(result, rankgroup.Accepted)
	result, err = l.Send(ctx, prepare)
	is.NoErr(err)
	is.Equal(result, rankgroup.Refused) // a first refusal stays one
}

// Guards against an agent that spends its processor on an engine that is down.
func TestOrderToAnEngineThatIsDownPauses(t *testing.T) {
	is := is.New(t)
	var tries atomic.Int32
	l := engineThat(t, func(w http.ResponseWriter, r *http.Request) {
		tries.Add(1)
		panic(http.ErrAbortHandler)
	})
	const limit = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	_, err := l.Send(ctx, rankgroup.Command{Operation: rankgroup.Arm, Version: 1, Step: 1})
	is.True(err != nil)
	is.True(tries.Load() <= int32(limit/localRetryInterval)+1)
}

// Guards against a coordinator that goes on at its own rank after another agent
// took over: its hold there could be ended by the other's release.
func TestOwnRankTakesNoOrdersAfterATakeover(t *testing.T) {
	is := is.New(t)
	var orders atomic.Int32
	l := engineThat(t, func(w http.ResponseWriter, r *http.Request) { orders.Add(1) })
	lead := &leadership{group: "g", term: 3, selfLeads: true}
	own := &fencedLocalRank{localRank: l, leadership: lead, term: 3}
	hold := rankgroup.Command{Operation: rankgroup.Hold, Step: 1}
	result, err := own.Send(t.Context(), hold)
	is.NoErr(err)
	is.Equal(result, rankgroup.Accepted)
	_, ok := lead.admit(&wire.RankArgs{Group: "g", Term: 4, Rank: 2})
	is.True(ok)
	result, err = own.Send(t.Context(), hold)
	is.NoErr(err)
	is.Equal(result, rankgroup.Superseded)
	is.Equal(orders.Load(), int32(1))
}
