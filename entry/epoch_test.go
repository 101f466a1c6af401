package entry

import (
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/wasabinotch/wasabinotch/balance"
	"github.com/wasabinotch/wasabinotch/bundle"
	"github.com/wasabinotch/wasabinotch/control"
	"github.com/wasabinotch/wasabinotch/settings"
	"github.com/wasabinotch/wasabinotch/wire"
)

// Guards against a starting entry that returns order epoch 0 before it has read the
// epoch, so that the keys of callers are refused permanently; and against an entry that
// refuses resolve requests for as long as the store is down.
func TestResolveBeforeOrderEpochIsRead(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	epochUnread := &atomic.Bool{}
	epochUnread.Store(true)
	desk := &bundle.Service{Name: "desk", Kind: bundle.KindPlain, NonIdempotentPaths: []string{"/orders"}}
	c := &fakeControl{snap: control.Snapshot{
		Self:        wire.Node{ID: "entry-1", Zone: "a"},
		Bundle:      &bundle.Bundle{Version: 3},
		Services:    map[string]*bundle.Service{"desk": desk},
		ConfirmedAt: clock.Now(),
		Entries:     []control.Entry{{Node: wire.Node{ID: "entry-2", State: wire.StateReady}, LastSeen: clock.Now()}},
	}}
	e := &Entry{
		settings: settings.Entry{Node: settings.Node{Zone: "a"}},
		deps:     Deps{Control: c, Binder: fakeBinder{epochUnread: epochUnread}, Clock: clock},
		balancer: balance.New("entry-1", "a"),
	}
	resolve := httptest.NewRequest("GET", "/v1/resolve?service=desk", nil)
	_, refusal := e.resolve(resolve)
	is.True(refusal != nil)

	clock.Advance(epochReadTimeout) // the store is down
	_, refusal = e.resolve(resolve)
	is.Equal(refusal, nil) // issued identities need no store
}
