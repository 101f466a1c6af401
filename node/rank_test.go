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

// newLocalRank returns a rank whose engine handles commands with h.
func newLocalRank(t *testing.T, h http.HandlerFunc) *localRank {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body) // otherwise the server doesn't notice that the client disconnects
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h(w, r)
	}))
	t.Cleanup(server.Close)
	return &localRank{Engine: platform.NewEngine(strings.TrimPrefix(server.URL, "http://"), upstream.NewClient(time.Second))}
}

// Guards against a long hold of the group when responses to commands are lost: a
// long timeout before the retry would delay every stream of the group.
func TestUnansweredCommandIsRetriedImmediately(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int32
	l := newLocalRank(t, func(w http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) < 4 {
			<-r.Context().Done() // the command may be carried out, but its response is lost
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	result, err := l.Send(ctx, rankgroup.Command{Operation: rankgroup.Arm, Version: 1, Step: 1})
	is.NoErr(err)
	is.Equal(result, rankgroup.Accepted)
	is.Equal(attempts.Load(), int32(4))
}

// Guards against dropping a planned map when the response to Prepare is lost: the
// engine accepts a version once and refuses the retry.
func TestRetriedPrepareIsAccepted(t *testing.T) {
	is := is.New(t)
	var accepted atomic.Bool
	l := newLocalRank(t, func(w http.ResponseWriter, r *http.Request) {
		var command struct{ Version uint64 }
		if json.NewDecoder(r.Body).Decode(&command) == nil && !accepted.Swap(true) {
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
	is.Equal(result, rankgroup.Refused) // the refusal of a first attempt is reported
}

// Guards against a busy loop of the agent while its engine is down.
func TestCommandRetriesBackOffWhileEngineIsDown(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int32
	l := newLocalRank(t, func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		panic(http.ErrAbortHandler)
	})
	const timeout = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, err := l.Send(ctx, rankgroup.Command{Operation: rankgroup.Arm, Version: 1, Step: 1})
	is.True(err != nil)
	is.True(attempts.Load() <= int32(timeout/localRetryInterval)+1)
}

// Guards against a superseded coordinator that still sends commands to the rank
// beside it: the new coordinator's release could end its hold.
func TestLocalRankIsFencedAfterTakeover(t *testing.T) {
	is := is.New(t)
	var commands atomic.Int32
	l := newLocalRank(t, func(w http.ResponseWriter, r *http.Request) { commands.Add(1) })
	lead := &leadership{group: "g", term: 3, selfLeads: true}
	fenced := &fencedLocalRank{localRank: l, leadership: lead, term: 3}
	hold := rankgroup.Command{Operation: rankgroup.Hold, Step: 1}
	result, err := fenced.Send(t.Context(), hold)
	is.NoErr(err)
	is.Equal(result, rankgroup.Accepted)
	_, ok := lead.admit(&wire.RankArgs{Group: "g", Term: 4, Rank: 2})
	is.True(ok)
	result, err = fenced.Send(t.Context(), hold)
	is.NoErr(err)
	is.Equal(result, rankgroup.Superseded)
	is.Equal(commands.Load(), int32(1))
}
